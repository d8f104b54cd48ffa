package controller

import (
	"net/http"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
)

// submitJob accepts a job under the ID that its caller chose. The same job submitted again
// is answered as the first one.
func (a *api) submitJob(r request) {
	spec, err := decodeBody[state.Spec](r, "job")
	if err != nil {
		a.outbox.replyError(r.caller, err)
		return
	}
	if err := a.checkSubmitter(spec); err != nil {
		a.reject(r, err)
		return
	}
	id := types.JobID(r.arg)
	known, err := a.log.state().CheckJob(id, spec)
	if known != nil {
		a.outbox.replyOK(r.caller, http.StatusOK, jobView(a.log.state(), id))
		return
	}
	if err == nil {
		err = checkFeasible(a.log.state(), spec)
	}
	submission := &state.Submission{ID: id, Spec: spec}
	if err == nil {
		err = a.rates.admitSubmission(r.now.Mono, a.log.state(), submission)
	}
	command := state.Command{Job: submission}
	if err != nil {
		a.reject(r, a.withRetryAfter(r.now, err, command))
		return
	}
	if a.isForwardedSubmission(r) {
		a.forwarded.recordHandled(r.now.Mono, r.caller)
	}
	a.trace.Add(r.now.Wall, trace.JobSubject(id), "received by leader", "from", r.caller.gateway)
	if a.propose(r.caller, command) {
		a.rates.proposed(submission)
	}
}

// withRetryAfter adds a Retry-After to the rejection of a submission by a full queue.
func (a *api) withRetryAfter(now types.Now, rejection *apierror.Error, command state.Command) *apierror.Error {
	if rejection.Kind == apierror.QueueFull && command.Job != nil {
		queue := command.Job.Spec.Queue
		waiting := a.log.state().UnfinishedJobs(queue)
		rejection.WithRetryAfter(a.requests.retryAfter(queue, now.Mono, waiting))
	}
	return rejection
}

// getJob shows a job, once the ends of its attempts that are in flight are committed.
func (a *api) getJob(r request) {
	id := types.JobID(r.arg)
	if err := a.checkOwner(r); err != nil {
		a.outbox.replyError(r.caller, err)
		return
	}
	if !a.requests.holdRead(r.caller, id, a.log.applied()) {
		a.replyJob(r.caller, id)
	}
}

// replyJob shows a job as it is now.
func (a *api) replyJob(from caller, id types.JobID) {
	if view := jobView(a.log.state(), id); view != nil {
		a.outbox.replyOK(from, http.StatusOK, view)
		return
	}
	a.outbox.replyError(from, apierror.New(apierror.NoSuchJob, "id", "no such job"))
}

// cancelJob cancels a job.
func (a *api) cancelJob(r request) {
	id := types.JobID(r.arg)
	if err := a.checkOwner(r); err != nil {
		a.outbox.replyError(r.caller, err)
		return
	}
	switch isRepeat, err := a.log.state().CheckCancel(id); {
	case err != nil:
		a.outbox.replyError(r.caller, err)
	case isRepeat:
		a.outbox.replyOK(r.caller, http.StatusOK, jobView(a.log.state(), id))
	default:
		a.propose(r.caller, state.Command{Cancel: id})
	}
}

// putTable replaces the table of queues. A repeat of a table that was taken is answered as
// the first time.
func (a *api) putTable(r request) {
	table, err := decodeBody[config.Table](r, "table")
	if err == nil {
		err = a.log.state().CheckTable(table)
	}
	switch {
	case err != nil:
		a.outbox.replyError(r.caller, err)
	case a.log.state().IsRepeat(table):
		a.outbox.replyOK(r.caller, http.StatusOK, table.Accepted())
	default:
		a.propose(r.caller, state.Command{Table: &table})
	}
}

// getTable shows the table in force.
func (a *api) getTable(r request) { a.outbox.replyOK(r.caller, http.StatusOK, a.log.state().Table) }

// listQueues shows the queues with what is in them.
func (a *api) listQueues(r request) {
	a.outbox.replyOK(r.caller, http.StatusOK, a.leader.queueViews(r.now.Mono))
}

// QueueCount is how many jobs of a queue wait: unfinished, and none of their attempts
// was ever assigned.
type QueueCount struct {
	Waiting int `json:"waiting"`
}

// countQueue counts the jobs of a queue that wait.
func (a *api) countQueue(r request) {
	queue := types.QueueName(r.arg)
	if _, ok := a.log.state().Table.FindQueue(queue); !ok {
		a.outbox.replyError(r.caller, apierror.New(apierror.NoSuchQueue, "queue", "no queue is called "+r.arg))
		return
	}
	var count QueueCount
	for _, j := range a.log.state().LiveJobs() {
		if j.Queue == queue && j.AttemptCount == 0 {
			count.Waiting++
		}
	}
	a.outbox.replyOK(r.caller, http.StatusOK, count)
}
