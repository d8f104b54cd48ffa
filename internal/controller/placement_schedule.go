package controller

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// maxPlacementLag is how far the loop may be behind for work to be placed at any step.
	maxPlacementLag = 25 * time.Millisecond
	// minPlacementInterval is the least time between two rounds while it is further behind.
	minPlacementInterval = 100 * time.Millisecond
	// placementIntervalFactor is the time between two rounds, in the time that a round took,
	// while it is further behind.
	placementIntervalFactor = 4
	// maxPlacementInterval is the most time between two rounds.
	maxPlacementInterval = 500 * time.Millisecond
)

// placementSchedule decides in which steps the leader makes a round of placement: the next
// one after it was requested or, while the daemon's event loop is behind, a later one, so
// that other events get most of the time.
type placementSchedule struct {
	requested bool // something was applied, or a tick passed, since the last round
	stopped   bool // the daemon shuts down: no more work is placed

	startedLastStep bool           // the last step made a round
	startedAt       types.MonoTime // when the last round was made
	cost            time.Duration  // how long that took, as the event after it saw
}

// measure finds how long a round of the last step took, if there was one; eventAge is how
// long the event of this step has waited.
func (s *placementSchedule) measure(now types.MonoTime, eventAge time.Duration) {
	if s.startedLastStep {
		s.cost = min(eventAge, now.Sub(s.startedAt))
	}
	s.startedLastStep = false
}

// request requests a round.
func (s *placementSchedule) request() { s.requested = true }

// stop has no more work placed. Rounds still stop attempts that must not go on.
func (s *placementSchedule) stop() { s.stopped = true }

// isStopped reports whether no more work is placed.
func (s *placementSchedule) isStopped() bool { return s.stopped }

// startRound reports whether a round is due in this step, and if so counts it as started;
// lag is how far the loop is behind.
func (s *placementSchedule) startRound(now types.MonoTime, lag time.Duration) bool {
	if !s.requested || !s.hasTime(now, lag) {
		return false
	}
	s.requested = false
	s.startedLastStep, s.startedAt = true, now
	return true
}

// hasTime reports whether the loop has time for a round in this step.
func (s *placementSchedule) hasTime(now types.MonoTime, lag time.Duration) bool {
	if lag <= maxPlacementLag {
		return true
	}
	interval := max(minPlacementInterval, placementIntervalFactor*s.cost)
	return now.Sub(s.startedAt) >= min(maxPlacementInterval, interval)
}
