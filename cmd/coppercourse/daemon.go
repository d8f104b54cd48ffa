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

	"coppercourse/internal/membership"
	"coppercourse/internal/server"
	"coppercourse/internal/settings"
	"coppercourse/platform"
)

// daemon is a daemon of any role.
type daemon struct {
	log      logr.Logger
	settings settings.Settings
	platform *platform.Settings // nil unless the daemon runs on the users' platform
}

func newDaemon(role membership.Role, s settings.Settings) *daemon {
	return &daemon{log: newLogger(role, s), settings: s}
}

// newLogger returns a logger that writes one JSON object per line to standard error.
func newLogger(role membership.Role, s settings.Settings) logr.Logger {
	options := funcr.Options{LogTimestamp: true}
	if s.Log == "debug" {
		options.Verbosity = 1
	}
	write := func(line string) { fmt.Fprintln(os.Stderr, line) }
	return funcr.NewJSON(write, options).WithName(string(role)).WithValues("address", s.Address)
}

// run runs the daemon until ctx is cancelled and all accepted requests are answered.
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

// serve serves the daemon's own routes and the platform endpoints until ctx is cancelled.
func (d *daemon) serve(
	ctx context.Context, handlers *server.Handlers, routes http.Handler, platformEndpoints []server.Endpoint,
) error {
	own := server.Endpoint{Addr: d.settings.Listen, Handler: routes, MaxConns: d.settings.MaxConns}
	endpoints := append([]server.Endpoint{own}, platformEndpoints...)
	shutdown := server.NewShutdownTiming(d.settings.Bounds.ShutdownTimes())
	return server.Serve(ctx, d.log, handlers, shutdown, endpoints...)
}

// randomSource returns a random source seeded from the operating system.
func randomSource() *rand.Rand {
	var seed [8]byte
	crand.Read(seed[:]) // never fails
	return rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(seed[:]))))
}
