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

type pendingRead struct {
	caller caller
	job    types.JobID
	index  types.Index
}

func (co *Controller) getJob(w caller, c wire.ForwardedRequest) {
	id := types.JobID(c.Arg)
	if at := co.pendingEnds[id]; at > co.log.applied() && len(co.pendingReads) < MaxPendingRequests {
		co.pendingReads = append(co.pendingReads, pendingRead{w, id, at})
		return
	}
	co.replyJob(w, id)
}

func (co *Controller) replyJob(w caller, id types.JobID) {
	if v := co.View(id); v != nil {
		co.outbox.replyOK(w, 200, v)
		return
	}
	co.outbox.replyError(w, apierror.New(apierror.NoSuchJob, "id", "no such job"))
}

// replyReadyReads gives the reads whose ends are in the log by now.
func (co *Controller) replyReadyReads() {
	kept := co.pendingReads[:0]
	for _, r := range co.pendingReads {
		if r.index > co.log.applied() {
			kept = append(kept, r)
		} else {
			co.replyJob(r.caller, r.job)
		}
	}
	co.pendingReads = kept
}

// reject sends those who read to the next leader.
func (co *Controller) turnAway() {
	for _, r := range co.pendingReads {
		co.outbox.redirect(r.caller, co.otherLeader())
	}
	co.pendingReads = nil
	clear(co.pendingEnds)
}
