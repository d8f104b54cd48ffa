// The daemons as they run on the users' platform: settings from its file, the
// same machines and pages, and beside them what the platform calls.
package main

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

func deployed(app *kingpin.Application, runs map[string]func() error) {
	c := app.Command("platform", "Run a daemon from the settings file of the platform, or check one.")
	for _, role := range platform.Roles {
		c.Command(role, roles[role])
		runs["platform "+role] = func() error { return deploy(role) }
	}
	check := c.Command("check", "Check a settings file and tell what the daemon would do.")
	file := check.Arg("file", "Settings file (YAML).").Required().String()
	runs["platform check"] = func() error {
		b, err := platform.LoadFile("", *file)
		if err == nil {
			fmt.Println(strings.Join(b.Tell(), "\n"))
		}
		return err
	}
}

func deploy(role string) error {
	signal.Ignore(syscall.SIGHUP) // until the file is watched
	b, path, err := platform.Load(role)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	debug.SetGCPercent(collect)
	debug.SetMemoryLimit(b.Memory)
	d := &daemon{ctx: ctx, log: logger(role, b.Settings), s: b.Settings}
	platform.Watch(ctx, d.log, path, b, nil)
	outside[role](b, d)
	return starts[b.Machine()](d)
}

// collect is how far the heap grows between two collections, in percent: half of
// the usual costs a tenth more processor time here, and memory is dearer.
const collect = 50

// few is how many connections an address needs that only the operator or one
// worker calls.
const few = 256

// outside is what the platform calls on each role, beside the inner address.
var outside = map[string]func(platform.Boot, *daemon){
	"gateway": func(b platform.Boot, d *daemon) {
		var front *platform.Front
		d.publish = func(t config.Table, confirmedUntil types.Stamp) { front.Publish(t, confirmedUntil) }
		d.ports = func(p *server.Pages) []server.Port {
			front = platform.NewFront(p.Owner)
			return []server.Port{{Addr: b.Front, Handler: front, Limits: front.Limits, Conns: d.s.Conns},
				{Addr: b.Ready, Handler: platform.Readiness(p.Open), Conns: few}}
		}
	},
	"controller": func(b platform.Boot, d *daemon) {
		d.ports = func(p *server.Pages) []server.Port {
			return []server.Port{{Addr: b.Control, Handler: platform.NewControl(p.Owner, b.Control).Handler(), Conns: few}}
		}
	},
	"agent": func(b platform.Boot, d *daemon) {
		d.caller = platform.NewWorker().Call
		d.ports = func(p *server.Pages) []server.Port {
			return []server.Port{{Addr: b.Control, Handler: platform.NewSide(p.Owner, b.App).Handler(), Conns: few}}
		}
	},
}
