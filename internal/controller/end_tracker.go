package controller

import (
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// endTracker tracks the attempt ends that are proposed and not yet committed, so that each is
// proposed only once, and the resources of attempts that have certainly stopped are released
// before the commit.
type endTracker struct {
	inFlight map[state.AttemptEnd]bool
	released map[types.AttemptID]bool // attempts with an end in flight that no longer run
}

func newEndTracker() *endTracker {
	return &endTracker{inFlight: map[state.AttemptEnd]bool{}, released: map[types.AttemptID]bool{}}
}

// reset drops the ends of the previous leadership.
func (t *endTracker) reset() {
	clear(t.inFlight)
	clear(t.released)
}

// toPropose returns the ends of a list that are neither in flight nor recorded in the state.
func (t *endTracker) toPropose(s *state.State, ends []state.AttemptEnd) []state.AttemptEnd {
	var list []state.AttemptEnd
	for _, end := range ends {
		if !t.inFlight[end] && !endRecorded(s, end) {
			list = append(list, end)
		}
	}
	return list
}

// proposed records a proposed end.
func (t *endTracker) proposed(end state.AttemptEnd) { t.inFlight[end] = true }

// release records that an attempt with its end in flight no longer runs.
func (t *endTracker) release(attempt types.AttemptID) { t.released[attempt] = true }

// isReleased reports whether an attempt with its end in flight no longer runs.
func (t *endTracker) isReleased(attempt types.AttemptID) bool { return t.released[attempt] }

// committed records that an end was committed.
func (t *endTracker) committed(end state.AttemptEnd) {
	delete(t.inFlight, end)
	delete(t.released, end.ID)
}

// endRecorded reports whether the state already has an end, or ignores it because its job has
// ended or its job or task is unknown.
func endRecorded(s *state.State, end state.AttemptEnd) bool {
	j := s.Jobs[end.ID.Job]
	if j == nil || j.Ended() {
		return true
	}
	task := j.Task(end.ID.TaskNumber)
	return task == nil || task.EndIsRedundant(end.ID.Attempt, end.Outcome)
}
