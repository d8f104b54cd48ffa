package fleet

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/server"
)

// gatewayStandIn is an HTTP server in place of a gateway; while drop is set, it closes connections
// without a response.
type gatewayStandIn struct {
	server      *httptest.Server
	process     *process
	drop        atomic.Bool
	connections atomic.Int64 // opened so far
}

// newGatewayStandIn starts a server and returns it with a workload whose only gateway it is.
func newGatewayStandIn(t *testing.T) (*gatewayStandIn, *Workload) {
	t.Helper()
	g := &gatewayStandIn{process: &process{name: "gateway1", role: gatewayRole, ip: "127.0.0.1"}}
	g.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		hijacker, ok := w.(http.Hijacker)
		if !g.drop.Load() || !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if conn, _, err := hijacker.Hijack(); err == nil {
			conn.Close()
		}
	}))
	g.server.Config.ConnState = func(_ net.Conn, to http.ConnState) {
		if to == http.StateNew {
			g.connections.Add(1)
		}
	}
	g.server.Start()
	t.Cleanup(g.server.Close)
	address, ok := g.server.Listener.Addr().(*net.TCPAddr)
	if !ok {
		t.Fatal("the server has no TCP address")
	}
	f := &Fleet{Port: address.Port, ctx: context.Background(), startedAt: time.Now(), processes: []*process{g.process}}
	w := NewWorkload(f, 1, 1)
	dialer := server.NewDialer(callerIP) // with longer timeouts, for slow machines
	dialer.Timeout, w.client.Timeout = 2*time.Minute, 2*time.Minute
	if transport, ok := w.client.Transport.(*http.Transport); ok {
		transport.DialContext = dialer.DialContext
	}
	return g, w
}

// Callers with open connections use them again, others open one for each request.
func TestKeptConnectionsAreUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		keep bool
		want int64
	}{{"kept", true, 1}, {"not kept", false, 20}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, w := newGatewayStandIn(t)
			if c.keep {
				w.KeepConnections()
			}
			for range 20 {
				code, _ := w.request(http.MethodPut, "/v1/jobs/a", nil)
				is.Equal(code, http.StatusServiceUnavailable)
			}
			is.Equal(g.connections.Load(), c.want)
		})
	}
}

// A caller keeps a gateway that is not ready any more until a request gets no response.
func TestCallerKeepsItsGatewayUntilItIsGone(t *testing.T) {
	is := is.New(t)
	g, w := newGatewayStandIn(t)
	w.KeepConnections()
	for range 100 {
		w.nextGateway()
	}
	other := &process{name: "gateway2", role: gatewayRole, ip: "127.0.0.2"}
	w.ready.Store(&[]*process{other})
	gateway, caller := w.nextGateway()
	is.Equal(gateway, g.process)
	g.drop.Store(true)
	for caller.gateway.Load() != nil { // each caller has a part of the requests
		w.request(http.MethodPut, "/v1/jobs/a", nil)
	}
	for range 100 {
		if gateway, from := w.nextGateway(); from == caller {
			is.Equal(gateway, other)
		}
	}
}

// A connection that closes under a request counts as dropped, unless its gateway is restarting and
// the connection had stayed open.
func TestDroppedRequestOnKeptConnection(t *testing.T) {
	for _, c := range []struct {
		name             string
		keep, restarting bool
		want             int64
	}{
		{"kept", true, false, 1},
		{"kept, restarting", true, true, 0},
		{"not kept, restarting", false, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, w := newGatewayStandIn(t)
			if c.keep {
				w.KeepConnections()
			}
			g.drop.Store(true)
			g.process.restarting.Store(c.restarting)
			code, _ := w.request(http.MethodPut, "/v1/jobs/a", nil)
			is.Equal(code, 0)
			is.Equal(w.Dropped.Load(), c.want)
		})
	}
}
