package raft

import (
	"time"

	"coppercourse/internal/types"
)

// Bounds on the bytes of entries in flight to one member and on the retry timeout.
const (
	minWindowBytes      = 16 << 10
	initialWindowBytes  = 64 << 10
	maxWindowBytes      = 1 << 20
	maxBackoffDoublings = 4 // of the retry timeout
	maxRetryTimeout     = 5 * time.Second
)

// sendWindow bounds the bytes in flight to one member and sets the retry timeout. Both adapt to
// the member's link and disk: data that takes longer than a heartbeat interval to arrive must not
// be sent again with each heartbeat, and a large log must not be sent in one message.
type sendWindow struct {
	limitBytes          int            // bytes that may be in flight; 0 means initialWindowBytes
	inFlightBytes       int            // bytes in flight
	firstSentAt         types.MonoTime // first send of the oldest bytes in flight; 0 if none were sent
	lastAckDelay        time.Duration  // from firstSentAt to the last acknowledgement
	consecutiveTimeouts int            // since the last acknowledgement, at most maxBackoffDoublings
}

// limit returns how many bytes may be in flight.
func (s *sendWindow) limit() int {
	if s.limitBytes == 0 {
		return initialWindowBytes
	}
	return s.limitBytes
}

// full reports whether nothing more may be sent before an acknowledgement.
func (s *sendWindow) full() bool { return s.inFlightBytes >= s.limit() }

// takeEntries returns the first entries that fit into the window, at least one, and counts them as
// in flight.
func (s *sendWindow) takeEntries(now types.MonoTime, entries []Entry) []Entry {
	count := min(entriesWithin(entries, s.limit()-s.inFlightBytes), maxEntriesPerMessage)
	taken := entries[:count]
	s.inFlightBytes += dataBytes(taken)
	s.onSend(now)
	return taken
}

// onSend records a send. The acknowledgement delay after a retry counts from the first send, since
// the reply may be to that one.
func (s *sendWindow) onSend(now types.MonoTime) {
	if s.firstSentAt == 0 {
		s.firstSentAt = now
	}
}

// entriesWithin returns how many of the first entries fit into a number of bytes, at least one.
func entriesWithin(entries []Entry, bytes int) int {
	for i, e := range entries {
		if bytes -= len(e.Data); bytes < 0 {
			return max(i, 1)
		}
	}
	return len(entries)
}

// retryTimeout returns how long to wait for a reply before a retry: twice the last acknowledgement
// delay, doubled with each consecutive timeout.
func (s *sendWindow) retryTimeout(minimum time.Duration) time.Duration {
	return min(max(minimum, 2*s.lastAckDelay)<<s.consecutiveTimeouts, maxRetryTimeout)
}

// onTimeout records that no reply arrived in time. A single timeout may be due to a lost message
// or the first reply from a slow disk, so the window shrinks only from the second consecutive one
// on.
func (s *sendWindow) onTimeout() {
	if s.consecutiveTimeouts > 0 {
		s.limitBytes = max(s.limit()/2, minWindowBytes)
	}
	s.inFlightBytes = 0
	s.consecutiveTimeouts = min(s.consecutiveTimeouts+1, maxBackoffDoublings)
}

// onAcknowledged records that everything in flight was acknowledged. The window grows while the
// delay is below the shortest election timeout, and shrinks if it exceeds twice that.
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
