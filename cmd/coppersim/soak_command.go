package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/sim/checker"
	"coppercourse/sim/deployment"
	"coppercourse/sim/fleet"
)

// soakCommand implements the soak command: for each seed it runs a fleet of real processes whose
// clients keep their connections open, with a drawn series of faults that overlap.
type soakCommand struct {
	deployment string
	bin, dir   string
	port       int
	first      int64
	seeds      int
	traffic    time.Duration
	speed      float64
	workers    int // 0 for the deployment's own number
}

func addSoak(app *kingpin.Application, commands commandline.Commands) {
	r := &soakCommand{}
	command := app.Command("soak", "Run fleets of real processes with open connections and overlapping faults.")
	command.Flag("deployment", "kingston or romania.").Default("kingston").
		EnumVar(&r.deployment, "kingston", "romania")
	command.Flag("bin", "The coppercourse program.").Default("bin/coppercourse").ExistingFileVar(&r.bin)
	command.Flag("dir", "Folder for logs, data and histories; seeds without violations leave nothing there.").
		Required().StringVar(&r.dir)
	command.Flag("port", "Port of all daemons, each on its own loopback address.").Default("7500").IntVar(&r.port)
	command.Flag("first", "First seed.").Default("1").Int64Var(&r.first)
	command.Flag("seeds", "Number of seeds.").Default("50").IntVar(&r.seeds)
	command.Flag("for", "Duration of the traffic of each seed.").Default("12s").DurationVar(&r.traffic)
	command.Flag("speed", "Rate of the traffic, as a multiple of the deployment's usual one.").
		Default("1").Float64Var(&r.speed)
	command.Flag("workers", "Number of workers, each with an agent. Default: the deployment's.").IntVar(&r.workers)
	commands["soak"] = r.run
}

// run runs all seeds, prints a line for each and fails if any of them broke a rule.
func (sr *soakCommand) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	broken := 0
	for seed := sr.first; seed < sr.first+int64(sr.seeds) && ctx.Err() == nil; seed++ {
		dir := filepath.Join(sr.dir, fmt.Sprint("seed-", seed))
		violations, err := sr.runSeed(ctx, seed, dir)
		if err == nil && len(violations) == 0 {
			os.RemoveAll(dir)
			continue
		}
		broken++
		fmt.Printf("seed %d: %d rule violations, error: %v; logs in %s\n", seed, len(violations), err, dir)
		for _, violation := range violations[:min(len(violations), maxPrintedViolations)] {
			fmt.Println(violation)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	fmt.Printf("%d seeds, %d with violations or errors\n", sr.seeds, broken)
	if broken > 0 {
		return fmt.Errorf("%d seeds failed", broken)
	}
	return nil
}

// runSeed runs one fleet and returns the violations of the checker's rules.
func (sr *soakCommand) runSeed(ctx context.Context, seed int64, dir string) ([]checker.Violation, error) {
	ctx, end := context.WithTimeout(ctx, sr.traffic+extraTime)
	defer end()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	d := deployment.Named(sr.deployment)
	if sr.workers > 0 {
		d.Size.Workers = sr.workers
	}
	f := &fleet.Fleet{Deployment: d, Dir: dir, Bin: sr.bin, WorkerBin: self, Port: sr.port}
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return nil, err
	}
	if err := f.AwaitReady(startTimeout); err != nil {
		return nil, err
	}
	workload := fleet.NewWorkload(f, seed, sr.speed)
	workload.KeepConnections()
	if _, err := workload.PutTable(f.Deployment.Table()); err != nil {
		return nil, err
	}
	faults := fleet.SoakFaults(seed, sr.traffic)
	fmt.Printf("seed %d: %d processes, %d faults\n", seed, f.ProcessCount(), len(faults))
	runErr := f.RunScenario(workload, sr.traffic, faults)
	violations, err := f.Report(workload)
	if err != nil {
		return nil, err
	}
	return violations, runErr
}
