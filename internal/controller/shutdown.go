package controller

import (
	"time"

	"coppercourse/internal/types"
)

// shutdownTimeout bounds the time that a graceful shutdown waits for the cluster.
const shutdownTimeout = 3 * time.Second

// gracefulShutdown is whether the daemon shuts down, and how long it waits until this
// controller has transferred its leadership.
type gracefulShutdown struct {
	begun    bool
	deadline types.MonoTime
}

// begin begins the shutdown.
func (s *gracefulShutdown) begin(now types.MonoTime) {
	s.begun, s.deadline = true, now.Add(shutdownTimeout)
}

// inProgress reports whether the shutdown has begun.
func (s *gracefulShutdown) inProgress() bool { return s.begun }

// isComplete reports whether the daemon may stop: the cluster no longer needs this controller,
// or it was waited for long enough.
func (s *gracefulShutdown) isComplete(now types.MonoTime, memberMayStop bool) bool {
	return s.begun && (memberMayStop || now >= s.deadline)
}
