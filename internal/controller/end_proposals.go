// Ends on their way from the dispatcher into the log.
package controller

import (
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// drainScheduler sends what the dispatcher has to say and puts the ends it has into the log.
func (co *Controller) drainScheduler() {
	sends, ends := co.scheduler.TakeOutput()
	co.outbox.send(sends...)
	co.proposeEnds(ends)
}

// proposeEnds puts ends into the log, each at most once at a time.
func (co *Controller) proposeEnds(ends []state.AttemptEnd) {
	var list []state.AttemptEnd
	for _, e := range ends {
		if !co.endsInFlight[e] && !co.endRecorded(e) {
			list = append(list, e)
		}
	}
	if list == nil {
		return
	}
	if i, ok := co.log.propose(state.Command{Ends: list}); ok {
		for _, e := range list {
			co.endsInFlight[e] = true
			co.requests.reads.endProposed(e.ID.Job, i)
			if e.Outcome.FreesResources() {
				co.releaseResources(e.ID)
			}
		}
		co.Counters.Ends += uint64(len(list))
	}
}

// releaseResources tells that an attempt surely runs no more: its room may be given out again.
func (co *Controller) releaseResources(attempt types.AttemptID) {
	co.released[attempt], co.needsPlacement = true, true
	co.slots.invalidate(co.scheduler.ShardOf(attempt))
}
