package main

import (
	"context"
	"sync/atomic"

	"github.com/go-logr/logr"

	"coppercourse/internal/controller"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/internal/wal"
)

// runController runs a controller on its write-ahead log.
func (d *daemon) runController(ctx context.Context) error {
	s := d.settings
	file, records, err := server.OpenLog(ctx, d.log, wal.OSStorage{}, s.Data, s.Listen)
	if err != nil {
		return nil // shut down while waiting for the disk
	}
	machine := controller.New(server.Now(), randomSource(), controller.Options{
		Addr:             s.AdvertisedAddr(),
		Zone:             s.ZoneName(),
		Seeds:            s.SeedAddrs(),
		Build:            version,
		Bootstrap:        s.Bootstrap(),
		LossTolerance:    s.MaxLosses,
		RaftTimeouts:     s.Timeouts.Raft(),
		DispatchTimeouts: s.Timeouts.Dispatch(),
		RemoteSlowdown:   s.Bounds.RemoteSlowdown,
		QuotaExcess:      s.Bounds.QuotaExcess,
	}, records)
	loop := server.NewEventLoop(server.Config{
		Machine:  machine,
		Observer: newControllerObserver(machine, d.log),
		Sender:   server.NewSender(s.Source),
		Log:      file,
		Logger:   d.log,
	})
	handlers := server.NewHandlers(loop, machine.Trace)
	return d.serve(ctx, handlers, handlers.Router(), d.platformEndpoints(handlers, nil))
}

// controllerObserver publishes the readiness of a controller and logs its state changes.
type controllerObserver struct {
	machine *controller.Controller
	log     logr.Logger
	states  stateLogger[controllerState]
	tenants tenantLogger
	ready   atomic.Bool
}

func newControllerObserver(machine *controller.Controller, log logr.Logger) *controllerObserver {
	return &controllerObserver{
		machine: machine,
		log:     log,
		states:  stateLogger[controllerState]{log: log},
		tenants: tenantLogger{log: log},
	}
}

// AfterStep implements server.Observer.
func (co *controllerObserver) AfterStep() {
	co.ready.Store(co.machine.Ready())
	for _, s := range co.machine.TakeStalledJobs() {
		co.log.Info("job is stalled", "job", s.Job, "reason", s.Reason, "detail", s.Detail,
			"idle_ms", s.Idle.Milliseconds(), "tasks_ready", s.ReadyTasks, "tasks_unconfirmed", s.Outstanding)
	}
}

// Ready implements server.Observer.
func (co *controllerObserver) Ready() bool { return co.ready.Load() }

// Status implements server.Observer.
func (co *controllerObserver) Status() any {
	status := co.machine.Status()
	co.states.update(newControllerState(status))
	co.tenants.update(co.machine.Table())
	return status
}

// controllerState is the part of a controller's status that is logged.
type controllerState struct {
	raftRole          string
	term              types.Term
	leader            types.Addr
	reason            string // why it is waiting, or cannot vote or lead
	initialWait       bool   // a new leader does not place tasks yet
	members           int
	voters            int
	overloaded        bool
	overloadTransfers uint64 // leadership transfers caused by overload
}

func newControllerState(v controller.StatusView) controllerState {
	return controllerState{
		raftRole:          v.RaftRole,
		term:              v.Term,
		leader:            v.Leader,
		reason:            v.Reason,
		initialWait:       v.InitialWait != "",
		members:           len(v.Members),
		voters:            v.Members.Voters(),
		overloaded:        v.Overloaded,
		overloadTransfers: v.Counters.OverloadTransfers,
	}
}

// raftRoleMessages maps a raft role, as named in the status, to the message logged when a
// controller assumes it.
var raftRoleMessages = map[string]string{
	"empty":     "waiting for bootstrap",
	"learner":   "became learner",
	"follower":  "became follower",
	"candidate": "became candidate",
	"leader":    "became leader",
	"out":       "removed from cluster",
}

func (c controllerState) changeMessage(previous controllerState) string {
	switch {
	case c.raftRole != previous.raftRole && raftRoleMessages[c.raftRole] != "":
		return raftRoleMessages[c.raftRole]
	case c.leader != previous.leader && c.leader == "":
		return "lost contact with leader"
	case c.leader != previous.leader:
		return "following new leader"
	case c.members != previous.members || c.voters != previous.voters:
		return "membership changed"
	case c.overloaded && !previous.overloaded:
		return "overloaded"
	case !c.overloaded && previous.overloaded:
		return "no longer overloaded"
	case !c.initialWait && previous.initialWait:
		return "started placing tasks"
	}
	return "controller state changed"
}

func (c controllerState) keysAndValues() []any {
	return []any{
		"raft_role", c.raftRole, "term", c.term, "leader", c.leader, "reason", c.reason,
		"initial_wait", c.initialWait, "members", c.members, "voters", c.voters,
		"overloaded", c.overloaded, "overload_transfers", c.overloadTransfers,
	}
}
