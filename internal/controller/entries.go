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

// plain tells whether a command consists of values only, so that it is the same before
// and after it was written and read. Others bring documents, which are kept as read.
func plain(c *state.Command) bool {
	return c.Job == nil && c.Table == nil && c.Off == nil && c.Shapes == nil && c.Drain == nil && c.Plan == nil
}

// fact puts a command into the log; false when this controller may not.
func (h *Controller) fact(command state.Command) (types.Index, bool) {
	command.Tick = max(h.raft.Clock(), h.state.Tick)
	at, ok := h.raft.Propose(wire.Body(command))
	if ok && plain(&command) {
		h.proposals[at] = proposal{h.raft.Term(), command}
	}
	return at, ok
}

// command gives what an entry says.
func (h *Controller) command(e raft.Entry) (command state.Command) {
	own, ok := h.proposals[e.Index]
	delete(h.proposals, e.Index)
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
func (h *Controller) applyCommitted() {
	if h.replaced() {
		h.beginLoad()
		h.loadPart() // a small one at once, a large one as time passes
		maps.DeleteFunc(h.proposals, func(at types.Index, _ proposal) bool { return at <= h.loaded })
	}
	if h.loader != nil {
		return
	}
	for most := h.applied + applyAtOnce; h.applied < h.raft.Commit() && h.applied < most; {
		h.applied++
		h.Sums.Applied++
		if e := h.raft.Entry(h.applied); e.Data != nil {
			h.apply(e)
		} else {
			delete(h.proposals, e.Index)
		}
	}
	h.answer()
}

// answerWaiter answers who waited for an entry. Another leader's entry in its place
// tells nothing of the request, which may be committed there under another index.
func (h *Controller) answerWaiter(e raft.Entry, command state.Command, bad *apierror.Error) {
	w, ok := h.waiters[e.Index]
	delete(h.waiters, e.Index)
	switch {
	case ok && w.term == e.Term:
		h.settle(w, command, bad)
	case ok:
		h.bad(w, leaderChanged())
	}
}

// leaderChanged is the answer where it is not known what became of a request.
func leaderChanged() *apierror.Error {
	return apierror.New(apierror.Unsure, "", "the leader changed; send the same again")
}

// apply takes one entry into the state, and answers who waited for it.
func (h *Controller) apply(e raft.Entry) {
	command := h.command(e)
	h.moved = true
	h.learn(command)
	attempts, bad := h.state.Apply(command)
	h.raft.AdvanceClock(h.state.Tick)
	h.told(command, e.Index)
	h.answerWaiter(e, command, bad)
	if h.scheduler == nil || !h.raft.IsLeader() {
		return
	}
	if command.Job != nil && bad == nil {
		h.weigh(h.state.Jobs[command.Job.ID])
	}
	for _, g := range command.Attempts {
		delete(h.given, g.Attempt.Task)
	}
	h.order(attempts)
	h.scheduler.Settle(command.Ends)
	for _, end := range command.Ends {
		h.landed(end)
	}
}

// landed forgets that an end is on its way into the log.
func (h *Controller) landed(end state.End) {
	delete(h.flight, end)
	delete(h.freed, end.Attempt)
	if h.ahead[end.Attempt.Job] <= h.applied {
		delete(h.ahead, end.Attempt.Job)
	}
}
