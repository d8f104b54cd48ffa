package controller

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// maxPlacementLag is the maximum lag of the event loop at which any step may make a round.
	maxPlacementLag = 25 * time.Millisecond
	// minPlacementInterval is the minimum time between two rounds while the lag is larger.
	minPlacementInterval = 100 * time.Millisecond
	// placementIntervalFactor is the time between two rounds, as a multiple of the duration of a
	// round, while the lag is larger.
	placementIntervalFactor = 4
	// maxPlacementInterval bounds the time between two rounds.
	maxPlacementInterval = 500 * time.Millisecond
)

// placementSchedule decides in which steps the leader makes a placement round: in the next step
// after a request or, while the daemon's event loop is behind, in a later one, so that other
// events get most of the time.
type placementSchedule struct {
	requested bool // something was applied, or a tick occurred, since the last round
	stopped   bool // the daemon is shutting down: no more work is placed

	startedLastStep bool           // whether the last step made a round
	startedAt       types.MonoTime // when the last round started
	cost            time.Duration  // duration of the last round, measured at the next event
}

// measure records how long the round of the last step took, if there was one; eventAge is how long
// the event of this step was queued.
func (s *placementSchedule) measure(now types.MonoTime, eventAge time.Duration) {
	if s.startedLastStep {
		s.cost = min(eventAge, now.Sub(s.startedAt))
	}
	s.startedLastStep = false
}

// request requests a round.
func (s *placementSchedule) request() { s.requested = true }

// stop stops the placement of work. Rounds still stop attempts that must not continue.
func (s *placementSchedule) stop() { s.stopped = true }

// isStopped reports whether the placement of work is stopped.
func (s *placementSchedule) isStopped() bool { return s.stopped }

// startRound reports whether a round is due in this step, and if so records its start; lag is how
// far the event loop is behind.
func (s *placementSchedule) startRound(now types.MonoTime, lag time.Duration) bool {
	if !s.requested || !s.hasTime(now, lag) {
		return false
	}
	s.requested = false
	s.startedLastStep, s.startedAt = true, now
	return true
}

// hasTime reports whether the event loop has time for a round in this step.
func (s *placementSchedule) hasTime(now types.MonoTime, lag time.Duration) bool {
	if lag <= maxPlacementLag {
		return true
	}
	interval := max(minPlacementInterval, placementIntervalFactor*s.cost)
	return now.Sub(s.startedAt) >= min(maxPlacementInterval, interval)
}
