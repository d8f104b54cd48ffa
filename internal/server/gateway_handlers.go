package server

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/maintenance"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// GatewayHandlers are the HTTP routes that only a gateway has: jobs, the table, and what
// operators look at. They read and check requests, against the table last published,
// before those become events of the gateway's machine.
type GatewayHandlers struct{ table tableCheck }

// PublishTable sets the table that requests are checked against, and until when it is
// confirmed on the daemon's monotonic clock.
func (g *GatewayHandlers) PublishTable(table config.Table, confirmedUntil types.MonoTime) {
	g.table.publish(table, confirmedUntil)
}

// Routes returns a gateway's routes: those that every daemon has, and its own.
func (g *GatewayHandlers) Routes(h *Handlers) http.Handler {
	r := h.Router()
	r.HandleFunc(jobPath, g.withTenant(putHandler(h, wire.VerbSubmitJob, g.readJob))).Methods(http.MethodPut)
	r.HandleFunc(jobPath, g.withTenant(h.RequestHandler(wire.VerbGetJob))).Methods(http.MethodGet)
	r.HandleFunc(cancelPath, g.withTenant(h.RequestHandler(wire.VerbCancelJob))).Methods(http.MethodPost)
	r.HandleFunc("/v1/table", putHandler(h, wire.VerbPutTable, readTable)).Methods(http.MethodPut)
	r.HandleFunc("/v1/table", h.RequestHandler(wire.VerbGetTable)).Methods(http.MethodGet)
	r.HandleFunc("/v1/queues", h.RequestHandler(wire.VerbListQueues)).Methods(http.MethodGet)
	r.HandleFunc("/v1/workers", h.RequestHandler(wire.VerbListWorkers)).Methods(http.MethodGet)
	r.HandleFunc("/v1/workers/{id}/gone", requireName(h.RequestHandler(wire.VerbWorkerGone))).Methods(http.MethodPost)
	r.HandleFunc("/v1/drains", h.RequestHandler(wire.VerbListDrains)).Methods(http.MethodGet)
	r.HandleFunc(drainPath, requireName(putHandler(h, wire.VerbStartDrain, readDrain))).Methods(http.MethodPut)
	r.HandleFunc(drainPath, requireName(h.RequestHandler(wire.VerbCancelDrain))).Methods(http.MethodDelete)
	r.HandleFunc("/v1/calendars", h.RequestHandler(wire.VerbListCalendars)).Methods(http.MethodGet)
	r.HandleFunc(calendarPath, requireName(putHandler(h, wire.VerbPutCalendar, readCalendar))).Methods(http.MethodPut)
	r.HandleFunc(calendarPath, requireName(h.RequestHandler(wire.VerbDeleteCalendar))).Methods(http.MethodDelete)
	r.HandleFunc("/v1/mates", h.RequestHandler(wire.VerbListPeers)).Methods(http.MethodGet)
	r.HandleFunc("/v1/leader", h.RequestHandler(wire.VerbStatus)).Methods(http.MethodGet)
	return r
}

// Paths of a job and of its cancelling.
const (
	jobPath    = "/v1/jobs/{id}"
	cancelPath = "/v1/jobs/{id}/cancel"
)

// drainPath is the path of the drain of one worker or rack.
const drainPath = "/v1/drains/{kind:workers|racks}/{id}"

// calendarPath names a maintenance calendar.
const calendarPath = "/v1/calendars/{id}"

// requireName rejects a request whose path holds an id that is no proper name.
func requireName(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if reason := config.CheckName(mux.Vars(r)["id"]); reason != "" {
			WriteError(w, apierror.New(apierror.BadField, "id", reason))
			return
		}
		next(w, r)
	}
}

// putHandler returns a handler that reads and checks a document and has the machine answer
// the verb with it. It answers with the first error of the document, if there is one.
func putHandler[T any](
	h *Handlers,
	verb wire.Verb,
	read func(*http.Request, []byte, *apierror.ErrorList) T,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := ReadBodyOrReject(w, r, state.MaxDocumentBytes)
		if !ok {
			return
		}
		var errs apierror.ErrorList
		document := read(r, body, &errs)
		if err := errs.First(); err != nil {
			WriteError(w, err)
			return
		}
		request := wire.Request{
			Verb: verb, Arg: pathArgument(r), Tenant: tenantOf(r), Body: wire.EncodeBody(document),
		}
		WriteResponse(w, h.Loop.Ask(r.Context(), request))
	}
}

func readTable(_ *http.Request, body []byte, errs *apierror.ErrorList) config.Table {
	return config.ReadTable(body, errs)
}

func readDrain(_ *http.Request, body []byte, errs *apierror.ErrorList) config.Drain {
	return config.ReadDrain(body, errs)
}

// readCalendar reads a maintenance calendar. One without a window in the future is an
// error.
func readCalendar(r *http.Request, body []byte, errs *apierror.ErrorList) state.Calendar {
	document := config.ReadCalendar(body, errs)
	calendar := state.Calendar{
		Name:   mux.Vars(r)["id"],
		Target: state.Target{Shard: document.Shard, Rack: document.Rack},
	}
	if len(errs.List()) == 0 {
		calendar.Windows = maintenance.Read([]byte(document.ICS), time.Now(), errs)
	}
	if len(errs.List()) == 0 {
		errs.Check(len(calendar.Windows) > 0, "ics", "no window of it is still to come")
	}
	return calendar
}
