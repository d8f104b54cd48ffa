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

// HandleWorkerReply takes the reply to a call, or that there was none.
func (ex *Executor) HandleWorkerReply(now types.MonoTime, r wire.WorkerReply) {
	ex.now = now
	c := ex.link
	if c == nil || c.openCalls[r.Number] == nil {
		return
	}
	f := c.openCalls[r.Number]
	delete(c.openCalls, r.Number)
	if c.openHold == r.Number {
		c.openHold, c.nextHoldAt = 0, now
	}
	if c.openQuery == r.Number {
		c.openQuery = 0
	}
	if r.Result == wire.ResultOtherIncarnation {
		ex.endIncarnation(true)
		return
	}
	if r.ClockMS > 0 && f.sentAt >= c.successorSeenAt {
		c.successor = nil
	}
	switch {
	case r.ClockMS == 0:
		c.Counters.Silent++
		c.silent = c.silent || ex.workerHeardAt <= f.sentAt
		replyHandlers[f.Kind](ex, f, r)
	case !c.fenceConfirmed: // a beat's reading may be old, and a fence made of it no higher than an earlier agent's
		c.fenceConfirmed, c.fence = true, max(c.fence, uint64(r.ClockMS)*fencesPerMillisecond)
		ex.readClock(r.ClockMS)
		ex.workerHeardAt, c.silent = now, false
	default:
		ex.readClock(r.ClockMS)
		ex.workerHeardAt, c.silent = now, false
		replyHandlers[f.Kind](ex, f, r)
	}
	ex.makeDueCalls()
	ex.sendReports()
}

var replyHandlers = map[wire.CallKind]func(*Executor, *openCall, wire.WorkerReply){
	wire.StartAttempt: (*Executor).onStartReply,
	wire.StopAttempt:  (*Executor).onStopReply,
	wire.RenewLease:   (*Executor).onHoldReply,
}

// onStartReply takes the reply to a start.
func (ex *Executor) onStartReply(f *openCall, r wire.WorkerReply) {
	l := ex.attempts[f.Attempt]
	if l == nil || l.state == attemptEnded {
		return
	}
	switch r.Result {
	case wire.ResultAccepted:
		if l.state == attemptWaiting {
			l.state, l.startedAt = attemptRunning, ex.now
		}
		l.seenRunningAt = ex.now
		if c := ex.link; ex.now < c.shortUntil && !c.provenCapacity.Contains(ex.runningResources()) {
			c.provenCapacity = ex.runningResources()
		}
	case wire.ResultNoReply:
		l.startUnsure = true
	default:
		if r.Result == wire.ResultNoCapacity {
			ex.limitCapacity()
		}
		if r.Result == wire.ResultUnhealthy || r.Result == wire.ResultNotListening {
			ex.link.unhealthyUntil, ex.lastHeartbeatAt = ex.now.Add(ex.timeouts.UnhealthyAfter), never
		}
		ex.endAttempt(l, state.OutcomeNeverRan)
	}
}

func (ex *Executor) onStopReply(f *openCall, r wire.WorkerReply) {
	if l := ex.attempts[f.Attempt]; l != nil && r.Result == wire.ResultAccepted {
		l.killAcceptedAt = max(l.killAcceptedAt, ex.now)
	}
}

// onHoldReply takes the reply to a hold: what runs, and what has ended.
func (ex *Executor) onHoldReply(f *openCall, r wire.WorkerReply) {
	c := ex.link
	switch {
	case r.Result == wire.ResultFenced:
		c.fence = max(c.fence, uint64(c.clock)*fencesPerMillisecond)
		return
	case r.Result != wire.ResultAccepted:
		c.nextHoldAt = ex.now.Add(holdRetryInterval)
		return
	}
	runs := map[types.AttemptID]bool{}
	if len(r.Ended) > 0 { // those before it were settled, maybe by an earlier agent
		c.acknowledgedEnd = max(c.acknowledgedEnd, r.Ended[0].Number-1)
	}
	for _, e := range r.Ended {
		runs[e.Attempt] = true
		if e.Number > c.acknowledgedEnd && c.openEnds[e.Number] == nil {
			ex.recordEnd(e)
		}
	}
	if r.ClockMS >= c.newestListClock {
		c.newestListClock = r.ClockMS
		for _, x := range r.Running {
			runs[x.Attempt] = true
			ex.recordRunning(x)
		}
		if len(r.Ended) < maxEndsPerReply {
			ex.resolveUnlisted(f, runs)
		}
	}
	ex.dropAcknowledgedEnds(f.AckedEnds)
	ex.runningTasksKnown = ex.runningTasksKnown || len(r.Ended) < maxEndsPerReply
	if len(c.openEnds) > 0 {
		c.nextHoldAt = ex.now.Add(commitTime)
	}
}

var outcomesByEnding = map[wire.EndReason]state.Outcome{wire.EndSucceeded: state.OutcomeOK, wire.EndFailed: state.OutcomeFailed, wire.EndStopped: state.OutcomeStopped,
	wire.EndLeaseExpired: state.OutcomeLeaseExpired, wire.EndGangMemberEnded: state.OutcomeStopped, wire.EndGangStartTimeout: state.OutcomeStopped}

// recordEnd takes an end that the worker tells for the first time. It counts even if
// the lease may have ended since, unless the log has the attempt as lapsed by then:
// then its task may be elsewhere.
func (ex *Executor) recordEnd(e wire.EndedAttempt) {
	c := ex.link
	c.openEnds[e.Number] = &openEnd{attempt: e.Attempt}
	l := ex.attempts[e.Attempt]
	if l == nil {
		l = &attempt{spec: AttemptSpec{Attempt: e.Attempt}, state: attemptRunning}
		ex.add(l)
	}
	l.runsAfterEnd, l.startUnsure, l.endNumber = false, false, e.Number
	if l.state == attemptEnded {
		if l.committed {
			ex.acknowledgeEnd(l)
		}
		return
	}
	f := outcomesByEnding[e.Reason]
	if f == "" {
		f = state.OutcomeLeaseExpired
	}
	l.checkpoint = e.Checkpoint
	ex.endAttempt(l, f)
}

// recordRunning takes an attempt that the worker tells to be running. One that has ended
// here, or that nobody sent since the worker told all, is stopped.
func (ex *Executor) recordRunning(x wire.RunningAttempt) {
	l := ex.attempts[x.Attempt]
	if l == nil {
		l = &attempt{spec: AttemptSpec{Attempt: x.Attempt}, state: attemptRunning, startedAt: ex.now}
		if ex.runningTasksKnown {
			l.state = attemptStopping
		}
		ex.add(l)
	}
	if l.state == attemptWaiting {
		l.state, l.startedAt = attemptRunning, ex.now
	}
	l.runsAfterEnd = l.state == attemptEnded && l.endNumber == 0
	if x.Checkpoint != l.checkpoint {
		l.checkpoint, l.checkpointAt = x.Checkpoint, ex.now
	}
	if x.Percent != l.percentDone || l.progressReadAt == 0 {
		l.percentDone, l.progressChangedAt = x.Percent, ex.now
	}
	l.seenRunningAt, l.startUnsure, l.progressReadAt = ex.now, false, ex.now
}

// resolveUnlisted judges what a reply does not list: it can't be running, if the reply was
// asked for after it was known to run, after it was turned away, or by a query
// that raised the fence above it.
func (ex *Executor) resolveUnlisted(f *openCall, listed map[types.AttemptID]bool) {
	for _, l := range ex.attemptsInOrder() {
		if listed[l.spec.Attempt] || l.state == attemptEnded || !l.sentToWorker && l.state == attemptWaiting {
			continue
		}
		switch {
		case l.seenRunningAt > 0 && l.seenRunningAt < f.sentAt:
			ex.endAttempt(l, state.OutcomeWorkerExited)
		case l.seenRunningAt == 0 && (f.FencingToken > l.startFence || l.killAcceptedAt > 0 && l.killAcceptedAt < f.sentAt):
			ex.endAttempt(l, state.OutcomeNeverRan)
		}
	}
}

// dropAcknowledgedEnds drops the ends that the worker has dropped.
func (ex *Executor) dropAcknowledgedEnds(seen uint64) {
	c := ex.link
	for n, e := range c.openEnds {
		if n <= seen {
			delete(c.openEnds, n)
			if l := ex.attempts[e.attempt]; l != nil && l.committed {
				ex.remove(e.attempt)
			}
		}
	}
}

// acknowledgeEnd takes it that the log has an attempt's end; ends are settled at the worker
// in their order.
func (ex *Executor) acknowledgeEnd(l *attempt) {
	c := ex.link
	if e := c.openEnds[l.endNumber]; l.endNumber > 0 && e != nil {
		e.committed = true
		for c.openEnds[c.acknowledgedEnd+1] != nil && c.openEnds[c.acknowledgedEnd+1].committed {
			c.acknowledgedEnd++
		}
		if c.acknowledgedEnd == c.highestEnd() {
			c.nextHoldAt = ex.now
		}
		return
	}
	ex.remove(l.spec.Attempt)
}

// highestEnd is the highest end that the worker has told.
func (w *WorkerLink) highestEnd() uint64 {
	n := w.acknowledgedEnd
	for k := range w.openEnds {
		n = max(n, k)
	}
	return n
}

// recentCheckpoints lists what attempts have saved of late.
func (ex *Executor) recentCheckpoints() (list []Checkpoint) {
	for _, l := range ex.attemptsInOrder() {
		if l.state != attemptEnded && l.checkpoint != "" && ex.now.Sub(l.checkpointAt) < 4*ex.timeouts.HeartbeatInterval {
			list = append(list, Checkpoint{l.spec.Attempt, l.checkpoint})
		}
	}
	return
}

// hasLabels tells whether a worker has all the labels that a task needs.
func (r Report) hasLabels(labels []string) bool {
	for _, l := range labels {
		if !slices.Contains(r.Labels, l) {
			return false
		}
	}
	return true
}
