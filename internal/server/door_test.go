// The gateway's pages over real HTTP: what is wrong is refused at once, with the
// exact status, a stable kind and the field; what can't be served now says when
// to come back. No request is left without an answer.
package server

import (
	"context"
	"encoding/json"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/gateway"
	"coppercourse/internal/wire"
)

// startLoneGateway is a gateway that knows no other daemon.
func startLoneGateway(t *testing.T) (*Handlers, *httptest.Server) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	post := NewSender(ctx, "")
	o := NewEventLoop(post, nil)
	m := gateway.New(Now(), rand.New(rand.NewSource(1)), gateway.Options{Addr: "127.0.0.1:9", Zone: "z"})
	o.SetMachine(m)
	o.Status = func() any { return m.Status() }
	p := &Handlers{Loop: o, Sender: post, Trace: m.Trace, Ready: func() bool { return false }}
	e := &GatewayHandlers{}
	srv := httptest.NewServer(p.TrackInFlight(e.Routes(p)))
	t.Cleanup(srv.Close)
	go o.Run(ctx)
	return p, srv
}

func TestRejectionsCarryStatusKindAndField(t *testing.T) {
	_, srv := startLoneGateway(t)
	job := `{"queue":"q","steps":[{"name":"a","kind":"x"}]}`
	for _, c := range []struct {
		method, path, body string
		code               int
		kind               apierror.Kind
		field              string
	}{
		{"GET", "/nowhere", "", 404, apierror.NoSuchPath, ""},
		{"POST", "/v1/table", "", 405, apierror.NoSuchMethod, ""},
		{"DELETE", "/v1/jobs/a", "", 405, apierror.NoSuchMethod, ""},
		{"PUT", "/v1/jobs/a", "{", 400, apierror.BadBody, ""},
		{"PUT", "/v1/jobs/a", strings.Repeat(" ", 300_000) + job, 413, apierror.TooLarge, ""},
		{"PUT", "/v1/jobs/a%20b", job, 422, apierror.BadField, "id"},
		{"PUT", "/v1/jobs/" + strings.Repeat("a", 65), job, 422, apierror.BadField, "id"},
		{"PUT", "/v1/jobs/a", `{"queue":"q","steps":[{"name":"a","kind":"x","tasks":-1}]}`, 422, apierror.BadField, "steps[0].tasks"},
		{"PUT", "/v1/jobs/a", job, 503, apierror.NoLeader, ""},
		{"GET", "/v1/jobs/a", "", 503, apierror.NoLeader, ""},
		{"POST", "/v1/jobs/a/cancel", "", 503, apierror.NoLeader, ""},
		{"PUT", "/v1/table", `{"queues":[]}`, 422, apierror.BadField, "edition"},
		{"PUT", "/v1/table", `{"edition":0,"queues":[{"name":"a","weight":0}]}`, 422, apierror.BadField, "queues[0].weight"},
		{"PUT", "/v1/table", `{"edition":0,"queues":[{"name":"a"},{"name":"a"}]}`, 422, apierror.BadField, "queues[1].name"},
		{"PUT", "/v1/table", `{"edition":0,"queues":[{"name":"a","share":60},{"name":"b","share":60}]}`, 422, apierror.BadField, "queues"},
		{"GET", "/ready", "", 503, apierror.NotReady, ""},
	} {
		t.Run(c.method+c.path[:min(20, len(c.path))]+string(c.kind)+c.field, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			req, err := http.NewRequest(c.method, srv.URL+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer res.Body.Close()
			var f apierror.Error
			is.NoErr(json.NewDecoder(res.Body).Decode(&f))
			is.Equal(res.StatusCode, c.code)
			is.Equal(f.Kind, c.kind)
			is.Equal(f.Field, c.field)
			is.Equal(res.Header.Get("Retry-After") != "", c.code == 503)
		})
	}
}

func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	is := is.New(t)
	p, srv := startLoneGateway(t)
	got := make(chan int, 1)
	ask := func() { // this one is under way when the stop begins, and waits for a leader
		res, err := http.Get(srv.URL + "/v1/jobs/a")
		if err != nil {
			got <- 0
			return
		}
		res.Body.Close()
		got <- res.StatusCode
	}
	go ask()
	for p.inFlight.Load() == 0 {
		select {
		case code := <-got: // it was over before it was seen: once more
			is.Equal(code, 503)
			go ask()
		default:
			runtime.Gosched()
		}
	}
	p.draining.Store(true)
	p.Loop.BeginShutdown()
	is.Equal(<-got, 503)
	p.rejecting.Store(true)
	res, err := http.Get(srv.URL + "/v1/jobs/a")
	is.NoErr(err)
	defer res.Body.Close()
	var f apierror.Error
	is.NoErr(json.NewDecoder(res.Body).Decode(&f))
	is.Equal(f.Kind, apierror.ShuttingDown)
	is.True(res.Close)
}

func TestFullQueueRejectsAtOnce(t *testing.T) {
	is := is.New(t)
	o := NewEventLoop(nil, nil) // nobody takes from it
	took := 0
	for o.Deliver(wire.Message{Kind: wire.ForwardRequest}) {
		took++
	}
	is.True(took >= 1000)
	a := o.Ask(context.Background(), "job.get", "a", nil)
	is.Equal(a.Error.Kind, apierror.TooBusy)
	is.True(a.Error.RetryAfterSeconds > 0)
	for kind := range map[wire.Kind]bool{wire.AppendEntries: true, wire.RequestVote: true, wire.ConfigWatch: true, wire.Heartbeat: true, wire.StatusReport: true} {
		is.True(o.Deliver(wire.Message{Kind: kind})) // one class leaves the others their room
	}
	refused, _ := o.queue.rejected()
	is.Equal(refused[wire.ClassCallers], uint64(2))
	is.Equal(refused[wire.ClassConsensus], uint64(0))
}
