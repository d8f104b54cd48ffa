package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/sim/fleet"
)

// fleetCommand implements the fleet command: it runs a deployment of real processes on loopback
// with traffic and faults, and checks the history.
type fleetCommand struct {
	fleetRun
	faultList string
}

func addFleet(app *kingpin.Application, commands commandline.Commands) {
	r := &fleetCommand{}
	command := app.Command("fleet", "Run a deployment of real processes with traffic and faults, and check it.")
	command.Flag("deployment", "kingston or romania.").Default("kingston").
		EnumVar(&r.deployment, "kingston", "romania")
	command.Flag("bin", "The coppercourse program.").Default("bin/coppercourse").ExistingFileVar(&r.bin)
	command.Flag("dir", "Folder for logs, data and histories. Default: a new one.").StringVar(&r.dir)
	command.Flag("port", "Port of all daemons, each on its own loopback address.").Default("7400").IntVar(&r.port)
	command.Flag("for", "Duration of the traffic.").Default("30s").DurationVar(&r.traffic)
	command.Flag("speed", "Rate of the traffic, as a multiple of the deployment's usual one.").
		Default("1").Float64Var(&r.speed)
	command.Flag("idle", "Time without traffic at the start, in which the daemons' resource usage is measured.").
		DurationVar(&r.idle)
	command.Flag("seed", "Random seed of the callers.").Default("1").Int64Var(&r.seed)
	command.Flag("faults", "Faults, comma-separated, as NAME@START+DURATION.").StringVar(&r.faultList)
	commands["fleet"] = r.run
}

// run starts the fleet, runs the traffic and faults, and reports the result.
func (fc *fleetCommand) run() error {
	var err error
	if fc.faults, err = fleet.ParseFaults(fc.faultList); err != nil {
		return err
	}
	if fc.dir == "" {
		if fc.dir, err = os.MkdirTemp("", "fleet"); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	violations, err := fc.execute(ctx)
	if err != nil {
		return err
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d rule violations", len(violations))
	}
	fmt.Println("no rule violations")
	return nil
}
