package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/sim/fleet"
)

// soakCommand implements the soak command: for each seed it runs a fleet of real processes whose
// clients keep their connections open, with a drawn series of faults that overlap.
type soakCommand struct {
	fleetRun
	first int64
	seeds int
}

func addSoak(app *kingpin.Application, commands commandline.Commands) {
	r := &soakCommand{fleetRun: fleetRun{keepConnections: true}}
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

// run runs all seeds and fails if any of them broke a rule or did not finish.
func (sc *soakCommand) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := 0
	for seed := sc.first; seed < sc.first+int64(sc.seeds) && ctx.Err() == nil; seed++ {
		if !sc.runSeed(ctx, seed) {
			failed++
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	fmt.Printf("%d seeds, %d with violations or errors\n", sc.seeds, failed)
	if failed > 0 {
		return fmt.Errorf("%d seeds failed", failed)
	}
	return nil
}

// runSeed runs one fleet and reports whether it finished and broke no rule.
func (sc *soakCommand) runSeed(ctx context.Context, seed int64) bool {
	seedRun := sc.fleetRun
	seedRun.seed = seed
	seedRun.dir = filepath.Join(sc.dir, fmt.Sprint("seed-", seed))
	seedRun.faults = fleet.SoakFaults(seed, sc.traffic)
	violations, err := seedRun.execute(ctx)
	fmt.Printf("seed %d: %d faults, %d rule violations, error: %v\n", seed, len(seedRun.faults), len(violations), err)
	if err != nil || len(violations) > 0 {
		return false
	}
	os.RemoveAll(seedRun.dir)
	return true
}
