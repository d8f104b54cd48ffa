// Running a daemon: listen, keep its parts going under the supervisor, and on
// a warning stop in order. First it says that it is not ready and hands its
// duties over, then it waits until all that was read is answered, and only
// then does it close the listeners and end.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/supervisor"
)

// Port is one address a daemon listens on, and what it answers there. Limits,
// where given, bound what connections made from then on may bring; Conns is how
// many there may be at once.
type Port struct {
	Addr    string
	Handler http.Handler
	Limits  func() config.Limits
	Conns   int
}

// Parting is how a daemon ends: it goes on as before for Linger, so that all
// have seen that it is not ready, then turns away what is new, and has ended
// after Finish.
type Parting struct{ Linger, Finish time.Duration }

// Leave is the parting within what there is between a warning and the end, when
// all have seen after notice that the daemon is not ready.
func Leave(grace, notice time.Duration) Parting {
	return Parting{Linger: min(notice, grace/2), Finish: grace * 3 / 4}
}

const conns = 4096

// Serve runs the daemon until ctx is done, then stops it in order.
func Serve(ctx context.Context, log logr.Logger, p *Pages, end Parting, ports ...Port) error {
	var servers []*server
	for _, port := range ports {
		ln, err := Listen(ctx, port.Addr)
		if err != nil {
			return apierror.Wrap(apierror.BadSetting, err, "listen")
		}
		servers = append(servers, open(ln, p, port))
		log.Info("serving", "listen", port.Addr)
	}
	return serve(ctx, log, p, end, servers)
}

// serve runs the daemon on what it listens on already.
func serve(ctx context.Context, log logr.Logger, p *Pages, end Parting, servers []*server) error {
	root, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	kids := []supervisor.Child{{Name: "owner", Vital: true, Run: p.Owner.Run}}
	for _, s := range servers {
		kids = append(kids, supervisor.Child{Name: "http " + s.port.Addr, Vital: true, Run: s.run})
	}
	kids = append(kids, supervisor.Child{Name: "stop", Run: func(c context.Context) error {
		select {
		case <-ctx.Done():
			p.wind(c, log, end)
			stop()
		case <-c.Done():
		}
		for _, s := range servers {
			s.close()
		}
		return nil
	}})
	if p.Owner.disk != nil {
		p.Owner.disk.logger = log
		kids = append(kids, supervisor.Child{Name: "disk", Vital: true, Run: p.Owner.disk.Run})
	}
	return supervisor.Run(root, log, supervisor.Branch(log, "daemon", kids...))
}

// wind stops taking part: unready first, duties handed over, then answers.
func (p *Pages) wind(ctx context.Context, log logr.Logger, end Parting) {
	log.Info("stopping: not ready, handing duties over", "linger", end.Linger.String(), "finish", end.Finish.String())
	p.drain.Store(true)
	p.Owner.Close()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	from := time.Now()
	for time.Since(from) < end.Finish {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.shut.Store(time.Since(from) > end.Linger)
		if p.shut.Load() && p.Owner.Idle() && p.under.Load() == 0 {
			break
		}
	}
	log.Info("stopped", "unanswered", p.under.Load(), "after", time.Since(from).String())
}

// server is one port. The standard server fixes its bounds when it starts, so
// when they change another one takes the connections made from then on.
type server struct {
	port Port
	ln   net.Listener
	h    http.Handler
	now  config.Limits
	web  *http.Server
	in   *feed
	olds []*http.Server
	stop chan struct{}
}

func open(ln net.Listener, p *Pages, port Port) *server {
	if port.Conns == 0 {
		port.Conns = conns
	}
	return &server{port: port, ln: netutil.LimitListener(ln, port.Conns), h: p.Wrap(port.Handler), stop: make(chan struct{})}
}

func or[T int | time.Duration](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// reuse is how much longer than its bound an idle connection is kept: a caller
// that uses it again just within the bound must not meet its end.
const reuse = 5 * time.Second

// turn makes a server within the bounds of now.
func (s *server) turn(l config.Limits) {
	if s.web != nil {
		s.olds = append(s.olds, s.web)
	}
	idle := or(time.Duration(l.IdleTimeoutMillis)*time.Millisecond, time.Minute)
	idle += min(idle, reuse)
	head := or(time.Duration(l.HeaderTimeoutMillis)*time.Millisecond, 5*time.Second)
	s.now, s.in = l, &feed{in: make(chan net.Conn), done: make(chan struct{}), addr: s.ln.Addr()}
	s.web = &http.Server{Handler: s.h, ReadHeaderTimeout: head, ReadTimeout: head + 10*time.Second,
		IdleTimeout: idle, MaxHeaderBytes: or(l.HeaderBytes, 16<<10)}
	go s.web.Serve(s.in)
}

func (s *server) limits() config.Limits {
	if s.port.Limits == nil {
		return config.Limits{}
	}
	return s.port.Limits()
}

func (s *server) run(ctx context.Context) error {
	defer close(s.stop)
	s.turn(s.limits())
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a peer that is gone already
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(5 * time.Millisecond):
			}
			continue
		}
		if l := s.limits(); l != s.now {
			s.turn(l)
		}
		s.in.in <- c
	}
}

// close ends the port once what is under way has been answered.
func (s *server) close() {
	s.ln.Close()
	<-s.stop
	end, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer done()
	for _, w := range append(s.olds, s.web) {
		if w.Shutdown(end) != nil {
			w.Close()
		}
	}
}

// feed hands accepted connections to one server.
type feed struct {
	in   chan net.Conn
	done chan struct{}
	addr net.Addr
}

func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.in:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *feed) Close() error {
	select {
	case <-f.done:
	default:
		close(f.done)
	}
	return nil
}

func (f *feed) Addr() net.Addr { return f.addr }
