// The gateway's own pages: jobs, the table, and what operators look at. Requests
// are read and checked here, against the table as last published, before they
// become an event for the gateway's owner.
package server

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/maintenance"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// GatewayHandlers checks requests on their way in.
type GatewayHandlers struct {
	Clock     func() types.MonoTime // the daemon's steady clock; Steady where not set
	published atomic.Pointer[publishedTable]
}

// publishedTable is the table that requests are checked by, and until when its
// confirmation lasts. That is compared with the clock at each request: a machine
// that takes no step for long can't keep an old table in use.
type publishedTable struct {
	table          config.Table
	confirmedUntil types.MonoTime
	names          map[types.QueueName]bool
}

// PublishTable puts a table in place of the last, for all requests from now on.
func (g *GatewayHandlers) PublishTable(t config.Table, confirmedUntil types.MonoTime) {
	last := g.published.Load()
	if last != nil && last.table.Version == t.Version {
		if last.confirmedUntil != confirmedUntil {
			g.published.Store(&publishedTable{last.table, confirmedUntil, last.names})
		}
		return
	}
	next := &publishedTable{t, confirmedUntil, map[types.QueueName]bool{}}
	for _, r := range t.Queues {
		next.names[r.Name] = true
	}
	g.published.Store(next)
}

// queueUnknown tells that a queue is not in the table, as far as that is confirmed now.
func (g *GatewayHandlers) queueUnknown(q types.QueueName) bool {
	p := g.published.Load()
	return p != nil && g.now() < p.confirmedUntil && !p.names[q]
}

func (g *GatewayHandlers) now() types.MonoTime {
	if g.Clock == nil {
		return MonotonicNow()
	}
	return g.Clock()
}

// Routes adds the gateway's pages to those that all daemons have.
func (g *GatewayHandlers) Routes(p *Handlers) http.Handler {
	r := p.Router()
	r.HandleFunc("/v1/jobs/{id}", requireName(putHandler(p, "job.put", g.readJob))).Methods(http.MethodPut)
	r.HandleFunc("/v1/jobs/{id}", requireName(p.RequestHandler("job.get"))).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}/cancel", requireName(p.RequestHandler("job.cancel"))).Methods(http.MethodPost)
	r.HandleFunc("/v1/table", putHandler(p, "table.put", readTable)).Methods(http.MethodPut)
	r.HandleFunc("/v1/table", p.RequestHandler("table.get")).Methods(http.MethodGet)
	r.HandleFunc("/v1/queues", p.RequestHandler("queues")).Methods(http.MethodGet)
	r.HandleFunc("/v1/workers", p.RequestHandler("workers")).Methods(http.MethodGet)
	r.HandleFunc("/v1/workers/{id}/gone", requireName(p.RequestHandler("gone"))).Methods(http.MethodPost)
	r.HandleFunc("/v1/drains", p.RequestHandler("drains")).Methods(http.MethodGet)
	r.HandleFunc("/v1/drains/{kind:workers|racks}/{id}", requireName(putHandler(p, "drain.put", readDrain))).Methods(http.MethodPut)
	r.HandleFunc("/v1/drains/{kind:workers|racks}/{id}", requireName(p.RequestHandler("drain.drop"))).Methods(http.MethodDelete)
	r.HandleFunc("/v1/calendars", p.RequestHandler("plans")).Methods(http.MethodGet)
	r.HandleFunc("/v1/calendars/{id}", requireName(putHandler(p, "plan.put", readCalendar))).Methods(http.MethodPut)
	r.HandleFunc("/v1/calendars/{id}", requireName(p.RequestHandler("plan.drop"))).Methods(http.MethodDelete)
	r.HandleFunc("/v1/mates", p.RequestHandler("mates")).Methods(http.MethodGet)
	r.HandleFunc("/v1/leader", p.RequestHandler("status")).Methods(http.MethodGet)
	return r
}

// requireName lets a request pass only with a proper job id.
func requireName(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if bad := config.CheckName(mux.Vars(q)["id"]); bad != "" {
			WriteError(w, apierror.New(apierror.BadField, "id", bad))
			return
		}
		next(w, q)
	}
}

// putHandler reads, checks and hands on the body of a request.
func putHandler[T any](p *Handlers, verb string, read func(*http.Request, []byte, *apierror.ErrorList) T) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		b, ok := ReadBodyOrReject(w, q, state.MaxDocumentBytes)
		if !ok {
			return
		}
		var heap apierror.ErrorList
		body := read(q, b, &heap)
		if f := heap.First(); f != nil {
			WriteError(w, f)
			return
		}
		WriteResponse(w, p.Loop.Ask(q.Context(), verb, pathArgument(q), wire.EncodeBody(body)))
	}
}

func (g *GatewayHandlers) readJob(_ *http.Request, b []byte, heap *apierror.ErrorList) state.Spec {
	s := state.ReadSpec(b, heap)
	if len(heap.List()) == 0 && g.queueUnknown(s.Queue) {
		heap.Add(apierror.NoSuchQueue, "queue", "no queue is called "+string(s.Queue))
	}
	return s
}

func readTable(_ *http.Request, b []byte, heap *apierror.ErrorList) config.Table {
	return config.ReadTable(b, heap)
}

func readDrain(_ *http.Request, b []byte, heap *apierror.ErrorList) config.Drain {
	return config.ReadDrain(b, heap)
}

func readCalendar(q *http.Request, b []byte, heap *apierror.ErrorList) state.Calendar {
	c := config.ReadCalendar(b, heap)
	x := state.Calendar{Name: mux.Vars(q)["id"], Target: state.Target{Shard: c.Shard, Rack: c.Rack}}
	if len(heap.List()) == 0 {
		x.Windows = maintenance.Read([]byte(c.ICS), time.Now(), heap)
	}
	if len(heap.List()) == 0 {
		heap.Check(len(x.Windows) > 0, "ics", "no window of it is still to come")
	}
	return x
}
