// How the agent's half heeds the scheduler. A lower term than one seen is let
// fall; a higher one is a new leader, to whom the agent is NEW again.
package executor

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// acceptTerm checks the term and the addressee, and takes up a new leader.
func (ex *Executor) acceptTerm(from types.Addr, t protocol.Header) bool {
	if t.To != ex.instance || t.Term < ex.term {
		return false
	}
	if t.Term > ex.term {
		ex.term, ex.querySequence = t.Term, 0
		if ex.state != protocol.WorkerMustDie {
			ex.setState(protocol.WorkerNew)
		}
	}
	ex.leader = from
	return true
}

func (ex *Executor) onHeartbeatReply(from types.Addr, b protocol.HeartbeatReply) {
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
	if ex.state == protocol.WorkerNew {
		ex.setState(protocol.WorkerUnhealthy)
	}
	if ex.state == protocol.WorkerUnhealthy && ex.now.Sub(ex.lastGrantSentAt) <= ex.timeouts.UnhealthyAfter {
		ex.setState(protocol.WorkerHealthy)
	}
}

func (ex *Executor) onGetRunningTasks(from types.Addr, a protocol.GetRunningTasks) {
	if !ex.acceptTerm(from, a.Header) || !ex.canReportRunningTasks() {
		return
	}
	list := []protocol.RunningTask{}
	for _, l := range ex.attemptsInOrder() {
		if !l.committed || l.outcome == state.OutcomeLost {
			list = append(list, protocol.RunningTask{Attempt: l.spec.Attempt, Resources: l.spec.Resources})
		}
	}
	ex.send(from, wire.RunningTasksReply, protocol.RunningTasksReply{Term: ex.term, Shard: ex.shard, Instance: ex.instance, Tasks: list, Complete: ex.runningTasksKnown})
}

// onNotifyIfTasksNotRunning answers which of the attempts asked about do not run here; from now on
// orders sent before it are refused.
func (ex *Executor) onNotifyIfTasksNotRunning(from types.Addr, q protocol.NotifyIfTasksNotRunning) {
	if !ex.acceptTerm(from, q.Header) || q.Sequence <= ex.querySequence {
		return
	}
	ex.querySequence = q.Sequence
	var idle []state.AttemptEnd
	for _, l := range q.Attempts {
		if ex.attempts[l] == nil {
			ex.add(&attempt{spec: protocol.AttemptSpec{Attempt: l}, state: attemptEnded, outcome: state.OutcomeNeverRan})
			idle = append(idle, state.AttemptEnd{ID: l, Outcome: state.OutcomeNeverRan})
		}
	}
	if idle != nil {
		ex.lastStatusAt = never
	}
	ex.send(from, wire.NotRunningReply, protocol.NotifyIfTasksNotRunningReply{Term: ex.term, Shard: ex.shard, Instance: ex.instance, Sequence: q.Sequence})
}

func (ex *Executor) onCommittedEnds(from types.Addr, s protocol.CommittedEnds) {
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

func (ex *Executor) onKillTasks(from types.Addr, s protocol.KillTasks) {
	if !ex.acceptTerm(from, s.Header) {
		return
	}
	for _, k := range s.Attempts {
		if l := ex.attempts[k]; l != nil {
			l.overTimeLimit = l.overTimeLimit || l.state != attemptEnded && slices.Contains(s.OverTimeLimit, k)
			ex.stopAttempt(l)
		} else {
			ex.add(&attempt{spec: protocol.AttemptSpec{Attempt: k}, state: attemptEnded, outcome: state.OutcomeNeverRan})
			ex.seenAttempts[k], ex.lastStatusAt = ex.now.Add(2*ex.timeouts.LostAfter), never
		}
	}
}

func (ex *Executor) onRequestSuicide(from types.Addr, q protocol.RequestSuicide) {
	if ex.acceptTerm(from, q.Header) {
		ex.setState(protocol.WorkerMustDie)
	}
}
