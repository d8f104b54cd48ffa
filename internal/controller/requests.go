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

type requestHandler func(h *Controller, w caller, c wire.ForwardedRequest)

var requestHandlers = map[string]requestHandler{
	"job.put":     (*Controller).submitJob,
	"job.get":     (*Controller).getJob,
	"job.cancel":  (*Controller).cancelJob,
	"table.put":   (*Controller).putTable,
	"table.get":   func(h *Controller, w caller, _ wire.ForwardedRequest) { h.outbox.replyOK(w, 200, h.log.state().Table) },
	"queues":      func(h *Controller, w caller, _ wire.ForwardedRequest) { h.outbox.replyOK(w, 200, h.Queues()) },
	"workers":     func(h *Controller, w caller, _ wire.ForwardedRequest) { h.outbox.replyOK(w, 200, h.Workers()) },
	"drain.put":   (*Controller).startDrain,
	"drain.drop":  (*Controller).cancelDrain,
	"drains":      func(h *Controller, w caller, _ wire.ForwardedRequest) { h.outbox.replyOK(w, 200, h.Drains()) },
	"plan.put":    (*Controller).putCalendar,
	"plan.drop":   (*Controller).deleteCalendar,
	"plans":       func(h *Controller, w caller, _ wire.ForwardedRequest) { h.outbox.replyOK(w, 200, h.Calendars()) },
	"gone":        (*Controller).confirmWorkerGone,
	"queue.count": (*Controller).countQueue,
	"status":      func(h *Controller, w caller, _ wire.ForwardedRequest) { h.outbox.replyOK(w, 200, h.Status()) },
}

func (co *Controller) handleCall(n wire.Message) {
	if c, ok := wire.DecodeBody[wire.ForwardedRequest](n); ok {
		co.handleRequest(caller{gateway: n.From, requestID: c.ID}, c)
	}
}

// handleRequest takes a request, from a gateway or that came here itself.
func (co *Controller) handleRequest(w caller, c wire.ForwardedRequest) {
	co.Counters.Calls++
	if co.scheduler == nil || !co.raft.HoldsReadLease() {
		co.outbox.redirect(w, co.otherLeader())
		return
	}
	if f := co.checkOverload(c); f != nil {
		co.outbox.replyError(w, f)
		return
	}
	f := requestHandlers[c.Verb]
	if f == nil {
		co.outbox.replyError(w, apierror.New(apierror.NoSuchPath, "", "no such verb"))
		return
	}
	if co.requests.full() {
		co.outbox.replyError(w, apierror.New(apierror.TooBusy, "", "too many changes wait for the log").WithRetryAfter(2*time.Second))
		return
	}
	f(co, w, c)
}

// otherLeader is whom a caller should ask instead, if there is fresh word of a
// leader: one of which nothing was heard for as long as its lease lasts may lead
// no more, and this controller itself can't be the answer.
func (co *Controller) otherLeader() types.Addr {
	if co.raft.ClusterName() == "" {
		if lead := co.members.Leader(); lead != co.options.Addr {
			return lead
		}
		return ""
	}
	if !co.raft.HasRecentLeader() {
		return ""
	}
	return co.raft.LeaderAddr()
}

// proposeRequest proposes a fact and keeps who waits for it.
func (co *Controller) proposeRequest(w caller, f state.Command) {
	i, ok := co.log.propose(f)
	if !ok {
		co.outbox.replyError(w, apierror.New(apierror.NoLeader, "", "the log takes nothing now").WithRetryAfter(2*time.Second))
		return
	}
	co.requests.await(i, co.raft.Term(), w)
}

// replyCommitted answers a change that is committed.
func (co *Controller) replyCommitted(w caller, f state.Command, bad *apierror.Error) {
	switch {
	case bad != nil:
		co.outbox.replyError(w, co.withRetryAfter(bad, f))
	case f.Table != nil:
		co.outbox.replyOK(w, 200, f.Table.Accepted())
	case f.Drain != nil:
		co.outbox.replyOK(w, 200, co.Drains())
	case f.Calendar != nil:
		co.outbox.replyOK(w, 200, co.Calendars())
	case f.ExitedWorker != "":
		co.outbox.replyOK(w, 200, co.Workers())
	case f.Job != nil:
		co.outbox.replyOK(w, http.StatusCreated, co.View(f.Job.ID))
	case f.Cancel != "":
		co.outbox.replyOK(w, http.StatusAccepted, co.View(f.Cancel))
	}
}

func (co *Controller) withRetryAfter(bad *apierror.Error, f state.Command) *apierror.Error {
	if bad.Kind == apierror.QueueFull && f.Job != nil {
		bad.WithRetryAfter(co.requests.rates.retryAfter(f.Job.Spec.Queue, co.now.Mono, co.log.state().UnfinishedJobs(f.Job.Spec.Queue)))
	}
	return bad
}

func (co *Controller) submitJob(w caller, c wire.ForwardedRequest) {
	var s state.Spec
	if json.Unmarshal(c.Body, &s) != nil {
		co.outbox.replyError(w, apierror.New(apierror.BadBody, "", "not a job"))
		return
	}
	id := types.JobID(c.Arg)
	known, bad := co.log.state().CheckJob(id, s)
	switch {
	case known != nil:
		co.outbox.replyOK(w, 200, co.View(id))
		return
	case bad == nil:
		bad = co.checkFeasible(s)
	}
	f := state.Command{Job: &state.Submission{ID: id, Spec: s}}
	if bad != nil {
		co.outbox.replyError(w, co.withRetryAfter(bad, f))
		return
	}
	co.Trace.Add(co.now.Wall, trace.JobSubject(id), "handed over here", "from", w.gateway)
	co.proposeRequest(w, f)
}

// countQueue tells how many jobs of a queue wait: unfinished, with nothing that
// runs or has run.
func (co *Controller) countQueue(w caller, c wire.ForwardedRequest) {
	q := types.QueueName(c.Arg)
	if _, ok := co.log.state().Table.FindQueue(q); !ok {
		co.outbox.replyError(w, apierror.New(apierror.NoSuchQueue, "queue", "no queue is called "+c.Arg))
		return
	}
	n := 0
	for _, j := range co.log.state().LiveJobs() {
		if j.Queue == q && j.AttemptCount == 0 {
			n++
		}
	}
	co.outbox.replyOK(w, 200, map[string]int{"waiting": n})
}

func (co *Controller) cancelJob(w caller, c wire.ForwardedRequest) {
	id := types.JobID(c.Arg)
	switch repeat, bad := co.log.state().CheckCancel(id); {
	case bad != nil:
		co.outbox.replyError(w, bad)
	case repeat:
		co.outbox.replyOK(w, 200, co.View(id))
	default:
		co.proposeRequest(w, state.Command{Cancel: id})
	}
}

func (co *Controller) putTable(w caller, c wire.ForwardedRequest) {
	var t config.Table
	if json.Unmarshal(c.Body, &t) != nil {
		co.outbox.replyError(w, apierror.New(apierror.BadBody, "", "not a table"))
		return
	}
	if bad := co.log.state().CheckTable(t); bad != nil {
		co.outbox.replyError(w, bad)
		return
	}
	if co.log.state().IsRepeat(t) {
		co.outbox.replyOK(w, 200, t.Accepted())
		return
	}
	co.proposeRequest(w, state.Command{Table: &t})
}

// checkFeasible tells a job that no known worker, away or not, could ever hold.
func (co *Controller) checkFeasible(s state.Spec) *apierror.Error {
	if len(co.log.state().WorkerShapes) == 0 {
		return apierror.New(apierror.NotReady, "", "no worker has come yet").WithRetryAfter(2 * time.Second)
	}
	row, _ := co.log.state().Table.FindQueue(s.Queue)
	for i, p := range s.Steps {
		at := fmt.Sprintf("steps[%d]", i)
		workers, capacity, kindFound, rackFound := 0, 0, false, false
		for _, x := range co.log.state().WorkerShapes {
			k, r := x.Matches(p)
			kindFound, rackFound = kindFound || k, rackFound || k && r
			if !k || !r || !x.Resources.Contains(p.Resources) {
				continue
			}
			n := x.Resources.FitCount(p.Resources)
			if p.MaxPerWorker > 0 {
				n = min(n, p.MaxPerWorker)
			}
			workers, capacity = workers+1, capacity+n
		}
		switch {
		case !kindFound:
			return apierror.New(apierror.NeverPlaceable, at+".kind", "no worker is of kind "+string(p.Kind))
		case !rackFound:
			return apierror.New(apierror.NeverPlaceable, at+".rack", "no worker of the kind is in rack "+string(p.Rack))
		case workers == 0:
			return apierror.New(apierror.NeverPlaceable, at+".room", "larger than any worker")
		case p.Gang && capacity < p.Tasks:
			return apierror.New(apierror.NeverPlaceable, at+".gang", fmt.Sprintf("the workers hold at most %d of its %d members at once", capacity, p.Tasks))
		case p.Gang && p.Tasks > row.MaxRunning:
			return apierror.New(apierror.NeverPlaceable, at+".gang", "more members than the queue may run at once")
		}
	}
	return nil
}

func (co *Controller) attemptEnded(e state.AttemptEnd) {
	if j := co.log.state().Jobs[e.ID.Job]; j != nil && j.Ended() {
		delete(co.jobDurations, j.ID)
		co.requests.rates.record(j.Queue, co.now.Mono)
	}
}
