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

// Endpoint is one address a daemon listens on, and what it answers there. Limits,
// where given, bound what connections made from then on may bring; Conns is how
// many there may be at once.
type Endpoint struct {
	Addr     string
	Handler  http.Handler
	Limits   func() config.Limits
	MaxConns int
}

// ShutdownTiming is how a daemon ends: it goes on as before for Linger, so that all
// have seen that it is not ready, then turns away what is new, and has ended
// after Finish.
type ShutdownTiming struct{ NotReadyFor, Timeout time.Duration }

// NewShutdownTiming is the parting within what there is between a warning and the end, when
// all have seen after notice that the daemon is not ready.
func NewShutdownTiming(grace, notice time.Duration) ShutdownTiming {
	return ShutdownTiming{NotReadyFor: min(notice, grace/2), Timeout: grace * 3 / 4}
}

const defaultMaxConns = 4096

// Serve runs the daemon until ctx is done, then stops it in order.
func Serve(ctx context.Context, log logr.Logger, p *Handlers, timing ShutdownTiming, ports ...Endpoint) error {
	var servers []*endpointServer
	for _, port := range ports {
		ln, err := Listen(ctx, port.Addr)
		if err != nil {
			return apierror.Wrap(apierror.BadSetting, err, "listen")
		}
		servers = append(servers, newEndpointServer(ln, p, port))
		log.Info("listening", "listen", port.Addr)
	}
	return serve(ctx, log, p, timing, servers)
}

// serve runs the daemon on what it listens on already.
func serve(ctx context.Context, log logr.Logger, p *Handlers, timing ShutdownTiming, servers []*endpointServer) error {
	root, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	children := []supervisor.Child{{Name: "owner", Vital: true, Run: p.Loop.Run}}
	for _, s := range servers {
		children = append(children, supervisor.Child{Name: "http " + s.endpoint.Addr, Vital: true, Run: s.run})
	}
	children = append(children, supervisor.Child{Name: "stop", Run: func(c context.Context) error {
		select {
		case <-ctx.Done():
			p.shutDown(c, log, timing)
			stop()
		case <-c.Done():
		}
		for _, s := range servers {
			s.close()
		}
		return nil
	}})
	if p.Loop.diskWriter != nil {
		p.Loop.diskWriter.logger = log
		children = append(children, supervisor.Child{Name: "disk", Vital: true, Run: p.Loop.diskWriter.Run})
	}
	return supervisor.Run(root, log, supervisor.Branch(log, "daemon", children...))
}

// shutDown stops taking part: unready first, duties handed over, then answers.
func (h *Handlers) shutDown(ctx context.Context, log logr.Logger, timing ShutdownTiming) {
	log.Info("shutting down: reporting not ready, transferring leadership", "not_ready_for", timing.NotReadyFor.String(), "timeout", timing.Timeout.String())
	h.draining.Store(true)
	h.Loop.BeginShutdown()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	startedAt := time.Now()
	for time.Since(startedAt) < timing.Timeout {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.rejecting.Store(time.Since(startedAt) > timing.NotReadyFor)
		if h.rejecting.Load() && h.Loop.Drained() && h.inFlight.Load() == 0 {
			break
		}
	}
	log.Info("stopped", "unanswered", h.inFlight.Load(), "after", time.Since(startedAt).String())
}

// endpointServer is one port. The standard server fixes its bounds when it starts, so
// when they change another one takes the connections made from then on.
type endpointServer struct {
	endpoint      Endpoint
	ln            net.Listener
	handler       http.Handler
	currentLimits config.Limits
	current       *http.Server
	feed          *connFeed
	replaced      []*http.Server
	done          chan struct{}
}

func newEndpointServer(ln net.Listener, p *Handlers, port Endpoint) *endpointServer {
	if port.MaxConns == 0 {
		port.MaxConns = defaultMaxConns
	}
	return &endpointServer{endpoint: port, ln: netutil.LimitListener(ln, port.MaxConns), handler: p.TrackInFlight(port.Handler), done: make(chan struct{})}
}

func orDefault[T int | time.Duration](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// idleReuseMargin is how much longer than its bound an idle connection is kept: a caller
// that uses it again just within the bound must not meet its end.
const idleReuseMargin = 5 * time.Second

// replaceServer makes a server within the bounds of now.
func (e *endpointServer) replaceServer(l config.Limits) {
	if e.current != nil {
		e.replaced = append(e.replaced, e.current)
	}
	idle := orDefault(time.Duration(l.IdleTimeoutMillis)*time.Millisecond, time.Minute)
	idle += min(idle, idleReuseMargin)
	head := orDefault(time.Duration(l.HeaderTimeoutMillis)*time.Millisecond, 5*time.Second)
	e.currentLimits, e.feed = l, &connFeed{conns: make(chan net.Conn), done: make(chan struct{}), addr: e.ln.Addr()}
	e.current = &http.Server{Handler: e.handler, ReadHeaderTimeout: head, ReadTimeout: head + 10*time.Second,
		IdleTimeout: idle, MaxHeaderBytes: orDefault(l.HeaderBytes, 16<<10)}
	go e.current.Serve(e.feed)
}

func (e *endpointServer) limits() config.Limits {
	if e.endpoint.Limits == nil {
		return config.Limits{}
	}
	return e.endpoint.Limits()
}

func (e *endpointServer) run(ctx context.Context) error {
	defer close(e.done)
	e.replaceServer(e.limits())
	for {
		c, err := e.ln.Accept()
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
		if l := e.limits(); l != e.currentLimits {
			e.replaceServer(l)
		}
		e.feed.conns <- c
	}
}

// close ends the port once what is under way has been answered.
func (e *endpointServer) close() {
	e.ln.Close()
	<-e.done
	end, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer done()
	for _, w := range append(e.replaced, e.current) {
		if w.Shutdown(end) != nil {
			w.Close()
		}
	}
}

// connFeed hands accepted connections to one server.
type connFeed struct {
	conns chan net.Conn
	done  chan struct{}
	addr  net.Addr
}

func (cf *connFeed) Accept() (net.Conn, error) {
	select {
	case c := <-cf.conns:
		return c, nil
	case <-cf.done:
		return nil, net.ErrClosed
	}
}

func (cf *connFeed) Close() error {
	select {
	case <-cf.done:
	default:
		close(cf.done)
	}
	return nil
}

func (cf *connFeed) Addr() net.Addr { return cf.addr }
