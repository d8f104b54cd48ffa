package controller

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// forwardRetention is how long at the least it is remembered what became of a forwarded
	// submission: longer than any copy of it can be on its way.
	forwardRetention = time.Minute
	// maxForwardOutcomes bounds what is remembered for that time. Beyond it nothing is
	// refused for good.
	maxForwardOutcomes = 32_768
)

// forwardOutcome is what became of a submission that a gateway forwarded.
type forwardOutcome bool

const (
	forwardHandled  forwardOutcome = true  // handled, and possibly proposed
	forwardRejected forwardOutcome = false // refused for good
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

// isRejected reports whether a copy was refused for good.
func (f *forwardedSubmissions) isRejected(from caller) bool {
	outcome, ok := f.find(from)
	return ok && outcome == forwardRejected
}

// recordHandled remembers that a copy is handled.
func (f *forwardedSubmissions) recordHandled(now types.MonoTime, from caller) {
	f.record(now, from, forwardHandled)
}

// refuse refuses all copies for good, unless one was taken or no more can be remembered. It
// reports whether they are refused.
func (f *forwardedSubmissions) reject(now types.MonoTime, from caller) bool {
	if outcome, ok := f.find(from); ok {
		return outcome == forwardRejected
	}
	return f.record(now, from, forwardRejected)
}

// remember remembers an outcome; false if there is no room for it.
func (f *forwardedSubmissions) record(now types.MonoTime, from caller, outcome forwardOutcome) bool {
	if now.Sub(f.recentSince) >= forwardRetention {
		f.older, f.recent, f.recentSince = f.recent, map[caller]forwardOutcome{}, now
	}
	if len(f.recent) >= maxForwardOutcomes {
		return false
	}
	f.recent[from] = outcome
	return true
}
