package executor

import (
	"math"
	"time"

	"coppercourse/internal/types"
)

const (
	// commitTime is how long a newly reported end may take to be committed; the
	// next renewal waits for that, to acknowledge it.
	commitTime = 60 * time.Millisecond
	// endSpacingDivisor is what part of the usual duration of the worker's attempts an end may
	// go unnoticed.
	endSpacingDivisor = 32
	// durationGain is the reciprocal of an attempt's weight in the usual duration.
	durationGain = 16
	// maxEndBackoff bounds how often the time between renewals doubles while the ends that
	// the worker lists are not committed.
	maxEndBackoff = 4
)

// openEnd is an end that the worker has reported and still lists.
type openEnd struct {
	attempt   types.AttemptID
	committed bool
}

// endTable holds the ends that a worker process has reported. The worker numbers them from 1,
// and drops them as they are acknowledged, in that order.
type endTable struct {
	open         map[uint64]*openEnd // by number
	acknowledged uint64              // all up to this one are committed, and are acknowledged

	// usualLog is the moving average of the logarithm of how many seconds the worker's
	// attempts ran: of a mixture the short ones count for more. durations is how many are
	// in it, durationGain at most.
	usualLog   float64
	durations  int
	reportedAt types.MonoTime // when the latest reply arrived that lists a new end
	repeats    int            // replies in a row that list ends, none of them new
}

// recordDuration adds an attempt that ran for so long to the usual duration.
func (e *endTable) recordDuration(ran time.Duration) {
	e.durations = min(e.durations+1, durationGain)
	logSeconds := math.Log(max(ran, time.Millisecond).Seconds())
	e.usualLog += (logSeconds - e.usualLog) / float64(e.durations)
}

// spacing returns how long after an end was reported the next renewal is due at the earliest:
// a part of the usual duration, so that one renewal reports several ends where they are long.
func (e *endTable) spacing() time.Duration {
	if e.durations == 0 {
		return 0
	}
	return time.Duration(math.Exp(e.usualLog)*float64(time.Second)) / endSpacingDivisor
}

// retryInterval returns how long after a reply the next renewal is due if the ends that it
// lists are not committed by then, given the longest time between two renewals. The worker
// lists an end again until it is acknowledged, so the renewals back off while none is new.
func (e *endTable) retryInterval(longest time.Duration) time.Duration {
	return min(longest, max(commitTime, e.spacing())<<min(e.repeats, maxEndBackoff))
}

// highest returns the number of the highest end reported.
func (e *endTable) highest() uint64 {
	highest := e.acknowledged
	for number := range e.open {
		highest = max(highest, number)
	}
	return highest
}

// commit notes that an open end is committed, and acknowledges all that it can.
func (e *endTable) commit(end *openEnd) {
	end.committed = true
	for {
		next := e.open[e.acknowledged+1]
		if next == nil || !next.committed {
			return
		}
		e.acknowledged++
	}
}

// acknowledgeEnd handles an attempt's end being committed to the log. An attempt whose end
// the worker does not list is forgotten at once, any other once the worker has dropped it.
func (ex *Executor) acknowledgeEnd(attempt *attemptRecord) {
	link := ex.link
	end := link.ends.open[attempt.calls.endNumber]
	if attempt.calls.endNumber == 0 || end == nil {
		ex.attempts.remove(attempt.id())
		return
	}
	link.ends.commit(end)
	if link.ends.acknowledged == link.ends.highest() {
		link.ends.repeats = 0
		link.calls.nextAt = ex.now
		if !ex.Policy.NoEndSpacing {
			link.calls.nextAt = max(ex.now, link.ends.reportedAt.Add(link.ends.spacing()))
		}
	}
}

// dropAcknowledgedEnds forgets the ends up to a number, which the worker has dropped.
func (ex *Executor) dropAcknowledgedEnds(upTo uint64) {
	for number, end := range ex.link.ends.open {
		if number > upTo {
			continue
		}
		delete(ex.link.ends.open, number)
		if attempt := ex.attempts.byID[end.attempt]; attempt != nil && attempt.committed {
			ex.attempts.remove(end.attempt)
		}
	}
}
