// The calls that an agent makes to a worker that is called, and what their replies
// mean. Each start is sent once. One that got no clear answer is unsure: a query
// raises the fence, below which the worker starts nothing any more, and what it
// then does not list was not started and never will be. Ends are settled at the
// worker only once they are in the log. What the log has as lapsed when its end is
// heard of stays lapsed: the worker does not count such an end either.
package dispatch

import (
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// line makes the calls that are due.
func (ex *Executor) line() {
	c := ex.caller
	if c == nil || c.life == "" {
		return
	}
	if c.heir != nil && ex.expired() {
		ex.over(false)
		return
	}
	unsure := !ex.told || c.heir != nil
	for _, l := range ex.sorted() {
		switch {
		case l.part == waiting && !l.shown:
			ex.start(l)
		case (l.part == halting || l.ghost) && (l.asked == 0 || ex.now.Sub(l.asked) >= ex.pace.Again):
			l.asked = ex.now
			c.Sums.Stops++
			ex.send(wire.WorkerCall{Kind: wire.Halt, Attempt: l.job.Attempt})
		}
		unsure = unsure || l.unsure
	}
	if unsure && c.query == 0 && ex.now >= c.next {
		c.fence = max(c.fence+1, uint64(c.clock)*fences)
		c.Sums.Queries++
		c.query = ex.send(wire.WorkerCall{Kind: wire.Hold})
	}
	if f := c.open[c.hold]; f != nil && (ex.now.Sub(f.at) > f.Wait+overdue || f.Until == 0 && ex.lease() > 0) {
		c.hold = 0 // it is late, or gave no lease where there may be one now
	}
	if c.hold == 0 && c.query == 0 && ex.now >= c.next && ex.told {
		wait := ex.listen()
		if c.seen < c.high() {
			wait = 0 // the worker lists at once what is not settled
		}
		c.hold = ex.send(wire.WorkerCall{Kind: wire.Hold, Wait: wait})
	}
}

// start sends an order on to the worker, once, or lets it go past its time.
func (ex *Executor) start(l *attempt) {
	end := ex.lease()
	switch {
	case ex.now >= l.until:
		ex.finish(l, state.OutcomeNeverRan)
	case end == 0 || !ex.told:
	default:
		l.shown = true
		l.fence = ex.caller.fence
		ex.caller.Sums.Starts++
		ex.send(wire.WorkerCall{Kind: wire.Start, Attempt: l.job.Attempt, Work: l.job.Work, Ref: l.job.Ref})
	}
}

// send fills in what all calls have in common.
func (ex *Executor) send(w wire.WorkerCall) uint64 {
	c := ex.caller
	c.no++
	w.No, w.To, w.Life, w.Fence, w.Limit = c.no, c.to, c.life, c.fence, answers+w.Wait
	if w.Kind != wire.Halt && ex.told {
		w.Until = ex.lease()
	}
	if w.Kind == wire.Hold {
		w.Seen = c.seen
		c.Sums.Holds++
	}
	c.open[w.No] = &flight{w, ex.now}
	c.until = max(c.until, w.Until)
	c.calls = append(c.calls, w)
	return w.No
}

// Back takes the reply to a call, or that there was none.
func (ex *Executor) Back(now types.MonoTime, r wire.WorkerReply) {
	ex.now = now
	c := ex.caller
	if c == nil || c.open[r.No] == nil {
		return
	}
	f := c.open[r.No]
	delete(c.open, r.No)
	if c.hold == r.No {
		c.hold, c.next = 0, now
	}
	if c.query == r.No {
		c.query = 0
	}
	if r.Result == wire.Stranger {
		ex.over(true)
		return
	}
	if r.Clock > 0 && f.at >= c.came {
		c.heir = nil
	}
	switch {
	case r.Clock == 0:
		c.Sums.Silent++
		c.mute = c.mute || ex.heard <= f.at
		backs[f.Kind](ex, f, r)
	case !c.firm: // a beat's reading may be old, and a fence made of it no higher than an earlier agent's
		c.firm, c.fence = true, max(c.fence, uint64(r.Clock)*fences)
		ex.hear(r.Clock)
		ex.heard, c.mute = now, false
	default:
		ex.hear(r.Clock)
		ex.heard, c.mute = now, false
		backs[f.Kind](ex, f, r)
	}
	ex.line()
	ex.pulse()
}

var backs = map[wire.CallKind]func(*Executor, *flight, wire.WorkerReply){
	wire.Start: (*Executor).started,
	wire.Halt:  (*Executor).halted,
	wire.Hold:  (*Executor).held,
}

// started takes the reply to a start.
func (ex *Executor) started(f *flight, r wire.WorkerReply) {
	l := ex.attempts[f.Attempt]
	if l == nil || l.part == ended {
		return
	}
	switch r.Result {
	case wire.Taken:
		if l.part == waiting {
			l.part, l.from = going, ex.now
		}
		l.sure = ex.now
		if c := ex.caller; ex.now < c.tight && !c.proven.Contains(ex.used()) {
			c.proven = ex.used()
		}
	case wire.Silent:
		l.unsure = true
	default:
		if r.Result == wire.Full {
			ex.full()
		}
		if r.Result == wire.Sick || r.Result == wire.Closed {
			ex.caller.sick, ex.beat = ex.now.Add(ex.pace.Ill), never
		}
		ex.finish(l, state.OutcomeNeverRan)
	}
}

func (ex *Executor) halted(f *flight, r wire.WorkerReply) {
	if l := ex.attempts[f.Attempt]; l != nil && r.Result == wire.Taken {
		l.turned = max(l.turned, ex.now)
	}
}

// held takes the reply to a hold: what runs, and what has ended.
func (ex *Executor) held(f *flight, r wire.WorkerReply) {
	c := ex.caller
	switch {
	case r.Result == wire.Fenced:
		c.fence = max(c.fence, uint64(c.clock)*fences)
		return
	case r.Result != wire.Taken:
		c.next = ex.now.Add(retries)
		return
	}
	runs := map[types.AttemptID]bool{}
	if len(r.Ends) > 0 { // those before it were settled, maybe by an earlier agent
		c.seen = max(c.seen, r.Ends[0].N-1)
	}
	for _, e := range r.Ends {
		runs[e.Attempt] = true
		if e.N > c.seen && c.ends[e.N] == nil {
			ex.list(e)
		}
	}
	if r.Clock >= c.read {
		c.read = r.Clock
		for _, x := range r.Runs {
			runs[x.Attempt] = true
			ex.runs(x)
		}
		if len(r.Ends) < lists {
			ex.miss(f, runs)
		}
	}
	ex.clear(f.Seen)
	ex.told = ex.told || len(r.Ends) < lists
	if len(c.ends) > 0 {
		c.next = ex.now.Add(settles)
	}
}

var hows = map[wire.How]state.Outcome{wire.Done: state.OutcomeOK, wire.Failed: state.OutcomeFailed, wire.Stopped: state.OutcomeStopped,
	wire.Expired: state.OutcomeLeaseExpired, wire.Broken: state.OutcomeStopped, wire.Lonely: state.OutcomeStopped}

// list takes an end that the worker tells for the first time. It counts even if
// the lease may have ended since, unless the log has the attempt as lapsed by then:
// then its task may be elsewhere.
func (ex *Executor) list(e wire.WorkerEnd) {
	c := ex.caller
	c.ends[e.N] = &ending{attempt: e.Attempt}
	l := ex.attempts[e.Attempt]
	if l == nil {
		l = &attempt{job: Job{Attempt: e.Attempt}, part: going}
		ex.put(l)
	}
	l.ghost, l.unsure, l.n = false, false, e.N
	if l.part == ended {
		if l.settled {
			ex.settle(l)
		}
		return
	}
	f := hows[e.How]
	if f == "" {
		f = state.OutcomeLeaseExpired
	}
	l.ref = e.Ref
	ex.finish(l, f)
}

// runs takes an attempt that the worker tells to be running. One that has ended
// here, or that nobody sent since the worker told all, is stopped.
func (ex *Executor) runs(x wire.WorkerRun) {
	l := ex.attempts[x.Attempt]
	if l == nil {
		l = &attempt{job: Job{Attempt: x.Attempt}, part: going, from: ex.now}
		if ex.told {
			l.part = halting
		}
		ex.put(l)
	}
	if l.part == waiting {
		l.part, l.from = going, ex.now
	}
	l.ghost = l.part == ended && l.n == 0
	if x.Ref != l.ref {
		l.ref, l.saved = x.Ref, ex.now
	}
	if x.Percent != l.done || l.read == 0 {
		l.done, l.moved = x.Percent, ex.now
	}
	l.sure, l.unsure, l.read = ex.now, false, ex.now
}

// miss judges what a reply does not list: it can't be running, if the reply was
// asked for after it was known to run, after it was turned away, or by a query
// that raised the fence above it.
func (ex *Executor) miss(f *flight, listed map[types.AttemptID]bool) {
	for _, l := range ex.sorted() {
		if listed[l.job.Attempt] || l.part == ended || !l.shown && l.part == waiting {
			continue
		}
		switch {
		case l.sure > 0 && l.sure < f.at:
			ex.finish(l, state.OutcomeWorkerExited)
		case l.sure == 0 && (f.Fence > l.fence || l.turned > 0 && l.turned < f.at):
			ex.finish(l, state.OutcomeNeverRan)
		}
	}
}

// clear drops the ends that the worker has dropped.
func (ex *Executor) clear(seen uint64) {
	c := ex.caller
	for n, e := range c.ends {
		if n <= seen {
			delete(c.ends, n)
			if l := ex.attempts[e.attempt]; l != nil && l.settled {
				ex.forget(e.attempt)
			}
		}
	}
}

// settle takes it that the log has an attempt's end; ends are settled at the worker
// in their order.
func (ex *Executor) settle(l *attempt) {
	c := ex.caller
	if e := c.ends[l.n]; l.n > 0 && e != nil {
		e.settled = true
		for c.ends[c.seen+1] != nil && c.ends[c.seen+1].settled {
			c.seen++
		}
		if c.seen == c.high() {
			c.next = ex.now
		}
		return
	}
	ex.forget(l.job.Attempt)
}

// high is the highest end that the worker has told.
func (c *Caller) high() uint64 {
	n := c.seen
	for k := range c.ends {
		n = max(n, k)
	}
	return n
}

// saves lists what attempts have saved of late.
func (ex *Executor) saves() (list []Save) {
	for _, l := range ex.sorted() {
		if l.part != ended && l.ref != "" && ex.now.Sub(l.saved) < 4*ex.pace.Beat {
			list = append(list, Save{l.job.Attempt, l.ref})
		}
	}
	return
}

// fits tells whether a worker has all the labels that a task needs.
func (r Report) fits(labels []string) bool {
	for _, l := range labels {
		if !slices.Contains(r.Labels, l) {
			return false
		}
	}
	return true
}
