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

	"coppercourse/internal/commandline"
	"coppercourse/sim"
	"coppercourse/sim/capacity"
)

// capacityCommand is the capacity command: simulated fleets of several sizes, idle and under
// traffic in proportion. What each role spends is written to a folder as CSV, markdown and
// plots.
type capacityCommand struct {
	plan       sim.ScalePlan
	idle, busy string // numbers of daemons, by comma
	out        string
	budget     time.Duration
	replot     bool
}

func addCapacity(app *kingpin.Application, commands commandline.Commands) {
	r := &capacityCommand{}
	command := app.Command("capacity", "Measure what the daemons spend at several sizes of a simulated fleet.")
	command.Flag("idle", "Numbers of daemons of the fleets that run idle, by comma.").
		Default("18,78,300,1000").StringVar(&r.idle)
	command.Flag("traffic", "Numbers of daemons of the fleets that run under traffic in proportion, by comma.").
		Default("18,78,300").StringVar(&r.busy)
	command.Flag("window", "Simulated time of the measurement.").Default("8s").DurationVar(&r.plan.Window)
	command.Flag("settle", "Simulated time before it, once the fleet is healthy.").
		Default("10s").DurationVar(&r.plan.Settle)
	command.Flag("between-regions", "One-way latency between two of three regions; inside one it is 0.2 to 2.2 ms.").
		Default("0ms").DurationVar(&r.plan.InterRegionDelay)
	command.Flag("probes", "Number of table changes and of urgent jobs that are timed in each fleet.").
		Default("5").IntVar(&r.plan.Probes)
	command.Flag("seed", "Seed of the first fleet.").Default("1").Int64Var(&r.plan.Seed)
	command.Flag("budget", "Real time for all fleets; one that does not end in time is reported and left out.").
		Default("20m").DurationVar(&r.budget)
	command.Flag("out", "Folder for capacity.csv, capacity.md and the plots.").
		Default("capacity-out").StringVar(&r.out)
	command.Flag("replot", "Measure nothing; write the report again from the folder's capacity.csv.").
		BoolVar(&r.replot)
	commands["capacity"] = r.run
}

// Bounds of a capacity run.
const (
	memoryLimit = 3500 << 20 // bytes; beyond it memory is collected harder
	minDaemons  = 18
	maxDaemons  = 20_000
)

// run measures, or reads the last measurement, and writes the report.
func (c *capacityCommand) run() error {
	debug.SetMemoryLimit(memoryLimit)
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		return err
	}
	points, late, err := c.points(filepath.Join(c.out, "capacity.csv"))
	if err != nil {
		return err
	}
	markdown := func(f *os.File) error { capacity.WriteMarkdown(f, points); return nil }
	if err := save(filepath.Join(c.out, "capacity.md"), markdown); err != nil {
		return err
	}
	capacity.WriteMarkdown(os.Stdout, points)
	return errors.Join(late,
		capacity.Plot(c.out, capacity.Idle, points),
		capacity.Plot(c.out, capacity.Traffic, points))
}

// points returns the figures of all fleets: with --replot from the file at path,
// otherwise measured and saved there. The error late holds the fleets that did not
// come to their end.
func (c *capacityCommand) points(path string) (points []capacity.Point, late, err error) {
	if c.replot {
		f, err := os.Open(path)
		if err != nil {
			return nil, nil, err
		}
		defer f.Close()
		points, err = capacity.ReadCSV(f)
		return points, nil, err
	}
	points, late = c.measure()
	if points == nil {
		return nil, nil, late
	}
	return points, late, save(path, func(f *os.File) error { return capacity.WriteCSV(f, points) })
}

// measure runs the fleets one after the other, small ones first. The error late joins those
// of the fleets that could not be measured.
func (c *capacityCommand) measure() (points []capacity.Point, late error) {
	deadline := time.Now().Add(c.budget)
	for _, mode := range []struct {
		sizes string
		busy  bool
	}{{c.idle, false}, {c.busy, true}} {
		sizes, err := parseSizes(mode.sizes)
		if err != nil {
			return nil, err
		}
		for _, daemons := range sizes {
			measured, err := c.measureFleet(daemons, mode.busy, deadline)
			late = errors.Join(late, err)
			points = append(points, measured...)
		}
	}
	return points, late
}

// measureFleet runs one fleet until the deadline at the latest.
func (c *capacityCommand) measureFleet(daemons int, busy bool, deadline time.Time) ([]capacity.Point, error) {
	plan := c.plan
	plan.Daemons = daemons
	plan.WithTraffic = busy
	plan.WallTimeLimit = max(time.Millisecond, time.Until(deadline))
	measurement, err := sim.Measure(plan)
	if err != nil {
		return nil, fmt.Errorf("%d daemons, traffic %v: %w", daemons, busy, err)
	}
	fmt.Printf("%d daemons, traffic %v: %d tasks ran at the window's end, took %s\n", daemons, busy,
		measurement.RunningTasks, measurement.WallTime.Round(time.Millisecond))
	return capacity.Points(measurement), nil
}

// parseSizes reads numbers of daemons, by comma.
func parseSizes(list string) (sizes []int, err error) {
	for _, word := range strings.Split(list, ",") {
		if word == "" {
			continue
		}
		n, err := strconv.Atoi(word)
		if err != nil || n < minDaemons || n > maxDaemons {
			return nil, fmt.Errorf("%q: want a number of daemons from %d to %d", word, minDaemons, maxDaemons)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// save creates a file and writes it.
func save(path string, write func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
