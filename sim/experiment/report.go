package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// WriteTable writes comparisons as a text table. A star marks differences whose confidence interval
// excludes 0.
func WriteTable(out io.Writer, comparisons []Comparison) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	deploymentName := ""
	fmt.Fprintln(table, "all deployments\tworth\tdifference\tworst windows\tdifference\t"+
		"wasted core-s\tdifference\trenewals\tbroken\t")
	for _, c := range comparisons {
		if c.Deployment != deploymentName {
			deploymentName = c.Deployment
			fmt.Fprintf(table, "\t\t\t\t\t\t\t\t\t\n%s\t\t\t\t\t\t\t\t\t\n", c.Deployment)
		}
		fmt.Fprintf(table, "%s\t%.3f\t%s\t%.3f\t%s\t%.0f\t%s\t%d\t%d\t\n", c.Policy,
			c.Mean.Worth, c.Worth.text("%+.3f ± %.3f"),
			c.Mean.WorstWindows, c.WorstWindows.text("%+.3f ± %.3f"),
			c.Mean.WastedSeconds, c.Wasted.text("%+.0f ± %.0f"),
			c.Mean.Renewals, c.Mean.Violations)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// WriteLosses writes, for each scenario, the fraction of the attainable worth that each cause cost
// under the first policy.
func (p *Plan) WriteLosses(out io.Writer, results []Result) {
	for _, scenario := range p.Scenarios {
		var ofScenario []Result
		for _, r := range results {
			if r.Scenario == scenario.Name && r.Policy == p.Policies[0].Name {
				ofScenario = append(ofScenario, r)
			}
		}
		mean := meanMeasure(ofScenario)
		fmt.Fprintf(out, "\nday %s: %.3f of the attainable worth was earned; lost to", scenario.Name, mean.Overall)
		for _, loss := range mean.Losses {
			fmt.Fprintf(out, "  %s %.3f", loss.Cause, loss.Fraction)
		}
		fmt.Fprintln(out)
	}
}

// text formats a difference, with a star if it is clear.
func (d Difference) text(format string) string {
	mark := " "
	if d.IsClear() {
		mark = "*"
	}
	return fmt.Sprintf(format, d.Mean, d.HalfWidth) + mark
}

// WriteJSON writes the results of all runs to a file.
func WriteJSON(path string, results []Result) error {
	encoded, err := json.MarshalIndent(results, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(encoded, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("write the results: %w", err)
	}
	return nil
}
