package scheduler

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func (sc *Scheduler) onHeartbeat(from types.Addr, b protocol.Heartbeat) {
	s := sc.workers[b.Shard]
	switch {
	case s == nil:
		s = sc.register(from, b)
	case s.Instance != b.Instance && sc.replacedInstances[b.Instance]:
		sc.sends = append(sc.sends, wire.NewMessage(sc.addr, from, wire.ReplaceInstance, protocol.RequestSuicide{Header: protocol.Header{Term: sc.term, To: b.Instance}}))
		return
	case s.Instance != b.Instance && (s.State == protocol.WorkerMustDie || b.PreviousInstance == s.Instance || sc.succeedsAtAddress(s, from)):
		sc.replacedInstances[s.Instance] = true
		if s.State != protocol.WorkerMustDie {
			sc.markUnconfirmed(s)
		}
		s = sc.register(from, b)
	case s.Instance != b.Instance:
		return
	}
	s.lastHeartbeatAt = sc.now
	if s.State == protocol.WorkerMustDie {
		sc.send(s, wire.ReplaceInstance, protocol.RequestSuicide{Header: sc.header(s)})
		return
	}
	if b.SentAt <= s.lastHeartbeatSentAt {
		return
	}
	s.Addr, s.lastHeartbeatSentAt, s.WorkerReport = from, b.SentAt, b.WorkerReport
	s.DepartsAt = sc.now.Add(time.Duration(b.DepartsInMS)*time.Millisecond - sc.timeouts.HeartbeatInterval)
	if b.Healthy {
		s.LastHealthyAt = sc.now
	}
	if b.WorkerSet.Term == sc.term && b.WorkerSet.Version > s.setVersion && b.WorkerSet.Version <= sc.workerSets.version {
		s.setVersion = b.WorkerSet.Version
		sc.workerSets.propagate(s)
	}
	for _, x := range b.Durations {
		if o := sc.attempts.byID[x.Attempt]; o != nil && o.Shard == b.Shard {
			sc.recordDuration(o, time.Duration(x.MS)*time.Millisecond, false)
		}
	}
	for _, x := range b.Checkpoints {
		if o := sc.attempts.byID[x.Attempt]; o != nil {
			o.Checkpoint = x.Ref
		}
	}
	if s.State == protocol.WorkerNew {
		sc.askRunningTasks(s)
	}
	sc.updateHealth(s)
	sc.replyToHeartbeat(s, b.Healthy)
}

// succeedsAtAddress tells that another agent instance at a seat's own address has come after
// it: one process stands at an address. While the present one beats, the other's
// beat was only late.
func (sc *Scheduler) succeedsAtAddress(s *RemoteWorker, from types.Addr) bool {
	return s.Addr == from && sc.now.Sub(s.lastHeartbeatAt) > 2*sc.timeouts.HeartbeatInterval
}

func (sc *Scheduler) register(from types.Addr, b protocol.Heartbeat) *RemoteWorker {
	s := &RemoteWorker{Shard: b.Shard, Instance: b.Instance, Addr: from, State: protocol.WorkerNew, StateSince: sc.now, LastHealthyAt: sc.now, initialWorkerSet: b.WorkerSet, Reliability: Reliability{RelativeDuration: 1},
		runningTasksAskedAt: -1 << 62, lastHeartbeatSentAt: -1 << 62, openQueries: map[types.Seq][]types.AttemptID{}}
	old := sc.workers[b.Shard]
	i, _ := slices.BinarySearchFunc(sc.sortedWorkers, b.Shard, func(x *RemoteWorker, k types.Shard) int { return cmp.Compare(x.Shard, k) })
	if old != nil {
		sc.sortedWorkers[i] = s
	} else {
		sc.sortedWorkers = slices.Insert(sc.sortedWorkers, i, s)
	}
	sc.workers[b.Shard] = s
	sc.workerSets.add(s, old)
	return s
}

// markUnconfirmed makes a replaced agent's attempts unknown until its successor's account.
func (sc *Scheduler) markUnconfirmed(s *RemoteWorker) {
	for _, o := range sc.attempts.onShard(s.Shard) {
		sc.attempts.setPhase(o, unconfirmed)
	}
}

// replyToHeartbeat renews the agent's grant, but only for a beat that told of a sound
// worker: the time to loss counts from the same beat.
func (sc *Scheduler) replyToHeartbeat(s *RemoteWorker, healthy bool) {
	a := protocol.HeartbeatReply{Header: sc.header(s), HeartbeatSentAt: s.lastHeartbeatSentAt, Associated: s.State != protocol.WorkerNew, WorkerSet: sc.currentWorkerSet()}
	if healthy && s.State != protocol.WorkerNew {
		a.LeaseUntil = s.lastHeartbeatSentAt.Add(min(sc.timeouts.AgentLease, sc.authorityLeft))
	}
	sc.send(s, wire.HeartbeatReply, a)
}
