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
	co.requests.reads.release(co.log.applied(), co.replyJob)
}

// replyToCaller answers who waited for an entry.
func (co *Controller) replyToCaller(e raft.Entry, command state.Command, refusal *apierror.Error) {
	from, isOwn, ok := co.requests.takeCommitted(e.Index, e.Term)
	switch {
	case ok && isOwn:
		co.replyCommitted(from, command, refusal)
	case ok:
		co.outbox.replyError(from, leaderChanged())
	}
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
	co.requests.reads.endCommitted(end.ID.Job, co.log.applied())
}
