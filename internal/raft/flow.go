// How much a member is sent at once, and how long its answer is waited for. Both
// adapt to its link and its disk: what takes longer than a beat must not be sent
// again each beat, and a large log must not go out in one message.
package raft

import "time"

// Bounds on the bytes of entries under way to one member.
const (
	leastWindow = 16 << 10
	firstWindow = 128 << 10
	mostWindow  = 1 << 20
	mostLost    = 4 // doublings of the wait for an answer
)

// flow is the window of one member.
type flow struct {
	window int // bytes that may be under way; 0 is firstWindow
	flying int // bytes that are
	losses int // in a row
}

func (f *flow) size() int {
	if f.window == 0 {
		return firstWindow
	}
	return f.window
}

// full tells whether no more may be sent before an answer.
func (f *flow) full() bool { return f.flying >= f.size() }

// take gives the first entries that fit, one at least.
func (f *flow) take(list []Entry) []Entry {
	n := min(within(list, f.size()-f.flying), maxBatch)
	for _, e := range list[:n] {
		f.flying += len(e.Data)
	}
	return list[:n]
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
func (f *flow) patience(least time.Duration) time.Duration { return least << f.losses }

// lost tells that no answer came in time.
func (f *flow) lost() {
	f.window, f.flying = max(f.size()/2, leastWindow), 0
	f.losses = min(f.losses+1, mostLost)
}

// answered tells that all under way has arrived, and how long that took.
func (f *flow) answered(took, swift time.Duration) {
	f.flying, f.losses = 0, 0
	switch {
	case took < swift:
		f.window = min(f.size()*2, mostWindow)
	case took > 2*swift:
		f.window = max(f.size()/2, leastWindow)
	}
}
