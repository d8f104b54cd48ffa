package capacity

// The report: all points as CSV, and a markdown table for each role with what was
// measured, how it grows, the value at the full size, and the limit.

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"

	"coppercourse/sim"
)

// head is the first line of the CSV.
var head = []string{"mode", "role", "figure", "unit", "daemons", "workers", "value"}

// WriteCSV writes one line for each point.
func WriteCSV(w io.Writer, list []Point) error {
	c := csv.NewWriter(w)
	c.Write(head)
	for _, p := range list {
		c.Write([]string{p.Mode, p.Role, p.Name, p.Unit, strconv.Itoa(p.Daemons), strconv.Itoa(p.Workers), strconv.FormatFloat(p.Value, 'g', 6, 64)})
	}
	c.Flush()
	return c.Error()
}

// ReadCSV reads what WriteCSV wrote.
func ReadCSV(r io.Reader) (list []Point, err error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, err
	}
	for i, x := range rows {
		if i == 0 && slices.Equal(x, head) {
			continue
		}
		if len(x) != len(head) {
			return nil, fmt.Errorf("line %d: want %d fields", i+1, len(head))
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
	return
}

// pick returns the points of one figure and role, in order of size.
func pick(list []Point, mode, role, name string) (some []Point) {
	for _, p := range list {
		if p.Mode == mode && p.Role == role && p.Name == name {
			some = append(some, p)
		}
	}
	slices.SortFunc(some, func(a, b Point) int { return a.Workers - b.Workers })
	return
}

// WriteMarkdown writes a table for each mode and role.
func WriteMarkdown(w io.Writer, list []Point) {
	for _, mode := range []string{Idle, Traffic} {
		for _, role := range all {
			var sizes []int
			for _, p := range pick(list, mode, role, Figures[0].Name) {
				sizes = append(sizes, p.Workers)
			}
			if sizes == nil {
				continue
			}
			fmt.Fprintf(w, "\n### %s, %s\n\n| figure |", role, mode)
			for _, n := range sizes {
				fmt.Fprintf(w, " %d workers |", n)
			}
			fmt.Fprintf(w, " constant | a worker | power | at %d | limit |\n|%s\n", sim.FullWorkers, bars(6+len(sizes)))
			for _, f := range Figures {
				row(w, f, f.limit(role), pick(list, mode, role, f.Name))
			}
		}
	}
}

// bars returns the rest of a table's separator line, for n columns.
func bars(n int) (s string) {
	for range n {
		s += " --- |"
	}
	return
}

// row writes one figure's row.
func row(w io.Writer, f Figure, most float64, some []Point) {
	if some == nil {
		return
	}
	fmt.Fprintf(w, "| %s, %s |", f.Name, f.Unit)
	for _, p := range some {
		fmt.Fprintf(w, " %s |", short(p.Value))
	}
	g := Grow(some)
	at, limit, how := g.At(sim.FullWorkers, some), "none", "extrapolated"
	if some[len(some)-1].Workers == sim.FullWorkers {
		how = "measured"
	}
	switch {
	case most > 0 && at > most:
		limit = short(most) + ", missed"
	case most > 0:
		limit = short(most) + ", kept"
	}
	fmt.Fprintf(w, " %s | %s | %.1f | %s %s | %s |\n", short(g.Const), short(g.Slope), g.Power, short(at), how, limit)
}

// short writes a number with three digits.
func short(v float64) string { return strconv.FormatFloat(v, 'g', 3, 64) }
