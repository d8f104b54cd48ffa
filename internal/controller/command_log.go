// Entries of the log: putting commands into it, and bringing the state up to what is
// committed. A leader keeps the commands that it proposed until they are committed, so
// that it does not read back what it has just written.
package controller

import (
	"encoding/json"
	"maps"

	"coppercourse/internal/apierror"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// proposal is a command as this controller put it into the log. An entry of the same
// index and term is this very command, for a term has one leader.
type proposal struct {
	term    types.Term
	command state.Command
}

// holdsOnlyValues tells whether a command consists of values only, so that it is the same before
// and after it was written and read. Others bring documents, which are kept as read.
func holdsOnlyValues(c *state.Command) bool {
	return c.Job == nil && c.Table == nil && c.WallOffset == nil && c.WorkerShapes == nil && c.Drain == nil && c.Calendar == nil
}

// propose puts a command into the log; false when this controller may not.
func (co *Controller) propose(command state.Command) (types.Index, bool) {
	command.Time = max(co.raft.Clock(), co.state.Time)
	at, ok := co.raft.Propose(wire.EncodeBody(command))
	if ok && holdsOnlyValues(&command) {
		co.proposals[at] = proposal{co.raft.Term(), command}
	}
	return at, ok
}

// decodeEntry gives what an entry says.
func (co *Controller) decodeEntry(e raft.Entry) (command state.Command) {
	own, ok := co.proposals[e.Index]
	delete(co.proposals, e.Index)
	if ok && own.term == e.Term {
		return own.command
	}
	if err := json.Unmarshal(e.Data, &command); err != nil {
		panic(err)
	}
	return
}

// applyCommitted brings the state up to what is committed, a bounded number of
// entries a step.
func (co *Controller) applyCommitted() {
	if co.snapshotReplaced() {
		co.startSnapshotLoad()
		co.loadSnapshotPart() // a small one at once, a large one as time passes
		maps.DeleteFunc(co.proposals, func(at types.Index, _ proposal) bool { return at <= co.loadedIndex })
	}
	if co.loader != nil {
		return
	}
	for most := co.applied + maxAppliesPerStep; co.applied < co.raft.CommittedIndex() && co.applied < most; {
		co.applied++
		co.Counters.Applied++
		if e := co.raft.Entry(co.applied); e.Data != nil {
			co.applyEntry(e)
		} else {
			delete(co.proposals, e.Index)
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
func (co *Controller) applyEntry(e raft.Entry) {
	command := co.decodeEntry(e)
	co.needsPlacement = true
	co.recordDurations(command)
	attempts, bad := co.state.Apply(command)
	co.raft.AdvanceClock(co.state.Time)
	co.traceCommand(command, e.Index)
	co.replyToCaller(e, command, bad)
	if co.scheduler == nil || !co.raft.IsLeader() {
		return
	}
	if command.Job != nil && bad == nil {
		co.recordJobWork(co.state.Jobs[command.Job.ID])
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
	if co.pendingEnds[end.ID.Job] <= co.applied {
		delete(co.pendingEnds, end.ID.Job)
	}
}
