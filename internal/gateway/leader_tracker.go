package gateway

import (
	"time"

	"coppercourse/internal/types"
)

// Bounds of the time after which a request is retried.
const (
	retryAfterWithLeader    = time.Second // a leader is known: only this request has failed
	minLeaderlessRetryAfter = time.Second
	maxLeaderlessRetryAfter = 30 * time.Second
	// leaderlessRetryDivisor: this part of the time without a leader is added to minLeaderlessRetryAfter.
	leaderlessRetryDivisor = 4
)

// unresponsiveAfter is how long a leader may leave every request unanswered until no more
// are forwarded to it. A leader that can't answer for so long steps down by itself.
const unresponsiveAfter = 400 * time.Millisecond

// leaderTracker remembers the last leader, for how long none has been known, and whether the
// present one answers.
type leaderTracker struct {
	lastKnown       types.Addr     // the last leader that was known
	leaderlessSince types.MonoTime // since when none is known; 0 while one is

	forwardedTo     types.Addr     // the controller to which a request was forwarded last
	unansweredSince types.MonoTime // since when it has sent nothing; 0 for not at all

	lastReplyFrom types.Addr     // the controller that replied last
	lastReplyAt   types.MonoTime // when it did
}

// forwarded records that a request was forwarded to a controller.
func (l *leaderTracker) recordForward(now types.MonoTime, to types.Addr) {
	if l.forwardedTo != to || l.unansweredSince == 0 {
		l.forwardedTo, l.unansweredSince = to, now
	}
}

// heard records that a controller has sent a reply.
func (l *leaderTracker) recordReply(now types.MonoTime, from types.Addr) {
	l.lastReplyFrom, l.lastReplyAt = from, now
	if l.forwardedTo == from {
		l.unansweredSince = 0
	}
}

// lastReplyOf returns when a controller replied last, if it is the one that did, or
// types.DistantPast.
func (l *leaderTracker) lastReplyOf(controller types.Addr) types.MonoTime {
	if l.lastReplyFrom != controller {
		return types.DistantPast
	}
	return l.lastReplyAt
}

// isUnresponsive reports whether a controller leaves requests unanswered, so that what is forwarded
// to it now might be accepted or not.
func (l *leaderTracker) isUnresponsive(now types.MonoTime, controller types.Addr) bool {
	return l.forwardedTo == controller && l.unansweredSince != 0 && now.Sub(l.unansweredSince) > unresponsiveAfter
}

// observe records the leader that is known now, if any, and returns the last one before.
func (l *leaderTracker) observe(now types.MonoTime, leader types.Addr) (previous types.Addr) {
	previous = l.lastKnown
	switch {
	case leader != "":
		l.lastKnown, l.leaderlessSince = leader, 0
	case l.leaderlessSince == 0:
		l.leaderlessSince = now
	}
	return previous
}

// leaderlessFor returns how long no leader has been known, or 0 while one is.
func (l *leaderTracker) leaderlessFor(now types.MonoTime) time.Duration {
	if l.leaderlessSince == 0 {
		return 0
	}
	return now.Sub(l.leaderlessSince)
}

// retryAfter estimates when a leader will be reachable. An election is short; a partition
// that has lasted for long is likely to last as long again.
func (l *leaderTracker) retryAfter(now types.MonoTime) time.Duration {
	if l.leaderlessSince == 0 {
		return retryAfterWithLeader
	}
	return min(maxLeaderlessRetryAfter, minLeaderlessRetryAfter+l.leaderlessFor(now)/leaderlessRetryDivisor)
}
