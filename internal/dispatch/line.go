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
func (h *Executor) line() {
	c := h.caller
	if c == nil || c.life == "" {
		return
	}
	if c.heir != nil && h.expired() {
		h.over(false)
		return
	}
	unsure := !h.told || c.heir != nil
	for _, l := range h.sorted() {
		switch {
		case l.part == waiting && !l.shown:
			h.start(l)
		case (l.part == halting || l.ghost) && (l.asked == 0 || h.now.Sub(l.asked) >= h.pace.Again):
			l.asked = h.now
			c.Sums.Stops++
			h.send(wire.WorkerCall{Kind: wire.Halt, Attempt: l.job.Attempt})
		}
		unsure = unsure || l.unsure
	}
	if unsure && c.query == 0 && h.now >= c.next {
		c.fence = max(c.fence+1, uint64(c.clock)*fences)
		c.Sums.Queries++
		c.query = h.send(wire.WorkerCall{Kind: wire.Hold})
	}
	if f := c.open[c.hold]; f != nil && (h.now.Sub(f.at) > f.Wait+overdue || f.Until == 0 && h.lease() > 0) {
		c.hold = 0 // it is late, or gave no lease where there may be one now
	}
	if c.hold == 0 && c.query == 0 && h.now >= c.next && h.told {
		wait := h.listen()
		if c.seen < c.high() {
			wait = 0 // the worker lists at once what is not settled
		}
		c.hold = h.send(wire.WorkerCall{Kind: wire.Hold, Wait: wait})
	}
}

// start sends an order on to the worker, once, or lets it go past its time.
func (h *Executor) start(l *attempt) {
	end := h.lease()
	switch {
	case h.now >= l.until:
		h.finish(l, state.Unrun)
	case end == 0 || !h.told:
	default:
		l.shown = true
		l.fence = h.caller.fence
		h.caller.Sums.Starts++
		h.send(wire.WorkerCall{Kind: wire.Start, Attempt: l.job.Attempt, Work: l.job.Work, Ref: l.job.Ref})
	}
}

// send fills in what all calls have in common.
func (h *Executor) send(w wire.WorkerCall) uint64 {
	c := h.caller
	c.no++
	w.No, w.To, w.Life, w.Fence, w.Limit = c.no, c.to, c.life, c.fence, answers+w.Wait
	if w.Kind != wire.Halt && h.told {
		w.Until = h.lease()
	}
	if w.Kind == wire.Hold {
		w.Seen = c.seen
		c.Sums.Holds++
	}
	c.open[w.No] = &flight{w, h.now}
	c.until = max(c.until, w.Until)
	c.calls = append(c.calls, w)
	return w.No
}

// Back takes the reply to a call, or that there was none.
func (h *Executor) Back(now types.Stamp, r wire.WorkerReply) {
	h.now = now
	c := h.caller
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
		h.over(true)
		return
	}
	if r.Clock > 0 && f.at >= c.came {
		c.heir = nil
	}
	switch {
	case r.Clock == 0:
		c.Sums.Silent++
		c.mute = c.mute || h.heard <= f.at
		backs[f.Kind](h, f, r)
	case !c.firm: // a beat's reading may be old, and a fence made of it no higher than an earlier agent's
		c.firm, c.fence = true, max(c.fence, uint64(r.Clock)*fences)
		h.hear(r.Clock)
		h.heard, c.mute = now, false
	default:
		h.hear(r.Clock)
		h.heard, c.mute = now, false
		backs[f.Kind](h, f, r)
	}
	h.line()
	h.pulse()
}

var backs = map[wire.CallKind]func(*Executor, *flight, wire.WorkerReply){
	wire.Start: (*Executor).started,
	wire.Halt:  (*Executor).halted,
	wire.Hold:  (*Executor).held,
}

// started takes the reply to a start.
func (h *Executor) started(f *flight, r wire.WorkerReply) {
	l := h.attempts[f.Attempt]
	if l == nil || l.part == ended {
		return
	}
	switch r.Result {
	case wire.Taken:
		if l.part == waiting {
			l.part, l.from = going, h.now
		}
		l.sure = h.now
		if c := h.caller; h.now < c.tight && !c.proven.Holds(h.used()) {
			c.proven = h.used()
		}
	case wire.Silent:
		l.unsure = true
	default:
		if r.Result == wire.Full {
			h.full()
		}
		if r.Result == wire.Sick || r.Result == wire.Closed {
			h.caller.sick, h.beat = h.now.Add(h.pace.Ill), never
		}
		h.finish(l, state.Unrun)
	}
}

func (h *Executor) halted(f *flight, r wire.WorkerReply) {
	if l := h.attempts[f.Attempt]; l != nil && r.Result == wire.Taken {
		l.turned = max(l.turned, h.now)
	}
}

// held takes the reply to a hold: what runs, and what has ended.
func (h *Executor) held(f *flight, r wire.WorkerReply) {
	c := h.caller
	switch {
	case r.Result == wire.Fenced:
		c.fence = max(c.fence, uint64(c.clock)*fences)
		return
	case r.Result != wire.Taken:
		c.next = h.now.Add(retries)
		return
	}
	runs := map[types.Attempt]bool{}
	if len(r.Ends) > 0 { // those before it were settled, maybe by an earlier agent
		c.seen = max(c.seen, r.Ends[0].N-1)
	}
	for _, e := range r.Ends {
		runs[e.Attempt] = true
		if e.N > c.seen && c.ends[e.N] == nil {
			h.list(e)
		}
	}
	if r.Clock >= c.read {
		c.read = r.Clock
		for _, x := range r.Runs {
			runs[x.Attempt] = true
			h.runs(x)
		}
		if len(r.Ends) < lists {
			h.miss(f, runs)
		}
	}
	h.clear(f.Seen)
	h.told = h.told || len(r.Ends) < lists
	if len(c.ends) > 0 {
		c.next = h.now.Add(settles)
	}
}

var hows = map[wire.How]state.Outcome{wire.Done: state.OK, wire.Failed: state.Bad, wire.Stopped: state.Halted,
	wire.Expired: state.Lapsed, wire.Broken: state.Halted, wire.Lonely: state.Halted}

// list takes an end that the worker tells for the first time. It counts even if
// the lease may have ended since, unless the log has the attempt as lapsed by then:
// then its task may be elsewhere.
func (h *Executor) list(e wire.WorkerEnd) {
	c := h.caller
	c.ends[e.N] = &ending{attempt: e.Attempt}
	l := h.attempts[e.Attempt]
	if l == nil {
		l = &attempt{job: Job{Attempt: e.Attempt}, part: going}
		h.put(l)
	}
	l.ghost, l.unsure, l.n = false, false, e.N
	if l.part == ended {
		if l.settled {
			h.settle(l)
		}
		return
	}
	f := hows[e.How]
	if f == "" {
		f = state.Lapsed
	}
	l.ref = e.Ref
	h.finish(l, f)
}

// runs takes an attempt that the worker tells to be running. One that has ended
// here, or that nobody sent since the worker told all, is stopped.
func (h *Executor) runs(x wire.WorkerRun) {
	l := h.attempts[x.Attempt]
	if l == nil {
		l = &attempt{job: Job{Attempt: x.Attempt}, part: going, from: h.now}
		if h.told {
			l.part = halting
		}
		h.put(l)
	}
	if l.part == waiting {
		l.part, l.from = going, h.now
	}
	l.ghost = l.part == ended && l.n == 0
	if x.Ref != l.ref {
		l.ref, l.saved = x.Ref, h.now
	}
	if x.Percent != l.done || l.read == 0 {
		l.done, l.moved = x.Percent, h.now
	}
	l.sure, l.unsure, l.read = h.now, false, h.now
}

// miss judges what a reply does not list: it can't be running, if the reply was
// asked for after it was known to run, after it was turned away, or by a query
// that raised the fence above it.
func (h *Executor) miss(f *flight, listed map[types.Attempt]bool) {
	for _, l := range h.sorted() {
		if listed[l.job.Attempt] || l.part == ended || !l.shown && l.part == waiting {
			continue
		}
		switch {
		case l.sure > 0 && l.sure < f.at:
			h.finish(l, state.Gone)
		case l.sure == 0 && (f.Fence > l.fence || l.turned > 0 && l.turned < f.at):
			h.finish(l, state.Unrun)
		}
	}
}

// clear drops the ends that the worker has dropped.
func (h *Executor) clear(seen uint64) {
	c := h.caller
	for n, e := range c.ends {
		if n <= seen {
			delete(c.ends, n)
			if l := h.attempts[e.attempt]; l != nil && l.settled {
				h.forget(e.attempt)
			}
		}
	}
}

// settle takes it that the log has an attempt's end; ends are settled at the worker
// in their order.
func (h *Executor) settle(l *attempt) {
	c := h.caller
	if e := c.ends[l.n]; l.n > 0 && e != nil {
		e.settled = true
		for c.ends[c.seen+1] != nil && c.ends[c.seen+1].settled {
			c.seen++
		}
		if c.seen == c.high() {
			c.next = h.now
		}
		return
	}
	h.forget(l.job.Attempt)
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
func (h *Executor) saves() (list []Save) {
	for _, l := range h.sorted() {
		if l.part != ended && l.ref != "" && h.now.Sub(l.saved) < 4*h.pace.Beat {
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
