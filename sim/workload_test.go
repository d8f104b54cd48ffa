// The fleet's own count of dropped requests is shown to catch one.
package sim

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
	"coppercourse/sim/history"
)

func TestDroppedRequestIsCounted(t *testing.T) {
	is := is.New(t)
	var drop atomic.Bool
	drop.Store(true)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !drop.Load() {
			w.WriteHeader(503)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		is.NoErr(err)
		c.Close() // read, and never answered
	}))
	defer srv.Close()
	port := srv.Listener.Addr().(*net.TCPAddr).Port
	f := &Fleet{Port: port, ctx: context.Background(), start: time.Now(), processes: []*process{{name: "gateway1", role: "gateway", ip: "127.0.0.1"}}}
	s := NewWorkload(f, 1, 1)
	d := server.NewDialer("127.0.9.1") // as the workload's, on a machine that may be slow
	d.Timeout, s.client.Timeout = 2*time.Minute, 2*time.Minute
	s.client.Transport.(*http.Transport).DialContext = d.DialContext
	code, _ := s.request("PUT", "/v1/jobs/a", nil)
	is.Equal(code, 0)
	is.Equal(s.Dropped.Load(), int64(1))
	is.Equal(f.History.Events[0].Kind, history.RequestDropped)
	drop.Store(false)
	code, _ = s.request("PUT", "/v1/jobs/a", nil)
	is.Equal(code, 503) // a refusal is an answer
	is.Equal(s.Dropped.Load(), int64(1))
	srv.Close()
	s.request("PUT", "/v1/jobs/a", nil)
	is.Equal(s.Dropped.Load(), int64(1)) // one that was never read is not dropped
}
