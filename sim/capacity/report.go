package capacity

// This file writes the report: all points as CSV, and a Markdown table for each role with the
// measured values, their growth, the value at the full size and the limit.

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"

	"coppercourse/sim"
)

// csvHeader is the header line of the CSV.
var csvHeader = []string{"mode", "role", "figure", "unit", "daemons", "workers", "value"}

// WriteCSV writes the header and one line per point.
func WriteCSV(w io.Writer, list []Point) error {
	c := csv.NewWriter(w)
	c.Write(csvHeader)
	for _, p := range list {
		c.Write([]string{
			p.Mode, p.Role, p.Name, p.Unit,
			strconv.Itoa(p.Daemons), strconv.Itoa(p.Workers),
			strconv.FormatFloat(p.Value, 'g', 6, 64),
		})
	}
	c.Flush()
	return c.Error()
}

// ReadCSV reads points in the format of WriteCSV.
func ReadCSV(r io.Reader) (list []Point, err error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, err
	}
	for i, x := range rows {
		if i == 0 && slices.Equal(x, csvHeader) {
			continue
		}
		if len(x) != len(csvHeader) {
			return nil, fmt.Errorf("line %d: want %d fields", i+1, len(csvHeader))
		}
		p := Point{Mode: x[0], Role: x[1], Name: x[2], Unit: x[3]}
		if p.Daemons, err = strconv.Atoi(x[4]); err != nil {
			return nil, err
		}
		if p.Workers, err = strconv.Atoi(x[5]); err != nil {
			return nil, err
		}
		if p.Value, err = strconv.ParseFloat(x[6], 64); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, err
}

// selectPoints returns the points of one mode, role and figure, ordered by number of workers.
func selectPoints(list []Point, mode, role, name string) (selected []Point) {
	for _, p := range list {
		if p.Mode == mode && p.Role == role && p.Name == name {
			selected = append(selected, p)
		}
	}
	slices.SortFunc(selected, func(a, b Point) int { return a.Workers - b.Workers })
	return selected
}

// WriteMarkdown writes a Markdown table for each mode and role.
func WriteMarkdown(w io.Writer, list []Point) {
	for _, mode := range []string{Idle, Traffic} {
		for _, role := range allRoles {
			var sizes []int
			for _, p := range selectPoints(list, mode, role, Figures[0].Name) {
				sizes = append(sizes, p.Workers)
			}
			if sizes == nil {
				continue
			}
			fmt.Fprintf(w, "\n### %s, %s\n\n| figure |", role, mode)
			for _, n := range sizes {
				fmt.Fprintf(w, " %d workers |", n)
			}
			fmt.Fprintf(w, " constant | a worker | power | at %d | limit |\n|%s\n",
				sim.DesignWorkers, separatorCells(6+len(sizes)))
			for _, f := range Figures {
				writeRow(w, f, f.limit(role), selectPoints(list, mode, role, f.Name))
			}
		}
	}
}

// separatorCells returns n cells of a Markdown table's separator line.
func separatorCells(n int) (s string) {
	for range n {
		s += " --- |"
	}
	return s
}

// writeRow writes the table row of one figure.
func writeRow(w io.Writer, f Figure, bound float64, points []Point) {
	if points == nil {
		return
	}
	fmt.Fprintf(w, "| %s, %s |", f.Name, f.Unit)
	for _, p := range points {
		fmt.Fprintf(w, " %s |", formatNumber(p.Value))
	}
	g := FitGrowth(points)
	at, limit, how := g.Extrapolate(sim.DesignWorkers, points), "none", "extrapolated"
	if points[len(points)-1].Workers == sim.DesignWorkers {
		how = "measured"
	}
	switch {
	case bound > 0 && at > bound:
		limit = formatNumber(bound) + ", missed"
	case bound > 0:
		limit = formatNumber(bound) + ", kept"
	}
	fmt.Fprintf(w, " %s | %s | %.1f | %s %s | %s |\n",
		formatNumber(g.Intercept), formatNumber(g.Slope), g.Exponent, formatNumber(at), how, limit)
}

// formatNumber formats a number with three significant digits.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
