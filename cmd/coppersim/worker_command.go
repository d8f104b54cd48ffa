package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/sim/fleet"
	"coppercourse/sim/history"
)

// workerDefault is a worker of the kingston deployment.
const workerDefault = `{"Shard":"k1","Rack":"r1","Kinds":["quote"],"Room":{"cores":4,"memory":1024}}`

// workerCommand is the worker command: one stand-in worker, as the fleet starts them.
type workerCommand struct {
	agent, source, id, history, spec string
}

func addWorker(app *kingpin.Application, commands commandline.Commands) {
	r := &workerCommand{}
	command := app.Command("worker", "Be one stand-in worker; the fleet starts these.")
	command.Flag("agent", "IP:port of its agent.").Required().StringVar(&r.agent)
	command.Flag("source", "Local address of its calls.").StringVar(&r.source)
	command.Flag("id", "Its identity.").Default("worker").StringVar(&r.id)
	command.Flag("history", "File that its history is appended to.").Default("worker.history").StringVar(&r.history)
	command.Flag("make", "What it is, as JSON: name, rack, kinds of task, capacity.").
		Default(workerDefault).StringVar(&r.spec)
	commands["worker"] = r.run
}

func (wr *workerCommand) run() error {
	var spec history.WorkerSpec
	if err := json.Unmarshal([]byte(wr.spec), &spec); err != nil {
		return fmt.Errorf("--make: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	seed := time.Now().UnixNano()
	return fleet.RunWorkerProcess(ctx, spec, wr.id, wr.agent, wr.source, wr.history, seed)
}
