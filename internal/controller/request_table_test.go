package controller

import (
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// An entry answers whoever waits for it only if it is of the term in which the
// request was proposed. Another leader's entry under that index says nothing of the
// request: its caller is told so at once, and not what became of the other entry.
func TestAnEntryOfAnotherTermAnswersNobodysRequest(t *testing.T) {
	is := is.New(t)
	h := &Controller{log: &commandLog{replicated: state.New()}, outbox: outbox{counters: &Counters{}}, waiters: map[types.Index]caller{7: {token: 1, term: 2}, 8: {token: 2, term: 3}}}
	refused := apierror.New(apierror.StaleVersion, "edition", "another order was first")
	h.replyToCaller(raft.Entry{Index: 7, Term: 3}, state.Command{Cancel: "j"}, refused)
	is.Equal(len(h.outbox.responses), 1)
	is.Equal(h.outbox.responses[0].Token, uint64(1))
	is.Equal(h.outbox.responses[0].Error.Kind, apierror.OutcomeUnknown)
	h.replyToCaller(raft.Entry{Index: 8, Term: 3}, state.Command{Cancel: "j"}, refused)
	is.Equal(h.outbox.responses[1].Token, uint64(2))
	is.Equal(h.outbox.responses[1].Error.Kind, apierror.StaleVersion)
	h.replyToCaller(raft.Entry{Index: 8, Term: 3}, state.Command{Cancel: "j"}, refused)
	is.Equal(len(h.outbox.responses), 2) // once
}
