package main

import (
	"context"
	"sync/atomic"

	"github.com/go-logr/logr"

	"coppercourse/internal/gateway"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/platform"
)

// runGateway runs a gateway.
func (d *daemon) runGateway(ctx context.Context) error {
	s := d.settings
	machine := gateway.New(server.Now(), randomSource(), gateway.Options{
		Addr:       s.AdvertisedAddr(),
		Zone:       s.ZoneName(),
		Seeds:      s.SeedAddrs(),
		Build:      version,
		StaleAfter: s.Timeouts.StaleAfter(),
	})
	observer := newGatewayObserver(machine, d.log)
	loop := server.NewEventLoop(server.Config{
		Machine:  machine,
		Observer: observer,
		Sender:   server.NewSender(s.Source),
		Logger:   d.log,
	})
	handlers := server.NewHandlers(loop, machine.Trace)
	observer.platformClients = d.newPlatformClients(loop)
	endpoints := d.platformEndpoints(handlers, observer.platformClients)
	return d.serve(ctx, handlers, observer.clients.Routes(handlers), endpoints)
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

func (g gatewayState) keysAndValues() []any {
	return []any{"ready", g.ready, "leader", g.leader, "table_edition", g.tableVersion}
}
