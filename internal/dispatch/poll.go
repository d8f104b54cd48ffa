// What an agent and its worker say. The worker calls, again and again; the agent
// answers at once when there is news and otherwise after a short hold. Calls
// are numbered: an answer counts only for the worker's latest call, and a call
// older than the agent's latest is let fall. So an attempt that was in an answer and
// is not in the next call was not started and never will be.
package dispatch

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Poll is the worker's call.
type Poll struct {
	Worker      types.ID            `json:"worker"`
	Agent       types.ID            `json:"agent"`
	Call        uint64              `json:"call"`
	SentAt      types.MonoTime      `json:"stamp"`
	Rack        types.Rack          `json:"rack"`
	Kinds       []types.ServiceKind `json:"kinds"`
	Capacity    types.Resources     `json:"room"`
	Draining    bool                `json:"leaving"`
	DepartsInMS int64               `json:"leave_in_ms"`
	Running     []Run               `json:"running"`
	Ended       []FinishedTask      `json:"ended"`
}

// FinishedTask is an ended attempt that the worker keeps until it is settled.
type FinishedTask struct {
	Run
	Outcome state.Outcome `json:"fate"`
}

// PollReply is what the agent answers. Until is on the worker's own clock: past it
// the worker stops everything by itself.
type PollReply struct {
	Agent      types.ID          `json:"agent"`
	Call       uint64            `json:"call"`
	LeaseUntil types.MonoTime    `json:"until"`
	Start      []AttemptSpec     `json:"start"`
	Stop       []types.AttemptID `json:"stop"`
	Committed  []types.AttemptID `json:"settled"`
}

// Validate tells what is wrong with a call; nothing of a bad one is taken.
func (p Poll) Validate(errs *apierror.ErrorList) {
	errs.Check(p.Worker != "" && len(p.Worker) <= 128, "worker", "want 1 to 128 characters")
	errs.Check(p.Capacity.Contains(types.Resources{}), "room", "want no negative numbers")
	errs.Check(len(p.Kinds) <= 64, "kinds", "more than 64")
	errs.Check(p.DepartsInMS >= 0 && p.DepartsInMS <= 86_400_000, "leave_in_ms", "want 0 to a day")
	errs.Check(p.DepartsInMS == 0 || p.Draining, "leave_in_ms", "only for a worker that is leaving")
	errs.Check(len(p.Running)+len(p.Ended) <= 2000, "running", "more than 2000 legs")
	for i, k := range p.Kinds {
		errs.Check(config.CheckName(string(k)) == "", fmt.Sprintf("kinds[%d]", i), "not a name")
	}
	attempt := func(at string, r Run) {
		errs.Check(config.CheckName(string(r.Attempt.Job)) == "" && r.Attempt.Number >= 0 && r.Attempt.Attempt >= 1, at+".leg", "no such leg can be")
		errs.Check(r.Resources.Contains(types.Resources{}), at+".room", "want no negative numbers")
	}
	for i, r := range p.Running {
		attempt(fmt.Sprintf("running[%d]", i), r)
	}
	for i, e := range p.Ended {
		at := fmt.Sprintf("ended[%d]", i)
		attempt(at, e.Run)
		errs.Check(slices.Contains(polledOutcomes, e.Outcome), at+".fate", "want ok, failed, stopped or refused")
	}
}

var polledOutcomes = []state.Outcome{state.OutcomeOK, state.OutcomeFailed, state.OutcomeStopped, state.OutcomeNeverRan}

// HandlePoll takes a worker's call; false means that it is not to be answered.
func (ex *Executor) HandlePoll(now types.MonoTime, p Poll) bool {
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
	ex.report = Report{Rack: p.Rack, Kinds: p.Kinds, Capacity: p.Capacity, Draining: p.Draining, DepartsInMS: p.DepartsInMS, Healthy: true}
	ex.workerDepartsAt = now.Add(time.Duration(p.DepartsInMS) * time.Millisecond)
	runs := map[types.AttemptID]bool{}
	for _, r := range p.Running {
		runs[r.Attempt] = true
		l := ex.attempts[r.Attempt]
		if l == nil {
			l = &attempt{spec: AttemptSpec{Attempt: r.Attempt, Resources: r.Resources}, state: attemptRunning, startedAt: now}
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
			l = &attempt{spec: AttemptSpec{Attempt: e.Attempt, Resources: e.Resources}, state: attemptRunning}
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
func (ex *Executor) replaceWorker(p Poll) {
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
func (ex *Executor) ReplyToPoll(now types.MonoTime) PollReply {
	ex.now, ex.hasUpdate = now, false
	left := min(ex.timeouts.WorkerLease, ex.leaseUntil.Sub(now))
	if ex.state == MustDie || left < 0 {
		left = 0
	}
	a := PollReply{Agent: ex.instance, Call: ex.lastCall, LeaseUntil: ex.workerSentAt.Add(left)}
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

// WorkerStopTime is how long after its grant a worker may take to notice and stop.
const WorkerStopTime = 150 * time.Millisecond

// workerLeaseExpired is true when the worker's last grant has surely ended, and it has had
// the time to stop.
func (ex *Executor) workerLeaseExpired() bool {
	return ex.now.Sub(ex.workerLeaseBase) > ex.timeouts.WorkerLease+WorkerStopTime
}

// Worker gives the time since the worker's last call.
func (ex *Executor) SinceLastHeard(now types.MonoTime) time.Duration {
	return now.Sub(ex.workerHeardAt)
}
