package executor

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// maxEndsPerReply is the number of ends from which a worker's list may not be complete.
const maxEndsPerReply = 500

var replyHandlers = map[wire.CallKind]func(*Executor, *inFlightCall, wire.WorkerReply){
	wire.StartAttempt: (*Executor).onStartReply,
	wire.StopAttempt:  (*Executor).onStopReply,
	wire.RenewLease:   (*Executor).onRenewalReply,
}

// HandleWorkerReply handles the reply to a call, or wire.ResultNoReply.
func (ex *Executor) HandleWorkerReply(now types.MonoTime, reply wire.WorkerReply) {
	ex.now = now
	if ex.link == nil {
		return
	}
	call := ex.link.calls.complete(now, reply.Number)
	if call == nil {
		return
	}
	if reply.Result == wire.ResultOtherIncarnation {
		ex.endIncarnation(true)
		return
	}
	if ex.recordReply(call, reply) {
		replyHandlers[call.Kind](ex, call, reply)
	}
	ex.makeDueCalls()
	ex.sendReports()
}

// recordReply records what any reply, or the lack of one, shows of the worker process. It
// returns whether the reply itself is to be handled. The first one is not: the call was
// made under a fencing token that may not have been above those of an earlier agent.
func (ex *Executor) recordReply(call *inFlightCall, reply wire.WorkerReply) bool {
	link := ex.link
	if reply.ClockMS == 0 {
		link.counters.NoReply++
		link.unresponsive = link.unresponsive || ex.worker.lastContactAt <= call.sentAt
		return true
	}
	if reply.ClockMS > 0 && call.sentAt >= link.successorSeenAt {
		link.successor = nil // the present process lives
	}
	wasConfirmed := link.fence.confirmed
	if !wasConfirmed {
		link.fence.confirmed = true
		link.fence.raiseTo(reply.ClockMS)
	}
	link.clock.update(ex.now, reply.ClockMS)
	ex.worker.lastContactAt = ex.now
	link.unresponsive = false
	return wasConfirmed
}

func (ex *Executor) onStartReply(call *inFlightCall, reply wire.WorkerReply) {
	attempt := ex.attempts.byID[call.Attempt]
	if attempt == nil || attempt.state == attemptEnded {
		return
	}
	switch reply.Result {
	case wire.ResultAccepted:
		if attempt.state == attemptWaiting {
			attempt.state, attempt.startedAt = attemptRunning, ex.now
		}
		attempt.calls.seenRunningAt = ex.now
		if ex.link.capacity.isLimited(ex.now) {
			ex.link.capacity.onAccepted(ex.attempts.runningResources())
		}
		return
	case wire.ResultNoReply:
		attempt.calls.startUnsure = true
		return
	case wire.ResultNoCapacity:
		ex.link.capacity.onRejected(ex.now, ex.attempts.runningResources())
	case wire.ResultUnhealthy, wire.ResultNotListening:
		ex.link.unhealthyUntil = ex.now.Add(ex.timeouts.UnhealthyAfter)
		ex.reports.requestHeartbeat()
	}
	ex.endAttempt(attempt, state.OutcomeNeverRan)
}

func (ex *Executor) onStopReply(call *inFlightCall, reply wire.WorkerReply) {
	attempt := ex.attempts.byID[call.Attempt]
	if attempt != nil && reply.Result == wire.ResultAccepted {
		attempt.calls.stopAcceptedAt = max(attempt.calls.stopAcceptedAt, ex.now)
	}
}

// onRenewalReply handles the reply to a lease renewal or query: what runs, and what has
// ended.
func (ex *Executor) onRenewalReply(call *inFlightCall, reply wire.WorkerReply) {
	link := ex.link
	switch {
	case reply.Result == wire.ResultFenced:
		link.fence.raiseTo(link.clock.readingMS)
		return
	case reply.Result != wire.ResultAccepted:
		link.calls.nextAt = ex.now.Add(renewalRetryInterval)
		return
	}
	listed := map[types.AttemptID]bool{}
	ex.recordEnds(reply.Ended, listed)
	isComplete := len(reply.Ended) < maxEndsPerReply
	if reply.ClockMS >= link.newestListClock { // not one that crossed a newer reply
		link.newestListClock = reply.ClockMS
		ex.recordRunning(reply.Running, listed)
		if isComplete {
			ex.resolveUnlisted(call, listed)
		}
	}
	if ex.Policy.NoLongPoll {
		link.calls.nextAt = ex.now.Add(ex.longPollWait())
	}
	ex.dropAcknowledgedEnds(call.AckedEnds)
	ex.worker.runningTasksKnown = ex.worker.runningTasksKnown || isComplete
	if len(link.ends.pending) > 0 {
		link.calls.nextAt = ex.now.Add(link.ends.retryInterval(ex.longPollWait()))
	}
}

// recordEnds takes the ends that the worker lists. Those before the first one were
// acknowledged, perhaps by an earlier agent.
func (ex *Executor) recordEnds(ended []wire.EndedAttempt, listed map[types.AttemptID]bool) {
	ends := &ex.link.ends
	ends.repliesWithoutNewEnds++
	if len(ended) > 0 {
		ends.acknowledged = max(ends.acknowledged, ended[0].Number-1)
	}
	for _, end := range ended {
		listed[end.Attempt] = true
		if end.Number > ends.acknowledged && ends.pending[end.Number] == nil {
			ex.recordEnd(end)
		}
	}
}

// outcomeOf returns the outcome of an end. One for an unknown reason does not count.
func outcomeOf(reason wire.EndReason) state.Outcome {
	switch reason {
	case wire.EndSucceeded:
		return state.OutcomeOK
	case wire.EndFailed:
		return state.OutcomeFailed
	case wire.EndStopped, wire.EndGangMemberEnded, wire.EndGangStartTimeout:
		return state.OutcomeStopped
	}
	return state.OutcomeLeaseExpired
}

// recordEnd takes an end that the worker reports for the first time. It counts even if the
// lease may have expired since, unless the attempt has ended here by that: then its task
// may be running elsewhere.
func (ex *Executor) recordEnd(end wire.EndedAttempt) {
	ex.link.ends.pending[end.Number] = &pendingEnd{attempt: end.Attempt}
	ex.link.ends.reported = append(ex.link.ends.reported, end)
	ex.link.ends.repliesWithoutNewEnds = 0
	attempt := ex.attempts.byID[end.Attempt]
	if attempt == nil {
		attempt = ex.addDiscovered(protocol.RunningTask{Attempt: end.Attempt})
	}
	attempt.runsAfterEnd = false
	attempt.calls.startUnsure = false
	attempt.calls.endNumber = end.Number
	if attempt.state != attemptEnded {
		attempt.checkpoint = end.Checkpoint
		ex.endAttempt(attempt, outcomeOf(end.Reason))
		return
	}
	if attempt.committed {
		ex.acknowledgeEnd(attempt)
	}
}

// TakeReportedEnds returns the ends that a called worker has reported for the first time since
// this was last called.
func (ex *Executor) TakeReportedEnds() []wire.EndedAttempt {
	if ex.link == nil {
		return nil
	}
	reported := ex.link.ends.reported
	ex.link.ends.reported = nil
	return reported
}

// recordRunning takes the attempts that the worker says run. One that has ended here, or
// that nobody sent since the worker reported all that it runs, is stopped.
func (ex *Executor) recordRunning(running []wire.RunningAttempt, listed map[types.AttemptID]bool) {
	for _, run := range running {
		listed[run.Attempt] = true
		attempt := ex.attempts.byID[run.Attempt]
		if attempt == nil {
			attempt = ex.addDiscovered(protocol.RunningTask{Attempt: run.Attempt})
			attempt.startedAt = ex.now
			if ex.worker.runningTasksKnown {
				attempt.state = attemptStopping
			}
		}
		if attempt.state == attemptWaiting {
			attempt.state, attempt.startedAt = attemptRunning, ex.now
		}
		attempt.runsAfterEnd = attempt.state == attemptEnded && attempt.calls.endNumber == 0
		if run.Checkpoint != attempt.checkpoint {
			attempt.checkpoint, attempt.checkpointAt = run.Checkpoint, ex.now
		}
		attempt.progress.update(ex.now, run.Percent)
		attempt.calls.seenRunningAt, attempt.calls.startUnsure = ex.now, false
	}
}

// resolveUnlisted ends attempts that a complete reply does not list, as far as the reply
// shows that they can't be running: those that were known to run before the call, and
// those that were not yet but whose stop was accepted before it, or whose start it has
// fenced off.
func (ex *Executor) resolveUnlisted(call *inFlightCall, listed map[types.AttemptID]bool) {
	for _, attempt := range ex.attempts.inOrder() {
		isUnsent := attempt.state == attemptWaiting && !attempt.sentToWorker
		if listed[attempt.id()] || attempt.state == attemptEnded || isUnsent {
			continue
		}
		hasRun := attempt.calls.seenRunningAt > 0
		isStopped := attempt.calls.stopAcceptedAt > 0 && attempt.calls.stopAcceptedAt < call.sentAt
		isFencedOff := call.FencingToken > attempt.calls.startFence
		switch {
		case hasRun && attempt.calls.seenRunningAt < call.sentAt:
			ex.endAttempt(attempt, state.OutcomeWorkerExited)
		case !hasRun && (isFencedOff || isStopped):
			ex.endAttempt(attempt, state.OutcomeNeverRan)
		}
	}
}
