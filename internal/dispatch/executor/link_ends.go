package executor

import (
	"coppercourse/internal/types"
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
		link.calls.nextAt = ex.now
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
