package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"coppercourse/sim/checker"
	"coppercourse/sim/deployment"
	"coppercourse/sim/fleet"
)

// Limits of a fleet run.
const (
	startTimeout         = 30 * time.Second // until all daemons are ready
	extraTime            = 4 * time.Minute  // in addition to the traffic: start, settling, report
	maxPrintedViolations = 20               // rule violations that are printed
)

// fleetRun is one run of a fleet of real processes with traffic and faults.
type fleetRun struct {
	deployment      string
	bin, dir        string // the coppercourse program; folder for logs, data and histories
	port            int
	workers         int           // 0 for the deployment's own number
	traffic         time.Duration // duration of the traffic
	speed           float64       // multiple of the deployment's usual rates
	idle            time.Duration // duration of the idle measurement before the traffic; 0 for none
	seed            int64         // of the callers
	keepConnections bool          // the callers reuse connections
	faults          []fleet.ScheduledFault
}

// execute runs the fleet and returns the violations of the checker's rules. The error says that the
// run could not start or did not finish.
func (fr *fleetRun) execute(ctx context.Context) ([]checker.Violation, error) {
	ctx, end := context.WithTimeout(ctx, fr.traffic+fr.idle+extraTime)
	defer end()
	f, err := fr.start(ctx)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	workload := fleet.NewWorkload(f, fr.seed, fr.speed)
	if fr.keepConnections {
		workload.KeepConnections()
	}
	if _, err := workload.PutTable(f.Deployment.Table()); err != nil {
		return nil, err
	}
	if err := fr.measureIdle(f); err != nil {
		return nil, err
	}
	runErr := f.RunScenario(workload, fr.traffic, fr.faults)
	violations, err := f.Report(workload)
	if err != nil {
		return nil, err
	}
	printViolations(violations)
	return violations, runErr
}

// start starts the processes and waits until all daemons are ready.
func (fr *fleetRun) start(ctx context.Context) (*fleet.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	d := deployment.Named(fr.deployment)
	if fr.workers > 0 {
		d.Size.Workers = fr.workers
	}
	f := &fleet.Fleet{Deployment: d, Dir: fr.dir, Bin: fr.bin, WorkerBin: self, Port: fr.port}
	if err := f.Start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	startedAt := time.Now()
	if err := f.AwaitReady(startTimeout); err != nil {
		f.Stop()
		return nil, err
	}
	fmt.Printf("%d processes ready after %s; logs in %s\n",
		f.ProcessCount(), time.Since(startedAt).Round(10*time.Millisecond), filepath.Clean(fr.dir))
	return f, nil
}

// measureIdle prints the resource usage of the daemons without traffic.
func (fr *fleetRun) measureIdle(f *fleet.Fleet) error {
	if fr.idle <= 0 {
		return nil
	}
	text, err := f.MeasureIdle(fr.idle)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}

// printViolations prints the first violations.
func printViolations(violations []checker.Violation) {
	for _, violation := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Println(violation)
	}
}
