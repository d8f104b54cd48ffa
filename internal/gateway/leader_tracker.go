package gateway

import (
	"time"

	"coppercourse/internal/types"
)

// Bounds of the time after which a request is retried.
const (
	retryAfterFailure = time.Second // a leader is known: only this request has failed
	minRetryAfterLoss = time.Second
	maxRetryAfterLoss = 30 * time.Second
	// retryLossDivisor: this part of the time without a leader is added to minRetryAfterLoss.
	retryLossDivisor = 4
)

// leaderSilentAfter is how long a leader may leave every request unanswered until no more
// are forwarded to it. A leader that can't answer for so long steps down by itself.
const leaderSilentAfter = 400 * time.Millisecond

// leaderTracker remembers the last leader, for how long none has been known, and whether the
// present one answers.
type leaderTracker struct {
	last   types.Addr     // the last leader that was known
	lostAt types.MonoTime // since when none is known; 0 while one is

	awaited      types.Addr     // the controller to which a request was forwarded last
	awaitedSince types.MonoTime // since when it has sent nothing; 0 for not at all

	heardFrom types.Addr     // the controller that replied last
	heardAt   types.MonoTime // when it did
}

// forwarded records that a request was forwarded to a controller.
func (l *leaderTracker) forwarded(now types.MonoTime, to types.Addr) {
	if l.awaited != to || l.awaitedSince == 0 {
		l.awaited, l.awaitedSince = to, now
	}
}

// heard records that a controller has sent a reply.
func (l *leaderTracker) heard(now types.MonoTime, from types.Addr) {
	l.heardFrom, l.heardAt = from, now
	if l.awaited == from {
		l.awaitedSince = 0
	}
}

// lastHeard returns when a controller replied last, if it is the one that did, or
// types.DistantPast.
func (l *leaderTracker) lastHeard(controller types.Addr) types.MonoTime {
	if l.heardFrom != controller {
		return types.DistantPast
	}
	return l.heardAt
}

// isSilent reports whether a controller leaves requests unanswered, so that what is forwarded
// to it now might be accepted or not.
func (l *leaderTracker) isSilent(now types.MonoTime, controller types.Addr) bool {
	return l.awaited == controller && l.awaitedSince != 0 && now.Sub(l.awaitedSince) > leaderSilentAfter
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
