package raft

import (
	"time"

	"coppercourse/internal/types"
)

// Bounds on the bytes of entries in flight to one member, and on the wait for an answer.
const (
	minWindowBytes      = 16 << 10
	initialWindowBytes  = 64 << 10
	maxWindowBytes      = 1 << 20
	maxBackoffDoublings = 4 // of the wait for an answer
	maxRetryTimeout     = 5 * time.Second
)

// sendWindow bounds how much one member is sent at once and how long its answer is waited
// for. Both adapt to its link and its disk: what takes longer than a heartbeat interval to
// arrive must not be sent again with each heartbeat, and a large log must not go out in
// one message.
type sendWindow struct {
	limitBytes          int            // bytes that may be in flight; 0 is initialWindowBytes
	inFlightBytes       int            // bytes that are
	firstSentAt         types.MonoTime // when the first of them was sent for the first time; 0 is never
	lastAckDelay        time.Duration  // from there to the last answer
	consecutiveTimeouts int            // since the last answer, maxBackoffDoublings at most
}

// limit is how many bytes may be in flight.
func (s *sendWindow) limit() int {
	if s.limitBytes == 0 {
		return initialWindowBytes
	}
	return s.limitBytes
}

// full tells whether nothing more may be sent before an answer.
func (s *sendWindow) full() bool { return s.inFlightBytes >= s.limit() }

// takeEntries returns the first entries that fit, one at least, and counts them as sent.
func (s *sendWindow) takeEntries(now types.MonoTime, entries []Entry) []Entry {
	count := min(entriesWithin(entries, s.limit()-s.inFlightBytes), maxEntriesPerMessage)
	taken := entries[:count]
	s.inFlightBytes += dataBytes(taken)
	s.onSend(now)
	return taken
}

// onSend notes that something is sent. The delay of an answer after a retry counts from
// the first sending, since it may be the answer to that.
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

// retryTimeout is how long an answer is waited for before the same is sent again: twice
// the last delay, doubled with each time-out in a row.
func (s *sendWindow) retryTimeout(minimum time.Duration) time.Duration {
	return min(max(minimum, 2*s.lastAckDelay)<<s.consecutiveTimeouts, maxRetryTimeout)
}

// onTimeout notes that no answer came in time. Once may be a lost message, or a first
// answer from a slow disk; the window shrinks from the second time on.
func (s *sendWindow) onTimeout() {
	if s.consecutiveTimeouts > 0 {
		s.limitBytes = max(s.limit()/2, minWindowBytes)
	}
	s.inFlightBytes = 0
	s.consecutiveTimeouts = min(s.consecutiveTimeouts+1, maxBackoffDoublings)
}

// onAcknowledged notes that all in flight has arrived. The window grows while that takes
// less than the shortest election timeout, and shrinks where it takes twice as long.
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
