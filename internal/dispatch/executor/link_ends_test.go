package executor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Once an end is settled one hold tells the worker so and waits for the next: a
// look at a worker has its price.
func TestOneLookForEachEnd(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 3)
	for i := range 10 {
		was := r.executor.WorkerLease().Counters.Renewals
		r.runTask(attempt("a", i+1), `{"ms":200}`)
		r.advance(400 * ms)
		is.Equal(r.committed[attempt("a", i+1)], state.OutcomeOK)
		is.True(r.executor.WorkerLease().Counters.Renewals <= was+2) // the one that waits may run out besides
	}
}

// A worker lists so many ends at once; until a new agent has heard them all it does
// not say that what it has not heard of never ran.
func TestMoreEndsThanOneAnswerLists(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 16)
	const n = 620
	for i := range n {
		l := types.AttemptID{TaskID: types.TaskID{Job: "a", Number: i}, Attempt: 1}
		r.outstanding[l] = true
		r.worker.HandleCall(wire.WorkerCall{Kind: wire.StartAttempt, Incarnation: r.worker.ID, Attempt: l, Input: []byte(`{"ms":5}`), LeaseEndMS: r.worker.Clock() + 3000,
			FencingToken: r.executor.WorkerLease().Fence}, func(wire.WorkerReply) {})
	}
	r.newAgent()
	r.newLeader()
	r.advance(6 * time.Second)
	is.Equal(len(r.committed), n)
	for _, f := range r.committed {
		is.Equal(f, state.OutcomeOK)
	}
}
