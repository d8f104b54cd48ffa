package executor

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// acceptHeader reports whether a scheduler's message is for this instance and of no
// older term than one seen. A higher term is that of a new leader, to whom the worker is
// NEW again.
func (ex *Executor) acceptHeader(from types.Addr, header protocol.Header) bool {
	if header.To != ex.association.instance || header.Term < ex.association.term {
		return false
	}
	if header.Term > ex.association.term {
		ex.association.term, ex.association.querySequence = header.Term, 0
		ex.health.pace = ex.timeouts.DefaultPace()
		if ex.health.state != protocol.WorkerMustDie {
			ex.health.set(ex.now, protocol.WorkerNew)
		}
	}
	ex.leader = from
	return true
}

// replyHeader returns the header of a reply to the scheduler whose message was accepted.
func (ex *Executor) replyHeader() protocol.ReplyHeader {
	return protocol.ReplyHeader{
		Term:     ex.association.term,
		Shard:    ex.shard,
		Instance: ex.association.instance,
	}
}

func (ex *Executor) onHeartbeatReply(from types.Addr, reply protocol.HeartbeatReply) {
	if !ex.acceptHeader(from, reply.Header) {
		return
	}
	if reply.WorkerSet != ex.association.workerSet {
		ex.association.workerSet = reply.WorkerSet
		ex.reports.requestHeartbeat() // the consensus waits for this agent to report the set
	}
	if !reply.Associated {
		return
	}
	ex.association.previousInstance = ""
	ex.health.pace = ex.timeouts.RequestedPace(reply)
	ex.health.renewLease(reply)
	if ex.health.state == protocol.WorkerNew {
		ex.health.set(ex.now, protocol.WorkerUnhealthy)
	}
	isRecent := ex.now.Sub(ex.health.lastRenewalSentAt) <= ex.health.pace.UnhealthyAfter
	if ex.health.state == protocol.WorkerUnhealthy && isRecent {
		ex.health.set(ex.now, protocol.WorkerHealthy)
	}
}

// onRunningTasksQuery replies with all that runs or whose end is not committed, and with
// what was lost, until the worker reports its true end.
func (ex *Executor) onRunningTasksQuery(from types.Addr, query protocol.RunningTasksQuery) {
	if !ex.acceptHeader(from, query.Header) || !ex.canReportRunningTasks() {
		return
	}
	tasks := []protocol.RunningTask{}
	for _, attempt := range ex.attempts.sorted {
		if !attempt.committed || attempt.outcome == state.OutcomeLost {
			tasks = append(tasks, protocol.RunningTask{Attempt: attempt.id(), Resources: attempt.spec.Resources})
		}
	}
	ex.send(from, wire.RunningTasksReply, protocol.RunningTasksReply{
		ReplyHeader: ex.replyHeader(),
		Tasks:       tasks,
		Complete:    ex.worker.runningTasksKnown,
	})
}

// onNotRunningQuery reports those of the attempts asked about that do not run
// here. Having said so, the agent must never start them: it notes them as ended, and
// rejects every RunTask that was sent before the query.
func (ex *Executor) onNotRunningQuery(from types.Addr, query protocol.NotRunningQuery) {
	if !ex.acceptHeader(from, query.Header) || query.Sequence <= ex.association.querySequence {
		return
	}
	ex.association.querySequence = query.Sequence
	for _, id := range query.Attempts {
		if ex.attempts.byID[id] == nil {
			ex.attempts.addNeverRan(id)
			ex.reports.requestStatus()
		}
	}
	ex.send(from, wire.NotRunningReply, protocol.NotRunningReply{
		ReplyHeader: ex.replyHeader(),
		Sequence:    query.Sequence,
	})
}

// onStatusAck notes which ends are committed. An attempt that ended well here and
// otherwise in the log is not acknowledged: its end is reported on.
func (ex *Executor) onStatusAck(from types.Addr, committed protocol.StatusAck) {
	if !ex.acceptHeader(from, committed.Header) {
		return
	}
	for _, end := range committed.Ends {
		attempt := ex.attempts.byID[end.ID]
		if attempt == nil || attempt.state != attemptEnded {
			continue
		}
		if attempt.outcome == state.OutcomeOK && end.Outcome != state.OutcomeOK {
			continue
		}
		attempt.committed = true
		ex.polls.hasUpdate = true
		switch {
		case ex.link != nil:
			ex.acknowledgeEnd(attempt)
		case ex.worker.process == "":
			ex.attempts.remove(end.ID)
		}
	}
}

// onKillTask stops attempts. One that is not here will not run here any more.
func (ex *Executor) onKillTask(from types.Addr, kill protocol.KillTask) {
	if !ex.acceptHeader(from, kill.Header) {
		return
	}
	for _, id := range kill.Attempts {
		attempt := ex.attempts.byID[id]
		if attempt == nil {
			ex.attempts.addNeverRan(id)
			ex.attempts.seen[id] = ex.now.Add(2 * ex.timeouts.LostAfter)
			ex.reports.requestStatus()
			continue
		}
		if attempt.state != attemptEnded && slices.Contains(kill.OverTimeLimit, id) {
			attempt.overTimeLimit = true
		}
		ex.stopAttempt(attempt)
	}
}

func (ex *Executor) onReplaceInstance(from types.Addr, request protocol.ReplaceInstance) {
	if ex.acceptHeader(from, request.Header) {
		ex.health.set(ex.now, protocol.WorkerMustDie)
	}
}
