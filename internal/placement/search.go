package placement

import (
	"slices"

	"coppercourse/internal/types"
)

const (
	// failureRateMargin is by how much the failure rate of a worker may exceed the mean. Beyond
	// that it gets one task at a time, so that a success can lower the rate again.
	failureRateMargin = 0.35

	// minDurationFactor bounds the advantage of a worker that is faster than usual.
	minDurationFactor = 0.2

	// otherRackPenalty divides the score of workers that are not in the rack of the data.
	otherRackPenalty = 100

	// avoidPenalty divides the score of workers in AvoidWorkers.
	avoidPenalty = 1000
)

// findSlots returns the indexes of slots for a number of tasks of a request, one for each task, or
// nil if there are not enough.
func (r *round) findSlots(request *Request, tasks int) []int {
	if r.waitsForDataRack(request) {
		return r.findSlotsOn(request.DataRack, request, tasks)
	}
	if request.PreferOneRack {
		if slots := r.findSlotsOnOneRack(request, tasks); slots != nil {
			return slots
		}
	}
	return r.findSlotsOn("", request, tasks)
}

// waitsForDataRack reports whether a request may use only the rack of its data for now: it has not
// waited for DataRackWait yet, and a worker in that rack can run it.
func (r *round) waitsForDataRack(request *Request) bool {
	if request.DataRack == "" || request.WaitingFor >= request.DataRackWait || r.Policy.NoDataRack {
		return false
	}
	return slices.ContainsFunc(r.Slots, func(slot Slot) bool {
		return slot.Rack == request.DataRack && slot.Feasible(request)
	})
}

// findSlotsOnOneRack is findSlots with all slots on one rack. It tries the rack of the data, then
// racks that already run tasks of the stage, then the others.
func (r *round) findSlotsOnOneRack(request *Request, tasks int) []int {
	tried := map[types.Rack]bool{"": true}
	try := func(rack types.Rack) []int {
		if tried[rack] {
			return nil
		}
		tried[rack] = true
		return r.findSlotsOn(rack, request, tasks)
	}
	if slots := try(request.DataRack); slots != nil {
		return slots
	}
	for i := range r.Slots {
		if r.Slots[i].TaskCount(request.StageID) == 0 {
			continue
		}
		if slots := try(r.Slots[i].Rack); slots != nil {
			return slots
		}
	}
	for i := range r.Slots {
		if slots := try(r.Slots[i].Rack); slots != nil {
			return slots
		}
	}
	return nil
}

// findSlotsOn is findSlots on one rack, or on all racks if rack is empty. Each task is placed on
// the slot with the highest score, which the tasks placed before it have lowered.
func (r *round) findSlotsOn(rack types.Rack, request *Request, tasks int) []int {
	free, added := r.freeBuffer[:0], r.addedBuffer[:0]
	for i := range r.Slots {
		free = append(free, r.Slots[i].Free)
		added = append(added, 0)
	}
	r.freeBuffer, r.addedBuffer = free, added
	var slots []int
	for range tasks {
		best, bestScore := -1, 0.0
		for i := range r.Slots {
			slot := &r.Slots[i]
			if rack != "" && slot.Rack != rack || !r.accepts(slot, request, free[i], added[i]) {
				continue
			}
			if score := r.score(slot, request, free[i]); best < 0 || score > bestScore {
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
	return slots
}

// accepts reports whether a slot can take another task of a request, given its free resources and
// the number of tasks that were added to it in this search.
func (r *round) accepts(slot *Slot, request *Request, free types.Resources, added int) bool {
	switch {
	case !free.Contains(request.Resources) || !slot.Feasible(request):
		return false
	case request.MaxPerWorker > 0 && slot.TaskCount(request.StageID)+added >= request.MaxPerWorker:
		return false
	case !request.UsesReserved && slot.delaysReserved(request, free, added):
		return false
	}
	return r.performanceLimit(slot, slot.RunningTasks+added) == NotRejected
}

// performanceLimit returns why a worker that runs a number of tasks may not run one more, by its
// failure rate and by how slow it currently is, or NotRejected.
func (r *round) performanceLimit(slot *Slot, running int) RejectReason {
	switch {
	case running > 0 && slot.FailureRate > r.meanFailureRate+failureRateMargin && !r.Policy.NoFailureRate:
		return FailingWorker
	case slot.CurrentDurationFactor > 0 && (running > 0 || !slot.ProbeDue):
		return SlowWorker
	}
	return NotRejected
}

// score rates a slot for a task of a request. Workers score higher with more free cores, a lower
// failure rate, shorter durations, in the rack of the request's data, and if they are not in
// AvoidWorkers.
func (r *round) score(slot *Slot, request *Request, free types.Resources) float64 {
	score := float64(free.Cores)
	if !r.Policy.NoFailureRate {
		score *= 1 - slot.FailureRate
	}
	if !r.Policy.NoWorkerSpeed {
		score /= max(slot.DurationFactor, minDurationFactor)
	}
	if request.DataRack != "" && slot.Rack != request.DataRack && !r.Policy.NoDataRack {
		score /= otherRackPenalty
	}
	if request.AvoidWorkers[slot.Shard] {
		score /= avoidPenalty
	}
	return score
}
