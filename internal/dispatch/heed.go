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
		if ex.state != MustDie {
			ex.setState(New)
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
	if ex.state == New {
		ex.setState(Unhealthy)
	}
	if ex.state == Unhealthy && ex.now.Sub(ex.lastGrantSentAt) <= ex.timeouts.UnhealthyAfter {
		ex.setState(Healthy)
	}
}

func (ex *Executor) onGetRunningTasks(from types.Addr, a GetRunningTasks) {
	if !ex.acceptTerm(from, a.Header) || !ex.canReportRunningTasks() {
		return
	}
	list := []Run{}
	for _, l := range ex.attemptsInOrder() {
		if !l.committed || l.outcome == state.OutcomeLost {
			list = append(list, Run{l.spec.Attempt, l.spec.Resources})
		}
	}
	ex.send(from, wire.RunningTasksReply, RunningTasksReply{ex.term, ex.shard, ex.instance, list, ex.runningTasksKnown})
}

func (ex *Executor) onRunTask(from types.Addr, o RunTask) {
	if !ex.acceptTerm(from, o.Header) {
		return
	}
	l := ex.attempts[o.Spec.Attempt]
	_, seen := ex.seenAttempts[o.Spec.Attempt]
	if l != nil || seen {
		return
	}
	ex.seenAttempts[o.Spec.Attempt] = max(o.StartBefore, ex.now).Add(ex.timeouts.LostAfter)
	why := ex.refusalReason(o)
	if why == "" {
		ex.add(&attempt{spec: o.Spec, state: attemptWaiting, startBefore: min(o.StartBefore, ex.leaseUntil)})
		ex.hasUpdate = true
	}
	ex.send(from, wire.RunTaskReply, RunTaskReply{ex.term, ex.shard, ex.instance, o.Spec.Attempt, why})
}

// refusalReason gives the reason why an order may not be taken, or nothing.
func (ex *Executor) refusalReason(o RunTask) string {
	free := ex.report.Capacity.Sub(ex.capacityShortfall())
	twin := false
	for _, l := range ex.attempts {
		if l.state != attemptEnded {
			free = free.Sub(l.spec.Resources)
			twin = twin || l.spec.Attempt.TaskID == o.Spec.Attempt.TaskID
		}
	}
	for _, c := range []struct {
		bad bool
		why string
	}{
		{o.Sequence < ex.querySequence, "sent before the latest query"},
		{ex.now >= o.StartBefore || ex.now >= ex.leaseUntil, "grant has lapsed"},
		{ex.state != Healthy, "agent is " + string(ex.state)},
		{!ex.report.Healthy, "worker is silent"},
		{ex.report.Draining, "worker is leaving"},
		{!slices.Contains(ex.report.Kinds, o.Spec.Kind), "worker has not this kind"},
		{o.Spec.Rack != "" && o.Spec.Rack != ex.report.Rack, "worker is in another rack"},
		{!ex.report.hasLabels(o.Spec.Labels), "worker lacks a label"},
		{twin, "another leg of the task is here"},
		{!free.Contains(o.Spec.Resources), "no room"},
	} {
		if c.bad {
			return c.why
		}
	}
	return ""
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
		ex.setState(MustDie)
	}
}

var executorHandlers = map[wire.Kind]func(*Executor, wire.Message){
	wire.HeartbeatReply:    wire.HandlerFor((*Executor).onHeartbeatReply),
	wire.RunningTasksQuery: wire.HandlerFor((*Executor).onGetRunningTasks),
	wire.RunTask:           wire.HandlerFor((*Executor).onRunTask),
	wire.NotRunningQuery:   wire.HandlerFor((*Executor).onNotifyIfTasksNotRunning),
	wire.StatusAck:         wire.HandlerFor((*Executor).onCommittedEnds),
	wire.KillTask:          wire.HandlerFor((*Executor).onKillTasks),
	wire.ReplaceInstance:   wire.HandlerFor((*Executor).onRequestSuicide),
}

// HandleMessage handles a scheduler's note.
func (ex *Executor) HandleMessage(now types.MonoTime, n wire.Message) {
	ex.now = now
	if f := executorHandlers[n.Kind]; f != nil {
		f(ex, n)
	}
	ex.makeDueCalls()
}
