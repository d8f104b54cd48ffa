package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// RemoteWorker is one shard and the agent instance that has it.
type RemoteWorker struct {
	Shard      types.Shard
	Instance   types.ID
	Addr       types.Addr
	State      protocol.Health
	StateSince types.MonoTime
	protocol.WorkerReport
	DepartsAt           types.MonoTime // when its worker goes, if it said so
	HasBeenHealthy      bool
	LastHealthyAt       types.MonoTime
	lastHeartbeatAt     types.MonoTime
	lastHeartbeatSentAt types.MonoTime
	querySequence       types.Seq
	runningTasksAskedAt types.MonoTime
	queriedAt           types.MonoTime
	openQueries         map[types.Seq][]types.AttemptID
	initialWorkerSet    protocol.WorkerSetID
	setVersion          int
	indirectSetVersion  int
	joinedVersion       int // the set that has it first
	leftVersion         int // the first that has it no more, or 0
	Reliability         Reliability
	slowdownLog         float64 // log of how many times the usual its attempts take
	slowdownAt          types.MonoTime
}

// RemoteWorker finds a shard's, or gives nil.
func (sc *Scheduler) Worker(shard types.Shard) *RemoteWorker { return sc.workers[shard] }

// Workers lists the seats in order; the list is the head's own.
func (sc *Scheduler) Workers() []*RemoteWorker { return sc.sortedWorkers }

// senderOf finds the seat that an agent's message speaks for.
func (sc *Scheduler) senderOf(t types.Term, shard types.Shard, id types.ID) *RemoteWorker {
	if s := sc.workers[shard]; s != nil && s.Instance == id && t == sc.term {
		return s
	}
	return nil
}

// FreeCapacity is a seat's room less what its agent believes it to lack and all that possibly
// runs on it.
func (sc *Scheduler) FreeCapacity(s *RemoteWorker) types.Resources {
	return s.Capacity.Sub(s.Shortfall).Sub(sc.attempts.reservedOn(s.Shard))
}
