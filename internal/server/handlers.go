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

// Handlers are a daemon's routes and what they show.
type Handlers struct {
	Loop      *EventLoop
	Sender    *Sender
	Trace     *trace.Ring
	Ready     func() bool
	draining  atomic.Bool
	rejecting atomic.Bool
	inFlight  atomic.Int64
}

// Router makes the routes that all daemons share.
func (h *Handlers) Router() *mux.Router {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/mate", h.handleMessages).Methods(http.MethodPost)
	r.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, []byte(`{"live":true}`)) }).Methods(http.MethodGet)
	r.HandleFunc("/ready", h.handleReady).Methods(http.MethodGet)
	r.HandleFunc("/metrics", h.handleMetrics).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, h.Loop.StatusJSON()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/trace", func(w http.ResponseWriter, q *http.Request) {
		writeJSON(w, 200, wire.EncodeBody(h.Trace.Points(q.URL.Query().Get("subject"))))
	}).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		WriteError(w, apierror.New(apierror.NoSuchPath, "", "no such path: "+q.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		WriteError(w, apierror.New(apierror.NoSuchMethod, "", q.Method+" is not for this path"))
	})
	return r
}

// TrackInFlight counts requests under way, so that a planned stop can wait for them,
// and tells callers to close their connections while it does.
func (h *Handlers) TrackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		if h.draining.Load() && q.URL.Path != "/mate" {
			w.Header().Set("Connection", "close")
		}
		if h.rejecting.Load() && q.URL.Path != "/mate" {
			WriteError(w, apierror.New(apierror.ShuttingDown, "", "this daemon is stopping; ask another"))
			return
		}
		next.ServeHTTP(w, q)
	})
}

func writeJSON(w http.ResponseWriter, code int, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(b)
}

// WriteError answers with a fault, by the one table.
func WriteError(w http.ResponseWriter, f *apierror.Error) {
	if f.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfterSeconds))
	}
	writeJSON(w, f.StatusCode(), wire.EncodeBody(f))
}

// Assignment answers with what the machine said.
func WriteResponse(w http.ResponseWriter, a wire.Response) {
	if a.Error != nil {
		WriteError(w, a.Error)
		return
	}
	writeJSON(w, a.StatusCode, a.Body)
}

// ReadBody takes a request's body up to a size, or tells why not.
func ReadBody(w http.ResponseWriter, q *http.Request, maxBytes int64) ([]byte, *apierror.Error) {
	var buf bytes.Buffer
	if q.ContentLength > 0 {
		buf.Grow(int(min(q.ContentLength, maxBytes)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, q.Body, maxBytes))
	if err == nil {
		return buf.Bytes(), nil
	}
	if _, large := err.(*http.MaxBytesError); large {
		return nil, apierror.New(apierror.TooLarge, "", fmt.Sprintf("larger than %d bytes", maxBytes))
	}
	return nil, apierror.New(apierror.BodyCutShort, "", "the body did not come whole; send it again")
}

// ReadBodyOrReject takes a request's body up to a size, or answers why not.
func ReadBodyOrReject(w http.ResponseWriter, q *http.Request, maxBytes int64) ([]byte, bool) {
	b, f := ReadBody(w, q, maxBytes)
	if f != nil {
		WriteError(w, f)
	}
	return b, f == nil
}

// RequestHandler reads a body and has the machine answer it.
func (h *Handlers) RequestHandler(verb string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		b, ok := ReadBodyOrReject(w, q, state.MaxDocumentBytes)
		if !ok {
			return
		}
		if len(b) > 0 && !json.Valid(b) {
			WriteError(w, apierror.New(apierror.BadBody, "", "not well-formed JSON"))
			return
		}
		WriteResponse(w, h.Loop.Ask(q.Context(), verb, pathArgument(q), b))
	}
}

// pathArgument is what a path names: an id, or a kind and an id.
func pathArgument(q *http.Request) string {
	v := mux.Vars(q)
	if v["kind"] != "" {
		return v["kind"] + "/" + v["id"]
	}
	return v["id"]
}

func (h *Handlers) handleMessages(w http.ResponseWriter, q *http.Request) {
	b, ok := ReadBodyOrReject(w, q, wal.MaxRecordSize)
	if !ok {
		return
	}
	list, err := wire.DecodeMessages(b)
	if err != nil {
		WriteError(w, apierror.New(apierror.BadBody, "", "not a list of notes"))
		return
	}
	refused := false
	for _, n := range list { // one that has no room takes none from those after it
		refused = !h.Loop.Deliver(n) || refused
	}
	if refused {
		WriteError(w, apierror.New(apierror.TooBusy, "", "no room for messages of this kind"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// IsReady tells whether the platform may send callers here.
func (h *Handlers) IsReady() bool { return !h.draining.Load() && h.Ready() }

func (h *Handlers) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !h.IsReady() {
		WriteError(w, apierror.New(apierror.NotReady, "", "not ready; see /v1/status"))
		return
	}
	writeJSON(w, 200, []byte(`{"ready":true}`))
}

// handleMetrics shows every number of the status, and the shell's own.
func (h *Handlers) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	var v map[string]any
	json.Unmarshal(h.Loop.StatusJSON(), &v)
	delete(v, "mates")
	delete(v, "roll")
	flat := map[string]float64{"post_sent": float64(h.Sender.Sent.Load()), "post_failed": float64(h.Sender.Failed.Load()),
		"post_dropped": float64(h.Sender.Dropped.Load()), "requests_turned_away_busy": float64(h.Loop.rejectedBusy.Load()),
		"requests_under_way_http": float64(h.inFlight.Load())}
	refused, stale := h.Loop.queue.rejected()
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

func flatten(path string, value any, metrics map[string]float64) {
	switch x := value.(type) {
	case float64:
		metrics[path] = x
	case bool:
		metrics[path] = 0
		if x {
			metrics[path] = 1
		}
	case map[string]any:
		for k, y := range x {
			at := strings.ToLower(k)
			if path != "" {
				at = path + "_" + at
			}
			flatten(at, y, metrics)
		}
	}
}
