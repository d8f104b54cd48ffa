// Where the tasks of a step go: workers that suit them and have room, on the rack
// of their data if they can, on one rack if they are slower when spread, away from
// workers where they stalled or failed.
package placement

import "coppercourse/internal/types"

// findSlots finds workers for n tasks of a want, or nil.
func (r *round) findSlots(request Request, tasks int) (slots []int) {
	if request.PreferOneRack {
		if slots = r.findSlotsOnOneRack(request, tasks); slots != nil {
			return slots
		}
	}
	return r.findSlotsOnRack(request, tasks, "")
}

// findSlotsOnOneRack finds one rack that holds n tasks of a want, the one of its data first.
func (r *round) findSlotsOnOneRack(request Request, tasks int) []int {
	seen := map[types.Rack]bool{"": true}
	try := func(rack types.Rack) []int {
		if seen[rack] {
			return nil
		}
		seen[rack] = true
		return r.findSlotsOnRack(request, tasks, rack)
	}
	slots := try(request.DataRack)
	for i := 0; i < len(r.Slots) && slots == nil; i++ {
		if rack := r.Slots[i].Rack; r.Slots[i].TaskCount(request.TaskGroup) > 0 {
			slots = try(rack)
		}
	}
	for i := 0; i < len(r.Slots) && slots == nil; i++ {
		slots = try(r.Slots[i].Rack)
	}
	return slots
}

// findSlotsOnRack finds workers in a rack, or in any.
func (r *round) findSlotsOnRack(request Request, tasks int, rack types.Rack) (slots []int) {
	free, added := r.freeScratch[:0], r.addedScratch[:0]
	for i := range r.Slots {
		free, added = append(free, r.Slots[i].Free), append(added, 0)
	}
	r.freeScratch, r.addedScratch = free, added
	for range tasks {
		best, bestScore := -1, 0.0
		for i := range r.Slots {
			slot := &r.Slots[i]
			if rack != "" && slot.Rack != rack || !free[i].Contains(request.Resources) || !slot.Feasible(request) ||
				request.MaxPerWorker > 0 && slot.TaskCount(request.TaskGroup)+added[i] >= request.MaxPerWorker ||
				!free[i].Sub(slot.reserved).Contains(request.Resources) && request.TimeLimit > slot.IdleIn {
				continue
			}
			if r.unreliable(slot) && slot.RunningTasks+added[i] > 0 || slot.CurrentDurationFactor > maxDurationFactor || slot.CurrentDurationFactor > 0 && slot.RunningTasks+added[i] >= probationTasks {
				continue
			}
			score := score(slot, free[i])
			if request.DataRack != "" && slot.Rack != request.DataRack {
				score /= 100
			}
			if request.AvoidWorkers[slot.Shard] {
				score /= 1000
			}
			if best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		if best < 0 {
			return nil
		}
		free[best] = free[best].Sub(request.Resources)
		added[best]++
		slots = append(slots, best)
	}
	return
}

// A worker on which all takes more than slow times as long gets nothing; one that
// is being trusted again gets a little, by which it can prove itself.
const (
	maxDurationFactor = 2.0
	probationTasks    = 2
)

// holdSlotsFree keeps the room of the slots where a want that found none will soonest find it,
// so that smaller work whose turn is later does not take it piece by piece. It lasts
// for the round: the next one comes to the same while nothing changes. A part of the
// slots at most is kept so.
func (r *round) holdSlotsFree(request *Request) {
	if request.Class == TargetMissed || request.Gang {
		return
	}
	for range request.Tasks {
		best := -1
		for i := range r.Slots {
			slot := &r.Slots[i]
			if slot.reserved != (types.Resources{}) || !slot.Feasible(*request) || slot.CurrentDurationFactor > maxDurationFactor || slot.CurrentDurationFactor > 0 && slot.RunningTasks >= probationTasks ||
				request.MaxPerWorker > 0 && slot.TaskCount(request.TaskGroup) >= request.MaxPerWorker || r.unreliable(slot) && slot.RunningTasks > 0 {
				continue
			}
			if best < 0 || slot.Free.Cores > r.Slots[best].Free.Cores {
				best = i
			}
		}
		if best < 0 || (r.slotsHeldFree+1)*heldFreeFraction > len(r.Slots) {
			return
		}
		r.Slots[best].reserved = request.Resources
		r.slotsHeldFree++
	}
}

// heldFreeFraction is of how many slots one at most has its room kept for work that found none.
const heldFreeFraction = 4

// unreliable tells a worker whose attempts end badly much more often than the others'.
func (r *round) unreliable(slot *Slot) bool {
	return slot.FailureRate > r.meanFailureRate+failureRateMargin
}

// score prefers workers with much room that end their attempts well and in time.
func score(slot *Slot, free types.Resources) float64 {
	return float64(free.Cores) * (1 - slot.FailureRate) / max(slot.DurationFactor, 0.2)
}
