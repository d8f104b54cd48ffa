// The agent's side towards a worker that is called, at the level of single calls:
// what is lost, late, crossed or of another life, and leases on a slow clock.
package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const short, long = `{"ms":300}`, `{"ms":60000}`

// first does something to the first call of a kind, and lets the others be.
func (r *rig) first(k wire.CallKind, w way) {
	r.how = func(c wire.WorkerCall) way {
		if c.Kind != k {
			return fine
		}
		r.how = func(wire.WorkerCall) way { return fine }
		return w
	}
}

func TestAStartRunsAndItsEndIsNoted(t *testing.T) {
	is, r := is.New(t), ready(t, 1)
	r.give(attempt("a", 1), short)
	r.pass(time.Second)
	is.Equal(r.log[attempt("a", 1)], state.OutcomeOK)
	is.True(r.noted[attempt("a", 1)])
	is.Equal(len(r.hand.View().Attempts), 0)
}

// What became of a start that got no answer is found out by a query, and no
// later call can change it.
func TestStartsWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		way     way
		lag     time.Duration
		outcome state.Outcome
	}{
		{lost, 0, state.OutcomeNeverRan},
		{unsaid, 0, state.OutcomeOK},
		{late, 200 * ms, state.OutcomeOK}, // before the query
		{late, 300 * ms, state.OutcomeNeverRan},
		{late, 900 * ms, state.OutcomeNeverRan},
		{late, 1500 * ms, state.OutcomeNeverRan},
		{late, 3 * time.Second, state.OutcomeNeverRan},
	} {
		is, r := is.New(t), ready(t, 2)
		r.lag = func() time.Duration { return c.lag }
		r.first(wire.Start, c.way)
		r.give(attempt("a", 1), short)
		r.pass(6 * time.Second)
		is.Equal(r.log[attempt("a", 1)], c.outcome)
		is.Equal(r.began[attempt("a", 1)] > 0, c.outcome == state.OutcomeOK)
		is.Equal(r.noted[attempt("a", 1)], c.outcome == state.OutcomeOK)
	}
}

// Once what was unsure is known, no more queries are made for it, though its end
// may take long to be settled.
func TestOneQuerySettlesAnUnsureStart(t *testing.T) {
	is, r := is.New(t), ready(t, 3)
	was := r.hand.Lease().Sums
	r.first(wire.Start, lost)
	r.give(attempt("a", 1), short)
	r.pass(650 * ms)
	r.cut = true // what the agent tells is not heard, nor settled
	r.pass(800 * ms)
	is.Equal(r.hand.Lease().Sums.Queries-was.Queries, uint64(1))
}

// An agent that starts anew raises the fence above all that the one before it sent.
func TestFenceRisesOverRestarts(t *testing.T) {
	is, r := is.New(t), paced(t, 4, ample)
	r.first(wire.Start, late)
	r.give(attempt("a", 1), short)
	r.pass(20 * ms)
	r.agent()
	r.pass(2500 * ms)
	is.Equal(r.worker.Clock() > 0, true)
	r.pass(6 * time.Second)
	is.Equal(r.began[attempt("a", 1)], 0)
}

// So it does where it first hears the very beat by which the one before it took
// the worker up, which came twice.
func TestFenceRisesAfterARepeatedBeat(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 5, dispatch.Defaults)
	r.idle = true
	b := r.beat()
	r.hand.Beat(r.now, b)
	r.flow()
	r.pass(4 * time.Second)
	is.Equal(r.hand.View().State, dispatch.Healthy)
	r.lag = func() time.Duration { return 100 * ms }
	r.first(wire.Start, late)
	r.give(attempt("a", 1), long)
	r.pass(10 * ms)
	r.agent()
	r.hand.Beat(r.now, b)
	r.flow()
	r.pass(20 * ms)
	_, told := r.part(attempt("a", 1))
	is.Equal(told, state.Outcome(""))     // it has asked its worker, and knows of nothing that runs
	r.pass(500 * ms)                      // so what the agent before it sent
	is.Equal(r.began[attempt("a", 1)], 0) // is not started any more
}

// An answer that crossed a newer one tells nothing new: what began between the
// two is neither gone nor unrun.
func TestAnswersThatCross(t *testing.T) {
	is, r := is.New(t), ready(t, 6)
	was := r.hand.Lease().Sums.Queries
	r.first(wire.Start, unsaid) // so that there is a query beside the hold that waits
	r.give(attempt("a", 1), long)
	r.slow = 200 * ms
	r.pass(200 * ms)
	r.give(attempt("b", 1), long) // which is answered, so that the worker seems well
	r.pass(100 * ms)
	is.Equal(r.hand.Lease().Sums.Queries, was+1) // the query is under way
	r.give(attempt("c", 1), long)
	r.pass(50 * ms)
	r.slow = 0
	r.pass(1500 * ms)
	is.Equal(len(r.log), 0)
	for _, l := range []types.AttemptID{attempt("a", 1), attempt("b", 1), attempt("c", 1)} {
		p, _ := r.part(l)
		is.Equal(p, "running")
	}
}

// A grant runs down and is renewed at the last moment, while a task ends well: the
// end is noted by the worker only if the log has it so.
func TestAGoodEndWhileTheLeaseIsRenewedLate(t *testing.T) {
	is := is.New(t)
	good, lapsed := 0, 0
	for _, cut := range []time.Duration{1300 * ms, 1400 * ms, 1500 * ms, 1600 * ms, 1700 * ms, 1800 * ms, 1900 * ms} {
		for work := 1500; work < 2600; work += 50 {
			r := ready(t, int64(work))
			r.give(attempt("a", 1), fmt.Sprintf(`{"ms":%d}`, work))
			r.cut = true // the grant runs down
			r.pass(cut)
			r.cut = false // and is renewed, in time or not
			r.pass(4 * time.Second)
			switch {
			case r.noted[attempt("a", 1)] && r.hows[attempt("a", 1)] == wire.Done:
				is.Equal(r.log[attempt("a", 1)], state.OutcomeOK)
				good++
			case r.hows[attempt("a", 1)] == wire.Expired:
				is.Equal(r.log[attempt("a", 1)], state.OutcomeLeaseExpired)
				lapsed++
			}
		}
	}
	is.True(good > 20)
	is.True(lapsed > 5)
}

// An agent says that an attempt lapsed only once it has: with the slowest clock, late
// calls and readings, and grants that come and go.
func TestLapseIsNeverToldTooSoon(t *testing.T) {
	is := is.New(t)
	lapsed := 0
	for seed := range int64(60) {
		r := ready(t, 100+seed)
		r.give(attempt("a", 1), long)
		r.pass(time.Duration(r.rnd.Intn(2000)) * ms)
		r.how = func(wire.WorkerCall) way { return way(r.rnd.Intn(4)) }
		r.cut = seed%2 == 0
		r.pass(4 * time.Second)
		r.cut, r.how = false, func(wire.WorkerCall) way { return fine }
		r.pass(4 * time.Second)
		if f, ok := r.log[attempt("a", 1)]; ok {
			is.Equal(f, state.OutcomeLeaseExpired) // the rig itself tells an attempt that runs on
			lapsed++
		}
	}
	is.True(lapsed > 20)
}

// A new agent's own short lease does not make it forget that the one before it may
// have given a longer one.
func TestARestartedAgentWaitsForItsPredecessorsLease(t *testing.T) {
	is, r := is.New(t), ready(t, 8)
	r.give(attempt("a", 1), long)
	r.pass(300 * ms)
	r.agent()
	r.grace = 600 * ms
	r.hand.Beat(r.now, r.beat())
	r.flow()
	r.pass(900 * ms)
	is.True(r.hand.Lease().Until > 0)
	r.how = func(wire.WorkerCall) way { return lost } // the worker can't be reached any more
	r.pass(5 * time.Second)                           // the rig tells if the attempt is given up while it runs
	is.Equal(r.log[attempt("a", 1)], state.OutcomeLeaseExpired)
}

// What a worker runs runs on when its agent starts anew, and the new agent is given
// work at once: one process stands at an address.
func TestWorkOutlivesARestartOfTheAgent(t *testing.T) {
	is, r := is.New(t), ready(t, 14)
	r.give(attempt("a", 1), `{"ms":3500}`)
	r.pass(300 * ms)
	for range 2 {
		r.agent()
		r.pass(100 * ms)
		r.hand.Beat(r.now, r.beat())
		r.flow()
		r.pass(900 * ms)
		is.Equal(r.hand.View().State, dispatch.Healthy)
	}
	r.give(attempt("b", 1), short)
	r.pass(3 * time.Second)
	is.Equal(r.log[attempt("a", 1)], state.OutcomeOK)
	is.Equal(r.log[attempt("b", 1)], state.OutcomeOK)
	is.True(r.noted[attempt("a", 1)])
}

// A beat of an agent that is over, and that the leader never knew, comes late: the
// agent that beats keeps its seat.
func TestABeatOfAFormerAgentComesLate(t *testing.T) {
	is, r := is.New(t), ready(t, 15)
	r.agent()
	r.pass(100 * ms)
	r.cut = true // what it says is under way for long
	r.hand.Beat(r.now, r.beat())
	var late []wire.Send
	r.tap = func(s wire.Send) {
		if s.Message.Kind == wire.Beat {
			late = append(late, s)
		}
	}
	r.pass(50 * ms)
	r.tap, r.cut = nil, false
	r.agent()
	r.hand.Beat(r.now, r.beat())
	r.pass(1500 * ms)
	r.give(attempt("a", 1), `{"ms":2000}`)
	r.pass(500 * ms)
	is.True(len(late) > 0)
	for _, s := range late {
		r.head.Take(r.now, r.grace, s.Message)
	}
	r.pass(3 * time.Second)
	is.Equal(r.log[attempt("a", 1)], state.OutcomeOK)
}

// Another life at the worker's address: what ran has gone with the one before.
func TestAnotherLife(t *testing.T) {
	is, r := is.New(t), ready(t, 9)
	r.give(attempt("a", 1), long)
	r.pass(300 * ms)
	r.die()
	r.life()
	r.pass(time.Second) // it has not even beaten yet, but it answers
	is.Equal(r.log[attempt("a", 1)], state.OutcomeWorkerExited)
	r.pass(3 * time.Second)
	is.Equal(r.hand.View().Worker, types.ID("k2"))
	r.give(attempt("a", 2), short)
	r.pass(time.Second)
	is.Equal(r.log[attempt("a", 2)], state.OutcomeOK)
}

// A beat of a life that is over, and that this agent never knew, comes late: the
// life that answers stays the worker, and few calls are made to find out.
func TestABeatOfAFormerLifeComesLate(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 10, dispatch.Defaults)
	old := r.beat()
	r.die()
	r.life()
	r.pass(4 * time.Second)
	r.give(attempt("a", 1), long)
	r.pass(500 * ms)
	was := r.hand.Lease().Sums
	r.hand.Beat(r.now, old)
	r.flow()
	r.pass(1400 * ms)
	is.True(r.hand.Lease().Sums.Queries-was.Queries < 3)
	r.cut = true // its lease runs out
	r.pass(3 * time.Second)
	r.cut = false
	r.pass(4 * time.Second)
	is.Equal(r.hand.View().Worker, types.ID("k2"))
	r.give(attempt("b", 1), short)
	r.pass(time.Second)
	is.Equal(r.log[attempt("b", 1)], state.OutcomeOK)
}

// A worker that said that it drains and then leaves takes along what it still ran;
// one that comes in its place is taken up at once.
func TestAWorkerLeaves(t *testing.T) {
	is, r := is.New(t), ready(t, 11)
	r.give(attempt("a", 1), long)
	r.pass(300 * ms)
	b := r.beat()
	b.Leaving = true
	r.idle = true
	r.hand.Beat(r.now, b)
	r.pass(100 * ms)
	is.Equal(r.log[attempt("a", 1)], state.Outcome("")) // it runs on while it drains
	r.idle = false
	r.hand.Leave(r.now, r.worker.ID)
	r.die()
	r.flow()
	r.pass(200 * ms)
	is.Equal(r.log[attempt("a", 1)], state.OutcomeWorkerExited)
	r.life()
	r.pass(2 * time.Second)
	is.Equal(r.hand.View().Worker, types.ID("k2"))
}

// Ends that a leader did not live to put into the log are told to the next one,
// and settled only when it has them.
func TestUnsettledEndsOverANewLeader(t *testing.T) {
	is, r := is.New(t), ready(t, 12)
	r.give(attempt("a", 1), short)
	r.pass(250 * ms)
	r.cut = true
	r.pass(300 * ms)
	is.Equal(r.hows[attempt("a", 1)], wire.Done)
	is.True(!r.noted[attempt("a", 1)])
	r.lead()
	r.cut = false
	r.pass(1500 * ms)
	is.Equal(r.log[attempt("a", 1)], state.OutcomeOK)
	is.True(r.noted[attempt("a", 1)])
}

// An agent that starts anew, twice within seconds, neither notes what the leader
// has given up nor has what it did not give up run again.
func TestAAgentRestartedTwice(t *testing.T) {
	for seed := range int64(60) {
		is, r := is.New(t), ready(t, 200+seed)
		r.give(attempt("a", 1), `{"ms":1800}`)
		r.give(attempt("b", 1), long)
		for range 2 {
			r.pass(time.Duration(r.rnd.Intn(2600)) * ms)
			r.agent()
		}
		r.pass(9 * time.Second)
		is.True(r.log[attempt("a", 1)] != "")
		is.Equal(len(r.hand.View().Attempts) <= 1, true) // all settled but what may run on
	}
}

// An agent that starts anew goes on settling ends where the one before it stopped.
func TestARestartedAgentSettlesEnds(t *testing.T) {
	is, r := is.New(t), ready(t, 13)
	r.give(attempt("a", 1), short)
	r.pass(time.Second)
	r.agent()
	r.pass(6 * time.Second)
	r.give(attempt("b", 1), short)
	r.pass(time.Second)
	is.Equal(r.log[attempt("b", 1)], state.OutcomeOK)
	is.True(r.noted[attempt("b", 1)])
	r.pass(500 * ms) // the hold that told the worker so has waited, and was answered
	is.Equal(len(r.hand.View().Attempts), 0)
}
