// The workers as placement sees them. What runs on a worker is summed up once and kept
// from round to round until an attempt comes to it or goes, so that a round costs what
// changed; what a worker says of itself and what depends on the time is read each round.
package controller

import (
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

// occupancy is what possibly runs on one worker.
type occupancy struct {
	revision  uint64 // of the scheduler's list that it was summed up from
	used      types.Resources
	busy      int
	byPart    map[placement.TaskGroup]int
	lastEnd   types.MonoTime // when the last of what has a time limit reaches it
	unlimited bool           // something has none
}

// slotCache keeps occupancies, and the memory of the last round's list.
type slotCache struct {
	byShard  map[types.Shard]*occupancy
	slots    []placement.Slot
	position map[types.Shard]int
}

// reset forgets everything, for another leadership.
func (sc *slotCache) reset() { *sc = slotCache{} }

// invalidate has one worker summed up anew.
func (sc *slotCache) invalidate(shard types.Shard) { delete(sc.byShard, shard) }

// list gives the workers that may be given work, and all cores there are. The list
// holds until the next one is made.
func (sc *slotCache) list(h *Controller) (slots []placement.Slot, total types.MilliCores) {
	if sc.byShard == nil {
		sc.byShard, sc.position = map[types.Shard]*occupancy{}, map[types.Shard]int{}
	}
	clear(sc.position)
	slots = sc.slots[:0]
	for _, s := range h.scheduler.Workers() {
		if s.State != dispatch.Healthy {
			continue
		}
		total += s.Capacity.Cores
		if till, _, _ := h.availability(s); !s.Draining && s.Healthy {
			sc.position[s.Shard] = len(slots)
			slots = append(slots, h.workerSlot(s, sc.occupancyOf(h, s.Shard), till))
		}
	}
	sc.slots = slots
	for _, given := range h.assignmentsInFlight {
		if i, ok := sc.position[given.Shard]; ok {
			part := placement.TaskGroup{Job: given.ID.Job, Stage: types.StageOf(given.ID.Number)}
			slots[i].Assign(part, h.resourcesOf(part))
		}
	}
	return
}

// workerSlot is one worker with what runs there.
func (co *Controller) workerSlot(s *dispatch.RemoteWorker, runs *occupancy, till time.Duration) placement.Slot {
	return placement.Slot{Shard: s.Shard, Rack: s.Rack, Kinds: s.Kinds, Labels: s.Labels,
		Free: s.Capacity.Sub(s.Shortfall).Sub(runs.used), Capacity: s.Capacity, AvailableFor: till, IdleIn: runs.remaining(co.now.Mono),
		FailureRate: s.Reliability.FailureRate, DurationFactor: s.Reliability.RelativeDuration, CurrentDurationFactor: co.scheduler.Slowdown(s), RunningTasks: runs.busy, TasksByGroup: runs.byPart}
}

// resourcesOf is what a task of a part takes, or nothing if its job is over.
func (co *Controller) resourcesOf(p placement.TaskGroup) types.Resources {
	if j := co.log.state().Jobs[p.Job]; j != nil && !j.Ended() {
		return j.Spec.Steps[p.Stage.Step()].Resources
	}
	return types.Resources{}
}

// occupancyOf gives what runs on a worker.
func (sc *slotCache) occupancyOf(h *Controller, shard types.Shard) *occupancy {
	attempts, revision := h.scheduler.AttemptsOn(shard)
	if runs := sc.byShard[shard]; runs != nil && runs.revision == revision {
		return runs
	}
	runs := &occupancy{revision: revision, byPart: make(map[placement.TaskGroup]int, len(attempts))}
	for _, o := range attempts {
		runs.add(o, h.released[o.Attempt])
	}
	sc.byShard[shard] = runs
	return runs
}

// add counts an attempt. One that is freed surely runs no more, but still counts for
// the spread of its step until its end is committed.
func (oc *occupancy) add(o *dispatch.OutstandingAttempt, freed bool) {
	if !freed {
		oc.used = oc.used.Add(o.Resources)
		oc.busy++
	}
	if o.TimeLimit == 0 {
		oc.unlimited = true
	} else {
		oc.lastEnd = max(oc.lastEnd, o.OrderedAt.Add(o.TimeLimit))
	}
	if o.Stage >= 0 {
		oc.byPart[placement.TaskGroup{Job: o.Attempt.Job, Stage: o.Stage}]++
	}
}

// remaining is by when all that runs there has ended, by its limits.
func (oc *occupancy) remaining(now types.MonoTime) time.Duration {
	rest := max(0, oc.lastEnd.Sub(now))
	if oc.unlimited {
		rest = max(rest, assumedUnlimitedRemainder)
	}
	return rest
}
