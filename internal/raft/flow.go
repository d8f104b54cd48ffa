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
	leastWindow = 16 << 10
	firstWindow = 64 << 10
	mostWindow  = 1 << 20
	mostLost    = 4 // doublings of the wait for an answer
	mostWait    = 5 * time.Second
)

// flow is the window of one member.
type flow struct {
	window int            // bytes that may be under way; 0 is firstWindow
	flying int            // bytes that are
	began  types.MonoTime // when the first of them was sent for the first time; 0 is never
	took   time.Duration  // from there to the last answer
	losses int            // in a row
}

func (f *flow) size() int {
	if f.window == 0 {
		return firstWindow
	}
	return f.window
}

// full tells whether no more may be sent before an answer.
func (f *flow) full() bool { return f.flying >= f.size() }

// take gives the first entries that fit, one at least, as sent now.
func (f *flow) take(now types.MonoTime, list []Entry) []Entry {
	n := min(within(list, f.size()-f.flying), maxBatch)
	for _, e := range list[:n] {
		f.flying += len(e.Data)
	}
	f.sent(now)
	return list[:n]
}

// sent tells that something goes out. An answer after a repetition counts from
// the first time, since it may be the answer to that.
func (f *flow) sent(now types.MonoTime) {
	if f.began == 0 {
		f.began = now
	}
}

// within counts the entries that fit into so many bytes, one at least.
func within(list []Entry, bytes int) int {
	for i, e := range list {
		if bytes -= len(e.Data); bytes < 0 {
			return max(i, 1)
		}
	}
	return len(list)
}

// patience is how long an answer is waited for before the same is sent again.
func (f *flow) patience(least time.Duration) time.Duration {
	return min(max(least, 2*f.took)<<f.losses, mostWait)
}

// lost tells that no answer came in time. Once may be a lost message, or a first
// answer from a slow disk; the window shrinks from the second time on.
func (f *flow) lost() {
	if f.losses > 0 {
		f.window = max(f.size()/2, leastWindow)
	}
	f.flying = 0
	f.losses = min(f.losses+1, mostLost)
}

// answered tells that all under way has arrived. The window grows while that takes
// less than the shortest election wait, and shrinks where it takes twice as long.
func (f *flow) answered(now types.MonoTime, least time.Duration) {
	if f.began != 0 {
		f.took = now.Sub(f.began)
	}
	f.flying, f.losses, f.began = 0, 0, 0
	switch {
	case f.took < least:
		f.window = min(f.size()*2, mostWindow)
	case f.took > 2*least:
		f.window = max(f.size()/2, leastWindow)
	}
}
