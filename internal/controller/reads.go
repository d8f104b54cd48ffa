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

func (co *Controller) getJob(w waiter, c wire.CallBody) {
	id := types.JobID(c.Arg)
	if at := co.ahead[id]; at > co.applied && len(co.reads) < Crowd {
		co.reads = append(co.reads, reader{w, id, at})
		return
	}
	co.show(w, id)
}

func (co *Controller) show(w waiter, id types.JobID) {
	if v := co.View(id); v != nil {
		co.good(w, 200, v)
		return
	}
	co.bad(w, apierror.New(apierror.NoSuchJob, "id", "no such job"))
}

// answer gives the reads whose ends are in the log by now.
func (co *Controller) answer() {
	kept := co.reads[:0]
	for _, r := range co.reads {
		if r.at > co.applied {
			kept = append(kept, r)
		} else {
			co.show(r.w, r.id)
		}
	}
	co.reads = kept
}

// turnAway sends those who read to the next leader.
func (co *Controller) turnAway() {
	for _, r := range co.reads {
		co.reply(r.w, wire.ReplyBody{Away: true, Lead: co.otherLeader()})
	}
	co.reads = nil
	clear(co.ahead)
}
