package server

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
)

// Constant response bodies.
const (
	liveBody  = `{"live":true}`
	readyBody = `{"ready":true}`
)

// Handlers are the HTTP routes that every daemon has.
type Handlers struct {
	Loop     *EventLoop
	trace    *trace.Ring
	shutdown shutdownState
}

// NewHandlers returns the routes of the daemon whose machine an event loop runs.
func NewHandlers(loop *EventLoop, trace *trace.Ring) *Handlers {
	return &Handlers{Loop: loop, trace: trace}
}

// Router returns a router with the routes that every daemon has. The caller may add others.
func (h *Handlers) Router() *mux.Router {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc(messagesPath, h.handleMessages).Methods(http.MethodPost)
	router.HandleFunc("/live", h.handleLive).Methods(http.MethodGet)
	router.HandleFunc("/ready", h.handleReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", h.handleMetrics).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", h.handleStatus).Methods(http.MethodGet)
	router.HandleFunc("/v1/trace", h.handleTrace).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, apierror.New(apierror.NoSuchPath, "", "no such path: "+r.URL.Path))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, apierror.New(apierror.NoSuchMethod, "", r.Method+" is not for this path"))
	})
	return router
}

// RequestHandler returns a handler that passes requests with a verb to the machine. The body must
// be JSON or empty, and is passed on unchanged.
func (h *Handlers) RequestHandler(verb wire.Verb) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := ReadBodyOrReject(w, r, state.MaxDocumentBytes)
		if !ok {
			return
		}
		if len(body) > 0 && !json.Valid(body) {
			WriteError(w, apierror.New(apierror.BadBody, "", "not well-formed JSON"))
			return
		}
		request := wire.Request{Verb: verb, Arg: pathArgument(r), Tenant: tenantOf(r), Body: body}
		WriteResponse(w, h.Loop.Ask(r.Context(), request))
	}
}

// pathArgument returns the argument in a request's path: an id, or a kind and an id.
func pathArgument(r *http.Request) string {
	vars := mux.Vars(r)
	if kind := vars["kind"]; kind != "" {
		return kind + "/" + vars["id"]
	}
	return vars["id"]
}

// IsReady reports whether the daemon can serve callers and is not shutting down.
func (h *Handlers) IsReady() bool {
	return !h.shutdown.draining.Load() && h.Loop.observer.Ready()
}

// handleMessages queues the messages of a peer. A message whose class is full is dropped; the
// messages after it are still queued.
func (h *Handlers) handleMessages(w http.ResponseWriter, r *http.Request) {
	body, ok := ReadBodyOrReject(w, r, wal.MaxRecordSize)
	if !ok {
		return
	}
	messages, err := wire.DecodeMessages(body)
	if err != nil {
		WriteError(w, apierror.New(apierror.BadBody, "", "not a list of notes"))
		return
	}
	rejected := false
	for _, message := range messages {
		if !h.Loop.Deliver(message) {
			rejected = true
		}
	}
	if rejected {
		WriteError(w, apierror.New(apierror.TooBusy, "", "the queue for messages of this kind is full"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handlers) handleLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, []byte(liveBody))
}

func (h *Handlers) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !h.IsReady() {
		WriteError(w, apierror.New(apierror.NotReady, "", "not ready; see /v1/status"))
		return
	}
	writeJSON(w, http.StatusOK, []byte(readyBody))
}

func (h *Handlers) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.Loop.StatusJSON())
}

func (h *Handlers) handleTrace(w http.ResponseWriter, r *http.Request) {
	points := h.trace.Points(r.URL.Query().Get("subject"))
	writeJSON(w, http.StatusOK, wire.EncodeBody(points))
}
