// What callers and operators ask, as gateways hand it over. A verb that changes
// something is answered once its entry is committed; one that reads is answered
// at once, under the leader's majority grant.
package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Crowd is how many changes may wait for their commit at once.
const Crowd = 1024

type verb func(h *Controller, w waiter, c wire.CallBody)

var verbs = map[string]verb{
	"job.put":     (*Controller).putJob,
	"job.get":     (*Controller).getJob,
	"job.cancel":  (*Controller).cancelJob,
	"table.put":   (*Controller).putTable,
	"table.get":   func(h *Controller, w waiter, _ wire.CallBody) { h.good(w, 200, h.state.Table) },
	"queues":      func(h *Controller, w waiter, _ wire.CallBody) { h.good(w, 200, h.Queues()) },
	"workers":     func(h *Controller, w waiter, _ wire.CallBody) { h.good(w, 200, h.Workers()) },
	"drain.put":   (*Controller).putDrain,
	"drain.drop":  (*Controller).dropDrain,
	"drains":      func(h *Controller, w waiter, _ wire.CallBody) { h.good(w, 200, h.Drains()) },
	"plan.put":    (*Controller).putPlan,
	"plan.drop":   (*Controller).dropPlan,
	"plans":       func(h *Controller, w waiter, _ wire.CallBody) { h.good(w, 200, h.Plans()) },
	"gone":        (*Controller).gone,
	"queue.count": (*Controller).countQueue,
	"status":      func(h *Controller, w waiter, _ wire.CallBody) { h.good(w, 200, h.Status()) },
}

func (co *Controller) call(n wire.Message) {
	if c, ok := wire.Read[wire.CallBody](n); ok {
		co.ask(waiter{from: n.From, id: c.ID}, c)
	}
}

// ask takes a request, from a gateway or that came here itself.
func (co *Controller) ask(w waiter, c wire.CallBody) {
	co.Sums.Calls++
	w.term = co.raft.Term()
	if co.scheduler == nil || !co.raft.HoldsReadLease() {
		co.reply(w, wire.ReplyBody{Away: true, Lead: co.otherLeader()})
		return
	}
	if f := co.refuses(c); f != nil {
		co.bad(w, f)
		return
	}
	f := verbs[c.Verb]
	if f == nil {
		co.bad(w, apierror.New(apierror.NoSuchPath, "", "no such verb"))
		return
	}
	if len(co.waiters) >= Crowd {
		co.bad(w, apierror.New(apierror.TooBusy, "", "too many changes wait for the log").WithRetryAfter(2*time.Second))
		return
	}
	f(co, w, c)
}

// otherLeader is whom a caller should ask instead, if there is fresh word of a
// leader: one of which nothing was heard for as long as its lease lasts may lead
// no more, and this controller itself can't be the answer.
func (co *Controller) otherLeader() types.Addr {
	if co.raft.ClusterName() == "" {
		if lead := co.roster.Lead(); lead != co.options.Addr {
			return lead
		}
		return ""
	}
	if !co.raft.HasRecentLeader() {
		return ""
	}
	return co.raft.LeaderAddr()
}

func (co *Controller) reply(w waiter, r wire.ReplyBody) {
	r.ID = w.id
	if r.Fault != nil {
		co.Sums.Refused++
	}
	if w.token == 0 {
		co.sends = append(co.sends, wire.Make(co.options.Addr, w.from, wire.Reply, r))
		return
	}
	a := wire.Answer{Token: w.token, Code: r.Code, Body: r.Body, Fault: r.Fault, Lead: r.Lead}
	if r.Away {
		a.Fault = apierror.New(apierror.NoLeader, "", "this controller does not lead").WithRetryAfter(time.Second)
	}
	co.answers = append(co.answers, a)
}

func (co *Controller) bad(w waiter, f *apierror.Error) { co.reply(w, wire.ReplyBody{Fault: f}) }
func (co *Controller) good(w waiter, code int, v any) {
	co.reply(w, wire.ReplyBody{Code: code, Body: wire.Body(v)})
}

// wait proposes a fact and keeps who waits for it.
func (co *Controller) wait(w waiter, f state.Command) {
	i, ok := co.fact(f)
	if !ok {
		co.bad(w, apierror.New(apierror.NoLeader, "", "the log takes nothing now").WithRetryAfter(2*time.Second))
		return
	}
	co.waiters[i] = w
}

// settle answers a change that is committed.
func (co *Controller) settle(w waiter, f state.Command, bad *apierror.Error) {
	switch {
	case bad != nil:
		co.bad(w, co.when(bad, f))
	case f.Table != nil:
		co.good(w, 200, f.Table.Accepted())
	case f.Drain != nil:
		co.good(w, 200, co.Drains())
	case f.Calendar != nil:
		co.good(w, 200, co.Plans())
	case f.ExitedWorker != "":
		co.good(w, 200, co.Workers())
	case f.Job != nil:
		co.good(w, http.StatusCreated, co.View(f.Job.ID))
	case f.Cancel != "":
		co.good(w, http.StatusAccepted, co.View(f.Cancel))
	}
}

func (co *Controller) when(bad *apierror.Error, f state.Command) *apierror.Error {
	if bad.Kind == apierror.QueueFull && f.Job != nil {
		bad.WithRetryAfter(co.rate(f.Job.Spec.Queue).eta(co.now.Mono, co.state.UnfinishedJobs(f.Job.Spec.Queue)))
	}
	return bad
}

func (co *Controller) putJob(w waiter, c wire.CallBody) {
	var s state.Spec
	if json.Unmarshal(c.Body, &s) != nil {
		co.bad(w, apierror.New(apierror.BadBody, "", "not a job"))
		return
	}
	id := types.JobID(c.Arg)
	known, bad := co.state.CheckJob(id, s)
	switch {
	case known != nil:
		co.good(w, 200, co.View(id))
		return
	case bad == nil:
		bad = co.placeable(s)
	}
	f := state.Command{Job: &state.Submission{ID: id, Spec: s}}
	if bad != nil {
		co.bad(w, co.when(bad, f))
		return
	}
	co.Trail.Add(co.now.Wall, trace.Job(id), "handed over here", "from", w.from)
	co.wait(w, f)
}

// countQueue tells how many jobs of a queue wait: unfinished, with nothing that
// runs or has run.
func (co *Controller) countQueue(w waiter, c wire.CallBody) {
	q := types.QueueName(c.Arg)
	if _, ok := co.state.Table.FindQueue(q); !ok {
		co.bad(w, apierror.New(apierror.NoSuchQueue, "queue", "no queue is called "+c.Arg))
		return
	}
	n := 0
	for _, j := range co.state.LiveJobs() {
		if j.Queue == q && j.AttemptCount == 0 {
			n++
		}
	}
	co.good(w, 200, map[string]int{"waiting": n})
}

func (co *Controller) cancelJob(w waiter, c wire.CallBody) {
	id := types.JobID(c.Arg)
	switch repeat, bad := co.state.CheckCancel(id); {
	case bad != nil:
		co.bad(w, bad)
	case repeat:
		co.good(w, 200, co.View(id))
	default:
		co.wait(w, state.Command{Cancel: id})
	}
}

func (co *Controller) putTable(w waiter, c wire.CallBody) {
	var t config.Table
	if json.Unmarshal(c.Body, &t) != nil {
		co.bad(w, apierror.New(apierror.BadBody, "", "not a table"))
		return
	}
	if bad := co.state.CheckTable(t); bad != nil {
		co.bad(w, bad)
		return
	}
	if co.state.IsRepeat(t) {
		co.good(w, 200, t.Accepted())
		return
	}
	co.wait(w, state.Command{Table: &t})
}

// placeable tells a job that no known worker, away or not, could ever hold.
func (co *Controller) placeable(s state.Spec) *apierror.Error {
	if len(co.state.WorkerShapes) == 0 {
		return apierror.New(apierror.NotReady, "", "no worker has come yet").WithRetryAfter(2 * time.Second)
	}
	row, _ := co.state.Table.FindQueue(s.Queue)
	for i, p := range s.Steps {
		at := fmt.Sprintf("steps[%d]", i)
		seats, most, kinds, racks := 0, 0, false, false
		for _, x := range co.state.WorkerShapes {
			k, r := x.Matches(p)
			kinds, racks = kinds || k, racks || k && r
			if !k || !r || !x.Resources.Contains(p.Resources) {
				continue
			}
			n := x.Resources.FitCount(p.Resources)
			if p.MaxPerWorker > 0 {
				n = min(n, p.MaxPerWorker)
			}
			seats, most = seats+1, most+n
		}
		switch {
		case !kinds:
			return apierror.New(apierror.NeverPlaceable, at+".kind", "no worker is of kind "+string(p.Kind))
		case !racks:
			return apierror.New(apierror.NeverPlaceable, at+".rack", "no worker of the kind is in rack "+string(p.Rack))
		case seats == 0:
			return apierror.New(apierror.NeverPlaceable, at+".room", "larger than any worker")
		case p.Gang && most < p.Tasks:
			return apierror.New(apierror.NeverPlaceable, at+".gang", fmt.Sprintf("the workers hold at most %d of its %d members at once", most, p.Tasks))
		case p.Gang && p.Tasks > row.MaxRunning:
			return apierror.New(apierror.NeverPlaceable, at+".gang", "more members than the queue may run at once")
		}
	}
	return nil
}

// rate is how fast a queue's jobs end, to tell when to come back.
type rate struct {
	last types.MonoTime
	each float64 // a second
}

func (co *Controller) rate(q types.QueueName) *rate {
	r := co.rates[q]
	if r == nil {
		r = &rate{}
		co.rates[q] = r
	}
	return r
}

func (r *rate) hit(now types.MonoTime) {
	if r.last != 0 {
		gap := now.Sub(r.last).Seconds()
		r.each += 0.1 * (1/max(gap, 0.001) - r.each)
		r.each = min(r.each, 1000)
	}
	r.last = now
}

// eta is when a tenth of what waits will have gone, from 1 s to a minute.
func (r *rate) eta(now types.MonoTime, waiting int) time.Duration {
	each := r.each
	if gap := now.Sub(r.last).Seconds(); gap > 1 {
		each = min(each, 1/gap)
	}
	s := float64(max(waiting/10, 1)) / max(each, 0.01)
	return time.Duration(min(max(s, 1), 60) * float64(time.Second))
}

func (co *Controller) ended(e state.AttemptEnd) {
	if j := co.state.Jobs[e.ID.Job]; j != nil && j.Ended() {
		delete(co.courses, j.ID)
		co.rate(j.Queue).hit(co.now.Mono)
	}
}
