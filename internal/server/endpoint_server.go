package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"coppercourse/internal/config"
)

const (
	// acceptRetryDelay is the delay before the next Accept after one that failed.
	acceptRetryDelay = 5 * time.Millisecond
	// closeTimeout is how long connections have to become idle when the endpoint is closed.
	closeTimeout = 100 * time.Millisecond
)

// endpointServer serves one endpoint. The limits of an http.Server are fixed once it runs.
// When the endpoint's limits change, a new http.Server gets the connections accepted from
// then on, and the earlier ones keep serving theirs.
//
// Goroutines: run is one goroutine, of the daemon's supervisor; it accepts connections. Each
// http.Server has a goroutine that serves, counted in serving.
type endpointServer struct {
	endpoint Endpoint
	handler  http.Handler
	listener net.Listener
	done     chan struct{} // closed once run has returned

	// Owned by run. Once done is closed, close may use them.
	limits          config.Limits    // of the current server
	current         *limitedServer   // gets the new connections
	currentListener *channelListener // what the current server accepts from
	replaced        []*limitedServer // serve the connections that they were given
	serving         sync.WaitGroup   // the goroutines of all servers
}

// limitedServer is an HTTP server with one set of limits, and how many connections it has.
type limitedServer struct {
	*http.Server
	connections atomic.Int64
}

func newLimitedServer(handler http.Handler, limits config.Limits) *limitedServer {
	server := &limitedServer{Server: newHTTPServer(handler, limits)}
	server.ConnState = server.countConnection
	return server
}

// countConnection counts a connection from when it is passed to the server until it is closed.
func (s *limitedServer) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.connections.Add(-1)
	}
}

func newEndpointServer(listener net.Listener, h *Handlers, endpoint Endpoint) *endpointServer {
	return &endpointServer{
		endpoint: endpoint,
		handler:  h.TrackInFlight(endpoint.Handler),
		listener: netutil.LimitListener(listener, orDefault(endpoint.MaxConns, defaultMaxConns)),
		done:     make(chan struct{}),
	}
}

// run accepts connections until the listener is closed. Any other error of Accept, such as
// too many open files, is temporary: it tries again until ctx ends.
func (s *endpointServer) run(ctx context.Context) error {
	defer close(s.done)
	s.replaceServer(s.latestLimits())
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			s.dispatchConnection(conn)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(acceptRetryDelay):
		}
	}
}

// dispatchConnection passes a connection to a server with the latest limits.
func (s *endpointServer) dispatchConnection(conn net.Conn) {
	if limits := s.latestLimits(); limits != s.limits {
		s.replaceServer(limits)
	}
	s.current.connections.Add(1)
	s.currentListener.connections <- conn
}

// latestLimits returns the limits for a connection that is accepted now; the zero value
// stands for the defaults.
func (s *endpointServer) latestLimits() config.Limits {
	if s.endpoint.Limits == nil {
		return config.Limits{}
	}
	return s.endpoint.Limits.Limits()
}

// replaceServer starts an HTTP server with the given limits. It gets all connections from
// now on.
func (s *endpointServer) replaceServer(limits config.Limits) {
	if s.current != nil {
		s.replaced = append(s.replaced, s.current)
	}
	s.replaced = slices.DeleteFunc(s.replaced, (*limitedServer).closeIfUnused)
	server := newLimitedServer(s.handler, limits)
	feed := newChannelListener(s.listener.Addr())
	s.limits = limits
	s.current = server
	s.currentListener = feed
	s.serving.Go(func() { server.Serve(feed) }) // the error is ErrServerClosed
}

// closeIfUnused closes a server that has no connections and gets none any more, and reports
// whether it did.
func (s *limitedServer) closeIfUnused() bool {
	if s.connections.Load() > 0 {
		return false
	}
	s.Close()
	return true
}

// close closes the listener, waits for run and shuts down all servers. Connections that
// are still in use after closeTimeout are closed.
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
