// The pages every daemon has, and the way from a request to an answer.
package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/gorilla/mux"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
)

// Pages are a daemon's routes and what they show.
type Pages struct {
	Owner *Owner
	Post  *Post
	Trail *trace.Ring
	Ready func() bool
	drain atomic.Bool
	shut  atomic.Bool
	under atomic.Int64
}

// Router makes the routes that all daemons share.
func (p *Pages) Router() *mux.Router {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/mate", p.peer).Methods(http.MethodPost)
	r.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { write(w, 200, []byte(`{"live":true}`)) }).Methods(http.MethodGet)
	r.HandleFunc("/ready", p.ready).Methods(http.MethodGet)
	r.HandleFunc("/metrics", p.metrics).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) { write(w, 200, p.Owner.View()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/trace", func(w http.ResponseWriter, q *http.Request) {
		write(w, 200, wire.Body(p.Trail.Of(q.URL.Query().Get("subject"))))
	}).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		Fail(w, apierror.New(apierror.NoSuchPath, "", "no such path: "+q.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		Fail(w, apierror.New(apierror.NoSuchMethod, "", q.Method+" is not for this path"))
	})
	return r
}

// Wrap counts requests under way, so that a planned stop can wait for them,
// and tells callers to close their connections while it does.
func (p *Pages) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		p.under.Add(1)
		defer p.under.Add(-1)
		if p.drain.Load() && q.URL.Path != "/mate" {
			w.Header().Set("Connection", "close")
		}
		if p.shut.Load() && q.URL.Path != "/mate" {
			Fail(w, apierror.New(apierror.ShuttingDown, "", "this daemon is stopping; ask another"))
			return
		}
		next.ServeHTTP(w, q)
	})
}

func write(w http.ResponseWriter, code int, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(b)
}

// Fail answers with a fault, by the one table.
func Fail(w http.ResponseWriter, f *apierror.Error) {
	if f.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfterSeconds))
	}
	write(w, f.StatusCode(), wire.Body(f))
}

// Assignment answers with what the machine said.
func Give(w http.ResponseWriter, a wire.Answer) {
	if a.Fault != nil {
		Fail(w, a.Fault)
		return
	}
	write(w, a.Code, a.Body)
}

// ReadBody takes a request's body up to a size, or tells why not.
func ReadBody(w http.ResponseWriter, q *http.Request, most int64) ([]byte, *apierror.Error) {
	var buf bytes.Buffer
	if q.ContentLength > 0 {
		buf.Grow(int(min(q.ContentLength, most)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, q.Body, most))
	if err == nil {
		return buf.Bytes(), nil
	}
	if _, large := err.(*http.MaxBytesError); large {
		return nil, apierror.New(apierror.TooLarge, "", fmt.Sprintf("larger than %d bytes", most))
	}
	return nil, apierror.New(apierror.BodyCutShort, "", "the body did not come whole; send it again")
}

// Read takes a request's body up to a size, or answers why not.
func Read(w http.ResponseWriter, q *http.Request, most int64) ([]byte, bool) {
	b, f := ReadBody(w, q, most)
	if f != nil {
		Fail(w, f)
	}
	return b, f == nil
}

// Ask reads a body and has the machine answer it.
func (p *Pages) Ask(verb string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		b, ok := Read(w, q, state.MaxDocumentBytes)
		if !ok {
			return
		}
		if len(b) > 0 && !json.Valid(b) {
			Fail(w, apierror.New(apierror.BadBody, "", "not well-formed JSON"))
			return
		}
		Give(w, p.Owner.Ask(q.Context(), verb, arg(q), b))
	}
}

// arg is what a path names: an id, or a kind and an id.
func arg(q *http.Request) string {
	v := mux.Vars(q)
	if v["kind"] != "" {
		return v["kind"] + "/" + v["id"]
	}
	return v["id"]
}

func (p *Pages) peer(w http.ResponseWriter, q *http.Request) {
	b, ok := Read(w, q, wal.MaxLen)
	if !ok {
		return
	}
	list, err := wire.DecodeMessages(b)
	if err != nil {
		Fail(w, apierror.New(apierror.BadBody, "", "not a list of notes"))
		return
	}
	refused := false
	for _, n := range list { // one that has no room takes none from those after it
		refused = !p.Owner.Message(n) || refused
	}
	if refused {
		Fail(w, apierror.New(apierror.TooBusy, "", "no room for messages of this kind"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Open tells whether the platform may send callers here.
func (p *Pages) Open() bool { return !p.drain.Load() && p.Ready() }

func (p *Pages) ready(w http.ResponseWriter, _ *http.Request) {
	if !p.Open() {
		Fail(w, apierror.New(apierror.NotReady, "", "not ready; see /v1/status"))
		return
	}
	write(w, 200, []byte(`{"ready":true}`))
}

// metrics shows every number of the status, and the shell's own.
func (p *Pages) metrics(w http.ResponseWriter, _ *http.Request) {
	var v map[string]any
	json.Unmarshal(p.Owner.View(), &v)
	delete(v, "mates")
	delete(v, "roll")
	flat := map[string]float64{"post_sent": float64(p.Post.Sent.Load()), "post_failed": float64(p.Post.Failed.Load()),
		"post_dropped": float64(p.Post.Dropped.Load()), "requests_turned_away_busy": float64(p.Owner.busy.Load()),
		"requests_under_way_http": float64(p.under.Load())}
	refused, stale := p.Owner.inbox.refused()
	flat["reports_dropped_stale"] = float64(stale)
	for class, n := range refused {
		flat["inbox_refused_"+wire.Class(class).String()] = float64(n)
	}
	flatten("", v, flat)
	names := make([]string, 0, len(flat))
	for n := range flat {
		names = append(names, n)
	}
	sort.Strings(names)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, n := range names {
		fmt.Fprintf(w, "coppercourse_%s %v\n", n, flat[n])
	}
}

func flatten(path string, v any, into map[string]float64) {
	switch x := v.(type) {
	case float64:
		into[path] = x
	case bool:
		into[path] = 0
		if x {
			into[path] = 1
		}
	case map[string]any:
		for k, y := range x {
			at := strings.ToLower(k)
			if path != "" {
				at = path + "_" + at
			}
			flatten(at, y, into)
		}
	}
}
