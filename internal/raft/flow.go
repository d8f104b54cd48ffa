// How much a member is sent at once, and how long its answer is waited for. Both
// adapt to its link and its disk: what takes longer than a beat must not be sent
// again each beat, and a large log must not go out in one message.
package raft

import (
	"time"

	"coppercourse/internal/types"
)

// Bounds on the bytes of entries under way to one member.
const (
	minWindowBytes      = 16 << 10
	initialWindowBytes  = 64 << 10
	maxWindowBytes      = 1 << 20
	maxBackoffDoublings = 4 // doublings of the wait for an answer
	maxRetryTimeout     = 5 * time.Second
)

// sendWindow is the window of one member.
type sendWindow struct {
	limitBytes          int            // bytes that may be under way; 0 is initialWindowBytes
	inFlightBytes       int            // bytes that are
	firstSentAt         types.MonoTime // when the first of them was sent for the first time; 0 is never
	lastAckDelay        time.Duration  // from there to the last answer
	consecutiveTimeouts int            // in a row
}

func (s *sendWindow) limit() int {
	if s.limitBytes == 0 {
		return initialWindowBytes
	}
	return s.limitBytes
}

// full tells whether no more may be sent before an answer.
func (s *sendWindow) full() bool { return s.inFlightBytes >= s.limit() }

// takeEntries gives the first entries that fit, one at least, as sent now.
func (s *sendWindow) takeEntries(now types.MonoTime, entries []Entry) []Entry {
	count := min(entriesWithin(entries, s.limit()-s.inFlightBytes), maxEntriesPerMessage)
	for _, e := range entries[:count] {
		s.inFlightBytes += len(e.Data)
	}
	s.onSend(now)
	return entries[:count]
}

// onSend tells that something goes out. An answer after a repetition counts from
// the first time, since it may be the answer to that.
func (s *sendWindow) onSend(now types.MonoTime) {
	if s.firstSentAt == 0 {
		s.firstSentAt = now
	}
}

// entriesWithin counts the entries that fit into so many bytes, one at least.
func entriesWithin(entries []Entry, bytes int) int {
	for i, e := range entries {
		if bytes -= len(e.Data); bytes < 0 {
			return max(i, 1)
		}
	}
	return len(entries)
}

// retryTimeout is how long an answer is waited for before the same is sent again.
func (s *sendWindow) retryTimeout(minimum time.Duration) time.Duration {
	return min(max(minimum, 2*s.lastAckDelay)<<s.consecutiveTimeouts, maxRetryTimeout)
}

// onTimeout tells that no answer came in time. Once may be a lost message, or a first
// answer from a slow disk; the window shrinks from the second time on.
func (s *sendWindow) onTimeout() {
	if s.consecutiveTimeouts > 0 {
		s.limitBytes = max(s.limit()/2, minWindowBytes)
	}
	s.inFlightBytes = 0
	s.consecutiveTimeouts = min(s.consecutiveTimeouts+1, maxBackoffDoublings)
}

// onAcknowledged tells that all under way has arrived. The window grows while that takes
// less than the shortest election wait, and shrinks where it takes twice as long.
func (s *sendWindow) onAcknowledged(now types.MonoTime, minElectionTimeout time.Duration) {
	if s.firstSentAt != 0 {
		s.lastAckDelay = now.Sub(s.firstSentAt)
	}
	s.inFlightBytes, s.consecutiveTimeouts, s.firstSentAt = 0, 0, 0
	switch {
	case s.lastAckDelay < minElectionTimeout:
		s.limitBytes = min(s.limit()*2, maxWindowBytes)
	case s.lastAckDelay > 2*minElectionTimeout:
		s.limitBytes = max(s.limit()/2, minWindowBytes)
	}
}
