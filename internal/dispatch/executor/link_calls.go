package executor

import (
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// replyTimeout is how long a call's reply is waited for, beyond the time that the
	// call itself waits at the worker.
	replyTimeout = 250 * time.Millisecond
	// renewalOverdueAfter is how long past its time a lease renewal is waited for before
	// the next one is sent.
	renewalOverdueAfter = 100 * time.Millisecond
	// renewalRetryInterval is the time before the renewal after one that was rejected.
	renewalRetryInterval = 100 * time.Millisecond
)

// inFlightCall is a call that has no reply yet.
type inFlightCall struct {
	wire.WorkerCall
	sentAt types.MonoTime
}

// callTable holds the calls to a worker.
type callTable struct {
	lastNumber uint64
	inFlight   map[uint64]*inFlightCall // by number
	renewal    uint64                   // number of the lease renewal that waits for an end, or 0
	query      uint64                   // number of the renewal that resolves unsure starts, or 0
	nextAt     types.MonoTime           // earliest time of the next renewal or query
	grantedAt  types.MonoTime           // when the latest call that grants a lease was made
	queued     []wire.WorkerCall        // to make
}

// add numbers a call and puts it out.
func (c *callTable) add(now types.MonoTime, call wire.WorkerCall) (number uint64) {
	c.lastNumber++
	call.Number = c.lastNumber
	c.inFlight[call.Number] = &inFlightCall{WorkerCall: call, sentAt: now}
	c.queued = append(c.queued, call)
	return call.Number
}

// take returns the open call that a reply is to, or nil, and closes it.
func (c *callTable) complete(now types.MonoTime, number uint64) *inFlightCall {
	call := c.inFlight[number]
	if call == nil {
		return nil
	}
	delete(c.inFlight, number)
	if c.renewal == number {
		c.renewal, c.nextAt = 0, now
	}
	if c.query == number {
		c.query = 0
	}
	return call
}

// TakeCalls returns the calls to make since it was last called. Each must be answered by
// HandleWorkerReply, also if there was no reply.
func (ex *Executor) TakeCalls() []wire.WorkerCall {
	if ex.link == nil {
		return nil
	}
	calls := ex.link.calls.queued
	ex.link.calls.queued = nil
	return calls
}

// makeDueCalls makes the calls to the worker that are due.
func (ex *Executor) makeDueCalls() {
	link := ex.link
	if link == nil || link.process.incarnation == "" {
		return
	}
	if link.successor != nil && ex.linkLeaseExpired() {
		ex.endIncarnation(false)
		return
	}
	isUnsure := !ex.worker.runningTasksKnown || link.successor != nil
	for _, attempt := range ex.attempts.inOrder() {
		ex.startOrStop(attempt)
		isUnsure = isUnsure || attempt.calls.startUnsure
	}
	if isUnsure && link.calls.query == 0 && ex.now >= link.calls.nextAt {
		link.fence.raise(link.clock.readingMS)
		link.counters.Queries++
		link.calls.query = ex.call(wire.WorkerCall{Kind: wire.RenewLease})
	}
	ex.renewWorkerLease()
}

// startOrStop starts an attempt at the worker or stops it, if that is due.
func (ex *Executor) startOrStop(attempt *attemptRecord) {
	sinceStop := ex.now.Sub(attempt.calls.stopCalledAt)
	isStopDue := attempt.calls.stopCalledAt == 0 || sinceStop >= ex.timeouts.RetryInterval
	switch {
	case attempt.state == attemptWaiting && !attempt.sentToWorker:
		ex.start(attempt)
	case (attempt.state == attemptStopping || attempt.runsAfterEnd) && isStopDue:
		attempt.calls.stopCalledAt = ex.now
		ex.link.counters.Stops++
		ex.call(wire.WorkerCall{Kind: wire.StopAttempt, Attempt: attempt.id()})
	}
}

// start has the worker start an attempt, once, as soon as it can have a lease. An attempt
// that is too late for that ends.
func (ex *Executor) start(attempt *attemptRecord) {
	if ex.now >= attempt.startBefore {
		ex.endAttempt(attempt, state.OutcomeNeverRan)
		return
	}
	if ex.nextLeaseEnd() == 0 || !ex.worker.runningTasksKnown {
		return
	}
	attempt.sentToWorker = true
	attempt.calls.startFence = ex.link.fence.token
	ex.link.counters.Starts++
	ex.call(wire.WorkerCall{
		Kind:       wire.StartAttempt,
		Attempt:    attempt.id(),
		Input:      attempt.spec.Input,
		Checkpoint: attempt.spec.Checkpoint,
	})
}

// renewWorkerLease renews the worker's lease by a call that waits there for an end,
// unless one is waiting.
func (ex *Executor) renewWorkerLease() {
	calls := &ex.link.calls
	if renewal := calls.inFlight[calls.renewal]; renewal != nil && ex.needsAnotherRenewal(renewal) {
		calls.renewal = 0
	}
	if calls.renewal != 0 || calls.query != 0 || ex.now < calls.nextAt || !ex.worker.runningTasksKnown {
		return
	}
	wait := ex.longPollWait()
	switch {
	case ex.link.ends.acknowledged < ex.link.ends.highest():
		wait = 0 // the worker replies at once with what is not acknowledged
	case ex.Policy.NoLongPoll:
		wait = 0
	case ex.attempts.allEnded() && len(ex.link.ends.pending) == 0 && !ex.Policy.NoIdlePoll:
		wait = idlePollWait // neither a lease nor an attempt's record waits for the reply
	}
	calls.renewal = ex.call(wire.WorkerCall{Kind: wire.RenewLease, LongPollWait: wait})
}

// needsAnotherRenewal reports whether a renewal that is waiting at the worker needs another one
// beside it: it is late, it granted no lease where there may be one now, or it was sent to an
// idle worker that runs something now and whose lease is due.
func (ex *Executor) needsAnotherRenewal(renewal *inFlightCall) bool {
	isOverdue := ex.now.Sub(renewal.sentAt) > renewal.LongPollWait+renewalOverdueAfter
	mayGrant := renewal.LeaseEndMS == 0 && ex.nextLeaseEnd() > 0
	isLeaseDue := ex.now.Sub(ex.link.calls.grantedAt) > ex.longPollWait()+renewalOverdueAfter
	return isOverdue || mayGrant || isLeaseDue && !ex.attempts.allEnded()
}

// call makes a call to the worker, with what all calls have in common, and returns its
// number.
func (ex *Executor) call(call wire.WorkerCall) (number uint64) {
	link := ex.link
	call.Addr = link.process.addr
	call.Incarnation = link.process.incarnation
	call.FencingToken = link.fence.token
	call.Timeout = replyTimeout + call.LongPollWait
	if call.Kind != wire.StopAttempt && ex.worker.runningTasksKnown {
		call.LeaseEndMS = ex.nextLeaseEnd()
		link.maxLeaseEndSent = max(link.maxLeaseEndSent, call.LeaseEndMS)
	}
	if call.LeaseEndMS > 0 {
		link.calls.grantedAt = ex.now
	}
	if call.Kind == wire.RenewLease {
		call.AckedEnds = link.ends.acknowledged
		link.counters.Renewals++
	}
	return link.calls.add(ex.now, call)
}
