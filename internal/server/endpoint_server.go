package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"coppercourse/internal/config"
)

// Endpoint is one address that a daemon listens on, and what it serves there.
type Endpoint struct {
	Addr    string
	Handler http.Handler
	// Limits, if not nil, returns the bounds of connections made from now on.
	Limits func() config.Limits
	// MaxConns is how many connections there may be at once; 0 is defaultMaxConns.
	MaxConns int
}

// Bounds of connections where no others are set.
const (
	defaultMaxConns      = 4096
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultHeaderBytes   = 16 << 10
)

const (
	// maxIdleReuseMargin is how much longer than its bound an idle connection is kept at the
	// most: a client that uses it again just within the bound must not find it closed.
	maxIdleReuseMargin = 5 * time.Second
	// bodyTimeout is how long a request's body may take after its header.
	bodyTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a connection that could not be accepted.
	acceptRetryDelay = 5 * time.Millisecond
	// closeTimeout is how long idle connections have to close.
	closeTimeout = 100 * time.Millisecond
)

// endpointServer serves one endpoint. An http.Server's bounds are fixed once it runs, so
// when they change, another one takes the connections made from then on; those made before
// stay with the one that took them.
type endpointServer struct {
	endpoint Endpoint
	handler  http.Handler
	listener net.Listener
	done     chan struct{} // closed once run has returned

	// Only run uses these; close does once run has returned.
	limits   config.Limits // of the current server
	current  *http.Server
	feed     *connFeed // what the current server accepts from
	replaced []*http.Server
	serving  sync.WaitGroup
}

func newEndpointServer(listener net.Listener, h *Handlers, endpoint Endpoint) *endpointServer {
	return &endpointServer{
		endpoint: endpoint,
		handler:  h.TrackInFlight(endpoint.Handler),
		listener: netutil.LimitListener(listener, orDefault(endpoint.MaxConns, defaultMaxConns)),
		done:     make(chan struct{}),
	}
}

// run accepts connections until the listener is closed. One that can't be accepted, as
// when file descriptors run out, does not end it.
func (s *endpointServer) run(ctx context.Context) error {
	defer close(s.done)
	s.replaceServer(s.latestLimits())
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if limits := s.latestLimits(); limits != s.limits {
			s.replaceServer(limits)
		}
		s.feed.conns <- conn
	}
}

func (s *endpointServer) latestLimits() config.Limits {
	if s.endpoint.Limits == nil {
		return config.Limits{}
	}
	return s.endpoint.Limits()
}

// replaceServer starts an HTTP server with the given bounds, for all connections from now
// on.
func (s *endpointServer) replaceServer(limits config.Limits) {
	if s.current != nil {
		s.replaced = append(s.replaced, s.current)
	}
	idleTimeout := orDefault(time.Duration(limits.IdleTimeoutMillis)*time.Millisecond, defaultIdleTimeout)
	headerTimeout := orDefault(time.Duration(limits.HeaderTimeoutMillis)*time.Millisecond, defaultHeaderTimeout)
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout + bodyTimeout,
		IdleTimeout:       idleTimeout + min(idleTimeout, maxIdleReuseMargin),
		MaxHeaderBytes:    orDefault(limits.HeaderBytes, defaultHeaderBytes),
	}
	feed := newConnFeed(s.listener.Addr())
	s.limits, s.current, s.feed = limits, server, feed
	s.serving.Go(func() { server.Serve(feed) }) // ends with ErrServerClosed
}

// close stops accepting and ends all servers. Connections in use get closeTimeout to
// become idle and are then closed.
func (s *endpointServer) close() {
	s.listener.Close()
	<-s.done
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range append(s.replaced, s.current) {
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	}
	s.serving.Wait()
}

// orDefault returns a value that is set, or else the default.
func orDefault[T int | time.Duration](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}

// connFeed is the listener of one http.Server: it hands out the connections that an
// endpointServer has accepted for it.
type connFeed struct {
	conns chan net.Conn
	done  chan struct{}
	close sync.Once
	addr  net.Addr
}

func newConnFeed(addr net.Addr) *connFeed {
	return &connFeed{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
}

// Accept returns the next connection, or net.ErrClosed.
func (f *connFeed) Accept() (net.Conn, error) {
	select {
	case conn := <-f.conns:
		return conn, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close ends the feed. The endpoint's own listener stays open.
func (f *connFeed) Close() error {
	f.close.Do(func() { close(f.done) })
	return nil
}

// Addr returns the address of the endpoint's own listener.
func (f *connFeed) Addr() net.Addr { return f.addr }
