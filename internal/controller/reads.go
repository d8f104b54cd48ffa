// Reads of a job: answered at once, but behind the ends of it that the leader has
// heard of and that are on their way into the log. A caller who asks just when the
// last task has ended is then told so, a few milliseconds later, rather than that
// the job runs. Nothing is shown that is not in the log.
package controller

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type reader struct {
	w  waiter
	id types.JobID
	at types.Index
}

func (h *Controller) getJob(w waiter, c wire.CallBody) {
	id := types.JobID(c.Arg)
	if at := h.ahead[id]; at > h.applied && len(h.reads) < Crowd {
		h.reads = append(h.reads, reader{w, id, at})
		return
	}
	h.show(w, id)
}

func (h *Controller) show(w waiter, id types.JobID) {
	if v := h.View(id); v != nil {
		h.good(w, 200, v)
		return
	}
	h.bad(w, apierror.New(apierror.NoJob, "id", "no such job"))
}

// answer gives the reads whose ends are in the log by now.
func (h *Controller) answer() {
	kept := h.reads[:0]
	for _, r := range h.reads {
		if r.at > h.applied {
			kept = append(kept, r)
		} else {
			h.show(r.w, r.id)
		}
	}
	h.reads = kept
}

// turnAway sends those who read to the next leader.
func (h *Controller) turnAway() {
	for _, r := range h.reads {
		h.reply(r.w, wire.ReplyBody{Away: true, Lead: h.otherLeader()})
	}
	h.reads = nil
	clear(h.ahead)
}
