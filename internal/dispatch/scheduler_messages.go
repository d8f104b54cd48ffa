// How the agent's half heeds the scheduler. A lower term than one seen is let
// fall; a higher one is a new leader, to whom the agent is NEW again.
package dispatch

import (
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// acceptTerm checks the term and the addressee, and takes up a new leader.
func (ex *Executor) acceptTerm(from types.Addr, t Header) bool {
	if t.To != ex.instance || t.Term < ex.term {
		return false
	}
	if t.Term > ex.term {
		ex.term, ex.querySequence = t.Term, 0
		if ex.state != WorkerMustDie {
			ex.setState(WorkerNew)
		}
	}
	ex.leader = from
	return true
}

func (ex *Executor) onHeartbeatReply(from types.Addr, b HeartbeatReply) {
	if !ex.acceptTerm(from, b.Header) {
		return
	}
	if b.WorkerSet != ex.workerSet {
		ex.workerSet, ex.lastHeartbeatAt = b.WorkerSet, never
	}
	if !b.Associated {
		return
	}
	ex.previousInstance = ""
	if b.LeaseUntil > b.HeartbeatSentAt {
		ex.leaseUntil, ex.lastGrantSentAt = max(ex.leaseUntil, b.LeaseUntil), max(ex.lastGrantSentAt, b.HeartbeatSentAt)
	}
	if ex.state == WorkerNew {
		ex.setState(WorkerUnhealthy)
	}
	if ex.state == WorkerUnhealthy && ex.now.Sub(ex.lastGrantSentAt) <= ex.timeouts.UnhealthyAfter {
		ex.setState(WorkerHealthy)
	}
}

func (ex *Executor) onGetRunningTasks(from types.Addr, a GetRunningTasks) {
	if !ex.acceptTerm(from, a.Header) || !ex.canReportRunningTasks() {
		return
	}
	list := []RunningTask{}
	for _, l := range ex.attemptsInOrder() {
		if !l.committed || l.outcome == state.OutcomeLost {
			list = append(list, RunningTask{l.spec.Attempt, l.spec.Resources})
		}
	}
	ex.send(from, wire.RunningTasksReply, RunningTasksReply{ex.term, ex.shard, ex.instance, list, ex.runningTasksKnown})
}

// onNotifyIfTasksNotRunning answers which of the attempts asked about do not run here; from now on
// orders sent before it are refused.
func (ex *Executor) onNotifyIfTasksNotRunning(from types.Addr, q NotifyIfTasksNotRunning) {
	if !ex.acceptTerm(from, q.Header) || q.Sequence <= ex.querySequence {
		return
	}
	ex.querySequence = q.Sequence
	var idle []state.AttemptEnd
	for _, l := range q.Attempts {
		if ex.attempts[l] == nil {
			ex.add(&attempt{spec: AttemptSpec{Attempt: l}, state: attemptEnded, outcome: state.OutcomeNeverRan})
			idle = append(idle, state.AttemptEnd{ID: l, Outcome: state.OutcomeNeverRan})
		}
	}
	if idle != nil {
		ex.lastStatusAt = never
	}
	ex.send(from, wire.NotRunningReply, NotifyIfTasksNotRunningReply{ex.term, ex.shard, ex.instance, q.Sequence})
}

func (ex *Executor) onCommittedEnds(from types.Addr, s CommittedEnds) {
	if !ex.acceptTerm(from, s.Header) {
		return
	}
	for _, e := range s.Ends {
		l := ex.attempts[e.ID]
		if l == nil || l.state != attemptEnded || l.outcome == state.OutcomeOK && e.Outcome != state.OutcomeOK {
			continue
		}
		l.committed, ex.hasUpdate = true, true
		if ex.link != nil {
			ex.acknowledgeEnd(l)
		} else if ex.workerInstance == "" {
			ex.remove(e.ID)
		}
	}
}

func (ex *Executor) onKillTasks(from types.Addr, s KillTasks) {
	if !ex.acceptTerm(from, s.Header) {
		return
	}
	for _, k := range s.Attempts {
		if l := ex.attempts[k]; l != nil {
			l.overTimeLimit = l.overTimeLimit || l.state != attemptEnded && slices.Contains(s.OverTimeLimit, k)
			ex.stopAttempt(l)
		} else {
			ex.add(&attempt{spec: AttemptSpec{Attempt: k}, state: attemptEnded, outcome: state.OutcomeNeverRan})
			ex.seenAttempts[k], ex.lastStatusAt = ex.now.Add(2*ex.timeouts.LostAfter), never
		}
	}
}

func (ex *Executor) onRequestSuicide(from types.Addr, q RequestSuicide) {
	if ex.acceptTerm(from, q.Header) {
		ex.setState(WorkerMustDie)
	}
}
