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

func (f *sendWindow) limit() int {
	if f.limitBytes == 0 {
		return initialWindowBytes
	}
	return f.limitBytes
}

// full tells whether no more may be sent before an answer.
func (f *sendWindow) full() bool { return f.inFlightBytes >= f.limit() }

// takeEntries gives the first entries that fit, one at least, as sent now.
func (f *sendWindow) takeEntries(now types.MonoTime, entries []Entry) []Entry {
	count := min(entriesWithin(entries, f.limit()-f.inFlightBytes), maxEntriesPerMessage)
	for _, e := range entries[:count] {
		f.inFlightBytes += len(e.Data)
	}
	f.onSend(now)
	return entries[:count]
}

// onSend tells that something goes out. An answer after a repetition counts from
// the first time, since it may be the answer to that.
func (f *sendWindow) onSend(now types.MonoTime) {
	if f.firstSentAt == 0 {
		f.firstSentAt = now
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
func (f *sendWindow) retryTimeout(minimum time.Duration) time.Duration {
	return min(max(minimum, 2*f.lastAckDelay)<<f.consecutiveTimeouts, maxRetryTimeout)
}

// onTimeout tells that no answer came in time. Once may be a lost message, or a first
// answer from a slow disk; the window shrinks from the second time on.
func (f *sendWindow) onTimeout() {
	if f.consecutiveTimeouts > 0 {
		f.limitBytes = max(f.limit()/2, minWindowBytes)
	}
	f.inFlightBytes = 0
	f.consecutiveTimeouts = min(f.consecutiveTimeouts+1, maxBackoffDoublings)
}

// onAcknowledged tells that all under way has arrived. The window grows while that takes
// less than the shortest election wait, and shrinks where it takes twice as long.
func (f *sendWindow) onAcknowledged(now types.MonoTime, minElectionTimeout time.Duration) {
	if f.firstSentAt != 0 {
		f.lastAckDelay = now.Sub(f.firstSentAt)
	}
	f.inFlightBytes, f.consecutiveTimeouts, f.firstSentAt = 0, 0, 0
	switch {
	case f.lastAckDelay < minElectionTimeout:
		f.limitBytes = min(f.limit()*2, maxWindowBytes)
	case f.lastAckDelay > 2*minElectionTimeout:
		f.limitBytes = max(f.limit()/2, minWindowBytes)
	}
}
