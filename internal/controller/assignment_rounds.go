package controller

import (
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// maxRoundsInFlight is how many rounds may be proposed and not yet applied.
const maxRoundsInFlight = 4

// round is the result of one round of placement: attempts to start and attempts to
// withdraw.
type round struct {
	assignments []state.Assignment
	withdrawals []state.Withdrawal
}

// empty reports whether there is nothing to propose.
func (r round) empty() bool { return r.assignments == nil && r.withdrawals == nil }

// assignmentRounds keeps the rounds that are proposed and not yet applied, so that no task
// is assigned twice.
type assignmentRounds struct {
	newest      types.Index   // index of the newest round proposed
	indexes     []types.Index // indexes of the rounds in flight; some may be applied by now
	assignments map[types.TaskID]state.Assignment
}

// reset forgets the rounds of another leadership.
func (r *assignmentRounds) reset() {
	r.newest, r.indexes = 0, nil
	clear(r.assignments)
}

// proposed records a round that was proposed.
func (r *assignmentRounds) proposed(index types.Index, assignments []state.Assignment) {
	r.newest = index
	r.indexes = append(r.indexes, index)
	for _, a := range assignments {
		r.assignments[a.ID.TaskID] = a
	}
}

// applied records that an assignment is applied.
func (r *assignmentRounds) applied(task types.TaskID) { delete(r.assignments, task) }

// inFlight reports whether a round is proposed and not yet applied; applied is the last
// index applied.
func (r *assignmentRounds) inFlight(applied types.Index) bool { return r.newest > applied }

// allApplied forgets the assignments in flight, as all rounds are applied. One that the
// state rejected is still listed until then.
func (r *assignmentRounds) allApplied() { clear(r.assignments) }

// full reports whether no more rounds may be proposed until one is applied.
func (r *assignmentRounds) full(applied types.Index) bool {
	r.indexes = slices.DeleteFunc(r.indexes, func(index types.Index) bool { return index <= applied })
	return len(r.indexes) >= maxRoundsInFlight
}

// pending returns the assignments in flight, which the caller must not change.
func (r *assignmentRounds) pending() map[types.TaskID]state.Assignment { return r.assignments }

// empty reports whether there are no assignments in flight.
func (r *assignmentRounds) empty() bool { return len(r.assignments) == 0 }

// assigned reports whether a task is in a round in flight.
func (r *assignmentRounds) assigned(task types.TaskID) bool {
	_, ok := r.assignments[task]
	return ok
}
