package executor

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

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
		l = &attempt{spec: protocol.AttemptSpec{Attempt: e.Attempt}, state: attemptRunning}
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
		l = &attempt{spec: protocol.AttemptSpec{Attempt: x.Attempt}, state: attemptRunning, startedAt: ex.now}
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
