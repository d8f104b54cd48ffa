// Ends on their way from the dispatcher into the log.
package controller

import (
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// heed sends what the dispatcher has to say and puts the ends it has into the log.
func (co *Controller) heed() {
	sends, ends := co.scheduler.TakeOutput()
	co.sends = append(co.sends, sends...)
	co.propose(ends)
}

// propose puts ends into the log, each at most once at a time.
func (co *Controller) propose(ends []state.AttemptEnd) {
	var list []state.AttemptEnd
	for _, e := range ends {
		if !co.flight[e] && !co.taken(e) {
			list = append(list, e)
		}
	}
	if list == nil {
		return
	}
	if i, ok := co.fact(state.Command{Ends: list}); ok {
		for _, e := range list {
			co.flight[e], co.ahead[e.ID.Job] = true, i
			if e.Outcome.FreesResources() {
				co.free(e.ID)
			}
		}
		co.Sums.Ends += uint64(len(list))
	}
}

// free tells that an attempt surely runs no more: its room may be given out again.
func (co *Controller) free(attempt types.AttemptID) {
	co.freed[attempt], co.moved = true, true
	co.slots.forget(co.scheduler.ShardOf(attempt))
}
