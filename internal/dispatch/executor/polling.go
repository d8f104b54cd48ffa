package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// maxPollGapPercent is the part of UnhealthyAfter without a call after which a polling
// worker counts as unhealthy. The agent reports that before its own silence would show.
const maxPollGapPercent = 60

// pollSession is the exchange with a worker that polls.
type pollSession struct {
	lastCall uint64         // number of the worker's latest call
	sentAt   types.MonoTime // when it was sent, on the worker's clock
	// leaseBase is the end of the worker's lease less WorkerLease. The agent's start counts as
	// one, because the agent before it may have granted a lease until then.
	leaseBase types.MonoTime
	// hasUpdate is set when the worker must start, stop or drop an attempt.
	hasUpdate bool
}

// HandlePoll handles a worker's call, which must be valid. It returns false for a call that
// must not be replied to: one that is older than the latest, or of another worker process
// while the present one may still hold a lease.
func (ex *Executor) HandlePoll(now types.MonoTime, poll protocol.Poll) bool {
	ex.now = now
	switch {
	case poll.Worker == ex.worker.process:
		if poll.Call <= ex.polls.lastCall {
			return false
		}
	case ex.worker.process == "" || ex.polledLeaseExpired():
		ex.replacePollingProcess(poll)
	default:
		return false
	}
	ex.recordPollReport(poll)
	listed := map[types.AttemptID]bool{}
	ex.recordPolledRunning(poll.Running, listed)
	ex.recordPolledEnds(poll.Ended, listed)
	ex.endUnlisted(listed)
	return true
}

// replacePollingProcess makes another worker process the present one; with the last, all
// its attempts have ended.
func (ex *Executor) replacePollingProcess(poll protocol.Poll) {
	for _, attempt := range ex.attempts.sorted {
		if attempt.state == attemptEnded && attempt.outcome == state.OutcomeLost {
			ex.endAttempt(attempt, state.OutcomeWorkerExited)
		}
	}
	ex.endAllAttempts()
	if ex.worker.process == "" {
		ex.association.previousInstance = poll.Agent
	}
	ex.worker.process = poll.Worker
}

func (ex *Executor) recordPollReport(poll protocol.Poll) {
	ex.polls.lastCall, ex.polls.sentAt = poll.Call, poll.SentAt
	ex.worker.lastContactAt, ex.worker.runningTasksKnown = ex.now, true
	if poll.Departing != ex.worker.report.Departing || !ex.worker.report.Healthy {
		ex.reports.requestHeartbeat()
	}
	ex.worker.report = protocol.WorkerReport{
		Rack:        poll.Rack,
		Kinds:       poll.Kinds,
		Capacity:    poll.Capacity,
		Departing:   poll.Departing,
		DepartsInMS: poll.DepartsInMS,
		Healthy:     true,
	}
	ex.worker.departsAt = ex.now.Add(time.Duration(poll.DepartsInMS) * time.Millisecond)
}

// recordPolledRunning takes the attempts that the worker says run. One that has ended here
// is stopped.
func (ex *Executor) recordPolledRunning(tasks []protocol.RunningTask, listed map[types.AttemptID]bool) {
	for _, task := range tasks {
		listed[task.Attempt] = true
		attempt := ex.attempts.byID[task.Attempt]
		if attempt == nil {
			attempt = ex.addDiscovered(task)
			attempt.startedAt = ex.now
		}
		if attempt.state == attemptWaiting {
			attempt.state, attempt.startedAt = attemptRunning, ex.now
		}
		attempt.runsAfterEnd = attempt.state == attemptEnded
	}
}

// recordPolledEnds takes the ends that the worker lists. The true end of an attempt that
// was lost counts, and so does a good end against any other.
func (ex *Executor) recordPolledEnds(tasks []protocol.EndedTask, listed map[types.AttemptID]bool) {
	for _, task := range tasks {
		listed[task.Attempt] = true
		attempt := ex.attempts.byID[task.Attempt]
		if attempt == nil {
			attempt = ex.addDiscovered(task.RunningTask)
		}
		isBetter := task.Outcome == state.OutcomeOK && attempt.outcome != state.OutcomeOK
		if attempt.state != attemptEnded || attempt.outcome == state.OutcomeLost || isBetter {
			ex.endAttempt(attempt, task.Outcome)
		}
		attempt.runsAfterEnd = false
	}
}

// addDiscovered adds an attempt that the worker lists and the agent did not know.
func (ex *Executor) addDiscovered(task protocol.RunningTask) *attemptRecord {
	spec := protocol.AttemptSpec{Attempt: task.Attempt, Resources: task.Resources}
	attempt := &attemptRecord{spec: spec, state: attemptRunning}
	ex.attempts.add(attempt)
	return attempt
}

// endUnlisted ends the attempts that a poll does not list although the worker had been
// given them, and forgets those that the worker has dropped.
func (ex *Executor) endUnlisted(listed map[types.AttemptID]bool) {
	for _, attempt := range ex.attempts.inOrder() {
		if listed[attempt.id()] {
			continue
		}
		hasRun := attempt.startedAt != 0
		switch {
		case attempt.state == attemptRunning, attempt.state == attemptStopping && hasRun:
			ex.endAttempt(attempt, state.OutcomeWorkerExited)
		case attempt.state == attemptStopping:
			ex.endAttempt(attempt, state.OutcomeNeverRan)
		case attempt.state == attemptWaiting && ex.now >= attempt.startBefore:
			ex.endAttempt(attempt, state.OutcomeNeverRan)
		case attempt.state == attemptEnded && attempt.outcome == state.OutcomeLost:
			ex.endAttempt(attempt, state.OutcomeWorkerExited)
		case attempt.state == attemptEnded && attempt.committed:
			ex.attempts.remove(attempt.id())
		}
	}
}

// ReplyToPoll returns the reply to the worker's latest call.
func (ex *Executor) ReplyToPoll(now types.MonoTime) protocol.PollReply {
	ex.now = now
	ex.polls.hasUpdate = false
	lease := ex.nextPolledLease()
	reply := protocol.PollReply{
		Agent:      ex.association.instance,
		Call:       ex.polls.lastCall,
		LeaseUntil: ex.polls.sentAt.Add(lease),
	}
	if lease > 0 {
		ex.polls.leaseBase = max(ex.polls.leaseBase, now.Add(lease-ex.timeouts.WorkerLease))
	}
	for _, attempt := range ex.attempts.sorted {
		switch {
		case attempt.state == attemptWaiting && lease > 0 && now < attempt.startBefore:
			reply.Start = append(reply.Start, attempt.spec)
			attempt.sentToWorker = true
		case attempt.state == attemptStopping, attempt.runsAfterEnd:
			reply.Stop = append(reply.Stop, attempt.id())
		case attempt.state == attemptEnded && attempt.committed:
			reply.Committed = append(reply.Committed, attempt.id())
		}
	}
	return reply
}

// nextPolledLease returns how long the worker may run tasks from its latest call: a
// WorkerLease, but not past the end of the agent's lease.
func (ex *Executor) nextPolledLease() time.Duration {
	lease := min(ex.timeouts.WorkerLease, ex.health.leaseUntil.Sub(ex.now))
	if ex.health.state == protocol.WorkerMustDie || lease < 0 {
		return 0
	}
	return lease
}

// HasUpdate reports whether a worker's call that is held should be replied to now.
func (ex *Executor) HasUpdate() bool { return ex.polls.hasUpdate }

// polledLeaseExpired reports whether the worker's last lease has surely ended and the
// worker has had the time to stop.
func (ex *Executor) polledLeaseExpired() bool {
	return ex.now.Sub(ex.polls.leaseBase) > ex.timeouts.WorkerLease+protocol.WorkerStopTime
}

// pollOverdue reports whether the worker counts as unhealthy because it has not
// called.
func (ex *Executor) pollOverdue() bool {
	return ex.now.Sub(ex.worker.lastContactAt) >= ex.timeouts.UnhealthyAfter*maxPollGapPercent/100
}

// SinceLastContact returns the time since the worker was last heard.
func (ex *Executor) SinceLastContact(now types.MonoTime) time.Duration {
	return now.Sub(ex.worker.lastContactAt)
}
