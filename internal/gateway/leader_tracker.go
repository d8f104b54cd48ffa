package gateway

import (
	"time"

	"coppercourse/internal/types"
)

// Bounds of the time after which a request is retried.
const (
	retryAfterFailure = time.Second // a leader is known: only this request has failed
	minRetryAfterLoss = 2 * time.Second
	maxRetryAfterLoss = 30 * time.Second
	// retryLossDivisor: this part of the time without a leader is added to minRetryAfterLoss.
	retryLossDivisor = 4
)

// leaderTracker remembers the last leader, and for how long none has been known.
type leaderTracker struct {
	last   types.Addr     // the last leader that was known
	lostAt types.MonoTime // since when none is known; 0 while one is
}

// observe records the leader that is known now, if any, and returns the last one before.
func (l *leaderTracker) observe(now types.MonoTime, leader types.Addr) (previous types.Addr) {
	previous = l.last
	switch {
	case leader != "":
		l.last, l.lostAt = leader, 0
	case l.lostAt == 0:
		l.lostAt = now
	}
	return previous
}

// lostFor returns how long no leader has been known, or 0 while one is.
func (l *leaderTracker) lostFor(now types.MonoTime) time.Duration {
	if l.lostAt == 0 {
		return 0
	}
	return now.Sub(l.lostAt)
}

// retryAfter estimates when a leader will be reachable. An election is short; a partition
// that has lasted for long is likely to last as long again.
func (l *leaderTracker) retryAfter(now types.MonoTime) time.Duration {
	if l.lostAt == 0 {
		return retryAfterFailure
	}
	return min(maxRetryAfterLoss, minRetryAfterLoss+l.lostFor(now)/retryLossDivisor)
}
