package executor

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// expectedCommitTime is how long a newly reported end may take to be committed; the
	// next renewal waits for that, to acknowledge it.
	expectedCommitTime = 60 * time.Millisecond
	// maxEndBackoff bounds how often the time between renewals doubles while the ends that
	// the worker lists are not committed.
	maxEndBackoff = 4
)

// pendingEnd is an end that the worker has reported and still lists.
type pendingEnd struct {
	attempt   types.AttemptID
	committed bool
}

// endTable holds the ends that a worker process has reported. The worker numbers them from 1,
// and drops them as they are acknowledged, in that order.
type endTable struct {
	pending               map[uint64]*pendingEnd // by number
	acknowledged          uint64                 // all up to this one are committed, and are acknowledged
	repliesWithoutNewEnds int                    // replies in a row that list ends, none of them new
	reported              []wire.EndedAttempt    // for the first time, since TakeReportedEnds
}

// retryInterval returns how long after a reply the next renewal is due if the ends that it
// lists are not committed by then, given the longest time between two renewals. The worker
// lists an end again until it is acknowledged, so the renewals back off while none is new.
func (e *endTable) retryInterval(longest time.Duration) time.Duration {
	return min(longest, expectedCommitTime<<min(e.repliesWithoutNewEnds, maxEndBackoff))
}

// highest returns the number of the highest end reported.
func (e *endTable) highest() uint64 {
	highest := e.acknowledged
	for number := range e.pending {
		highest = max(highest, number)
	}
	return highest
}

// commit notes that an open end is committed, and acknowledges all that it can.
func (e *endTable) commit(end *pendingEnd) {
	end.committed = true
	for {
		next := e.pending[e.acknowledged+1]
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
	end := link.ends.pending[attempt.calls.endNumber]
	if attempt.calls.endNumber == 0 || end == nil {
		ex.attempts.remove(attempt.id())
		return
	}
	link.ends.commit(end)
	if link.ends.acknowledged == link.ends.highest() {
		link.ends.repliesWithoutNewEnds = 0
		link.calls.nextAt = ex.now
	}
}

// dropAcknowledgedEnds forgets the ends up to a number, which the worker has dropped.
func (ex *Executor) dropAcknowledgedEnds(upTo uint64) {
	for number, end := range ex.link.ends.pending {
		if number > upTo {
			continue
		}
		delete(ex.link.ends.pending, number)
		if attempt := ex.attempts.byID[end.attempt]; attempt != nil && attempt.committed {
			ex.attempts.remove(end.attempt)
		}
	}
}
