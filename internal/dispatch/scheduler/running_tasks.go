package scheduler

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// queryRunningTasks asks a NEW worker's agent what runs there (getRunningTasks), and repeats
// the question until it replies.
func (sc *Scheduler) queryRunningTasks(worker *RemoteWorker) {
	if sc.now.Sub(worker.runningTasksQueriedAt) < sc.timeouts.RetryInterval/3 {
		return
	}
	worker.runningTasksQueriedAt = sc.now
	sc.send(worker, wire.RunningTasksQuery, protocol.RunningTasksQuery{Header: sc.header(worker)})
}

// onRunningTasksReply handles the list of what runs on a NEW worker, which ends the state
// NEW. An attempt that the log has there and the list lacks has ended.
func (sc *Scheduler) onRunningTasksReply(_ types.Addr, reply protocol.RunningTasksReply) {
	worker := sc.senderOf(reply.ReplyHeader)
	if worker == nil || worker.State != protocol.WorkerNew {
		return
	}
	reported := sc.confirmRunning(worker, reply.Tasks)
	outcome := state.OutcomeLost
	if sc.cluster.CalledByAgent(worker.Shard) {
		outcome = state.OutcomeLeaseExpired
	}
	if reply.Complete {
		outcome = state.OutcomeNeverRan
		sc.resolveUnreported(worker.Shard, reported)
	}
	for _, attempt := range sc.attempts.onShard(worker.Shard) {
		if !reported[attempt.ID] {
			sc.proposeEnd(attempt.ID, outcome)
		}
	}
	worker.State, worker.StateSince = protocol.WorkerUnhealthy, sc.now
	sc.updateHealth(worker)
	sc.replyToHeartbeat(worker, worker.Healthy)
}

// confirmRunning records that attempts run on a worker, also ones that the log does not
// have as assigned, and returns their set.
func (sc *Scheduler) confirmRunning(worker *RemoteWorker, tasks []protocol.RunningTask) map[types.AttemptID]bool {
	reported := map[types.AttemptID]bool{}
	for _, task := range tasks {
		reported[task.Attempt] = true
		attempt := sc.attempts.byID[task.Attempt]
		switch {
		case attempt == nil:
			sc.attempts.add(&OutstandingAttempt{
				ID:           task.Attempt,
				Shard:        worker.Shard,
				Stage:        StageUnknown,
				Resources:    task.Resources,
				phase:        confirmedRunning,
				DispatchedAt: sc.now,
			})
		case attempt.Shard == worker.Shard:
			sc.attempts.setPhase(attempt, confirmedRunning)
		}
	}
	return reported
}

// resolveUnreported ends those attempts that were lost on a shard and that its worker's
// own list lacks: they did not succeed, and never will.
func (sc *Scheduler) resolveUnreported(shard types.Shard, reported map[types.AttemptID]bool) {
	for _, id := range sc.cluster.UnresolvedAttempts(shard) {
		if !reported[id] {
			sc.proposeEnd(id, state.OutcomeNeverRan)
		}
	}
}

// UnknownAttempts lists the attempts that run on a worker although the log has their end or
// no such task, in order.
func (sc *Scheduler) UnknownAttempts() []types.AttemptID {
	var list []types.AttemptID
	for id, attempt := range sc.attempts.notInLog {
		end := state.AttemptEnd{ID: id, Outcome: state.OutcomeStopped}
		if attempt.phase == confirmedRunning && sc.cluster.EndRecorded(end) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, types.AttemptID.Compare)
	return list
}
