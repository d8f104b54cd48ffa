// The agent's side towards a worker that is called, at the level of single calls:
// what is lost, late, crossed or of another life, and leases on a slow clock.
package executor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const short, long = `{"ms":300}`, `{"ms":60000}`

// applyToFirst does something to the first call of a kind, and lets the others be.
func (lr *linkRig) applyToFirst(k wire.CallKind, w callFate) {
	lr.fateOf = func(c wire.WorkerCall) callFate {
		if c.Kind != k {
			return callDelivered
		}
		lr.fateOf = func(wire.WorkerCall) callFate { return callDelivered }
		return w
	}
}

func TestAStartRunsAndItsEndIsNoted(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 1)
	r.runTask(attempt("a", 1), short)
	r.advance(time.Second)
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeOK)
	is.True(r.acknowledged[attempt("a", 1)])
	is.Equal(len(r.executor.View().Attempts), 0)
}

// What became of a start that got no answer is found out by a query, and no
// later call can change it.
func TestStartsWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		way     callFate
		lag     time.Duration
		outcome state.Outcome
	}{
		{callLost, 0, state.OutcomeNeverRan},
		{replyLost, 0, state.OutcomeOK},
		{callLate, 200 * ms, state.OutcomeOK}, // before the query
		{callLate, 300 * ms, state.OutcomeNeverRan},
		{callLate, 900 * ms, state.OutcomeNeverRan},
		{callLate, 1500 * ms, state.OutcomeNeverRan},
		{callLate, 3 * time.Second, state.OutcomeNeverRan},
	} {
		is, r := is.New(t), newReadyRig(t, 2)
		r.lateDelay = func() time.Duration { return c.lag }
		r.applyToFirst(wire.StartAttempt, c.way)
		r.runTask(attempt("a", 1), short)
		r.advance(6 * time.Second)
		is.Equal(r.committed[attempt("a", 1)], c.outcome)
		is.Equal(r.starts[attempt("a", 1)] > 0, c.outcome == state.OutcomeOK)
		is.Equal(r.acknowledged[attempt("a", 1)], c.outcome == state.OutcomeOK)
	}
}

// Once what was unsure is known, no more queries are made for it, though its end
// may take long to be settled.
func TestOneQuerySettlesAnUnsureStart(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 3)
	was := r.executor.WorkerLease().Counters
	r.applyToFirst(wire.StartAttempt, callLost)
	r.runTask(attempt("a", 1), short)
	r.advance(650 * ms)
	r.partitioned = true // what the agent tells is not heard, nor settled
	r.advance(800 * ms)
	is.Equal(r.executor.WorkerLease().Counters.Queries-was.Queries, uint64(1))
}

// An agent that starts anew raises the fence above all that the one before it sent.
func TestFenceRisesOverRestarts(t *testing.T) {
	is, r := is.New(t), newReadyRigWith(t, 4, longLeases)
	r.applyToFirst(wire.StartAttempt, callLate)
	r.runTask(attempt("a", 1), short)
	r.advance(20 * ms)
	r.newAgent()
	r.advance(2500 * ms)
	is.Equal(r.worker.Clock() > 0, true)
	r.advance(6 * time.Second)
	is.Equal(r.starts[attempt("a", 1)], 0)
}

// So it does where it first hears the very beat by which the one before it took
// the worker up, which came twice.
func TestFenceRisesAfterARepeatedBeat(t *testing.T) {
	is := is.New(t)
	r := newLinkRig(t, 5, protocol.DefaultTimeouts)
	r.heartbeatsStopped = true
	b := r.nextHeartbeat()
	r.executor.HandleWorkerHeartbeat(r.now, b)
	r.deliver()
	r.advance(4 * time.Second)
	is.Equal(r.executor.View().State, protocol.WorkerHealthy)
	r.lateDelay = func() time.Duration { return 100 * ms }
	r.applyToFirst(wire.StartAttempt, callLate)
	r.runTask(attempt("a", 1), long)
	r.advance(10 * ms)
	r.newAgent()
	r.executor.HandleWorkerHeartbeat(r.now, b)
	r.deliver()
	r.advance(20 * ms)
	_, told := r.attemptState(attempt("a", 1))
	is.Equal(told, state.Outcome(""))      // it has asked its worker, and knows of nothing that runs
	r.advance(500 * ms)                    // so what the agent before it sent
	is.Equal(r.starts[attempt("a", 1)], 0) // is not started any more
}

// An answer that crossed a newer one tells nothing new: what began between the
// two is neither gone nor unrun.
func TestAnswersThatCross(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 6)
	was := r.executor.WorkerLease().Counters.Queries
	r.applyToFirst(wire.StartAttempt, replyLost) // so that there is a query beside the hold that waits
	r.runTask(attempt("a", 1), long)
	r.holdReplyDelay = 200 * ms
	r.advance(200 * ms)
	r.runTask(attempt("b", 1), long) // which is answered, so that the worker seems well
	r.advance(100 * ms)
	is.Equal(r.executor.WorkerLease().Counters.Queries, was+1) // the query is under way
	r.runTask(attempt("c", 1), long)
	r.advance(50 * ms)
	r.holdReplyDelay = 0
	r.advance(1500 * ms)
	is.Equal(len(r.committed), 0)
	for _, l := range []types.AttemptID{attempt("a", 1), attempt("b", 1), attempt("c", 1)} {
		p, _ := r.attemptState(l)
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
			r := newReadyRig(t, int64(work))
			r.runTask(attempt("a", 1), fmt.Sprintf(`{"ms":%d}`, work))
			r.partitioned = true // the grant runs down
			r.advance(cut)
			r.partitioned = false // and is renewed, in time or not
			r.advance(4 * time.Second)
			switch {
			case r.acknowledged[attempt("a", 1)] && r.endings[attempt("a", 1)] == wire.EndSucceeded:
				is.Equal(r.committed[attempt("a", 1)], state.OutcomeOK)
				good++
			case r.endings[attempt("a", 1)] == wire.EndLeaseExpired:
				is.Equal(r.committed[attempt("a", 1)], state.OutcomeLeaseExpired)
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
		r := newReadyRig(t, 100+seed)
		r.runTask(attempt("a", 1), long)
		r.advance(time.Duration(r.random.Intn(2000)) * ms)
		r.fateOf = func(wire.WorkerCall) callFate { return callFate(r.random.Intn(4)) }
		r.partitioned = seed%2 == 0
		r.advance(4 * time.Second)
		r.partitioned, r.fateOf = false, func(wire.WorkerCall) callFate { return callDelivered }
		r.advance(4 * time.Second)
		if f, ok := r.committed[attempt("a", 1)]; ok {
			is.Equal(f, state.OutcomeLeaseExpired) // the rig itself tells an attempt that runs on
			lapsed++
		}
	}
	is.True(lapsed > 20)
}

// A new agent's own short lease does not make it forget that the one before it may
// have given a longer one.
func TestARestartedAgentWaitsForItsPredecessorsLease(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 8)
	r.runTask(attempt("a", 1), long)
	r.advance(300 * ms)
	r.newAgent()
	r.authorityLeft = 600 * ms
	r.executor.HandleWorkerHeartbeat(r.now, r.nextHeartbeat())
	r.deliver()
	r.advance(900 * ms)
	is.True(r.executor.WorkerLease().UntilMS > 0)
	r.fateOf = func(wire.WorkerCall) callFate { return callLost } // the worker can't be reached any more
	r.advance(5 * time.Second)                                    // the rig tells if the attempt is given up while it runs
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeLeaseExpired)
}

// What a worker runs runs on when its agent starts anew, and the new agent is given
// work at once: one process stands at an address.
func TestWorkOutlivesARestartOfTheAgent(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 14)
	r.runTask(attempt("a", 1), `{"ms":3500}`)
	r.advance(300 * ms)
	for range 2 {
		r.newAgent()
		r.advance(100 * ms)
		r.executor.HandleWorkerHeartbeat(r.now, r.nextHeartbeat())
		r.deliver()
		r.advance(900 * ms)
		is.Equal(r.executor.View().State, protocol.WorkerHealthy)
	}
	r.runTask(attempt("b", 1), short)
	r.advance(3 * time.Second)
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeOK)
	is.Equal(r.committed[attempt("b", 1)], state.OutcomeOK)
	is.True(r.acknowledged[attempt("a", 1)])
}

// A beat of an agent that is over, and that the leader never knew, comes late: the
// agent that beats keeps its seat.
func TestABeatOfAFormerAgentComesLate(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 15)
	r.newAgent()
	r.advance(100 * ms)
	r.partitioned = true // what it says is under way for long
	r.executor.HandleWorkerHeartbeat(r.now, r.nextHeartbeat())
	var late []wire.OutboundMessage
	r.onSend = func(s wire.OutboundMessage) {
		if s.Message.Kind == wire.Heartbeat {
			late = append(late, s)
		}
	}
	r.advance(50 * ms)
	r.onSend, r.partitioned = nil, false
	r.newAgent()
	r.executor.HandleWorkerHeartbeat(r.now, r.nextHeartbeat())
	r.advance(1500 * ms)
	r.runTask(attempt("a", 1), `{"ms":2000}`)
	r.advance(500 * ms)
	is.True(len(late) > 0)
	for _, s := range late {
		r.scheduler.HandleMessage(r.now, r.authorityLeft, s.Message)
	}
	r.advance(3 * time.Second)
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeOK)
}

// Another life at the worker's address: what ran has gone with the one before.
func TestAnotherLife(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 9)
	r.runTask(attempt("a", 1), long)
	r.advance(300 * ms)
	r.crashWorker()
	r.startWorker()
	r.advance(time.Second) // it has not even beaten yet, but it answers
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeWorkerExited)
	r.advance(3 * time.Second)
	is.Equal(r.executor.View().Worker, types.ID("k2"))
	r.runTask(attempt("a", 2), short)
	r.advance(time.Second)
	is.Equal(r.committed[attempt("a", 2)], state.OutcomeOK)
}

// A beat of a life that is over, and that this agent never knew, comes late: the
// life that answers stays the worker, and few calls are made to find out.
func TestABeatOfAFormerLifeComesLate(t *testing.T) {
	is := is.New(t)
	r := newLinkRig(t, 10, protocol.DefaultTimeouts)
	old := r.nextHeartbeat()
	r.crashWorker()
	r.startWorker()
	r.advance(4 * time.Second)
	r.runTask(attempt("a", 1), long)
	r.advance(500 * ms)
	was := r.executor.WorkerLease().Counters
	r.executor.HandleWorkerHeartbeat(r.now, old)
	r.deliver()
	r.advance(1400 * ms)
	is.True(r.executor.WorkerLease().Counters.Queries-was.Queries < 3)
	r.partitioned = true // its lease runs out
	r.advance(3 * time.Second)
	r.partitioned = false
	r.advance(4 * time.Second)
	is.Equal(r.executor.View().Worker, types.ID("k2"))
	r.runTask(attempt("b", 1), short)
	r.advance(time.Second)
	is.Equal(r.committed[attempt("b", 1)], state.OutcomeOK)
}

// A worker that said that it drains and then leaves takes along what it still ran;
// one that comes in its place is taken up at once.
func TestAWorkerLeaves(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 11)
	r.runTask(attempt("a", 1), long)
	r.advance(300 * ms)
	b := r.nextHeartbeat()
	b.Draining = true
	r.heartbeatsStopped = true
	r.executor.HandleWorkerHeartbeat(r.now, b)
	r.advance(100 * ms)
	is.Equal(r.committed[attempt("a", 1)], state.Outcome("")) // it runs on while it drains
	r.heartbeatsStopped = false
	r.executor.HandleDeregistration(r.now, r.worker.ID)
	r.crashWorker()
	r.deliver()
	r.advance(200 * ms)
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeWorkerExited)
	r.startWorker()
	r.advance(2 * time.Second)
	is.Equal(r.executor.View().Worker, types.ID("k2"))
}

// Ends that a leader did not live to put into the log are told to the next one,
// and settled only when it has them.
func TestUnsettledEndsOverANewLeader(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 12)
	r.runTask(attempt("a", 1), short)
	r.advance(250 * ms)
	r.partitioned = true
	r.advance(300 * ms)
	is.Equal(r.endings[attempt("a", 1)], wire.EndSucceeded)
	is.True(!r.acknowledged[attempt("a", 1)])
	r.newLeader()
	r.partitioned = false
	r.advance(1500 * ms)
	is.Equal(r.committed[attempt("a", 1)], state.OutcomeOK)
	is.True(r.acknowledged[attempt("a", 1)])
}

// An agent that starts anew, twice within seconds, neither notes what the leader
// has given up nor has what it did not give up run again.
func TestAAgentRestartedTwice(t *testing.T) {
	for seed := range int64(60) {
		is, r := is.New(t), newReadyRig(t, 200+seed)
		r.runTask(attempt("a", 1), `{"ms":1800}`)
		r.runTask(attempt("b", 1), long)
		for range 2 {
			r.advance(time.Duration(r.random.Intn(2600)) * ms)
			r.newAgent()
		}
		r.advance(9 * time.Second)
		is.True(r.committed[attempt("a", 1)] != "")
		is.Equal(len(r.executor.View().Attempts) <= 1, true) // all settled but what may run on
	}
}

// An agent that starts anew goes on settling ends where the one before it stopped.
func TestARestartedAgentSettlesEnds(t *testing.T) {
	is, r := is.New(t), newReadyRig(t, 13)
	r.runTask(attempt("a", 1), short)
	r.advance(time.Second)
	r.newAgent()
	r.advance(6 * time.Second)
	r.runTask(attempt("b", 1), short)
	r.advance(time.Second)
	is.Equal(r.committed[attempt("b", 1)], state.OutcomeOK)
	is.True(r.acknowledged[attempt("b", 1)])
	r.advance(500 * ms) // the hold that told the worker so has waited, and was answered
	is.Equal(len(r.executor.View().Attempts), 0)
}
