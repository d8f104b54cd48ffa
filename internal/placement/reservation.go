package placement

import (
	"sort"
	"time"

	"coppercourse/internal/types"
)

const (
	// ReserveAfter is how long a request is passed over before workers are reserved for it.
	ReserveAfter = 3 * time.Second

	// roundReservationDivisor bounds the slots that reserveForRound reserves to one in
	// roundReservationDivisor of all slots.
	roundReservationDivisor = 4
)

// Reservation is capacity that is reserved on named workers for the tasks of one stage.
type Reservation struct {
	types.StageID
	Workers []ReservedWorker
}

// ReservedWorker is a worker and the number of tasks for which its capacity is reserved.
type ReservedWorker struct {
	Shard types.Shard
	Tasks int
}

// honorReservation places the request that holds the reservation, or keeps the reservation in
// force. The reservation is dropped when the request no longer exists, when its queue or its tenant
// may not run it, or when one of the workers can no longer be reserved for it.
func (r *round) honorReservation() {
	if r.Reservation == nil {
		return
	}
	request, usage := r.reservedRequest()
	if request == nil || !usage.hasQuota(request) || !r.tenantAllows(request) {
		return
	}
	if slots := r.findSlots(request, request.MinTasks()); slots != nil {
		r.assign(request, usage, slots)
		return
	}
	for _, worker := range r.Reservation.Workers {
		slot := r.slotOf(worker.Shard)
		if slot == nil || r.reservableTasks(slot, request) < worker.Tasks {
			r.clearReserved()
			return
		}
		slot.reserve(request.Resources.Scale(worker.Tasks))
	}
	r.output.Reservation = r.Reservation
}

// reservedRequest returns the request that holds the reservation and its queue's usage, or nil.
func (r *round) reservedRequest() (*Request, *QueueUsage) {
	for i := range r.Requests {
		request := &r.Requests[i]
		if request.StageID != r.Reservation.StageID || len(request.Tasks) == 0 {
			continue
		}
		if usage := r.Usage[request.Queue]; usage != nil {
			return request, usage
		}
	}
	return nil, nil
}

// slotOf returns the slot of a worker, or nil.
func (r *round) slotOf(shard types.Shard) *Slot {
	for i := range r.Slots {
		if r.Slots[i].Shard == shard {
			return &r.Slots[i]
		}
	}
	return nil
}

func (r *round) clearReserved() {
	for i := range r.Slots {
		r.Slots[i].reserved, r.Slots[i].besideReserved = types.Resources{}, types.Resources{}
	}
}

// canReserve reports whether reserve would find workers for a request.
func (r *round) canReserve(request *Request) bool {
	missing := request.MinTasks()
	for i := range r.Slots {
		missing -= r.reservableTasks(&r.Slots[i], request)
		if missing <= 0 {
			return true
		}
	}
	return false
}

// reserve returns a reservation on the usable workers with the most free cores, or nil if all of
// them together could not run the request.
func (r *round) reserve(request *Request) *Reservation {
	reservation := &Reservation{StageID: request.StageID}
	var fits []int // how many tasks each reserved worker could run
	missing := request.MinTasks()
	for _, slot := range r.reservableSlots(request) { // one task on each worker first
		if missing == 0 {
			break
		}
		if n := r.reservableTasks(slot, request); n > 0 {
			reservation.Workers = append(reservation.Workers, ReservedWorker{Shard: slot.Shard, Tasks: 1})
			fits = append(fits, n)
			missing--
		}
	}
	for i := range reservation.Workers { // then as many as each can run
		added := min(missing, fits[i]-1)
		reservation.Workers[i].Tasks += added
		missing -= added
	}
	if missing > 0 {
		return nil
	}
	return reservation
}

// reservableTasks returns for how many tasks of a request a worker can be reserved: those that it
// could run once all its tasks with a time limit have ended, or one if it is failing or slow.
func (r *round) reservableTasks(slot *Slot, request *Request) int {
	if !slot.Reservable(request) {
		return 0
	}
	tasks := max(0, slot.maxTasks(request))
	if r.performanceLimit(slot, 1) == NotRejected {
		return tasks
	}
	if slot.Unavailable != (types.Resources{}) {
		return 0 // what remains there already keeps it from getting that one
	}
	return min(tasks, 1)
}

// reservableSlots returns the slots that can be reserved for a request, those with the most free
// cores first and then those that become idle soonest.
func (r *round) reservableSlots(request *Request) []*Slot {
	var reservable []*Slot
	for i := range r.Slots {
		if r.reservableTasks(&r.Slots[i], request) > 0 {
			reservable = append(reservable, &r.Slots[i])
		}
	}
	sort.SliceStable(reservable, func(i, k int) bool {
		a, b := reservable[i], reservable[k]
		if a.Free.Cores != b.Free.Cores {
			return a.Free.Cores > b.Free.Cores
		}
		return a.IdleIn < b.IdleIn
	})
	return reservable
}

// reserveForRound reserves, for this round only, the slots that a request without a slot will be
// able to use soonest, so that smaller requests whose turn is later do not fragment them. The next
// round selects the same slots as long as nothing changes.
func (r *round) reserveForRound(request *Request) {
	if request.Class == TargetMissed || request.Gang || r.Policy.NoReservation {
		return
	}
	var tenant TenantUsage // including these reservations; unlimited if not listed
	if usage := r.Tenants[request.Tenant]; usage != nil {
		tenant = *usage
	}
	for range request.Tasks {
		slot := r.slotToReserve(request)
		if slot == nil || !tenant.Allows(request.Resources, 1) ||
			(r.roundReservations+1)*roundReservationDivisor > len(r.Slots) {
			return
		}
		slot.reserved = request.Resources
		tenant.InUse = tenant.InUse.Add(request.Resources)
		r.roundReservations++
	}
}

// slotToReserve returns the slot with the most free cores among those that a task of the request
// could use and that are not reserved, or nil.
func (r *round) slotToReserve(request *Request) *Slot {
	var best *Slot
	waitsForDataRack := r.waitsForDataRack(request)
	for i := range r.Slots {
		slot := &r.Slots[i]
		switch {
		case slot.reserved != (types.Resources{}) || !slot.Feasible(request) || slot.maxTasks(request) <= 0:
			continue
		case waitsForDataRack && slot.Rack != request.DataRack:
			continue
		case r.performanceLimit(slot, slot.RunningTasks) != NotRejected:
			continue
		}
		if best == nil || slot.Free.Cores > best.Free.Cores {
			best = slot
		}
	}
	return best
}
