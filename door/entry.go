// The gate's own pages: jobs, the table, and what operators look at. Requests
// are read and checked here, against the table as last published, before they
// become an event for the gate's owner.
package door

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"coppercourse/almanac"
	"coppercourse/blueprint"
	"coppercourse/fault"
	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/word"
)

// Entry checks requests on their way in.
type Entry struct {
	held atomic.Pointer[held]
}

type held struct {
	table blueprint.Table
	fresh bool
	names map[mark.Queue]bool
}

// Publish puts a table in place of the last, for all requests from now on.
func (e *Entry) Publish(t blueprint.Table, fresh bool) {
	h := e.held.Load()
	if h != nil && h.table.Edition == t.Edition && h.fresh == fresh {
		return
	}
	n := &held{t, fresh, map[mark.Queue]bool{}}
	for _, r := range t.Rows {
		n.names[r.Name] = true
	}
	e.held.Store(n)
}

// Routes adds the gate's pages to those that all daemons have.
func (e *Entry) Routes(p *Pages) http.Handler {
	r := p.Router()
	r.HandleFunc("/v1/jobs/{id}", named(put(p, "job.put", e.job))).Methods(http.MethodPut)
	r.HandleFunc("/v1/jobs/{id}", named(p.Ask("job.get"))).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}/cancel", named(p.Ask("job.cancel"))).Methods(http.MethodPost)
	r.HandleFunc("/v1/table", put(p, "table.put", table)).Methods(http.MethodPut)
	r.HandleFunc("/v1/table", p.Ask("table.get")).Methods(http.MethodGet)
	r.HandleFunc("/v1/queues", p.Ask("queues")).Methods(http.MethodGet)
	r.HandleFunc("/v1/workers", p.Ask("workers")).Methods(http.MethodGet)
	r.HandleFunc("/v1/workers/{id}/gone", named(p.Ask("gone"))).Methods(http.MethodPost)
	r.HandleFunc("/v1/drains", p.Ask("drains")).Methods(http.MethodGet)
	r.HandleFunc("/v1/drains/{kind:workers|racks}/{id}", named(put(p, "drain.put", drain))).Methods(http.MethodPut)
	r.HandleFunc("/v1/drains/{kind:workers|racks}/{id}", named(p.Ask("drain.drop"))).Methods(http.MethodDelete)
	r.HandleFunc("/v1/calendars", p.Ask("plans")).Methods(http.MethodGet)
	r.HandleFunc("/v1/calendars/{id}", named(put(p, "plan.put", plan))).Methods(http.MethodPut)
	r.HandleFunc("/v1/calendars/{id}", named(p.Ask("plan.drop"))).Methods(http.MethodDelete)
	r.HandleFunc("/v1/mates", p.Ask("mates")).Methods(http.MethodGet)
	r.HandleFunc("/v1/leader", p.Ask("status")).Methods(http.MethodGet)
	return r
}

// named lets a request pass only with a proper job id.
func named(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if bad := blueprint.Name(mux.Vars(q)["id"]); bad != "" {
			Fail(w, fault.New(fault.BadField, "id", bad))
			return
		}
		next(w, q)
	}
}

// put reads, checks and hands on the body of a request.
func put[T any](p *Pages, verb string, read func(*http.Request, []byte, *fault.Heap) T) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		b, ok := Read(w, q, store.Body)
		if !ok {
			return
		}
		var heap fault.Heap
		body := read(q, b, &heap)
		if f := heap.First(); f != nil {
			Fail(w, f)
			return
		}
		Give(w, p.Owner.Ask(q.Context(), verb, arg(q), word.Body(body)))
	}
}

func (e *Entry) job(_ *http.Request, b []byte, heap *fault.Heap) store.Spec {
	s := store.ReadSpec(b, heap)
	if h := e.held.Load(); len(heap.List()) == 0 && h != nil && h.fresh && !h.names[s.Queue] {
		heap.Add(fault.NoQueue, "queue", "no queue is called "+string(s.Queue))
	}
	return s
}

func table(_ *http.Request, b []byte, heap *fault.Heap) blueprint.Table {
	return blueprint.ReadTable(b, heap)
}

func drain(_ *http.Request, b []byte, heap *fault.Heap) blueprint.Drain {
	return blueprint.ReadDrain(b, heap)
}

func plan(q *http.Request, b []byte, heap *fault.Heap) store.Plan {
	c := blueprint.ReadCalendar(b, heap)
	x := store.Plan{Name: mux.Vars(q)["id"], Target: store.Target{Shard: c.Shard, Rack: c.Rack}}
	if len(heap.List()) == 0 {
		x.Spans = almanac.Read([]byte(c.Text), time.Now(), heap)
	}
	if len(heap.List()) == 0 {
		heap.Check(len(x.Spans) > 0, "ics", "no window of it is still to come")
	}
	return x
}
