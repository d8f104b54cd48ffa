package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// updateHealth moves one seat through the health machine.
func (sc *Scheduler) updateHealth(s *RemoteWorker) {
	quiet := sc.now.Sub(s.LastHealthyAt)
	var to protocol.Health
	switch {
	case s.State == protocol.WorkerMustDie:
		return
	case quiet > sc.timeouts.LostAfter:
		to = protocol.WorkerMustDie
	case s.State == protocol.WorkerNew:
		return
	case quiet > sc.timeouts.UnhealthyAfter:
		to = protocol.WorkerUnhealthy
	case s.HasBeenHealthy || sc.workerSets.permitsHealthy(s):
		to, s.HasBeenHealthy = protocol.WorkerHealthy, true
	default:
		to = protocol.WorkerUnhealthy
	}
	if to != s.State {
		s.State, s.StateSince = to, sc.now
	}
	if to == protocol.WorkerMustDie {
		sc.markLost(s)
	}
}

// markLost forgets what a lost worker ran; its grants have lapsed by now.
func (sc *Scheduler) markLost(s *RemoteWorker) {
	outcome := sc.lossOutcome(s.Shard)
	for _, o := range sc.attempts.onShard(s.Shard) {
		sc.reportEnd(o.Attempt, outcome)
	}
	sc.workerSets.removeLost(s)
	sc.send(s, wire.ReplaceInstance, protocol.RequestSuicide{Header: sc.header(s)})
}

// lossOutcome is the outcome of an attempt whose worker is out of reach. One that is called
// has no lease any more by then, and what it did is not settled there.
func (sc *Scheduler) lossOutcome(shard types.Shard) state.Outcome {
	switch {
	case sc.cluster.CalledByAgent(shard):
		return state.OutcomeLeaseExpired
	case sc.cluster.ZonePartitioned(shard):
		return state.OutcomePartitioned
	}
	return state.OutcomeLost
}
