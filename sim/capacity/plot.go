package capacity

// This file writes one plot per figure: its value over the number of workers, with a line for each
// role, the limit and the full size. The extrapolated part of a line is dashed.

import (
	"image/color"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"coppercourse/sim"
)

// Dimensions of a plot.
const (
	minWorkers = 8 // lower end of the axis of workers
	width      = 15 * vg.Centimeter
	height     = 9 * vg.Centimeter
)

// Legend labels of the limits.
const (
	limitLabel           = "limit"
	controllerLimitLabel = "limit of a controller"
)

// Plot writes the figures of a mode as SVG files to a folder. It skips figures without points.
func Plot(dir, mode string, list []Point) error {
	for _, f := range Figures {
		if err := plotFigure(dir, mode, f, list); err != nil {
			return err
		}
	}
	return nil
}

// yRange is the minimum and the maximum value in a plot.
type yRange struct{ low, high float64 }

func (yr *yRange) include(y float64) {
	if yr.low == 0 || y < yr.low {
		yr.low = y
	}
	yr.high = max(yr.high, y)
}

func plotFigure(dir, mode string, f Figure, list []Point) error {
	p := newPlot(f.Name+", "+mode, f.Unit)
	limit := max(f.Limit, f.ControllerLimit)
	if slices.Contains(f.Roles, "agent") {
		limit = f.Limit
	}
	shown, drawn := yRange{limit, max(limit, f.ControllerLimit)}, false
	for i, role := range f.Roles {
		selected := selectPoints(list, mode, role, f.Name)
		if len(positivePoints(selected)) == 0 {
			continue
		}
		drawn = true
		if err := addRole(p, role, selected, plotutil.Color(i), &shown); err != nil {
			return err
		}
	}
	if !drawn {
		return nil
	}
	if err := addLimits(p, limit, f.ControllerLimit); err != nil {
		return err
	}
	full := plotter.XYs{{X: sim.DesignWorkers, Y: shown.low * 0.8}, {X: sim.DesignWorkers, Y: shown.high * 1.2}}
	if err := addLimitLine(p, full, ""); err != nil {
		return err
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = minWorkers, sim.DesignWorkers*1.3, shown.low*0.7, shown.high*4
	name := mode + "-" + strings.ReplaceAll(f.Name, " ", "-") + ".svg"
	return p.Save(width, height, filepath.Join(dir, name))
}

// newPlot returns an empty plot with logarithmic axes.
func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "workers", unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	return p
}

// addRole adds a role's measured line and its extrapolation to the full size.
func addRole(p *plot.Plot, role string, selected []Point, c color.Color, shown *yRange) error {
	line := positivePoints(selected)
	extrapolated := plotter.XYs{line[len(line)-1]}
	full := plotter.XY{X: sim.DesignWorkers, Y: FitGrowth(selected).Extrapolate(sim.DesignWorkers, selected)}
	if full.Y > 0 {
		extrapolated = append(extrapolated, full)
	}
	for _, q := range append(line, extrapolated...) {
		shown.include(q.Y)
	}
	return addLines(p, role, line, extrapolated, c)
}

// addLimits draws the limits that are not 0. A controller limit equal to limit is drawn once.
func addLimits(p *plot.Plot, limit, controllerLimit float64) error {
	if limit != 0 {
		if err := addLimitLine(p, horizontalLine(limit), limitLabel); err != nil {
			return err
		}
	}
	if controllerLimit != 0 && controllerLimit != limit {
		return addLimitLine(p, horizontalLine(controllerLimit), controllerLimitLabel)
	}
	return nil
}

// horizontalLine returns a horizontal line at y over the axis of workers.
func horizontalLine(y float64) plotter.XYs {
	return plotter.XYs{{X: minWorkers, Y: y}, {X: sim.DesignWorkers, Y: y}}
}

// positivePoints returns the points with positive values, since a logarithmic axis cannot show others.
func positivePoints(selected []Point) (line plotter.XYs) {
	for _, p := range selected {
		if p.Value > 0 {
			line = append(line, plotter.XY{X: float64(p.Workers), Y: p.Value})
		}
	}
	return line
}

// addLines draws a measured line and its dashed extrapolation.
func addLines(p *plot.Plot, name string, line, extrapolated plotter.XYs, c color.Color) error {
	l, s, err := plotter.NewLinePoints(line)
	if err != nil {
		return err
	}
	d, err := plotter.NewLine(extrapolated)
	if err != nil {
		return err
	}
	l.Color, s.Color, d.Color = c, c, c
	d.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l, s, d)
	p.Legend.Add(name, l, s)
	return nil
}

// addLimitLine draws a limit, or the full size if name is empty.
func addLimitLine(p *plot.Plot, at plotter.XYs, name string) error {
	l, err := plotter.NewLine(at)
	if err != nil {
		return err
	}
	switch l.Color = (color.RGBA{R: 200, A: 255}); name {
	case "":
		l.Color = color.Gray{Y: 160}
	case controllerLimitLabel:
		l.Dashes = []vg.Length{vg.Points(1), vg.Points(2)}
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}
