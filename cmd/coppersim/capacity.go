// The capacity runs: simulated fleets of several sizes, idle and under traffic in
// proportion; what each role spends goes to a folder as CSV, markdown and plots.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/sim"
	"coppercourse/sim/capacity"
)

type capacityRun struct {
	plan       sim.ScalePlan
	idle, busy string
	out        string
	budget     time.Duration
	replot     bool
}

func measureCapacity(app *kingpin.Application, runs map[string]func() error) {
	r := &capacityRun{}
	c := app.Command("capacity", "Measure what the daemons spend at several sizes of the fleet.")
	c.Flag("idle", "Numbers of daemons to run idle, by comma.").Default("18,78,300,1000").StringVar(&r.idle)
	c.Flag("traffic", "Numbers of daemons to run under traffic in proportion, by comma.").Default("18,78,300").StringVar(&r.busy)
	c.Flag("window", "Simulated time over which is counted.").Default("8s").DurationVar(&r.plan.Window)
	c.Flag("settle", "Simulated time before that, once the fleet is healthy.").Default("10s").DurationVar(&r.plan.Settle)
	c.Flag("between-regions", "One way between two of three regions; within one it is 0.2 to 2.2 ms.").Default("0ms").DurationVar(&r.plan.Regions)
	c.Flag("probes", "Changes of the table and urgent jobs to time in each fleet.").Default("5").IntVar(&r.plan.Probes)
	c.Flag("seed", "Seed of the first fleet.").Default("1").Int64Var(&r.plan.Seed)
	c.Flag("budget", "Real time for all; a fleet that does not come to its end in it is told and left out.").Default("20m").DurationVar(&r.budget)
	c.Flag("out", "Folder for capacity.csv, capacity.md and the plots.").Default("capacity-out").StringVar(&r.out)
	c.Flag("replot", "Measure nothing; write the report again from the folder's capacity.csv.").BoolVar(&r.replot)
	runs["capacity"] = r.run
}

func (r *capacityRun) run() error {
	debug.SetMemoryLimit(3500 << 20)
	if err := os.MkdirAll(r.out, 0o755); err != nil {
		return err
	}
	path := filepath.Join(r.out, "capacity.csv")
	var list []capacity.Point
	var late error
	if r.replot {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		if list, err = capacity.ReadCSV(f); err != nil {
			return err
		}
	} else {
		if list, late = r.measure(); list == nil {
			return late
		}
		if err := save(path, func(f *os.File) error { return capacity.WriteCSV(f, list) }); err != nil {
			return err
		}
	}
	md := func(f *os.File) error { capacity.WriteMarkdown(f, list); return nil }
	if err := save(filepath.Join(r.out, "capacity.md"), md); err != nil {
		return err
	}
	capacity.WriteMarkdown(os.Stdout, list)
	return errors.Join(late, capacity.Plot(r.out, "idle", list), capacity.Plot(r.out, "traffic", list))
}

// measure runs the fleets one after the other, the small ones first.
func (r *capacityRun) measure() (list []capacity.Point, late error) {
	end := time.Now().Add(r.budget)
	for _, mode := range []struct {
		sizes string
		busy  bool
	}{{r.idle, false}, {r.busy, true}} {
		for _, word := range strings.Split(mode.sizes, ",") {
			if word == "" {
				continue
			}
			n, err := strconv.Atoi(word)
			if err != nil || n < 18 || n > 20_000 {
				return nil, fmt.Errorf("%q: want a number of daemons from 18 to 20000", word)
			}
			p := r.plan
			p.Daemons, p.Busy, p.Limit = n, mode.busy, max(time.Millisecond, time.Until(end))
			m, err := sim.Measure(p)
			if err != nil {
				late = errors.Join(late, fmt.Errorf("%d daemons, traffic %v: %w", n, mode.busy, err))
				continue
			}
			list = append(list, capacity.Points(m)...)
			fmt.Printf("%d daemons, traffic %v: %d tasks ran at the window's end, took %s\n", n, mode.busy, m.Running, m.RealTime.Round(time.Millisecond))
		}
	}
	return
}

func save(path string, write func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
