package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/membership"
	"coppercourse/internal/server"
	"coppercourse/internal/settings"
	"coppercourse/internal/wal"
	"coppercourse/platform"
)

// daemon is one daemon to run.
type daemon struct {
	log      logr.Logger
	settings settings.Settings
	adapt    func(*server.Handlers) platformAdapter // nil unless it runs on the platform
}

// platformAdapter is what the adapter to the users' platform adds to a daemon. Its zero
// value adds nothing.
type platformAdapter struct {
	endpoints  []server.Endpoint        // addresses that the platform calls
	clients    *platform.GatewayHandler // of a gateway: gets each table
	callWorker server.WorkerCaller      // of an agent: calls the worker
}

func newDaemon(role string, s settings.Settings) *daemon {
	return &daemon{log: newLogger(role, s), settings: s}
}

// newLogger returns a logger that writes one JSON object a line to standard error.
func newLogger(role string, s settings.Settings) logr.Logger {
	options := funcr.Options{LogTimestamp: true}
	if s.Log == "debug" {
		options.Verbosity = 1
	}
	write := func(line string) { fmt.Fprintln(os.Stderr, line) }
	return funcr.NewJSON(write, options).WithName(role).WithValues("address", s.Address)
}

// run runs the daemon until the context ends and all that was accepted is answered.
func (d *daemon) run(ctx context.Context, role string) error {
	switch role {
	case membership.RoleController:
		return d.runController(ctx)
	case membership.RoleGateway:
		return d.runGateway(ctx)
	default:
		return d.runAgent(ctx)
	}
}

// runController runs a controller on its write-ahead log.
func (d *daemon) runController(ctx context.Context) error {
	s := d.settings
	file, records, err := server.OpenLog(ctx, d.log, wal.OSStorage{}, s.Data, s.Listen)
	if err != nil {
		return nil // stopped while it waited for its disk
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
	}, records)
	sender := server.NewSender(context.Background(), s.Source)
	loop := server.NewEventLoop(sender, file)
	loop.SetMachine(machine)
	states := stateLogger[controllerState]{log: d.log}
	loop.Status = func() any {
		status := machine.Status()
		states.update(newControllerState(status))
		return status
	}
	var ready atomic.Bool
	loop.AfterStep = func() { ready.Store(machine.Ready()) }
	handlers := &server.Handlers{Loop: loop, Sender: sender, Trace: machine.Trace, Ready: ready.Load}
	return d.serve(ctx, handlers, handlers.Router(), d.platformAdapter(handlers))
}

// runGateway runs a gateway.
func (d *daemon) runGateway(ctx context.Context) error {
	s := d.settings
	machine := gateway.New(server.Now(), randomSource(), gateway.Options{
		Addr:         s.AdvertisedAddr(),
		Zone:         s.ZoneName(),
		Seeds:        s.SeedAddrs(),
		BuildVersion: version,
		StaleAfter:   s.Timeouts.StaleAfter(),
	})
	sender := server.NewSender(context.Background(), s.Source)
	loop := server.NewEventLoop(sender, nil)
	loop.SetMachine(machine)
	states := stateLogger[gatewayState]{log: d.log}
	loop.Status = func() any {
		status := machine.Status()
		states.update(newGatewayState(status))
		return status
	}
	var ready atomic.Bool
	handlers := &server.Handlers{Loop: loop, Sender: sender, Trace: machine.Trace, Ready: ready.Load}
	clients := &server.GatewayHandlers{}
	adapter := d.platformAdapter(handlers)
	loop.AfterStep = func() {
		ready.Store(machine.Ready())
		table, _ := machine.Table()
		clients.PublishTable(table, machine.ConfirmedUntil())
		if adapter.clients != nil {
			adapter.clients.Publish(table, machine.ConfirmedUntil())
		}
	}
	return d.serve(ctx, handlers, clients.Routes(handlers), adapter)
}

// runAgent runs the agent of one worker.
func (d *daemon) runAgent(ctx context.Context) error {
	s := d.settings
	machine := agent.New(server.Now(), randomSource(), agent.Options{
		Addr:         s.AdvertisedAddr(),
		Zone:         s.ZoneName(),
		Shard:        s.ShardName(),
		Seeds:        s.SeedAddrs(),
		BuildVersion: version,
		Timeouts:     s.Dispatch(),
	})
	sender := server.NewSender(context.Background(), s.Source)
	loop := server.NewEventLoop(sender, nil)
	loop.SetMachine(machine)
	states := stateLogger[agentState]{log: d.log}
	loop.Status = func() any {
		status := machine.Status()
		states.update(newAgentState(status))
		return status
	}
	handlers := &server.Handlers{Loop: loop, Sender: sender, Trace: machine.Trace, Ready: func() bool { return true }}
	adapter := d.platformAdapter(handlers)
	loop.CallWorker = adapter.callWorker
	router := handlers.Router()
	router.HandleFunc("/v1/poll", handlers.RequestHandler("poll")).Methods(http.MethodPost)
	return d.serve(ctx, handlers, router, adapter)
}

// platformAdapter returns what the platform adds to the daemon.
func (d *daemon) platformAdapter(handlers *server.Handlers) platformAdapter {
	if d.adapt == nil {
		return platformAdapter{}
	}
	return d.adapt(handlers)
}

// serve serves the daemon's own address and those of the platform until the context ends.
func (d *daemon) serve(
	ctx context.Context, handlers *server.Handlers, routes http.Handler, adapter platformAdapter,
) error {
	own := server.Endpoint{Addr: d.settings.Listen, Handler: routes, MaxConns: d.settings.MaxConns}
	endpoints := append([]server.Endpoint{own}, adapter.endpoints...)
	shutdown := server.NewShutdownTiming(d.settings.Bounds.ShutdownTimes())
	return server.Serve(ctx, d.log, handlers, shutdown, endpoints...)
}

// randomSource returns a random source with a seed of the operating system's.
func randomSource() *rand.Rand {
	var seed [8]byte
	crand.Read(seed[:]) // never fails
	return rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(seed[:]))))
}
