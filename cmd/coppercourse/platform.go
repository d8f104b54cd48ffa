package main

import (
	"context"
	"fmt"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/membership"
	"coppercourse/internal/server"
	"coppercourse/platform"
)

// addPlatform adds the commands that run or check a daemon on the users' platform.
func addPlatform(app *kingpin.Application, commands commandSet) {
	command := app.Command("platform", "Run a daemon from the settings file of the platform, or check such a file.")
	for _, role := range platform.Roles {
		command.Command(string(role), roleHelp[role]+" $"+platform.SettingsFileVariable+" names its settings file.")
		commands["platform "+string(role)] = func() error { return runPlatform(role) }
	}
	check := command.Command("check", "Check a settings file of the platform and print what the daemon would do.")
	file := check.Arg("file", "Settings file (YAML).").Required().String()
	commands["platform check"] = func() error {
		s, err := platform.LoadFile("", *file)
		if err == nil {
			fmt.Println(strings.Join(s.Describe(), "\n"))
		}
		return err
	}
}

// runPlatform runs a daemon from the settings file that the platform names.
func runPlatform(role membership.Role) error {
	signal.Ignore(syscall.SIGHUP) // until the file is watched
	s, path, err := platform.LoadFromEnvironment(role)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	debug.SetGCPercent(gcPercent(s.DaemonRole()))
	debug.SetMemoryLimit(s.MemoryLimit)
	d := newDaemon(role, s.Daemon)
	d.adapt = func(handlers *server.Handlers) platformAdapter { return newPlatformAdapter(s, handlers) }
	if s.Role == membership.RoleAgent {
		d.callWorker = platform.NewWorkerClient()
	}
	platform.WatchFile(ctx, d.log, path, s, nil)
	return d.run(ctx, s.DaemonRole())
}

// How far the heap grows between two collections, in percent. For gateways and agents,
// half of Go's default costs a tenth more processor time and saves memory. A controller
// that leads allocates tens of megabytes a second beside a small heap, so that it would
// collect 25 times a second, with processor time that its heartbeats need.
const (
	gcPercentSmall      = 50
	gcPercentController = 200
)

func gcPercent(role membership.Role) int {
	if role == membership.RoleController {
		return gcPercentController
	}
	return gcPercentSmall
}

// maxPeerConnections bounds the connections to an address that only operators or one
// worker call.
const maxPeerConnections = 256

// newPlatformAdapter returns what the platform adds to a daemon. Its role in the settings
// decides: a controller without a disk runs as a gateway, and still serves the operator.
func newPlatformAdapter(s platform.Settings, handlers *server.Handlers) platformAdapter {
	switch s.Role {
	case membership.RoleGateway:
		clients := platform.NewGatewayHandler(handlers.Loop)
		return platformAdapter{clients: clients, endpoints: []server.Endpoint{
			{Addr: s.FrontAddr, Handler: clients, Limits: clients, MaxConns: s.Daemon.MaxConns},
			{Addr: s.ReadinessAddr, Handler: platform.ReadinessHandler(handlers.IsReady), MaxConns: maxPeerConnections},
		}}
	case membership.RoleController:
		operator := platform.NewControlHandler(handlers.Loop, s.ControlAddr)
		return platformAdapter{endpoints: []server.Endpoint{
			{Addr: s.ControlAddr, Handler: operator.Handler(), MaxConns: maxPeerConnections},
		}}
	default:
		worker := platform.NewAgentHandler(handlers.Loop, s.WorkerAddr)
		return platformAdapter{endpoints: []server.Endpoint{
			{Addr: s.ControlAddr, Handler: worker.Handler(), MaxConns: maxPeerConnections},
		}}
	}
}
