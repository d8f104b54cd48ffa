// The three daemons: settings read and checked, the machine made, its pages
// laid out, and all of it served until a warning comes.
package main

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
	"coppercourse/internal/server"
	"coppercourse/internal/settings"
	"coppercourse/internal/wal"
)

type flags struct {
	file, listen, address, source, zone, data, shard, log string
	seeds                                                 []string
	check                                                 bool
}

var roles = map[string]string{
	"controller": "Run a control and scheduler daemon (on a machine with a disk).",
	"gateway":    "Run a door for callers and operators.",
	"agent":      "Run the daemon beside a worker.",
}

var starts = map[string]func(*daemon) error{"controller": runController, "gateway": runGateway, "agent": runAgent}

func daemons(app *kingpin.Application, runs map[string]func() error) {
	for _, role := range []string{"controller", "gateway", "agent"} {
		c := app.Command(role, roles[role])
		f := &flags{}
		c.Flag("settings", "Settings file (JSON); flags go before it.").StringVar(&f.file)
		c.Flag("listen", "IP:port to listen on. Default 127.0.0.1:7400.").StringVar(&f.listen)
		c.Flag("address", "IP:port by which others reach this daemon. Default: listen.").StringVar(&f.address)
		c.Flag("source", "IP from which this daemon calls others.").StringVar(&f.source)
		c.Flag("locality", "The zone this daemon is in.").StringVar(&f.zone)
		c.Flag("seed", "IP:port of another daemon, any role; give it up to three times.").StringsVar(&f.seeds)
		c.Flag("log", "info or debug. Default info.").StringVar(&f.log)
		c.Flag("check", "Check the settings and end.").BoolVar(&f.check)
		if role == "controller" {
			c.Flag("data", "Folder for everything this daemon keeps.").StringVar(&f.data)
		}
		if role == "agent" {
			c.Flag("shard", "The name of the worker beside this daemon.").StringVar(&f.shard)
		}
		runs[role] = func() error { return begin(role, f) }
	}
}

func (f *flags) settings(role string) (settings.Settings, error) {
	s, heap := settings.Defaults(), &apierror.ErrorList{}
	if f.file != "" {
		b, err := os.ReadFile(f.file)
		if err != nil {
			return s, apierror.Wrap(apierror.BadSetting, err, "settings file")
		}
		settings.Read(b, &s, heap)
	}
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
	s.Check(role, heap)
	return s, heap.Err()
}

func begin(role string, f *flags) error {
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
	return starts[role](&daemon{ctx: ctx, log: logger(role, s), s: s})
}

func logger(role string, s settings.Settings) logr.Logger {
	level := 0
	if s.Log == "debug" {
		level = 1
	}
	return funcr.NewJSON(func(line string) { fmt.Fprintln(os.Stderr, line) }, funcr.Options{LogTimestamp: true, Verbosity: level}).
		WithName(role).WithValues("address", s.Address)
}

func chance() *rand.Rand {
	var b [8]byte
	crand.Read(b[:])
	return rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(b[:]))))
}

// daemon is one to run, and what a deployment adds to it: further addresses,
// who else is given the table, and how its worker is called.
type daemon struct {
	ctx     context.Context
	log     logr.Logger
	s       settings.Settings
	ports   func(*server.Pages) []server.Port
	publish func(config.Table, bool)
	caller  server.Caller
	said    string
}

// serve runs the machine behind its pages on the inner address, and the rest.
func (d *daemon) serve(p *server.Pages, h http.Handler) error {
	ports := []server.Port{{Addr: d.s.Listen, Handler: h, Conns: d.s.Conns}}
	if d.ports != nil {
		ports = append(ports, d.ports(p)...)
	}
	return server.Serve(d.ctx, d.log, p, server.Leave(d.s.Bounds.Stops()), ports...)
}

// state logs what changed since it was last looked at.
func (d *daemon) state(what ...any) {
	if now := fmt.Sprint(what...); now != d.said {
		d.said = now
		d.log.Info("state", what...)
	}
}

func runController(d *daemon) error {
	s := d.s
	file, recs, err := server.OpenLog(d.ctx, d.log, wal.Disk{}, s.Data, s.Listen)
	if err != nil {
		return nil // stopped while it waited for its disk
	}
	post := server.NewPost(context.Background(), s.Source)
	o := server.NewOwner(post, file)
	m := controller.New(server.Now(), chance(), controller.Options{Addr: s.Addr(), Zone: s.ZoneName(), Seeds: s.Near(), Begin: s.Begin(), Loses: s.Loses, Issue: version,
		Core: s.Pace.Core(), Truth: s.Pace.Truth()}, recs)
	o.Carry(m)
	var ready atomic.Bool
	o.Show = func() any {
		v := m.Status()
		d.state("part", v.Part, "term", v.Term, "leader", v.Leader, "reason", v.Why, "waits", v.Wait != "", "members", len(v.Roll), "voters", v.Roll.Votes())
		return v
	}
	o.After = func() { ready.Store(m.Ready()) }
	p := &server.Pages{Owner: o, Post: post, Trail: m.Trail, Ready: ready.Load}
	return d.serve(p, p.Router())
}

func runGateway(d *daemon) error {
	s := d.s
	post := server.NewPost(context.Background(), s.Source)
	o := server.NewOwner(post, nil)
	m := gateway.New(server.Now(), chance(), gateway.Place{Addr: s.Addr(), Zone: s.ZoneName(), Seeds: s.Near(), Issue: version, Stale: s.Pace.News()})
	o.Carry(m)
	var ready atomic.Bool
	o.Show = func() any {
		v := m.Status()
		d.state("ready", v.Ready, "leader", v.Leader, "table_edition", v.Version)
		return v
	}
	entry := &server.Entry{}
	o.After = func() {
		ready.Store(m.Ready())
		t, fresh := m.Table()
		entry.Publish(t, fresh)
		if d.publish != nil {
			d.publish(t, fresh)
		}
	}
	p := &server.Pages{Owner: o, Post: post, Trail: m.Trail, Ready: ready.Load}
	return d.serve(p, entry.Routes(p))
}

func runAgent(d *daemon) error {
	s := d.s
	post := server.NewPost(context.Background(), s.Source)
	o := server.NewOwner(post, nil)
	m := agent.New(server.Now(), chance(), agent.Place{Addr: s.Addr(), Zone: s.ZoneName(), Shard: s.ShardName(), Seeds: s.Near(),
		Issue: version, Truth: s.Pace.Truth()})
	o.Carry(m)
	o.Caller = d.caller
	o.Show = func() any {
		v := m.Status()
		d.state("soundness", v.Account.State, "term", v.Account.Term, "instance", v.Account.ID, "leaving", v.Account.Leaving)
		return v
	}
	p := &server.Pages{Owner: o, Post: post, Trail: m.Trail, Ready: func() bool { return true }}
	r := p.Router()
	r.HandleFunc("/v1/poll", p.Ask("poll")).Methods("POST")
	return d.serve(p, r)
}
