package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// HandlePoll takes a worker's call; false means that it is not to be answered.
func (ex *Executor) HandlePoll(now types.MonoTime, p protocol.Poll) bool {
	ex.now = now
	if p.Worker != ex.workerInstance {
		if ex.workerInstance != "" && !ex.workerLeaseExpired() {
			return false
		}
		ex.replaceWorker(p)
	} else if p.Call <= ex.lastCall {
		return false
	}
	ex.lastCall, ex.workerHeardAt, ex.workerSentAt, ex.runningTasksKnown = p.Call, now, p.SentAt, true
	if p.Draining != ex.report.Draining || !ex.report.Healthy {
		ex.lastHeartbeatAt = never
	}
	ex.report = protocol.WorkerReport{Rack: p.Rack, Kinds: p.Kinds, Capacity: p.Capacity, Draining: p.Draining, DepartsInMS: p.DepartsInMS, Healthy: true}
	ex.workerDepartsAt = now.Add(time.Duration(p.DepartsInMS) * time.Millisecond)
	runs := map[types.AttemptID]bool{}
	for _, r := range p.Running {
		runs[r.Attempt] = true
		l := ex.attempts[r.Attempt]
		if l == nil {
			l = &attempt{spec: protocol.AttemptSpec{Attempt: r.Attempt, Resources: r.Resources}, state: attemptRunning, startedAt: now}
			ex.add(l)
		}
		if l.state == attemptWaiting {
			l.state, l.startedAt = attemptRunning, now
		}
		l.runsAfterEnd = l.state == attemptEnded
	}
	for _, e := range p.Ended {
		l := ex.attempts[e.Attempt]
		if l == nil {
			l = &attempt{spec: protocol.AttemptSpec{Attempt: e.Attempt, Resources: e.Resources}, state: attemptRunning}
			ex.add(l)
		}
		if l.state != attemptEnded || l.outcome == state.OutcomeLost || e.Outcome == state.OutcomeOK && l.outcome != state.OutcomeOK {
			ex.endAttempt(l, e.Outcome)
		}
		l.runsAfterEnd, runs[e.Attempt] = false, true
	}
	for _, l := range ex.attemptsInOrder() {
		if runs[l.spec.Attempt] {
			continue
		}
		switch {
		case l.state == attemptRunning, l.state == attemptStopping && l.startedAt != 0:
			ex.endAttempt(l, state.OutcomeWorkerExited)
		case l.state == attemptStopping:
			ex.endAttempt(l, state.OutcomeNeverRan)
		case l.state == attemptWaiting && now >= l.startBefore:
			ex.endAttempt(l, state.OutcomeNeverRan)
		case l.state == attemptEnded && l.outcome == state.OutcomeLost:
			ex.endAttempt(l, state.OutcomeWorkerExited)
		case l.state == attemptEnded && l.committed:
			ex.remove(l.spec.Attempt)
		}
	}
	return true
}

// replaceWorker takes another worker process in place of the last, all of whose attempts
// have ended with it.
func (ex *Executor) replaceWorker(p protocol.Poll) {
	for _, l := range ex.attemptsInOrder() {
		if l.state != attemptEnded || l.outcome == state.OutcomeLost {
			ex.endAttempt(l, state.OutcomeWorkerExited)
		}
		if l.committed {
			ex.remove(l.spec.Attempt)
		}
	}
	if ex.workerInstance == "" {
		ex.previousInstance = p.Agent
	}
	ex.workerInstance = p.Worker
}

// ReplyToPoll makes the answer to the worker's latest call.
func (ex *Executor) ReplyToPoll(now types.MonoTime) protocol.PollReply {
	ex.now, ex.hasUpdate = now, false
	left := min(ex.timeouts.WorkerLease, ex.leaseUntil.Sub(now))
	if ex.state == protocol.WorkerMustDie || left < 0 {
		left = 0
	}
	a := protocol.PollReply{Agent: ex.instance, Call: ex.lastCall, LeaseUntil: ex.workerSentAt.Add(left)}
	if left > 0 {
		ex.workerLeaseBase = max(ex.workerLeaseBase, now.Add(left-ex.timeouts.WorkerLease))
	}
	for _, l := range ex.attemptsInOrder() {
		switch {
		case l.state == attemptWaiting && left > 0 && now < l.startBefore:
			a.Start = append(a.Start, l.spec)
			l.sentToWorker = true
		case l.state == attemptStopping, l.runsAfterEnd:
			a.Stop = append(a.Stop, l.spec.Attempt)
		case l.state == attemptEnded && l.committed:
			a.Committed = append(a.Committed, l.spec.Attempt)
		}
	}
	return a
}

// HasUpdate tells whether the worker's call should be answered now.
func (ex *Executor) HasUpdate() bool { return ex.hasUpdate }

// workerLeaseExpired is true when the worker's last grant has surely ended, and it has had
// the time to stop.
func (ex *Executor) workerLeaseExpired() bool {
	return ex.now.Sub(ex.workerLeaseBase) > ex.timeouts.WorkerLease+protocol.WorkerStopTime
}

// Worker gives the time since the worker's last call.
func (ex *Executor) SinceLastHeard(now types.MonoTime) time.Duration {
	return now.Sub(ex.workerHeardAt)
}
