// Package placement decides which waiting tasks are assigned to which workers. Place is a pure
// function of what the leader knows at that moment; one call is one planning round.
//
// Queues take turns, in the order of their priority and of how little of their share they use. In
// its turn a queue places the first of its requests, where a request is the tasks of one stage that
// may start (Request). A request that fits no worker (Slot) is passed over and does not block the
// requests behind it; a gang is placed as a whole or not at all. A tenant never gets more than its
// limit allows (TenantUsage.Allows): other requests of it are skipped, and nothing is reserved for
// them.
//
// A request that is passed over for ReserveAfter while others take capacity that it could use gets
// a reservation: capacity on named workers, which is free now or once tasks with a time limit have
// ended. There other requests may start only tasks that leave this capacity, or that are certain to
// end before the reserved request could start anyway. There is at most one reservation at a time. It
// is passed from the output of one round to the input of the next; the caller decides for how long,
// and which requests may use reserved capacity.
package placement

import (
	"coppercourse/internal/policy"
	"coppercourse/internal/types"
)

// MaxAssignments is the maximum number of tasks that one round places, not counting those of
// starved requests. The remaining tasks are left to the next round.
const MaxAssignments = 400

// Input is the complete input of a round. Place modifies its requests, slots and usages.
type Input struct {
	Requests    []Request // oldest first
	Slots       []Slot
	Usage       map[types.QueueName]*QueueUsage // requests of queues that are not listed are skipped
	Tenants     map[types.TenantName]*TenantUsage
	TotalCores  types.MilliCores // of all workers, as the basis of the queues' shares
	Reservation *Reservation     // of the previous round, or nil
	Policy      policy.Policy
}

// Output is the result of a round.
type Output struct {
	Assignments []Assignment
	Reservation *Reservation // for the next round, or nil
}

// Assignment assigns a task to a worker.
type Assignment struct {
	Task  types.TaskID
	Shard types.Shard
}

// Place performs one round.
func Place(input Input) Output {
	r := newRound(input)
	r.honorReservation()
	r.placeByQueue()
	if r.passedOver != nil && r.bypassed && r.tenantAllows(r.passedOver) && !r.Policy.NoReservation {
		r.output.Reservation = r.reserve(r.passedOver)
	}
	return r.output
}
