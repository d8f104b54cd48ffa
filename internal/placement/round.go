package placement

import (
	"coppercourse/internal/types"
)

// round is the state of one call of Place.
type round struct {
	Input
	output          Output
	meanFailureRate float64               // of all slots
	infeasible      map[requestShape]bool // shapes for which this round found no slot

	passedOver   *Request              // first request that is due for a reservation, or nil
	bypassed     bool                  // later requests took slots that passedOver could have used
	unreservable map[requestShape]bool // shapes for which canReserve was false in this round

	roundReservations int // number of slots reserved by reserveForRound
	starvedPlaced     int // number of starved requests placed after the round was full

	// Buffers of findSlotsOn, reused between searches.
	freeBuffer  []types.Resources
	addedBuffer []int
}

func newRound(input Input) *round {
	r := &round{Input: input, infeasible: map[requestShape]bool{}, unreservable: map[requestShape]bool{}}
	for i := range r.Slots {
		r.meanFailureRate += r.Slots[i].FailureRate / float64(len(r.Slots))
	}
	return r
}

// placeByQueue places one request after another, each from the queue whose turn it is.
func (r *round) placeByQueue() {
	turns := groupByQueue(r.Requests, r.Usage)
	for !r.isFinished() {
		turn := nextQueue(turns, r.TotalCores)
		if turn == nil {
			return
		}
		request, isFull := &turn.requests[0], r.isFull()
		if isFull && !isStarved(request) || !turn.usage.allows(request) || !r.tenantAllows(request) {
			turn.requests = turn.requests[1:]
			continue
		}
		slots := r.findSlotsUnlessInfeasible(request)
		if slots == nil {
			r.passOver(request, turn.usage)
			turn.requests = turn.requests[1:]
			continue
		}
		r.recordBypass(slots)
		r.assign(request, turn.usage, slots)
		if isFull {
			r.starvedPlaced++
		}
		if isFull || len(request.Tasks) == 0 {
			turn.requests = turn.requests[1:]
		}
	}
}

// findSlotsUnlessInfeasible is findSlots, but skips the search if a request of the same shape has
// found no slot in this round.
func (r *round) findSlotsUnlessInfeasible(request *Request) []int {
	shape := request.shape()
	if r.waitsForDataRack(request) {
		shape.rack = request.DataRack
	}
	if r.infeasible[shape] && !request.Gang {
		return nil
	}
	slots := r.findSlots(request, request.MinTasks())
	if slots == nil && !request.Gang && request.MaxPerWorker == 0 && request.AvoidWorkers == nil {
		r.infeasible[shape] = true
	}
	return slots
}

// passOver handles a request that found no slot although its queue may run it.
func (r *round) passOver(request *Request, usage *QueueUsage) {
	if usage.Queue.HasLatencyTarget() {
		r.reserveForRound(request)
	}
	if r.passedOver == nil && r.output.Reservation == nil && r.dueForReservation(request) {
		r.passedOver = request
	}
}

// dueForReservation reports whether a request has been passed over for so long that workers are
// reserved for it, and there are such workers. A request without them does not keep later ones from
// getting a reservation.
func (r *round) dueForReservation(request *Request) bool {
	switch {
	case request.WaitingFor < ReserveAfter || request.ReservationPaused:
		return false
	case request.Class != OnTarget && !request.ReservedBefore:
		return false
	}
	if request.Gang {
		return r.canReserve(request)
	}
	shape := request.shape()
	if r.unreservable[shape] {
		return false
	}
	r.unreservable[shape] = !r.canReserve(request)
	return !r.unreservable[shape]
}

// recordBypass sets bypassed if the request that was passed over could have used one of the slots.
func (r *round) recordBypass(slots []int) {
	if r.passedOver == nil || r.bypassed {
		return
	}
	for _, i := range slots {
		if r.reservableTasks(&r.Slots[i], r.passedOver) > 0 {
			r.bypassed = true
			return
		}
	}
}

// assign assigns the first tasks of a request to the listed slots, one task to each.
func (r *round) assign(request *Request, usage *QueueUsage, slots []int) {
	for i, index := range slots {
		slot := &r.Slots[index]
		slot.Assign(request.StageID, request.Resources)
		task := types.TaskID{Job: request.Job, TaskNumber: request.Tasks[i]}
		r.output.Assignments = append(r.output.Assignments, Assignment{Task: task, Shard: slot.Shard})
	}
	usage.RunningTasks += len(slots)
	usage.CoresInUse += types.MilliCores(len(slots)) * request.Resources.Cores
	if tenant := r.Tenants[request.Tenant]; tenant != nil {
		tenant.InUse = tenant.InUse.Add(request.Resources.Scale(len(slots)))
	}
	request.Tasks = request.Tasks[len(slots):]
}
