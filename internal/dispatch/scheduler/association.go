package scheduler

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// onHeartbeat handles a heartbeat (processHeartbeat). It associates a new agent instance,
// stores what the agent reports, and renews its lease.
func (sc *Scheduler) onHeartbeat(from types.Addr, heartbeat protocol.Heartbeat) {
	worker := sc.associate(from, heartbeat)
	if worker == nil {
		return
	}
	worker.lastHeartbeat.arrivedAt = sc.now
	if worker.State == protocol.WorkerMustDie {
		sc.sendReplaceInstance(worker)
		return
	}
	if heartbeat.SentAt <= worker.lastHeartbeat.sentAt {
		return // out of order: a newer one has arrived before
	}
	sc.applyReport(worker, from, heartbeat)
	if worker.State == protocol.WorkerNew {
		sc.queryRunningTasks(worker)
	}
	sc.updateHealth(worker)
	sc.replyToHeartbeat(worker, heartbeat.Healthy)
}

// associate returns the worker that a heartbeat is of, a new one where its instance is
// the first of the shard or may replace the one before. It returns nil for an instance
// that has been replaced or may not replace another.
func (sc *Scheduler) associate(from types.Addr, heartbeat protocol.Heartbeat) *RemoteWorker {
	worker := sc.Worker(heartbeat.Shard)
	switch {
	case worker == nil:
		return sc.register(from, heartbeat)
	case worker.Instance == heartbeat.Instance:
		return worker
	case sc.workers.wasReplaced(heartbeat.Instance):
		header := protocol.Header{Term: sc.term, To: heartbeat.Instance}
		suicide := wire.NewMessage(sc.addr, from, wire.ReplaceInstance, protocol.ReplaceInstance{Header: header})
		sc.messages = append(sc.messages, suicide)
		return nil
	case sc.mayReplace(worker, from, heartbeat):
		sc.workers.markReplaced(sc.now, worker.Instance)
		if worker.State != protocol.WorkerMustDie {
			sc.attempts.setPhaseOnShard(worker.Shard, unconfirmed)
		}
		return sc.register(from, heartbeat)
	}
	return nil
}

// mayReplace reports whether the sender of a heartbeat may take a worker's place, which
// is so if the worker is lost, if the worker process itself names the instance as the
// one before, or if the sender stands at the same address. One process stands at an
// address; but while the present instance sends heartbeats, one of another instance was
// only late.
func (sc *Scheduler) mayReplace(worker *RemoteWorker, from types.Addr, heartbeat protocol.Heartbeat) bool {
	if worker.State == protocol.WorkerMustDie || heartbeat.PreviousInstance == worker.Instance {
		return true
	}
	return worker.Addr == from && sc.now.Sub(worker.lastHeartbeat.arrivedAt) > 2*sc.pace.Interval
}

func (sc *Scheduler) register(from types.Addr, heartbeat protocol.Heartbeat) *RemoteWorker {
	worker := newRemoteWorker(sc.now, from, heartbeat)
	before := sc.workers.put(worker)
	sc.workerSets.add(worker, before)
	sc.pace = sc.timeouts.FleetPace(len(sc.workers.sorted))
	return worker
}

// applyReport stores what a heartbeat reports of the worker and of its attempts.
func (sc *Scheduler) applyReport(worker *RemoteWorker, from types.Addr, heartbeat protocol.Heartbeat) {
	worker.Addr = from
	worker.lastHeartbeat.sentAt = heartbeat.SentAt
	worker.WorkerReport = heartbeat.WorkerReport
	departsIn := time.Duration(heartbeat.DepartsInMS) * time.Millisecond
	worker.DepartsAt = sc.now.Add(departsIn - sc.timeouts.HeartbeatInterval)
	if heartbeat.Healthy {
		worker.LastHealthyAt = sc.now
	}
	if heartbeat.WorkerSet.Term == sc.term {
		sc.workerSets.onReported(worker, heartbeat.WorkerSet.Version)
	}
	for _, estimate := range heartbeat.Durations {
		if attempt := sc.attempts.byID[estimate.Attempt]; attempt != nil && attempt.Shard == heartbeat.Shard {
			sc.recordDuration(attempt, time.Duration(estimate.MS)*time.Millisecond, false)
		}
	}
	for _, checkpoint := range heartbeat.Checkpoints {
		if attempt := sc.attempts.byID[checkpoint.Attempt]; attempt != nil {
			attempt.Checkpoint = checkpoint.Ref
		}
	}
}

// replyToHeartbeat renews the agent's lease, but only for the heartbeat of a healthy
// worker: the time until the worker counts as lost runs from the same heartbeat, so the
// lease always ends before.
func (sc *Scheduler) replyToHeartbeat(worker *RemoteWorker, healthy bool) {
	reply := protocol.HeartbeatReply{
		Header:          sc.header(worker),
		HeartbeatSentAt: worker.lastHeartbeat.sentAt,
		Associated:      worker.State != protocol.WorkerNew,
		WorkerSet:       sc.workerSets.latest(sc.term),
	}
	if sc.pace != sc.timeouts.DefaultPace() {
		reply.IntervalMS = sc.pace.Interval.Milliseconds()
	}
	if healthy && reply.Associated {
		reply.LeaseUntil = sc.newLeaseEnd(worker)
	}
	sc.send(worker, wire.HeartbeatReply, reply)
}

func (sc *Scheduler) sendReplaceInstance(worker *RemoteWorker) {
	sc.send(worker, wire.ReplaceInstance, protocol.ReplaceInstance{Header: sc.header(worker)})
}
