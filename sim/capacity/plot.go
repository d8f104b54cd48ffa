// One plot for each figure: over the number of workers, a line for each role, the
// limit and the full size drawn in, and dashed what is extrapolated.
package capacity

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

// Plot writes the figures of a mode as SVG files into a folder.
func Plot(dir, mode string, list []Point) error {
	for _, f := range Figures {
		p := plot.New()
		p.Title.Text = f.Name + ", " + mode
		p.X.Label.Text, p.Y.Label.Text = "workers", f.Unit
		p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
		p.Legend.Top, p.Legend.Left = true, true
		most := max(f.Limit, f.Core)
		if slices.Contains(f.Roles, "agent") {
			most = f.Limit
		}
		low, high, drawn := most, max(most, f.Core), false
		for i, role := range f.Roles {
			some := pick(list, mode, role, f.Name)
			line := points(some)
			if len(line) == 0 {
				continue
			}
			drawn = true
			full := plotter.XY{X: sim.FullWorkers, Y: Grow(some).At(sim.FullWorkers, some)}
			rest := plotter.XYs{line[len(line)-1]}
			if full.Y > 0 {
				rest = append(rest, full)
			}
			for _, q := range append(line, rest...) {
				if low == 0 || q.Y < low {
					low = q.Y
				}
				high = max(high, q.Y)
			}
			if err := add(p, role, line, rest, plotutil.Color(i)); err != nil {
				return err
			}
		}
		if !drawn {
			continue
		}
		for _, l := range []struct {
			name string
			most float64
		}{{"limit", most}, {"limit of a controller", f.Core}} {
			if l.most == 0 || l.name != "limit" && l.most == most {
				continue
			}
			if err := rule(p, plotter.XYs{{X: 8, Y: l.most}, {X: sim.FullWorkers, Y: l.most}}, l.name); err != nil {
				return err
			}
		}
		if err := rule(p, plotter.XYs{{X: sim.FullWorkers, Y: low * 0.8}, {X: sim.FullWorkers, Y: high * 1.2}}, ""); err != nil {
			return err
		}
		p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 8, sim.FullWorkers*1.3, low*0.7, high*4
		name := mode + "-" + strings.ReplaceAll(f.Name, " ", "-") + ".svg"
		if err := p.Save(15*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// points leaves out what a logarithmic axis can't show.
func points(some []Point) (line plotter.XYs) {
	for _, p := range some {
		if p.Value > 0 {
			line = append(line, plotter.XY{X: float64(p.Workers), Y: p.Value})
		}
	}
	return
}

func add(p *plot.Plot, name string, line, rest plotter.XYs, c color.Color) error {
	l, s, err := plotter.NewLinePoints(line)
	if err != nil {
		return err
	}
	d, err := plotter.NewLine(rest)
	if err != nil {
		return err
	}
	l.Color, s.Color, d.Color = c, c, c
	d.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l, s, d)
	p.Legend.Add(name, l, s)
	return nil
}

func rule(p *plot.Plot, at plotter.XYs, name string) error {
	l, err := plotter.NewLine(at)
	if err != nil {
		return err
	}
	switch l.Color = (color.RGBA{R: 200, A: 255}); name {
	case "":
		l.Color = color.Gray{Y: 160}
	case "limit of a controller":
		l.Dashes = []vg.Length{vg.Points(1), vg.Points(2)}
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}
