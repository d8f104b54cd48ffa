package main

// The daemons on the users' platform: settings from the platform's file, the same
// state machines and pages, and beside them the addresses that the platform calls.

import (
	"context"
	"fmt"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/config"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/platform"
)

// addPlatform adds the commands that run or check a daemon on the platform.
func addPlatform(app *kingpin.Application, commands commandSet) {
	c := app.Command("platform", "Run a daemon from the settings file of the platform, or check one.")
	for _, role := range platform.Roles {
		c.Command(role, roleHelp[role])
		commands["platform "+role] = func() error { return runPlatform(role) }
	}
	check := c.Command("check", "Check a settings file and tell what the daemon would do.")
	file := check.Arg("file", "Settings file (YAML).").Required().String()
	commands["platform check"] = func() error {
		b, err := platform.LoadFile("", *file)
		if err == nil {
			fmt.Println(strings.Join(b.Describe(), "\n"))
		}
		return err
	}
}

// runPlatform runs a daemon from the settings file that the platform names.
func runPlatform(role string) error {
	signal.Ignore(syscall.SIGHUP) // until the file is watched
	b, path, err := platform.LoadFromEnvironment(role)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	debug.SetGCPercent(gcPercent(b.DaemonRole()))
	debug.SetMemoryLimit(b.MemoryLimit)
	d := &daemon{ctx: ctx, log: logger(role, b.Daemon), settings: b.Daemon}
	platform.WatchFile(ctx, d.log, path, b, nil)
	platformAdapters[role](b, d)
	return runners[b.DaemonRole()](d)
}

// How far the heap grows between two collections, in percent. For gateways and agents,
// half of Go's default costs a tenth more processor time and saves memory. A controller
// that leads allocates tens of megabytes a second beside a small heap, so that it would
// collect 25 times a second, with processor time that its heartbeats need.
const (
	gcPercentSmall      = 50
	gcPercentController = 200
)

func gcPercent(machine string) int {
	if machine == "controller" {
		return gcPercentController
	}
	return gcPercentSmall
}

// maxPeerConnections bounds the connections to an address that only operators or one worker
// call.
const maxPeerConnections = 256

// platformAdapters adds to the daemon of each role the addresses that the platform calls.
var platformAdapters = map[string]func(platform.Settings, *daemon){
	"gateway": func(b platform.Settings, d *daemon) {
		var front *platform.GatewayHandler
		d.publishTable = func(t config.Table, confirmedUntil types.MonoTime) { front.Publish(t, confirmedUntil) }
		d.platformPorts = func(p *server.Handlers) []server.Endpoint {
			front = platform.NewGatewayHandler(p.Loop)
			return []server.Endpoint{{Addr: b.FrontAddr, Handler: front, Limits: front.Limits, MaxConns: d.settings.MaxConns},
				{Addr: b.ReadinessAddr, Handler: platform.ReadinessHandler(p.IsReady), MaxConns: maxPeerConnections}}
		}
	},
	"controller": func(b platform.Settings, d *daemon) {
		d.platformPorts = func(p *server.Handlers) []server.Endpoint {
			return []server.Endpoint{{Addr: b.ControlAddr, Handler: platform.NewControlHandler(p.Loop, b.ControlAddr).Handler(), MaxConns: maxPeerConnections}}
		}
	},
	"agent": func(b platform.Settings, d *daemon) {
		d.workerCaller = platform.NewWorkerClient().Call
		d.platformPorts = func(p *server.Handlers) []server.Endpoint {
			return []server.Endpoint{{Addr: b.ControlAddr, Handler: platform.NewAgentHandler(p.Loop, b.WorkerAddr).Handler(), MaxConns: maxPeerConnections}}
		}
	},
}
