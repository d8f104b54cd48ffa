package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// RemoteWorker is the scheduler's view of a worker: a shard and the agent instance that is
// associated with it.
type RemoteWorker struct {
	Shard      types.Shard
	Instance   types.ID
	Addr       types.Addr // of the agent
	State      protocol.Health
	StateSince types.MonoTime
	// LastHealthyAt is when the latest heartbeat of a healthy worker arrived.
	LastHealthyAt types.MonoTime
	// DepartsAt is when a departing worker will be gone, if its agent has reported that.
	DepartsAt types.MonoTime
	protocol.WorkerReport
	Reliability Reliability

	lastHeartbeat         heartbeatTimes
	runningTasksQueriedAt types.MonoTime
	queries               unsureQueries
	sets                  setMembership
	slowness              slowness
}

// heartbeatTimes are the arrival of a heartbeat on the scheduler's clock and its sending on the
// agent's clock.
type heartbeatTimes struct {
	arrivedAt types.MonoTime
	sentAt    types.MonoTime
}

// newRemoteWorker returns the worker for a heartbeat that has just arrived.
func newRemoteWorker(now types.MonoTime, from types.Addr, heartbeat protocol.Heartbeat) *RemoteWorker {
	return &RemoteWorker{
		Shard:                 heartbeat.Shard,
		Instance:              heartbeat.Instance,
		Addr:                  from,
		State:                 protocol.WorkerNew,
		StateSince:            now,
		LastHealthyAt:         now,
		Reliability:           Reliability{RelativeDuration: 1},
		lastHeartbeat:         heartbeatTimes{sentAt: types.DistantPast},
		runningTasksQueriedAt: types.DistantPast,
		queries:               unsureQueries{pending: map[types.Seq][]types.AttemptID{}},
		sets:                  setMembership{initial: heartbeat.WorkerSet},
	}
}

// isAssociated reports whether the scheduler has the worker's list of running tasks and the worker
// is not lost.
func (r *RemoteWorker) isAssociated() bool {
	return r.State == protocol.WorkerUnhealthy || r.State == protocol.WorkerHealthy
}

// workerTable holds the current worker of each shard and remembers replaced instances.
type workerTable struct {
	byShard  map[types.Shard]*RemoteWorker
	sorted   []*RemoteWorker             // the same workers, sorted by shard
	replaced map[types.ID]types.MonoTime // replaced instances and when they were replaced
}

func newWorkerTable() workerTable {
	return workerTable{byShard: map[types.Shard]*RemoteWorker{}, replaced: map[types.ID]types.MonoTime{}}
}

// replacedRetention is how long a replaced instance is remembered. Its leases have expired long
// before; if it reappears after that, it counts as a new instance.
const replacedRetention = time.Hour

// markReplaced remembers that an instance has been replaced, and removes entries older than
// replacedRetention.
func (w *workerTable) markReplaced(now types.MonoTime, instance types.ID) {
	w.replaced[instance] = now
	maps.DeleteFunc(w.replaced, func(_ types.ID, at types.MonoTime) bool {
		return now.Sub(at) > replacedRetention
	})
}

func (w *workerTable) wasReplaced(instance types.ID) bool {
	_, ok := w.replaced[instance]
	return ok
}

// put makes a worker the current one of its shard and returns the previous one, or nil.
func (w *workerTable) put(worker *RemoteWorker) (previous *RemoteWorker) {
	previous = w.byShard[worker.Shard]
	i, _ := slices.BinarySearchFunc(w.sorted, worker.Shard, func(other *RemoteWorker, shard types.Shard) int {
		return cmp.Compare(other.Shard, shard)
	})
	if previous != nil {
		w.sorted[i] = worker
	} else {
		w.sorted = slices.Insert(w.sorted, i, worker)
	}
	w.byShard[worker.Shard] = worker
	return previous
}

// Worker returns the worker of a shard, or nil.
func (sc *Scheduler) Worker(shard types.Shard) *RemoteWorker { return sc.workers.byShard[shard] }

// Workers lists the workers, sorted by shard. The list is owned by the scheduler.
func (sc *Scheduler) Workers() []*RemoteWorker { return sc.workers.sorted }

// senderOf returns the worker whose agent sent a reply, or nil if the reply is for another term or
// from another instance.
func (sc *Scheduler) senderOf(header protocol.ReplyHeader) *RemoteWorker {
	worker := sc.Worker(header.Shard)
	if worker == nil || worker.Instance != header.Instance || header.Term != sc.term {
		return nil
	}
	return worker
}

// FreeCapacity returns a worker's capacity minus the shortfall that its agent reports and minus the
// resources of all attempts that may be running there.
func (sc *Scheduler) FreeCapacity(worker *RemoteWorker) types.Resources {
	return worker.Capacity.Sub(worker.Shortfall).Sub(sc.attempts.reservedOn(worker.Shard))
}
