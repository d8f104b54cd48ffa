// The calls that an agent makes to a worker that is called, and what their replies
// mean. Each start is sent once. One that got no clear answer is unsure: a query
// raises the fence, below which the worker starts nothing any more, and what it
// then does not list was not started and never will be. Ends are settled at the
// worker only once they are in the log. What the log has as lapsed when its end is
// heard of stays lapsed: the worker does not count such an end either.
package executor

import (
	"coppercourse/internal/state"
	"coppercourse/internal/wire"
)

// makeDueCalls makes the calls that are due.
func (ex *Executor) makeDueCalls() {
	c := ex.link
	if c == nil || c.incarnation == "" {
		return
	}
	if c.successor != nil && ex.linkLeaseExpired() {
		ex.endIncarnation(false)
		return
	}
	unsure := !ex.runningTasksKnown || c.successor != nil
	for _, l := range ex.attemptsInOrder() {
		switch {
		case l.state == attemptWaiting && !l.sentToWorker:
			ex.startAttempt(l)
		case (l.state == attemptStopping || l.runsAfterEnd) && (l.killAskedAt == 0 || ex.now.Sub(l.killAskedAt) >= ex.timeouts.RetryInterval):
			l.killAskedAt = ex.now
			c.Counters.Stops++
			ex.callWorker(wire.WorkerCall{Kind: wire.StopAttempt, Attempt: l.spec.Attempt})
		}
		unsure = unsure || l.startUnsure
	}
	if unsure && c.openQuery == 0 && ex.now >= c.nextHoldAt {
		c.fence = max(c.fence+1, uint64(c.clock)*fencesPerMillisecond)
		c.Counters.Queries++
		c.openQuery = ex.callWorker(wire.WorkerCall{Kind: wire.RenewLease})
	}
	if f := c.openCalls[c.openHold]; f != nil && (ex.now.Sub(f.sentAt) > f.LongPollWait+holdOverdueAfter || f.LeaseEndMS == 0 && ex.nextLeaseEnd() > 0) {
		c.openHold = 0 // it is late, or gave no lease where there may be one now
	}
	if c.openHold == 0 && c.openQuery == 0 && ex.now >= c.nextHoldAt && ex.runningTasksKnown {
		wait := ex.longPollWait()
		if c.acknowledgedEnd < c.highestEnd() {
			wait = 0 // the worker lists at once what is not settled
		}
		c.openHold = ex.callWorker(wire.WorkerCall{Kind: wire.RenewLease, LongPollWait: wait})
	}
}

// startAttempt sends an order on to the worker, once, or lets it go past its time.
func (ex *Executor) startAttempt(l *attempt) {
	end := ex.nextLeaseEnd()
	switch {
	case ex.now >= l.startBefore:
		ex.endAttempt(l, state.OutcomeNeverRan)
	case end == 0 || !ex.runningTasksKnown:
	default:
		l.sentToWorker = true
		l.startFence = ex.link.fence
		ex.link.Counters.Starts++
		ex.callWorker(wire.WorkerCall{Kind: wire.StartAttempt, Attempt: l.spec.Attempt, Input: l.spec.Input, Checkpoint: l.spec.Checkpoint})
	}
}

// callWorker fills in what all calls have in common.
func (ex *Executor) callWorker(w wire.WorkerCall) uint64 {
	c := ex.link
	c.lastCallNumber++
	w.Number, w.Addr, w.Incarnation, w.FencingToken, w.Timeout = c.lastCallNumber, c.addr, c.incarnation, c.fence, replyTimeout+w.LongPollWait
	if w.Kind != wire.StopAttempt && ex.runningTasksKnown {
		w.LeaseEndMS = ex.nextLeaseEnd()
	}
	if w.Kind == wire.RenewLease {
		w.AckedEnds = c.acknowledgedEnd
		c.Counters.Holds++
	}
	c.openCalls[w.Number] = &openCall{w, ex.now}
	c.maxLeaseSent = max(c.maxLeaseSent, w.LeaseEndMS)
	c.outCalls = append(c.outCalls, w)
	return w.Number
}
