package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net/http"
	"os"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/membership"
	"coppercourse/internal/server"
	"coppercourse/internal/settings"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
	"coppercourse/platform"
)

// daemon is one daemon to run.
type daemon struct {
	log      logr.Logger
	settings settings.Settings

	// On the platform only, else nil.
	adapt      func(*server.Handlers) platformAdapter
	callWorker server.WorkerCaller // of an agent
}

// platformAdapter is what the adapter to the users' platform adds to a daemon. Its zero
// value adds nothing.
type platformAdapter struct {
	endpoints []server.Endpoint        // addresses that the platform calls
	clients   *platform.GatewayHandler // of a gateway: gets each table
}

func newDaemon(role membership.Role, s settings.Settings) *daemon {
	return &daemon{log: newLogger(role, s), settings: s}
}

// newLogger returns a logger that writes one JSON object a line to standard error.
func newLogger(role membership.Role, s settings.Settings) logr.Logger {
	options := funcr.Options{LogTimestamp: true}
	if s.Log == "debug" {
		options.Verbosity = 1
	}
	write := func(line string) { fmt.Fprintln(os.Stderr, line) }
	return funcr.NewJSON(write, options).WithName(string(role)).WithValues("address", s.Address)
}

// run runs the daemon until the context ends and all that was accepted is answered.
func (d *daemon) run(ctx context.Context, role membership.Role) error {
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
	loop := server.NewEventLoop(server.Config{
		Machine:  machine,
		Observer: newControllerObserver(machine, d.log),
		Sender:   server.NewSender(s.Source),
		Log:      file,
		Logger:   d.log,
	})
	handlers := server.NewHandlers(loop, machine.Trace)
	return d.serve(ctx, handlers, handlers.Router(), d.platformAdapter(handlers))
}

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
	adapter := d.platformAdapter(handlers)
	observer.platformClients = adapter.clients
	return d.serve(ctx, handlers, observer.clients.Routes(handlers), adapter)
}

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
		Worker:   d.callWorker,
		Logger:   d.log,
	})
	handlers := server.NewHandlers(loop, machine.Trace)
	router := handlers.Router()
	router.HandleFunc("/v1/poll", handlers.RequestHandler(wire.VerbPoll)).Methods(http.MethodPost)
	return d.serve(ctx, handlers, router, d.platformAdapter(handlers))
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
