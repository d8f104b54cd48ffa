package main

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/go-logr/logr"

	"coppercourse/internal/agent"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/platform"
)

// runAgent runs the agent of one worker.
func (d *daemon) runAgent(ctx context.Context) error {
	s := d.settings
	machine := agent.New(server.Now(), randomSource(), agent.Options{
		Addr:     s.AdvertisedAddr(),
		Zone:     s.ZoneName(),
		Shard:    s.ShardName(),
		Seeds:    s.SeedAddrs(),
		Build:    version,
		Timeouts: s.Dispatch(),
	})
	loop := server.NewEventLoop(server.Config{
		Machine:  machine,
		Observer: newAgentObserver(machine, d.log),
		Sender:   server.NewSender(s.Source),
		Worker:   d.workerCaller(),
		Logger:   d.log,
	})
	handlers := server.NewHandlers(loop, machine.Trace)
	router := handlers.Router()
	router.HandleFunc("/v1/poll", handlers.RequestHandler(wire.VerbPoll)).Methods(http.MethodPost)
	return d.serve(ctx, handlers, router, d.platformEndpoints(handlers, nil))
}

// workerCaller returns what calls the worker of an agent, or nil if the worker polls.
func (d *daemon) workerCaller() server.WorkerCaller {
	if d.platform == nil {
		return nil
	}
	return platform.NewWorkerClient()
}

// agentObserver publishes whether an agent is ready, and logs its state.
type agentObserver struct {
	machine *agent.Agent
	ready   atomic.Bool
	states  stateLogger[agentState]
}

func newAgentObserver(machine *agent.Agent, log logr.Logger) *agentObserver {
	return &agentObserver{machine: machine, states: stateLogger[agentState]{log: log}}
}

// AfterStep implements server.Observer.
func (ao *agentObserver) AfterStep() { ao.ready.Store(ao.machine.Ready()) }

// Ready implements server.Observer.
func (ao *agentObserver) Ready() bool { return ao.ready.Load() }

// Status implements server.Observer.
func (ao *agentObserver) Status() any {
	status := ao.machine.Status()
	ao.states.update(newAgentState(status))
	return status
}

// agentState is what is logged of an agent.
type agentState struct {
	health   protocol.Health
	term     types.Term
	instance types.ID
	draining bool
}

func newAgentState(v agent.StatusView) agentState {
	e := v.Executor
	return agentState{health: e.State, term: e.Term, instance: e.Instance, draining: e.Departing}
}

func (a agentState) changeMessage(previous agentState) string {
	switch {
	case a.instance != previous.instance:
		return "started as new instance"
	case a.draining && !previous.draining:
		return "worker is draining"
	case !a.draining && previous.draining:
		return "worker takes tasks again"
	case a.health != previous.health:
		return "worker health changed"
	}
	return "accepted new term"
}

func (a agentState) keysAndValues() []any {
	return []any{"health", a.health, "term", a.term, "instance", a.instance, "draining", a.draining}
}
