package experiment

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
)

// ScenarioReport is one scored scenario: the value reached for each component of the worth, and the
// prices deducted. It is read from the entries in journal/, where it is called a day.
type ScenarioReport struct {
	Name   string           `json:"name"`
	Worth  float64          `json:"G"`
	Parts  []WorthComponent `json:"parts"`
	Prices []Price          `json:"prices"`
}

// WorthComponent is a component of the worth: its weight and the fraction of it that was reached.
type WorthComponent struct {
	Name          string
	Weight, Value float64
}

// Price is the deduction for the use of one resource, as a fraction of the attainable worth.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON decodes the array [name, weight, value].
func (p *WorthComponent) UnmarshalJSON(text []byte) error {
	return unmarshalTuple(text, &p.Name, &p.Weight, &p.Value)
}

// UnmarshalJSON decodes the array [name, amount, cost].
func (p *Price) UnmarshalJSON(text []byte) error {
	return unmarshalTuple(text, &p.Name, &p.Amount, &p.Cost)
}

// errTupleLength is returned for an array of the wrong length.
var errTupleLength = errors.New("want an array of three elements")

func unmarshalTuple(text []byte, fields ...any) error {
	var raw []json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return fmt.Errorf("read a row of a day: %w", err)
	}
	if len(raw) != len(fields) {
		return errTupleLength
	}
	for i, field := range fields {
		if err := json.Unmarshal(raw[i], field); err != nil {
			return fmt.Errorf("read a row of a day: %w", err)
		}
	}
	return nil
}

// ReadScenarioReports reads the scored scenarios of a journal entry.
func ReadScenarioReports(path string) ([]ScenarioReport, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the scored days: %w", err)
	}
	var entry struct {
		Days []ScenarioReport `json:"days"`
	}
	if err := json.Unmarshal(text, &entry); err != nil {
		return nil, fmt.Errorf("read the scored days of %s: %w", path, err)
	}
	return entry.Days, nil
}

// scenarioLoss is the worth of a scenario lost to one cause.
type scenarioLoss struct {
	cause string
	lost  float64
}

// losses returns the nonzero losses of the scenario, largest first. They sum to 1 minus its worth.
func (d *ScenarioReport) losses() []scenarioLoss {
	var list []scenarioLoss
	for _, part := range d.Parts {
		list = append(list, scenarioLoss{"shortfall in " + part.Name, part.Weight * (1 - part.Value)})
	}
	for _, price := range d.Prices {
		list = append(list, scenarioLoss{price.Name, price.Cost})
	}
	list = slices.DeleteFunc(list, func(l scenarioLoss) bool { return l.lost == 0 })
	slices.SortStableFunc(list, func(a, b scenarioLoss) int { return cmp.Compare(b.lost, a.lost) })
	return list
}

// WriteScenarioLosses writes a table of the losses of each scenario with their sum.
func WriteScenarioLosses(out io.Writer, reports []ScenarioReport) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, report := range reports {
		sum := 0.0
		fmt.Fprintf(table, "%s\tworth %.3f\n", report.Name, report.Worth)
		for _, loss := range report.losses() {
			sum += loss.lost
			fmt.Fprintf(table, "\t%.4f\t%s\n", loss.lost, loss.cause)
		}
		fmt.Fprintf(table, "\t%.4f\ttotal lost\n", sum)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}
