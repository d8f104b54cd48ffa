package scheduler

import (
	"slices"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func (sc *Scheduler) askRunningTasks(s *RemoteWorker) {
	if sc.now.Sub(s.runningTasksAskedAt) >= sc.timeouts.RetryInterval/3 {
		s.runningTasksAskedAt = sc.now
		sc.send(s, wire.RunningTasksQuery, protocol.GetRunningTasks{Header: sc.header(s)})
	}
}

func (sc *Scheduler) onRunningTasksReply(_ types.Addr, a protocol.RunningTasksReply) {
	s := sc.senderOf(a.Term, a.Shard, a.Instance)
	if s == nil || s.State != protocol.WorkerNew {
		return
	}
	told := map[types.AttemptID]bool{}
	for _, r := range a.Tasks {
		told[r.Attempt] = true
		if o := sc.attempts.byID[r.Attempt]; o != nil && o.Shard == s.Shard {
			sc.attempts.setPhase(o, confirmedRunning)
		} else if o == nil {
			sc.attempts.add(&OutstandingAttempt{Attempt: r.Attempt, Shard: s.Shard, Stage: -1, Resources: r.Resources, Phase: confirmedRunning, OrderedAt: sc.now})
		}
	}
	outcome := state.OutcomeLost
	if sc.cluster.CalledByAgent(s.Shard) {
		outcome = state.OutcomeLeaseExpired
	}
	if a.Complete {
		outcome = state.OutcomeNeverRan
		sc.resolveUnreported(s.Shard, told)
	}
	for _, o := range sc.attempts.onShard(s.Shard) {
		if !told[o.Attempt] {
			sc.reportEnd(o.Attempt, outcome)
		}
	}
	s.State, s.StateSince = protocol.WorkerUnhealthy, sc.now
	sc.updateHealth(s)
	sc.replyToHeartbeat(s, s.Healthy)
}

// resolveUnreported ends the doubt about attempts that were lost on a shard and are not in its
// worker's own account: they did not end well and never will.
func (sc *Scheduler) resolveUnreported(shard types.Shard, told map[types.AttemptID]bool) {
	for _, l := range sc.cluster.UnresolvedAttempts(shard) {
		if !told[l] {
			sc.reportEnd(l, state.OutcomeNeverRan)
		}
	}
}

// UnknownAttempts lists attempts that an agent runs but the log does not have as given out.
func (sc *Scheduler) UnknownAttempts() (list []types.AttemptID) {
	for l, o := range sc.attempts.unknownToLog {
		if o.Phase == confirmedRunning && sc.cluster.EndRecorded(state.AttemptEnd{ID: l, Outcome: state.OutcomeStopped}) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, types.AttemptID.Compare)
	return
}
