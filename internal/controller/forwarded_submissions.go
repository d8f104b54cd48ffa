package controller

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// forwardMemory is how long at the least it is remembered what became of a forwarded
	// submission: longer than any copy of it can be on its way.
	forwardMemory = time.Minute
	// maxRememberedForwards bounds what is remembered for that time. Beyond it nothing is
	// refused for good.
	maxRememberedForwards = 32_768
)

// forwardOutcome is what became of a submission that a gateway forwarded.
type forwardOutcome bool

const (
	forwardTaken   forwardOutcome = true  // handled, and possibly proposed
	forwardRefused forwardOutcome = false // refused for good
)

// forwardedSubmissions remembers by gateway and number what became of forwarded submissions.
// A gateway forwards one again that got no reply, so that several copies may be on their way.
// A refusal for good covers them all: the copies that came before were not taken either, and
// those that come later are refused. With it the gateway can tell its client that the job
// was not accepted.
type forwardedSubmissions struct {
	recent, older map[caller]forwardOutcome // older is dropped when recent has become old
	recentSince   types.MonoTime
}

func newForwardedSubmissions() *forwardedSubmissions {
	return &forwardedSubmissions{recent: map[caller]forwardOutcome{}, older: map[caller]forwardOutcome{}}
}

// find returns what became of an earlier copy; false if none was seen.
func (f *forwardedSubmissions) find(from caller) (outcome forwardOutcome, ok bool) {
	if outcome, ok = f.recent[from]; !ok {
		outcome, ok = f.older[from]
	}
	return outcome, ok
}

// isRefused reports whether a copy was refused for good.
func (f *forwardedSubmissions) isRefused(from caller) bool {
	outcome, ok := f.find(from)
	return ok && outcome == forwardRefused
}

// noteTaken remembers that a copy is handled.
func (f *forwardedSubmissions) noteTaken(now types.MonoTime, from caller) {
	f.remember(now, from, forwardTaken)
}

// refuse refuses all copies for good, unless one was taken or no more can be remembered. It
// reports whether they are refused.
func (f *forwardedSubmissions) refuse(now types.MonoTime, from caller) bool {
	if outcome, ok := f.find(from); ok {
		return outcome == forwardRefused
	}
	return f.remember(now, from, forwardRefused)
}

// remember remembers an outcome; false if there is no room for it.
func (f *forwardedSubmissions) remember(now types.MonoTime, from caller, outcome forwardOutcome) bool {
	if now.Sub(f.recentSince) >= forwardMemory {
		f.older, f.recent, f.recentSince = f.recent, map[caller]forwardOutcome{}, now
	}
	if len(f.recent) >= maxRememberedForwards {
		return false
	}
	f.recent[from] = outcome
	return true
}
