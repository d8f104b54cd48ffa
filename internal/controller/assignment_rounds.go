package controller

import (
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// maxRoundsInFlight is the maximum number of rounds that are proposed and not yet applied.
const maxRoundsInFlight = 4

// round is the result of one placement round: attempts to start and attempts to withdraw.
type round struct {
	assignments []state.Assignment
	withdrawals []state.Withdrawal
}

// empty reports whether there is nothing to propose.
func (r round) empty() bool { return r.assignments == nil && r.withdrawals == nil }

// assignmentRounds tracks the rounds that are proposed and not yet applied, so that no task is
// assigned twice.
type assignmentRounds struct {
	newest      types.Index   // index of the newest proposed round
	indexes     []types.Index // indexes of the rounds in flight; may include rounds that were applied since
	assignments map[types.TaskID]state.Assignment
}

// reset drops the rounds of the previous leadership.
func (r *assignmentRounds) reset() {
	r.newest, r.indexes = 0, nil
	clear(r.assignments)
}

// proposed records a proposed round.
func (r *assignmentRounds) proposed(index types.Index, assignments []state.Assignment) {
	r.newest = index
	r.indexes = append(r.indexes, index)
	for _, a := range assignments {
		r.assignments[a.ID.TaskID] = a
	}
}

// applied records that the assignment of a task was applied.
func (r *assignmentRounds) applied(task types.TaskID) { delete(r.assignments, task) }

// inFlight reports whether a round is proposed and not yet applied; applied is the last applied
// index.
func (r *assignmentRounds) inFlight(applied types.Index) bool { return r.newest > applied }

// allApplied drops the assignments in flight when all rounds are applied. Assignments that the
// state rejected stay listed until then.
func (r *assignmentRounds) allApplied() { clear(r.assignments) }

// full reports whether the maximum number of rounds is in flight.
func (r *assignmentRounds) full(applied types.Index) bool {
	r.indexes = slices.DeleteFunc(r.indexes, func(index types.Index) bool { return index <= applied })
	return len(r.indexes) >= maxRoundsInFlight
}

// pending returns the assignments in flight. The caller must not modify the map.
func (r *assignmentRounds) pending() map[types.TaskID]state.Assignment { return r.assignments }

// empty reports whether no assignment is in flight.
func (r *assignmentRounds) empty() bool { return len(r.assignments) == 0 }

// assigned reports whether a task is in a round in flight.
func (r *assignmentRounds) assigned(task types.TaskID) bool {
	_, ok := r.assignments[task]
	return ok
}
