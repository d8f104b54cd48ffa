// Ends on their way from the dispatcher into the log.
package controller

import (
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// heed sends what the dispatcher has to say and puts the ends it has into the log.
func (h *Controller) heed() {
	sends, ends := h.scheduler.Out()
	h.sends = append(h.sends, sends...)
	h.propose(ends)
}

// propose puts ends into the log, each at most once at a time.
func (h *Controller) propose(ends []state.End) {
	var list []state.End
	for _, e := range ends {
		if !h.flight[e] && !h.taken(e) {
			list = append(list, e)
		}
	}
	if list == nil {
		return
	}
	if i, ok := h.fact(state.Command{Ends: list}); ok {
		for _, e := range list {
			h.flight[e], h.ahead[e.Attempt.Job] = true, i
			if e.Outcome.Over() {
				h.free(e.Attempt)
			}
		}
		h.Sums.Ends += uint64(len(list))
	}
}

// free tells that an attempt surely runs no more: its room may be given out again.
func (h *Controller) free(attempt types.Attempt) {
	h.freed[attempt], h.moved = true, true
	h.slots.forget(h.scheduler.Where(attempt))
}
