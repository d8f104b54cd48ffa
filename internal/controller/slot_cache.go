package controller

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// slotCache builds the placement slots of the workers. The occupancy of a worker is summed up once
// and cached across rounds until an attempt is added or removed there, so that the cost of a round
// depends on the number of changes. A worker's own reports and everything that depends on the
// time are read in each round.
type slotCache struct {
	windows  workerWindows
	byShard  map[types.Shard]*occupancy
	slots    []placement.Slot    // of the last list; the memory is reused
	position map[types.Shard]int // of each worker in slots
}

// occupancy sums up the attempts that may be running on one worker.
type occupancy struct {
	revision  uint64 // of the scheduler's attempt list that it sums up
	used      types.Resources
	unlimited types.Resources // the part of used that attempts without a time limit use
	attempts  int             // number of attempts that use resources
	byStage   map[types.StageID]int
	lastEnd   types.MonoTime // the latest time at which an attempt reaches its time limit
}

// reset empties the cache for a new leadership.
func (sc *slotCache) reset() { *sc = slotCache{windows: sc.windows} }

// invalidate drops the cached occupancy of one worker. It is needed when resources are released
// before the end is committed, because this does not change the scheduler's revision.
func (sc *slotCache) invalidate(shard types.Shard) { delete(sc.byShard, shard) }

// list returns the slots of the workers that accept work, including the assignments in flight,
// and the total cores of all healthy workers. The list is valid until the next call.
func (sc *slotCache) list(v *leaderView, ends *endTracker, rounds *assignmentRounds) (
	[]placement.Slot, types.MilliCores) {
	if sc.byShard == nil {
		sc.byShard, sc.position = map[types.Shard]*occupancy{}, map[types.Shard]int{}
	}
	clear(sc.position)
	slots, total := sc.slots[:0], types.MilliCores(0)
	for _, worker := range v.scheduler.Workers() {
		if worker.State != protocol.WorkerHealthy {
			continue
		}
		total += worker.Capacity.Cores
		if !worker.Departing && worker.Healthy {
			sc.position[worker.Shard] = len(slots)
			slots = append(slots, sc.slot(v, worker, sc.occupancy(v, ends, worker.Shard)))
		}
	}
	sc.slots = slots
	for _, assignment := range rounds.pending() {
		if i, ok := sc.position[assignment.Shard]; ok {
			stage := assignment.ID.StageID()
			slots[i].Assign(stage, taskResources(v.state, stage))
		}
	}
	return slots, total
}

// slotOf returns the slot of a worker in the last list, or nil.
func (sc *slotCache) slotOf(shard types.Shard) *placement.Slot {
	if i, ok := sc.position[shard]; ok {
		return &sc.slots[i]
	}
	return nil
}

// slot returns the slot of one worker with its occupancy.
func (sc *slotCache) slot(v *leaderView, worker *scheduler.RemoteWorker, occupied *occupancy) placement.Slot {
	return placement.Slot{
		Shard:                 worker.Shard,
		Rack:                  worker.Rack,
		Kinds:                 worker.Kinds,
		Labels:                worker.Labels,
		Free:                  worker.Capacity.Sub(worker.Shortfall).Sub(occupied.used),
		Capacity:              worker.Capacity,
		Unavailable:           worker.Shortfall.Add(occupied.unlimited),
		AvailableFor:          sc.windows.of(v, worker).remaining,
		IdleIn:                occupied.remaining(v.now),
		FailureRate:           worker.Reliability.FailureRate,
		DurationFactor:        worker.Reliability.RelativeDuration,
		CurrentDurationFactor: v.scheduler.Slowdown(worker),
		ProbeDue:              v.scheduler.ProbeDue(worker),
		RunningTasks:          occupied.attempts,
		TasksByStage:          occupied.byStage,
	}
}

// taskResources returns the resources of a task of a stage, or zero if its job has ended.
func taskResources(s *state.State, stage types.StageID) types.Resources {
	if j := s.Jobs[stage.Job]; j != nil && !j.Ended() {
		return j.Spec.Steps[stage.Stage.Step()].Resources
	}
	return types.Resources{}
}

// occupancy returns the occupancy of a worker, from the cache if it is up to date.
func (sc *slotCache) occupancy(v *leaderView, ends *endTracker, shard types.Shard) *occupancy {
	attempts, revision := v.scheduler.AttemptsOn(shard)
	if cached := sc.byShard[shard]; cached != nil && cached.revision == revision {
		return cached
	}
	occupied := &occupancy{revision: revision, byStage: make(map[types.StageID]int, len(attempts))}
	for _, attempt := range attempts {
		occupied.add(attempt, ends.isReleased(attempt.ID))
	}
	sc.byShard[shard] = occupied
	return occupied
}

// add adds an attempt. A released attempt uses no resources, but still counts as a task of its
// stage there until its end is committed.
func (o *occupancy) add(attempt *scheduler.OutstandingAttempt, released bool) {
	if !released {
		o.used = o.used.Add(attempt.Resources)
		o.attempts++
	}
	if attempt.TimeLimit > 0 {
		o.lastEnd = max(o.lastEnd, attempt.DispatchedAt.Add(attempt.TimeLimit))
	}
	if attempt.Stage == scheduler.StageUnknown {
		return // it is about to be stopped
	}
	o.byStage[attempt.StageID()]++
	if attempt.TimeLimit == 0 && !released {
		o.unlimited = o.unlimited.Add(attempt.Resources)
	}
}

// remaining returns how long until all attempts there that have a time limit have ended.
func (o *occupancy) remaining(now types.MonoTime) time.Duration { return max(0, o.lastEnd.Sub(now)) }
