// What callers and operators ask, as gates hand it over. A verb that changes
// something is answered once its entry is committed; one that reads is answered
// at once, under the leader's majority grant.
package helm

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"coppercourse/blueprint"
	"coppercourse/fault"
	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/trail"
	"coppercourse/word"
)

// Crowd is how many changes may wait for their commit at once.
const Crowd = 1024

type verb func(h *Helm, w waiter, c word.CallBody)

var verbs = map[string]verb{
	"job.put":     (*Helm).putJob,
	"job.get":     (*Helm).getJob,
	"job.cancel":  (*Helm).cancelJob,
	"table.put":   (*Helm).putTable,
	"table.get":   func(h *Helm, w waiter, _ word.CallBody) { h.good(w, 200, h.state.Table) },
	"queues":      func(h *Helm, w waiter, _ word.CallBody) { h.good(w, 200, h.Queues()) },
	"workers":     func(h *Helm, w waiter, _ word.CallBody) { h.good(w, 200, h.Workers()) },
	"drain.put":   (*Helm).putDrain,
	"drain.drop":  (*Helm).dropDrain,
	"drains":      func(h *Helm, w waiter, _ word.CallBody) { h.good(w, 200, h.Drains()) },
	"plan.put":    (*Helm).putPlan,
	"plan.drop":   (*Helm).dropPlan,
	"plans":       func(h *Helm, w waiter, _ word.CallBody) { h.good(w, 200, h.Plans()) },
	"gone":        (*Helm).gone,
	"queue.count": (*Helm).countQueue,
	"status":      func(h *Helm, w waiter, _ word.CallBody) { h.good(w, 200, h.Status()) },
}

func (h *Helm) call(n word.Note) {
	if c, ok := word.Read[word.CallBody](n); ok {
		h.ask(waiter{from: n.From, id: c.ID}, c)
	}
}

// ask takes a request, from a gate or that came here itself.
func (h *Helm) ask(w waiter, c word.CallBody) {
	h.Sums.Calls++
	w.term = h.core.Term()
	if h.head == nil || !h.core.Firm() {
		lead := h.core.Leader()
		if h.core.Name() == "" {
			lead = h.kin.Lead()
		}
		h.reply(w, word.ReplyBody{Away: true, Lead: lead})
		return
	}
	f := verbs[c.Verb]
	if f == nil {
		h.bad(w, fault.New(fault.NoPath, "", "no such verb"))
		return
	}
	if len(h.waits) >= Crowd {
		h.bad(w, fault.New(fault.Crowd, "", "too many changes wait for the log").After(2*time.Second))
		return
	}
	f(h, w, c)
}

func (h *Helm) reply(w waiter, r word.ReplyBody) {
	r.ID = w.id
	if r.Fault != nil {
		h.Sums.Refused++
	}
	if w.token == 0 {
		h.sends = append(h.sends, word.Make(h.place.Addr, w.from, word.Reply, r))
		return
	}
	a := word.Answer{Token: w.token, Code: r.Code, Body: r.Body, Fault: r.Fault, Lead: r.Lead}
	if r.Away {
		a.Fault = fault.New(fault.NoLead, "", "this helm does not lead").After(time.Second)
	}
	h.answers = append(h.answers, a)
}

func (h *Helm) bad(w waiter, f *fault.Fault) { h.reply(w, word.ReplyBody{Fault: f}) }
func (h *Helm) good(w waiter, code int, v any) {
	h.reply(w, word.ReplyBody{Code: code, Body: word.Body(v)})
}

// wait proposes a fact and keeps who waits for it.
func (h *Helm) wait(w waiter, f store.Fact) {
	i, ok := h.fact(f)
	if !ok {
		h.bad(w, fault.New(fault.NoLead, "", "the log takes nothing now").After(2*time.Second))
		return
	}
	h.waits[i] = w
}

// settle answers a change that is committed.
func (h *Helm) settle(w waiter, f store.Fact, bad *fault.Fault) {
	switch {
	case bad != nil:
		h.bad(w, h.when(bad, f))
	case f.Table != nil:
		h.good(w, 200, f.Table.Next())
	case f.Drain != nil:
		h.good(w, 200, h.Drains())
	case f.Plan != nil:
		h.good(w, 200, h.Plans())
	case f.Gone != "":
		h.good(w, 200, h.Workers())
	case f.Job != nil:
		h.good(w, http.StatusCreated, h.View(f.Job.ID))
	case f.Cancel != "":
		h.good(w, http.StatusAccepted, h.View(f.Cancel))
	}
}

func (h *Helm) when(bad *fault.Fault, f store.Fact) *fault.Fault {
	if bad.Kind == fault.Full && f.Job != nil {
		bad.After(h.rate(f.Job.Spec.Queue).eta(h.now.Mono, h.state.Held(f.Job.Spec.Queue)))
	}
	return bad
}

func (h *Helm) putJob(w waiter, c word.CallBody) {
	var s store.Spec
	if json.Unmarshal(c.Body, &s) != nil {
		h.bad(w, fault.New(fault.BadBody, "", "not a job"))
		return
	}
	id := mark.JobID(c.Arg)
	known, bad := h.state.CheckJob(id, s)
	switch {
	case known != nil:
		h.good(w, 200, h.View(id))
		return
	case bad == nil:
		bad = h.placeable(s)
	}
	f := store.Fact{Job: &store.Submit{ID: id, Spec: s}}
	if bad != nil {
		h.bad(w, h.when(bad, f))
		return
	}
	h.Trail.Add(h.now.Wall, trail.Job(id), "handed over here", "from", w.from)
	h.wait(w, f)
}

// countQueue tells how many jobs of a queue wait: unfinished, with nothing that
// runs or has run.
func (h *Helm) countQueue(w waiter, c word.CallBody) {
	q := mark.Queue(c.Arg)
	if _, ok := h.state.Table.Find(q); !ok {
		h.bad(w, fault.New(fault.NoQueue, "queue", "no queue is called "+c.Arg))
		return
	}
	n := 0
	for _, j := range h.state.Live() {
		if j.Queue == q && j.Legs == 0 {
			n++
		}
	}
	h.good(w, 200, map[string]int{"waiting": n})
}

func (h *Helm) cancelJob(w waiter, c word.CallBody) {
	id := mark.JobID(c.Arg)
	switch repeat, bad := h.state.CheckCancel(id); {
	case bad != nil:
		h.bad(w, bad)
	case repeat:
		h.good(w, 200, h.View(id))
	default:
		h.wait(w, store.Fact{Cancel: id})
	}
}

func (h *Helm) putTable(w waiter, c word.CallBody) {
	var t blueprint.Table
	if json.Unmarshal(c.Body, &t) != nil {
		h.bad(w, fault.New(fault.BadBody, "", "not a table"))
		return
	}
	if bad := h.state.CheckTable(t); bad != nil {
		h.bad(w, bad)
		return
	}
	if h.state.Known(t) {
		h.good(w, 200, t.Next())
		return
	}
	h.wait(w, store.Fact{Table: &t})
}

// placeable tells a job that no known worker, away or not, could ever hold.
func (h *Helm) placeable(s store.Spec) *fault.Fault {
	if len(h.state.Shapes) == 0 {
		return fault.New(fault.NotReady, "", "no worker has come yet").After(2 * time.Second)
	}
	row, _ := h.state.Table.Find(s.Queue)
	for i, p := range s.Steps {
		at := fmt.Sprintf("steps[%d]", i)
		seats, most, kinds, racks := 0, 0, false, false
		for _, x := range h.state.Shapes {
			k, r := x.Fits(p)
			kinds, racks = kinds || k, racks || k && r
			if !k || !r || !x.Room.Holds(p.Room) {
				continue
			}
			n := x.Room.Fits(p.Room)
			if p.Spread > 0 {
				n = min(n, p.Spread)
			}
			seats, most = seats+1, most+n
		}
		switch {
		case !kinds:
			return fault.New(fault.Unplaced, at+".kind", "no worker is of kind "+string(p.Kind))
		case !racks:
			return fault.New(fault.Unplaced, at+".rack", "no worker of the kind is in rack "+string(p.Rack))
		case seats == 0:
			return fault.New(fault.Unplaced, at+".room", "larger than any worker")
		case p.Gang && most < p.Tasks:
			return fault.New(fault.Unplaced, at+".gang", fmt.Sprintf("the workers hold at most %d of its %d members at once", most, p.Tasks))
		case p.Gang && p.Tasks > row.Running:
			return fault.New(fault.Unplaced, at+".gang", "more members than the queue may run at once")
		}
	}
	return nil
}

// rate is how fast a queue's jobs end, to tell when to come back.
type rate struct {
	last mark.Stamp
	each float64 // a second
}

func (h *Helm) rate(q mark.Queue) *rate {
	r := h.rates[q]
	if r == nil {
		r = &rate{}
		h.rates[q] = r
	}
	return r
}

func (r *rate) hit(now mark.Stamp) {
	if r.last != 0 {
		gap := now.Sub(r.last).Seconds()
		r.each += 0.1 * (1/max(gap, 0.001) - r.each)
		r.each = min(r.each, 1000)
	}
	r.last = now
}

// eta is when a tenth of what waits will have gone, from 1 s to a minute.
func (r *rate) eta(now mark.Stamp, waiting int) time.Duration {
	each := r.each
	if gap := now.Sub(r.last).Seconds(); gap > 1 {
		each = min(each, 1/gap)
	}
	s := float64(max(waiting/10, 1)) / max(each, 0.01)
	return time.Duration(min(max(s, 1), 60) * float64(time.Second))
}

func (h *Helm) ended(e store.End) {
	if j := h.state.Jobs[e.Leg.Job]; j != nil && j.Over() {
		delete(h.courses, j.ID)
		h.rate(j.Queue).hit(h.now.Mono)
	}
}
