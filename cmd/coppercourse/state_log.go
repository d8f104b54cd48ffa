package main

// The log lines of a daemon's life: one each time what an operator cares about has
// changed, with a message that says which change it was.

import (
	"github.com/go-logr/logr"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/gateway"
	"coppercourse/internal/types"
)

// daemonState is the part of a daemon's status that is logged when it changes.
type daemonState[S any] interface {
	comparable
	// changeMessage names the change since the previous state.
	changeMessage(previous S) string
	// pairs returns the names and values to log.
	pairs() []any
}

// stateLogger logs the states of one daemon, each once. It is not safe for
// concurrent use.
type stateLogger[S daemonState[S]] struct {
	log    logr.Logger
	last   S
	logged bool
}

// update logs a state unless it is the one that was logged last.
func (sl *stateLogger[S]) update(state S) {
	if sl.logged && state == sl.last {
		return
	}
	sl.log.Info(state.changeMessage(sl.last), state.pairs()...)
	sl.last, sl.logged = state, true
}

// controllerState is what is logged of a controller.
type controllerState struct {
	raftRole    string
	term        types.Term
	leader      types.Addr
	reason      string // why it waits, or why it may not vote or lead
	initialWait bool   // as a new leader: nothing is placed yet
	members     int
	voters      int
	overloaded  bool
	yielded     uint64 // times that it transferred its leadership because of overload
}

func newControllerState(v controller.StatusView) controllerState {
	return controllerState{
		raftRole:    v.RaftRole,
		term:        v.Term,
		leader:      v.Leader,
		reason:      v.Reason,
		initialWait: v.InitialWait != "",
		members:     len(v.Members),
		voters:      v.Members.Voters(),
		overloaded:  v.Overloaded,
		yielded:     v.Counters.OverloadTransfers,
	}
}

// raftRoleMessages are the messages of a controller that takes a role, by the role's
// name in its status.
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

func (c controllerState) pairs() []any {
	return []any{
		"raft_role", c.raftRole, "term", c.term, "leader", c.leader, "reason", c.reason,
		"initial_wait", c.initialWait, "members", c.members, "voters", c.voters,
		"overloaded", c.overloaded, "overload_transfers", c.yielded,
	}
}

// gatewayState is what is logged of a gateway.
type gatewayState struct {
	ready        bool
	leader       types.Addr
	tableVersion types.Version
}

func newGatewayState(v gateway.StatusView) gatewayState {
	return gatewayState{ready: v.Ready, leader: v.Leader, tableVersion: v.TableVersion}
}

func (g gatewayState) changeMessage(previous gatewayState) string {
	switch {
	case g.ready && !previous.ready:
		return "ready for requests"
	case !g.ready && previous.ready:
		return "not ready for requests"
	case g.leader != previous.leader && g.leader == "":
		return "lost contact with leader"
	case g.leader != previous.leader:
		return "following new leader"
	case g.tableVersion != previous.tableVersion:
		return "table in force"
	}
	return "waiting for a leader"
}

func (g gatewayState) pairs() []any {
	return []any{"ready", g.ready, "leader", g.leader, "table_edition", g.tableVersion}
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
	return agentState{health: e.State, term: e.Term, instance: e.Instance, draining: e.Draining}
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

func (a agentState) pairs() []any {
	return []any{"health", a.health, "term", a.term, "instance", a.instance, "draining", a.draining}
}
