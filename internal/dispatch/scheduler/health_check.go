package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// updateHealth moves a worker to the state that its latest healthy heartbeat gives it.
// MUST_DIE is never left, and NEW only by a reply to getRunningTasks or into MUST_DIE.
func (sc *Scheduler) updateHealth(worker *RemoteWorker) {
	sinceHealthy := sc.now.Sub(worker.LastHealthyAt)
	var next protocol.Health
	switch {
	case worker.State == protocol.WorkerMustDie:
		return
	case sinceHealthy > sc.timeouts.LostAfter:
		next = protocol.WorkerMustDie
	case worker.State == protocol.WorkerNew:
		return
	case sinceHealthy > sc.pace.UnhealthyAfter:
		next = protocol.WorkerUnhealthy
	case worker.sets.hasBeenHealthy || sc.workerSets.permitsHealthy(worker):
		next, worker.sets.hasBeenHealthy = protocol.WorkerHealthy, true
	default:
		next = protocol.WorkerUnhealthy
	}
	if next != worker.State {
		worker.State, worker.StateSince = next, sc.now
	}
	if next == protocol.WorkerMustDie {
		sc.markLost(worker)
	}
}

// markLost ends what a lost worker ran. Its leases have ended by now.
func (sc *Scheduler) markLost(worker *RemoteWorker) {
	outcome := sc.lossOutcome(worker.Shard)
	for _, attempt := range sc.attempts.onShard(worker.Shard) {
		sc.proposeEnd(attempt.ID, outcome)
	}
	sc.workerSets.removeLost(worker)
	sc.sendReplaceInstance(worker)
}

// lossOutcome returns the outcome of an attempt whose worker can't be reached. A worker
// that is called has no lease any more by then, and no end that it reports later counts.
func (sc *Scheduler) lossOutcome(shard types.Shard) state.Outcome {
	switch {
	case sc.cluster.CalledByAgent(shard):
		return state.OutcomeLeaseExpired
	case sc.cluster.ZonePartitioned(shard):
		return state.OutcomePartitioned
	}
	return state.OutcomeLost
}
