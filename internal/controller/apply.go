package controller

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
)

// maxAppliesPerStep is how many entries one step applies at most.
const maxAppliesPerStep = 512

// applyCommitted brings the state up to what is committed.
func (co *Controller) applyCommitted() {
	co.log.installSnapshot()
	if co.log.isLoading() {
		return
	}
	for range maxAppliesPerStep {
		entry, ok := co.log.next()
		if !ok {
			break
		}
		co.Counters.Applied++
		if command, ok := co.log.command(entry); ok {
			co.applyEntry(entry, command)
		}
	}
	co.replyReadyReads()
}

// replyToCaller answers who waited for an entry. Another leader's entry in its place
// tells nothing of the request, which may be committed there under another index.
func (co *Controller) replyToCaller(e raft.Entry, command state.Command, bad *apierror.Error) {
	w, ok := co.waiters[e.Index]
	delete(co.waiters, e.Index)
	switch {
	case ok && w.term == e.Term:
		co.replyCommitted(w, command, bad)
	case ok:
		co.outbox.replyError(w, leaderChanged())
	}
}

// leaderChanged is the answer where it is not known what became of a request.
func leaderChanged() *apierror.Error {
	return apierror.New(apierror.OutcomeUnknown, "", "the leader changed; send the same again")
}

// applyEntry takes one entry into the state, and answers who waited for it.
func (co *Controller) applyEntry(e raft.Entry, command state.Command) {
	co.needsPlacement = true
	co.recordDurations(command)
	attempts, bad := co.log.apply(command)
	co.traceCommand(command, e.Index)
	co.replyToCaller(e, command, bad)
	if co.scheduler == nil || !co.raft.IsLeader() {
		return
	}
	if command.Job != nil && bad == nil {
		co.recordJobWork(co.log.state().Jobs[command.Job.ID])
	}
	for _, g := range command.Assignments {
		delete(co.assignmentsInFlight, g.ID.TaskID)
	}
	co.sendOrders(attempts)
	co.scheduler.OnEndsCommitted(command.Ends)
	for _, end := range command.Ends {
		co.endCommitted(end)
	}
}

// endCommitted forgets that an end is on its way into the log.
func (co *Controller) endCommitted(end state.AttemptEnd) {
	delete(co.endsInFlight, end)
	delete(co.released, end.ID)
	if co.pendingEnds[end.ID.Job] <= co.log.applied() {
		delete(co.pendingEnds, end.ID.Job)
	}
}
