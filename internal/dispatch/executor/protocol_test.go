// The hazards that the paper names, and those that terms and grants add, each
// brought about by hand on the two halves with notes passed one by one.
package executor

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const ms = time.Millisecond

// testCluster is one leader's half and some agents' halves, with a shared clock.
type testCluster struct {
	now       types.MonoTime
	scheduler *scheduler.Scheduler
	executors map[types.Addr]*Executor
	inFlight  []wire.OutboundMessage // not yet delivered
	ends      []state.AttemptEnd
	instances int

	endsRecorded bool // the log already has every end, or none
}

func newTestCluster() *testCluster {
	cluster := &testCluster{now: types.MonoTime(time.Hour), executors: map[types.Addr]*Executor{}}
	cluster.newLeader(1)
	return cluster
}

func (t *testCluster) newLeader(term types.Term, outs ...scheduler.OutstandingAttempt) {
	t.endsRecorded = false
	t.scheduler = scheduler.New(t.now, scheduler.Config{
		Timeouts:          protocol.DefaultTimeouts,
		Addr:              "h",
		Term:              term,
		PriorAuthorityEnd: t.now,
		Outstanding:       outs,
		Cluster:           t,
	})
}

// UnresolvedAttempts and the next three answer the scheduler as its ClusterState.
func (*testCluster) UnresolvedAttempts(types.Shard) []types.AttemptID { return nil }
func (*testCluster) ZonePartitioned(types.Shard) bool                 { return false }
func (*testCluster) CalledByAgent(types.Shard) bool                   { return false }
func (t *testCluster) EndRecorded(state.AttemptEnd) bool              { return t.endsRecorded }

func (t *testCluster) newAgent(addr types.Addr, shard types.Shard) *Executor {
	h := New(t.now, protocol.DefaultTimeouts, addr, shard, func() types.ID {
		t.instances++
		return types.ID(fmt.Sprintf("%s-%d", addr, t.instances))
	})
	t.executors[addr] = h
	return h
}

func (t *testCluster) poll(h *Executor, call uint64, runs ...types.AttemptID) protocol.PollReply {
	p := protocol.Poll{Worker: "k", Call: call, SentAt: t.now, Rack: "r", Kinds: []types.ServiceKind{"x"}, Capacity: types.Resources{Cores: 4 * types.Core}}
	for _, l := range runs {
		p.Running = append(p.Running, protocol.RunningTask{Attempt: l, Resources: types.Resources{Cores: 1 * types.Core}})
	}
	h.HandlePoll(t.now, p)
	return h.ReplyToPoll(t.now)
}

// collect moves all that the machines want sent into the post.
func (t *testCluster) collect() {
	s, e := t.scheduler.TakeOutput()
	t.inFlight, t.ends = append(t.inFlight, s...), append(t.ends, e...)
	for _, h := range t.executors {
		t.inFlight = append(t.inFlight, h.TakeOutput()...)
	}
}

// deliver delivers the post until it is empty, but for what keep holds back.
func (t *testCluster) deliver(keep func(wire.OutboundMessage) bool) (held []wire.OutboundMessage) {
	t.collect()
	for len(t.inFlight) > 0 {
		s := t.inFlight[0]
		t.inFlight = t.inFlight[1:]
		if keep != nil && keep(s) {
			held = append(held, s)
			continue
		}
		t.deliverOne(s)
		t.collect()
	}
	return
}

func (t *testCluster) deliverOne(s wire.OutboundMessage) {
	if s.To == "h" {
		t.scheduler.HandleMessage(t.now, time.Second, s.Message)
	} else if h := t.executors[s.To]; h != nil {
		h.HandleMessage(t.now, s.Message)
	}
}

// advance lets time go by in small steps, with workers that call all the while.
func (t *testCluster) advance(d time.Duration, keep func(wire.OutboundMessage) bool) {
	for end := t.now.Add(d); t.now < end; {
		t.now = t.now.Add(50 * ms)
		for _, h := range t.executors {
			var runs []types.AttemptID
			for _, l := range h.attemptsInOrder() {
				if l.state != attemptEnded {
					runs = append(runs, l.spec.Attempt)
				}
			}
			t.poll(h, h.lastCall+1, runs...)
			h.Tick(t.now, "h")
		}
		t.scheduler.Tick(t.now, time.Second)
		t.deliver(keep)
	}
}

// newHealthyCluster is a leader and one agent that have found each other healthy.
func newHealthyCluster(t *testing.T) (*is.I, *testCluster, *Executor) {
	b := newTestCluster()
	w := b.newAgent("w", "s")
	b.advance(4*time.Second, nil)
	return is.New(t), b, w
}

func newAttempt(job string, n int) types.AttemptID {
	return types.AttemptID{TaskID: types.TaskID{Job: types.JobID(job)}, Attempt: n}
}

func runTask(b *testCluster, shard types.Shard, l types.AttemptID) {
	b.scheduler.RunTask(shard, 0, "", protocol.AttemptSpec{Attempt: l, Kind: "x", Resources: types.Resources{Cores: 1 * types.Core}})
}

func ofKind(k wire.Kind) func(wire.OutboundMessage) bool {
	return func(s wire.OutboundMessage) bool { return s.Message.Kind == k }
}

func TestDelayedOrderAfterQuery(t *testing.T) {
	is, b, w := newHealthyCluster(t)
	is.Equal(b.scheduler.Worker("s").State, protocol.WorkerHealthy)
	runTask(b, "s", newAttempt("j", 1))
	late := b.deliver(ofKind(wire.RunTask))
	is.Equal(len(late), 1)
	b.advance(400*ms, nil) // unanswered, so unsure, so asked about
	is.True(w.attempts[newAttempt("j", 1)].state == attemptEnded)
	is.Equal(b.ends[len(b.ends)-1], state.AttemptEnd{ID: newAttempt("j", 1), Outcome: state.OutcomeNeverRan})
	b.deliverOne(late[0])
	is.True(w.attempts[newAttempt("j", 1)].state == attemptEnded) // it stays what the agent said
	// An order for an attempt that was not asked about, sent before the query, is refused by its number.
	o, _ := wire.DecodeBody[protocol.RunTask](late[0].Message)
	o.Spec.Attempt, o.StartBefore = newAttempt("k", 1), b.now.Add(time.Second)
	w.HandleMessage(b.now, wire.NewMessage("h", "w", wire.RunTask, o).Message)
	is.Equal(w.attempts[newAttempt("k", 1)], nil)
}

func TestRedundantNotRunningIsLetPass(t *testing.T) {
	is, b, w := newHealthyCluster(t)
	runTask(b, "s", newAttempt("j", 1))
	b.deliver(nil)
	w.endAttempt(w.attempts[newAttempt("j", 1)], state.OutcomeOK)
	b.scheduler.OnEndsCommitted([]state.AttemptEnd{{ID: newAttempt("j", 1), Outcome: state.OutcomeOK}})
	b.endsRecorded = true
	b.deliver(nil)
	b.poll(w, w.lastCall+1)
	b.poll(w, w.lastCall+1) // the worker has let go of it, so the agent has too
	is.Equal(len(w.attempts), 0)
	s := b.scheduler.Worker("s")
	query := protocol.NotifyIfTasksNotRunning{Header: protocol.Header{Term: 1, To: s.Instance}, Sequence: w.querySequence + 1, Attempts: []types.AttemptID{newAttempt("j", 1)}}
	b.deliverOne(wire.NewMessage("h", "w", wire.NotRunningQuery, query))
	is.Equal(w.attempts[newAttempt("j", 1)].outcome, state.OutcomeNeverRan)
	b.ends = nil
	b.advance(time.Second, nil)
	is.Equal(len(b.ends), 0)     // the redundant report changes nothing
	is.Equal(len(w.attempts), 0) // and is settled
}

// To a new leader an agent's own conclusions wait for its account; what its
// worker did counts at once, since the agent may not live to tell it again.
func TestEndReportWhileNew(t *testing.T) {
	for outcome, at := range map[state.Outcome]bool{state.OutcomeOK: true, state.OutcomeFailed: true, state.OutcomeLost: false, state.OutcomeNeverRan: false} {
		is, b, w := newHealthyCluster(t)
		runTask(b, "s", newAttempt("j", 1))
		b.deliver(nil)
		b.newLeader(2, scheduler.OutstandingAttempt{Attempt: newAttempt("j", 1), Shard: "s", Resources: types.Resources{Cores: 1 * types.Core}})
		b.ends = nil
		w.endAttempt(w.attempts[newAttempt("j", 1)], outcome)
		b.advance(600*ms, ofKind(wire.RunningTasksQuery)) // the new leader's question does not arrive
		is.Equal(b.scheduler.Worker("s").State, protocol.WorkerNew)
		is.Equal(len(b.ends) > 0, at)
		b.advance(600*ms, nil)
		is.True(len(b.ends) > 0)
		if at {
			is.Equal(b.ends[0], state.AttemptEnd{ID: newAttempt("j", 1), Outcome: outcome})
		}
	}
}

// The paper's example: a lone worker w1 is unhealthy with a set of just itself,
// a second comes, and a leader that starts then must not believe w1 alone.
func TestSpuriousConsensusOfLoneWorker(t *testing.T) {
	is := is.New(t)
	b := newTestCluster()
	b.newAgent("w1", "s1")
	b.advance(4*time.Second, nil)
	is.Equal(b.scheduler.Worker("s1").State, protocol.WorkerHealthy)
	mute := func(s wire.OutboundMessage) bool { return s.Message.From == "w1" || s.To == "w1" }
	b.advance(1200*ms, mute)
	is.Equal(b.scheduler.Worker("s1").State, protocol.WorkerUnhealthy)
	b.newAgent("w2", "s2")
	b.advance(900*ms, mute)
	is.Equal(b.scheduler.Worker("s2").State, protocol.WorkerUnhealthy) // for lack of consensus: w1 does not know of w2
	b.advance(900*ms, mute)
	is.Equal(b.scheduler.Worker("s1").State, protocol.WorkerMustDie)
	b.advance(600*ms, mute)
	is.Equal(b.scheduler.Worker("s2").State, protocol.WorkerHealthy) // w1 is lost, its set binds nobody
}

// An attempt in the log on a worker that has not come holds the wait up even where
// all worker sets agree.
func TestWaitHoldsForAttemptsNotHeardOf(t *testing.T) {
	is := is.New(t)
	b := newTestCluster()
	b.newAgent("w1", "s1")
	b.advance(4*time.Second, nil)
	b.newLeader(2)
	b.advance(700*ms, nil)
	is.Equal(b.scheduler.InInitialWait(), false) // the one agent agrees with itself
	b.newLeader(3, scheduler.OutstandingAttempt{Attempt: newAttempt("j", 1), Shard: "s2", Resources: types.Resources{Cores: 1 * types.Core}})
	b.advance(700*ms, nil)
	is.Equal(b.scheduler.InInitialWait(), true)
	b.ends = nil
	b.advance(2500*ms, nil)
	is.Equal(b.scheduler.InInitialWait(), false)
	is.Equal(b.ends[0], state.AttemptEnd{ID: newAttempt("j", 1), Outcome: state.OutcomeLost})
}

func TestReplacedWorkerComesBack(t *testing.T) {
	is := is.New(t)
	b := newTestCluster()
	old := b.newAgent("w", "s")
	b.advance(4*time.Second, nil)
	was := old.instance
	delete(b.executors, "w")
	fresh := b.newAgent("v", "s")
	b.advance(600*ms, nil)
	is.Equal(b.scheduler.Worker("s").Instance, was) // only a lost one may be replaced
	b.advance(3500*ms, nil)
	is.Equal(b.scheduler.Worker("s").Instance, fresh.instance)
	b.executors["w"] = old
	old.lastGrantSentAt, old.leaseUntil = b.now, b.now.Add(time.Second) // it believes itself well
	b.now = b.now.Add(400 * ms)
	old.Tick(b.now, "h")
	b.deliver(nil)
	is.Equal(old.state, protocol.WorkerMustDie)
	is.Equal(b.scheduler.Worker("s").Instance, fresh.instance)
}

func TestOldLeaderIsRefused(t *testing.T) {
	is, b, w := newHealthyCluster(t)
	old := b.scheduler
	b.newLeader(2)
	b.advance(time.Second, nil)
	is.Equal(w.term, types.Term(2))
	b.scheduler = old
	runTask(b, "s", newAttempt("j", 1))
	b.deliver(nil)
	is.Equal(len(w.attempts), 0)
	is.Equal(w.leader, types.Addr("h"))
}

func TestSettledLostKeepsAGoodEnd(t *testing.T) {
	is, b, w := newHealthyCluster(t)
	runTask(b, "s", newAttempt("j", 1))
	b.deliver(nil)
	w.endAttempt(w.attempts[newAttempt("j", 1)], state.OutcomeOK)
	b.scheduler.OnEndsCommitted([]state.AttemptEnd{{ID: newAttempt("j", 1), Outcome: state.OutcomeLost}})
	b.deliver(nil)
	is.Equal(w.attempts[newAttempt("j", 1)].committed, false)
}

// A grant counts from the agent's own stamp: however late the answer comes, the
// grant ends when it would have.
func TestLateGrantIsStale(t *testing.T) {
	is, b, w := newHealthyCluster(t)
	w.lastHeartbeatAt, b.now = never, b.now.Add(10*ms)
	w.Tick(b.now, "h")
	at := b.now
	late := b.deliver(ofKind(wire.HeartbeatReply))
	is.True(len(late) > 0)
	b.now = at.Add(3 * time.Second)
	b.deliverOne(late[len(late)-1])
	is.True(w.leaseUntil <= at.Add(protocol.DefaultTimeouts.AgentLease))
	is.Equal(b.poll(w, w.lastCall+1).LeaseUntil, b.now) // nothing is left to give on
}

func TestFrozenAgentIsLostBeforeItsWorkIsGivenAgain(t *testing.T) {
	is, b, w := newHealthyCluster(t)
	runTask(b, "s", newAttempt("j", 1))
	b.deliver(nil)
	until, given := w.leaseUntil, w.workerLeaseBase
	mute := func(s wire.OutboundMessage) bool { return s.Message.From == "w" || s.To == "w" }
	b.ends = nil
	for len(b.ends) == 0 {
		b.now = b.now.Add(50 * ms)
		b.scheduler.Tick(b.now, time.Second)
		b.deliver(mute)
	}
	is.Equal(b.ends[0].Outcome, state.OutcomeLost)
	is.True(b.now > until)
	is.True(b.now > given.Add(protocol.DefaultTimeouts.WorkerLease))
}

// An attempt that its agent counts lost is in doubt until the worker is heard again:
// then it went well, or is known to be gone, and both are told.
func TestLostIsNotTheLastWord(t *testing.T) {
	for _, end := range []struct {
		told []protocol.EndedTask
		want state.Outcome
	}{{nil, state.OutcomeWorkerExited}, {[]protocol.EndedTask{{RunningTask: protocol.RunningTask{Attempt: newAttempt("j", 1), Resources: types.Resources{}}, Outcome: state.OutcomeOK}}, state.OutcomeOK}} {
		is, b, w := newHealthyCluster(t)
		runTask(b, "s", newAttempt("j", 1))
		b.deliver(nil)
		b.poll(w, w.lastCall+1, newAttempt("j", 1))
		b.now = b.now.Add(protocol.DefaultTimeouts.WorkerLease + protocol.WorkerStopTime + 10*ms)
		w.Tick(b.now, "h")
		is.Equal(w.attempts[newAttempt("j", 1)].outcome, state.OutcomeLost)
		w.attempts[newAttempt("j", 1)].committed = true
		w.HandlePoll(b.now, protocol.Poll{Worker: "k", Call: w.lastCall + 1, SentAt: b.now, Ended: end.told})
		is.Equal(w.attempts[newAttempt("j", 1)].outcome, end.want)
		is.Equal(w.attempts[newAttempt("j", 1)].committed, false)
	}
}

// A worker looks at its grant now and then; until it has had the time to, its
// agent does not say that an attempt is lost.
func TestLossLeavesTheWorkerTimeToStop(t *testing.T) {
	is, b, w := newHealthyCluster(t)
	runTask(b, "s", newAttempt("j", 1))
	b.deliver(nil)
	b.poll(w, w.lastCall+1, newAttempt("j", 1))
	b.now = w.workerLeaseBase.Add(protocol.DefaultTimeouts.WorkerLease + protocol.WorkerStopTime/2)
	w.Tick(b.now, "h")
	is.True(w.attempts[newAttempt("j", 1)].state != attemptEnded)
}
