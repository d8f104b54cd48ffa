package main

// The three daemons: each reads and checks its settings, makes its state machine
// and its HTTP pages, and serves them until it is asked to stop.

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"coppercourse/internal/agent"
	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/membership"
	"coppercourse/internal/server"
	"coppercourse/internal/settings"
	"coppercourse/internal/types"
	"coppercourse/internal/wal"
)

// flags are the command-line flags of a daemon. A flag goes before the settings
// file.
type flags struct {
	file, listen, address, source, zone, data, shard, log string
	seeds                                                 []string
	check                                                 bool
}

// roleHelp are the roles of a daemon, with their help texts.
var roleHelp = map[string]string{
	membership.RoleController: "Run a control and scheduler daemon (on a machine with a disk).",
	membership.RoleGateway:    "Run an entry for callers and operators.",
	membership.RoleAgent:      "Run the daemon beside a worker.",
}

// runners runs the daemon of each role.
var runners = map[string]func(*daemon) error{
	membership.RoleController: runController,
	membership.RoleGateway:    runGateway,
	membership.RoleAgent:      runAgent,
}

// addDaemons adds a command for each role.
func addDaemons(app *kingpin.Application, commands commandSet) {
	for _, role := range []string{membership.RoleController, membership.RoleGateway, membership.RoleAgent} {
		c := app.Command(role, roleHelp[role])
		f := &flags{}
		c.Flag("settings", "Settings file (JSON); flags go before it.").StringVar(&f.file)
		c.Flag("listen", "IP:port to listen on. Default 127.0.0.1:7400.").StringVar(&f.listen)
		c.Flag("address", "IP:port by which others reach this daemon. Default: listen.").StringVar(&f.address)
		c.Flag("source", "IP from which this daemon calls others.").StringVar(&f.source)
		c.Flag("locality", "The zone this daemon is in.").StringVar(&f.zone)
		c.Flag("seed", "IP:port of another daemon, any role; give it up to three times.").StringsVar(&f.seeds)
		c.Flag("log", "info or debug. Default info.").StringVar(&f.log)
		c.Flag("check", "Check the settings and end.").BoolVar(&f.check)
		if role == membership.RoleController {
			c.Flag("data", "Folder for everything this daemon keeps.").StringVar(&f.data)
		}
		if role == membership.RoleAgent {
			c.Flag("shard", "The name of the worker beside this daemon.").StringVar(&f.shard)
		}
		commands[role] = func() error { return run(role, f) }
	}
}

// settings returns the settings of a daemon, from flags, file and defaults.
func (f *flags) settings(role string) (settings.Settings, error) {
	s, errs := settings.Defaults(), &apierror.ErrorList{}
	if f.file != "" {
		b, err := os.ReadFile(f.file)
		if err != nil {
			return s, apierror.Wrap(apierror.BadSetting, err, "settings file")
		}
		settings.Read(b, &s, errs)
	}
	f.override(&s)
	s.Validate(role, errs)
	return s, errs.Err()
}

// override puts the flags that were given in the place of settings.
func (f *flags) override(s *settings.Settings) {
	for _, p := range []struct {
		to   *string
		from string
	}{{&s.Listen, f.listen}, {&s.Address, f.address}, {&s.Source, f.source}, {&s.Zone, f.zone},
		{&s.Data, f.data}, {&s.Shard, f.shard}, {&s.Log, f.log}} {
		if p.from != "" {
			*p.to = p.from
		}
	}
	if f.seeds != nil {
		s.Seeds = f.seeds
	}
}

// run starts a daemon, or with --check only reads its settings.
func run(role string, f *flags) error {
	s, err := f.settings(role)
	if err != nil {
		return err
	}
	if f.check {
		fmt.Println("settings are fine")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runners[role](&daemon{ctx: ctx, log: logger(role, s), settings: s})
}

// logger returns a logger that writes one JSON object a line to standard error.
func logger(role string, s settings.Settings) logr.Logger {
	level := 0
	if s.Log == "debug" {
		level = 1
	}
	return funcr.NewJSON(func(line string) { fmt.Fprintln(os.Stderr, line) }, funcr.Options{LogTimestamp: true, Verbosity: level}).
		WithName(role).WithValues("address", s.Address)
}

// randomSource returns a random source with a seed of the operating system's.
func randomSource() *rand.Rand {
	var b [8]byte
	crand.Read(b[:])
	return rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(b[:]))))
}

// daemon is one daemon to run, and what the platform's adapter adds to it.
type daemon struct {
	ctx           context.Context
	log           logr.Logger
	settings      settings.Settings
	platformPorts func(*server.Handlers) []server.Endpoint            // further addresses to listen on
	publishTable  func(t config.Table, confirmedUntil types.MonoTime) // gateway: takes each table, and until when it may be used
	workerCaller  server.WorkerCaller                                 // agent: calls the worker
}

// serve runs the daemon's pages on its own address and on those of the platform
// until the context ends.
func (d *daemon) serve(p *server.Handlers, h http.Handler) error {
	ports := []server.Endpoint{{Addr: d.settings.Listen, Handler: h, MaxConns: d.settings.MaxConns}}
	if d.platformPorts != nil {
		ports = append(ports, d.platformPorts(p)...)
	}
	return server.Serve(d.ctx, d.log, p, server.NewShutdownTiming(d.settings.Bounds.ShutdownTimes()), ports...)
}

// runController runs a controller on its write-ahead log.
func runController(d *daemon) error {
	s := d.settings
	file, records, err := server.OpenLog(d.ctx, d.log, wal.OSStorage{}, s.Data, s.Listen)
	if err != nil {
		return nil // stopped while it waited for its disk
	}
	post := server.NewSender(context.Background(), s.Source)
	o := server.NewEventLoop(post, file)
	options := controller.Options{
		Addr: s.AdvertisedAddr(), Zone: s.ZoneName(), Seeds: s.SeedAddrs(), Build: version,
		Bootstrap: s.Bootstrap(), LossTolerance: s.MaxLosses, RaftTimeouts: s.Timeouts.Raft(), DispatchTimeouts: s.Timeouts.Dispatch(),
	}
	m := controller.New(server.Now(), randomSource(), options, records)
	o.SetMachine(m)
	var ready atomic.Bool
	states := stateLogger[controllerState]{log: d.log}
	o.Status = func() any {
		v := m.Status()
		states.update(newControllerState(v))
		return v
	}
	o.AfterStep = func() { ready.Store(m.Ready()) }
	p := &server.Handlers{Loop: o, Sender: post, Trace: m.Trace, Ready: ready.Load}
	return d.serve(p, p.Router())
}

// runGateway runs a gateway.
func runGateway(d *daemon) error {
	s := d.settings
	post := server.NewSender(context.Background(), s.Source)
	o := server.NewEventLoop(post, nil)
	place := gateway.Options{Addr: s.AdvertisedAddr(), Zone: s.ZoneName(), Seeds: s.SeedAddrs(), BuildVersion: version, StaleAfter: s.Timeouts.StaleAfter()}
	m := gateway.New(server.Now(), randomSource(), place)
	o.SetMachine(m)
	var ready atomic.Bool
	states := stateLogger[gatewayState]{log: d.log}
	o.Status = func() any {
		v := m.Status()
		states.update(newGatewayState(v))
		return v
	}
	entry := &server.GatewayHandlers{}
	o.AfterStep = func() {
		ready.Store(m.Ready())
		t, _ := m.Table()
		entry.PublishTable(t, m.ConfirmedUntil())
		if d.publishTable != nil {
			d.publishTable(t, m.ConfirmedUntil())
		}
	}
	p := &server.Handlers{Loop: o, Sender: post, Trace: m.Trace, Ready: ready.Load}
	return d.serve(p, entry.Routes(p))
}

// runAgent runs the agent of one worker.
func runAgent(d *daemon) error {
	s := d.settings
	post := server.NewSender(context.Background(), s.Source)
	o := server.NewEventLoop(post, nil)
	place := agent.Options{
		Addr: s.AdvertisedAddr(), Zone: s.ZoneName(), Shard: s.ShardName(), Seeds: s.SeedAddrs(), BuildVersion: version, Timeouts: s.Dispatch(),
	}
	m := agent.New(server.Now(), randomSource(), place)
	o.SetMachine(m)
	o.CallWorker = d.workerCaller
	states := stateLogger[agentState]{log: d.log}
	o.Status = func() any {
		v := m.Status()
		states.update(newAgentState(v))
		return v
	}
	p := &server.Handlers{Loop: o, Sender: post, Trace: m.Trace, Ready: func() bool { return true }}
	r := p.Router()
	r.HandleFunc("/v1/poll", p.RequestHandler("poll")).Methods("POST")
	return d.serve(p, r)
}
