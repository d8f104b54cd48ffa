package fleet

import (
	"net/http"
	"sync/atomic"
)

// callerCount is how many callers with open connections a workload has.
const callerCount = 8

// caller keeps its connections to one gateway.
type caller struct {
	gateway atomic.Pointer[process] // or nil if it has none
}

// KeepConnections makes the clients reuse connections: each keeps its gateway, whether or not this
// reports itself as ready, until a request there gets no response. It is called before the first
// request.
func (w *Workload) KeepConnections() {
	w.callers = make([]caller, callerCount)
	if transport, ok := w.client.Transport.(*http.Transport); ok {
		transport.DisableKeepAlives = false
	}
}

// nextGateway returns the gateway for the next request, and its caller or nil.
func (w *Workload) nextGateway() (*process, *caller) {
	if len(w.callers) == 0 {
		return w.readyGateway(), nil
	}
	c := &w.callers[w.randomInt(len(w.callers))]
	gateway := c.gateway.Load()
	if gateway == nil {
		gateway = w.readyGateway()
		c.gateway.Store(gateway)
	}
	return gateway, c
}
