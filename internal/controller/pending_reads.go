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

func (co *Controller) getJob(w caller, c wire.ForwardedRequest) {
	id := types.JobID(c.Arg)
	if !co.requests.reads.hold(w, id, co.log.applied()) {
		co.replyJob(w, id)
	}
}

func (co *Controller) replyJob(w caller, id types.JobID) {
	if v := co.View(id); v != nil {
		co.outbox.replyOK(w, 200, v)
		return
	}
	co.outbox.replyError(w, apierror.New(apierror.NoSuchJob, "id", "no such job"))
}
