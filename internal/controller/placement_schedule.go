package controller

import "coppercourse/internal/types"

// placementSchedule decides in which steps the leader makes a round of placement: the next
// one after it was requested or, under overload, a later one.
type placementSchedule struct {
	overload  *overload
	requested bool // something was applied, or a tick passed, since the last round
	stopped   bool // the daemon shuts down: no more work is placed
}

// request requests a round.
func (s *placementSchedule) request() { s.requested = true }

// stop has no more work placed. Rounds still stop attempts that must not go on.
func (s *placementSchedule) stop() { s.stopped = true }

// isStopped reports whether no more work is placed.
func (s *placementSchedule) isStopped() bool { return s.stopped }

// startRound reports whether a round is due in this step, and if so counts it as started.
func (s *placementSchedule) startRound(now types.MonoTime) bool {
	if !s.requested || !s.overload.mayPlace(now) {
		return false
	}
	s.requested = false
	s.overload.startPlacement(now)
	return true
}
