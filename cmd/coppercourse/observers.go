package main

import (
	"sync/atomic"

	"github.com/go-logr/logr"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/server"
	"coppercourse/platform"
)

// controllerObserver publishes whether a controller is ready, and logs its state.
type controllerObserver struct {
	machine *controller.Controller
	states  stateLogger[controllerState]
	ready   atomic.Bool
}

func newControllerObserver(machine *controller.Controller, log logr.Logger) *controllerObserver {
	return &controllerObserver{machine: machine, states: stateLogger[controllerState]{log: log}}
}

// AfterStep implements server.Observer.
func (co *controllerObserver) AfterStep() { co.ready.Store(co.machine.Ready()) }

// Ready implements server.Observer.
func (co *controllerObserver) Ready() bool { return co.ready.Load() }

// Status implements server.Observer.
func (co *controllerObserver) Status() any {
	status := co.machine.Status()
	co.states.update(newControllerState(status))
	return status
}

// gatewayObserver publishes whether a gateway is ready and the table that requests are
// checked against, and logs its state.
type gatewayObserver struct {
	machine         *gateway.Gateway
	clients         *server.GatewayHandlers
	platformClients *platform.GatewayHandler // nil unless the gateway runs on the platform
	states          stateLogger[gatewayState]
	ready           atomic.Bool
}

func newGatewayObserver(machine *gateway.Gateway, log logr.Logger) *gatewayObserver {
	return &gatewayObserver{
		machine: machine,
		clients: &server.GatewayHandlers{},
		states:  stateLogger[gatewayState]{log: log},
	}
}

// AfterStep implements server.Observer.
func (g *gatewayObserver) AfterStep() {
	g.ready.Store(g.machine.Ready())
	table, _ := g.machine.Table()
	confirmedUntil := g.machine.ConfirmedUntil()
	g.clients.PublishTable(table, confirmedUntil)
	if g.platformClients != nil {
		g.platformClients.Publish(table, confirmedUntil)
	}
}

// Ready implements server.Observer.
func (g *gatewayObserver) Ready() bool { return g.ready.Load() }

// Status implements server.Observer.
func (g *gatewayObserver) Status() any {
	status := g.machine.Status()
	g.states.update(newGatewayState(status))
	return status
}

// agentObserver logs an agent's state. An agent is always ready: only its worker calls it.
type agentObserver struct {
	machine *agent.Agent
	states  stateLogger[agentState]
}

func newAgentObserver(machine *agent.Agent, log logr.Logger) *agentObserver {
	return &agentObserver{machine: machine, states: stateLogger[agentState]{log: log}}
}

// AfterStep implements server.Observer.
func (*agentObserver) AfterStep() {}

// Ready implements server.Observer.
func (*agentObserver) Ready() bool { return true }

// Status implements server.Observer.
func (ao *agentObserver) Status() any {
	status := ao.machine.Status()
	ao.states.update(newAgentState(status))
	return status
}
