package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// maxPlottedPolicies is the maximum number of lines in a plot.
const maxPlottedPolicies = 6

// Plot writes SVG files to a folder: one per scenario with the worth over time, and one with the
// difference of each policy from the first.
func (p *Plan) Plot(dir string, results []Result) error {
	for _, scenario := range p.Scenarios {
		if err := p.plotScenario(dir, scenario, results); err != nil {
			return err
		}
	}
	return p.plotDifferences(dir, p.Compare(results)[:len(p.Policies)])
}

// plotScenario plots the mean ratio of earned to attainable worth by submission time.
func (p *Plan) plotScenario(dir string, scenario Scenario, results []Result) error {
	chart := plot.New()
	chart.Title.Text = "worth over time, day " + scenario.Name
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", "worth earned / attainable worth"
	chart.Y.Min, chart.Y.Max = 0, 1
	var lines []any
	for _, policyPlan := range p.Policies[:min(len(p.Policies), maxPlottedPolicies)] {
		if points := meanTimeline(results, policyPlan.Name, scenario.Name); len(points) > 0 {
			lines = append(lines, policyPlan.Name, points)
		}
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return fmt.Errorf("plot day %s: %w", scenario.Name, err)
	}
	return save(chart, filepath.Join(dir, "day-"+scenario.Name+".svg"))
}

// meanTimeline returns the mean timeline of a policy in a scenario.
func meanTimeline(results []Result, policyName, scenarioName string) plotter.XYs {
	var points plotter.XYs
	var counts []float64
	for _, r := range results {
		if r.Policy != policyName || r.Scenario != scenarioName {
			continue
		}
		for i, value := range r.Measure.Timeline {
			if i == len(points) {
				points = append(points, plotter.XY{X: float64(i) * windowLength.Seconds()})
				counts = append(counts, 0)
			}
			points[i].Y += value
			counts[i]++
		}
	}
	for i := range points {
		points[i].Y /= counts[i]
	}
	return points
}

// plotDifferences plots the difference in worth of each policy with its confidence interval. A single
// pair has an infinite interval, which is drawn as 0.
func (p *Plan) plotDifferences(dir string, comparisons []Comparison) error {
	chart := plot.New()
	chart.Title.Text = "difference in worth from " + p.Policies[0].Name
	chart.X.Label.Text = "worth"
	var names []string
	errorPoints := struct {
		plotter.XYs
		plotter.XErrors
	}{}
	for i, c := range comparisons[1:] {
		names = append(names, c.Policy)
		errorPoints.XYs = append(errorPoints.XYs, plotter.XY{X: c.Worth.Mean, Y: float64(i)})
		halfWidth := c.Worth.HalfWidth
		if c.Worth.Pairs < 2 {
			halfWidth = 0
		}
		errorPoints.XErrors = append(errorPoints.XErrors, struct{ Low, High float64 }{halfWidth, halfWidth})
	}
	if len(names) == 0 {
		return nil
	}
	points, err := plotter.NewScatter(errorPoints.XYs)
	if err != nil {
		return fmt.Errorf("plot the differences: %w", err)
	}
	bars, err := plotter.NewXErrorBars(errorPoints)
	if err != nil {
		return fmt.Errorf("plot the intervals: %w", err)
	}
	chart.Add(plotter.NewGrid(), points, bars)
	chart.NominalY(names...)
	return save(chart, filepath.Join(dir, "differences.svg"))
}

func save(chart *plot.Plot, path string) error {
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save the plot: %w", err)
	}
	return nil
}
