package fleet

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"coppercourse/sim/history"
)

// A request that a gateway receives and closes without a response must be counted as dropped; rejected
// requests and failed connections must not.
func TestDroppedRequestIsCounted(t *testing.T) {
	is := is.New(t)
	gateway, w := newGatewayStandIn(t)
	gateway.drop.Store(true)
	code, _ := w.request(http.MethodPut, "/v1/jobs/a", nil)
	is.Equal(code, 0)
	is.Equal(w.Dropped.Load(), int64(1))
	is.Equal(w.fleet.history.Events[0].Kind, history.RequestDropped)
	gateway.drop.Store(false)
	code, _ = w.request(http.MethodPut, "/v1/jobs/a", nil)
	is.Equal(code, http.StatusServiceUnavailable) // a rejection is a response
	is.Equal(w.Dropped.Load(), int64(1))
	gateway.server.Close()
	w.request(http.MethodPut, "/v1/jobs/a", nil)
	is.Equal(w.Dropped.Load(), int64(1)) // a request that was not received is not dropped
}
