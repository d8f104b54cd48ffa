// The hazards that the paper names, and those that terms and grants add, each
// brought about by hand on the two halves with notes passed one by one.
package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const ms = time.Millisecond

// bench is one leader's half and some agents' halves, with a shared clock.
type bench struct {
	now    types.MonoTime
	head   *Scheduler
	hands  map[types.Addr]*Executor
	post   []wire.Send // not yet delivered
	ends   []state.AttemptEnd
	minted int
}

func newBench() *bench {
	b := &bench{now: types.MonoTime(time.Hour), hands: map[types.Addr]*Executor{}}
	b.lead(1)
	return b
}

func (b *bench) lead(term types.Term, outs ...Hold) {
	b.head = NewScheduler(b.now, b.now, Defaults, "h", term, outs)
	b.head.Taken = func(state.AttemptEnd) bool { return false }
	b.head.Apart = func(types.Shard) bool { return false }
	b.head.Invoked = func(types.Shard) bool { return false }
	b.head.Doubts = func(types.Shard) []types.AttemptID { return nil }
}

func (b *bench) agent(addr types.Addr, shard types.Shard) *Executor {
	h := NewExecutor(b.now, Defaults, addr, shard, func() types.ID {
		b.minted++
		return types.ID(fmt.Sprintf("%s-%d", addr, b.minted))
	})
	b.hands[addr] = h
	return h
}

func (b *bench) poll(h *Executor, call uint64, runs ...types.AttemptID) Answer {
	p := Poll{Worker: "k", Call: call, Stamp: b.now, Rack: "r", Kinds: []types.ServiceKind{"x"}, Room: types.Resources{Cores: 4 * types.Core}}
	for _, l := range runs {
		p.Runs = append(p.Runs, Run{l, types.Resources{Cores: 1 * types.Core}})
	}
	h.Poll(b.now, p)
	return h.Reply(b.now)
}

// gather moves all that the machines want sent into the post.
func (b *bench) gather() {
	s, e := b.head.Out()
	b.post, b.ends = append(b.post, s...), append(b.ends, e...)
	for _, h := range b.hands {
		b.post = append(b.post, h.Out()...)
	}
}

// flow delivers the post until it is empty, but for what keep holds back.
func (b *bench) flow(keep func(wire.Send) bool) (held []wire.Send) {
	b.gather()
	for len(b.post) > 0 {
		s := b.post[0]
		b.post = b.post[1:]
		if keep != nil && keep(s) {
			held = append(held, s)
			continue
		}
		b.give(s)
		b.gather()
	}
	return
}

func (b *bench) give(s wire.Send) {
	if s.To == "h" {
		b.head.Take(b.now, time.Second, s.Message)
	} else if h := b.hands[s.To]; h != nil {
		h.Take(b.now, s.Message)
	}
}

// pass lets time go by in small steps, with workers that call all the while.
func (b *bench) pass(d time.Duration, keep func(wire.Send) bool) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(50 * ms)
		for _, h := range b.hands {
			var runs []types.AttemptID
			for _, l := range h.sorted() {
				if l.part != ended {
					runs = append(runs, l.job.Attempt)
				}
			}
			b.poll(h, h.call+1, runs...)
			h.Tick(b.now, "h")
		}
		b.head.Tick(b.now, time.Second)
		b.flow(keep)
	}
}

// calm is a leader and one agent that have found each other healthy.
func calm(t *testing.T) (*is.I, *bench, *Executor) {
	b := newBench()
	w := b.agent("w", "s")
	b.pass(4*time.Second, nil)
	return is.New(t), b, w
}

func try(job string, n int) types.AttemptID {
	return types.AttemptID{TaskID: types.TaskID{Job: types.JobID(job)}, Attempt: n}
}

func order(b *bench, shard types.Shard, l types.AttemptID) {
	b.head.Order(shard, 0, "", Job{Attempt: l, Kind: "x", Room: types.Resources{Cores: 1 * types.Core}})
}

func kind(k string) func(wire.Send) bool {
	return func(s wire.Send) bool { return s.Message.Kind == k }
}

func TestDelayedOrderAfterQuery(t *testing.T) {
	is, b, w := calm(t)
	is.Equal(b.head.seats["s"].State, Healthy)
	order(b, "s", try("j", 1))
	late := b.flow(kind(wire.Order))
	is.Equal(len(late), 1)
	b.pass(400*ms, nil) // unanswered, so unsure, so asked about
	is.True(w.attempts[try("j", 1)].part == ended)
	is.Equal(b.ends[len(b.ends)-1], state.AttemptEnd{ID: try("j", 1), Outcome: state.OutcomeNeverRan})
	b.give(late[0])
	is.True(w.attempts[try("j", 1)].part == ended) // it stays what the agent said
	// An order for an attempt that was not asked about, sent before the query, is refused by its number.
	o, _ := wire.Read[Order](late[0].Message)
	o.Job.Attempt, o.Until = try("k", 1), b.now.Add(time.Second)
	w.Take(b.now, wire.Make("h", "w", wire.Order, o).Message)
	is.Equal(w.attempts[try("k", 1)], nil)
}

func TestRedundantNotRunningIsLetPass(t *testing.T) {
	is, b, w := calm(t)
	order(b, "s", try("j", 1))
	b.flow(nil)
	w.finish(w.attempts[try("j", 1)], state.OutcomeOK)
	b.head.Settle([]state.AttemptEnd{{ID: try("j", 1), Outcome: state.OutcomeOK}})
	b.head.Taken = func(state.AttemptEnd) bool { return true }
	b.flow(nil)
	b.poll(w, w.call+1)
	b.poll(w, w.call+1) // the worker has let go of it, so the agent has too
	is.Equal(len(w.attempts), 0)
	s := b.head.seats["s"]
	s.seq++
	b.give(wire.Make("h", "w", wire.Query, Query{b.head.top(s), s.seq, []types.AttemptID{try("j", 1)}}))
	is.Equal(w.attempts[try("j", 1)].outcome, state.OutcomeNeverRan)
	b.ends = nil
	b.pass(time.Second, nil)
	is.Equal(len(b.ends), 0)     // the redundant report changes nothing
	is.Equal(len(w.attempts), 0) // and is settled
}

// To a new leader an agent's own conclusions wait for its account; what its
// worker did counts at once, since the agent may not live to tell it again.
func TestEndReportWhileNew(t *testing.T) {
	for outcome, at := range map[state.Outcome]bool{state.OutcomeOK: true, state.OutcomeFailed: true, state.OutcomeLost: false, state.OutcomeNeverRan: false} {
		is, b, w := calm(t)
		order(b, "s", try("j", 1))
		b.flow(nil)
		b.lead(2, Hold{Attempt: try("j", 1), Shard: "s", Room: types.Resources{Cores: 1 * types.Core}})
		b.ends = nil
		w.finish(w.attempts[try("j", 1)], outcome)
		b.pass(600*ms, kind(wire.AskRun)) // the new leader's question does not arrive
		is.Equal(b.head.seats["s"].State, New)
		is.Equal(len(b.ends) > 0, at)
		b.pass(600*ms, nil)
		is.True(len(b.ends) > 0)
		if at {
			is.Equal(b.ends[0], state.AttemptEnd{ID: try("j", 1), Outcome: outcome})
		}
	}
}

// The paper's example: a lone worker w1 is unhealthy with a set of just itself,
// a second comes, and a leader that starts then must not believe w1 alone.
func TestSpuriousConsensusOfLoneWorker(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.agent("w1", "s1")
	b.pass(4*time.Second, nil)
	is.Equal(b.head.seats["s1"].State, Healthy)
	mute := func(s wire.Send) bool { return s.Message.From == "w1" || s.To == "w1" }
	b.pass(1200*ms, mute)
	is.Equal(b.head.seats["s1"].State, Unhealthy)
	b.agent("w2", "s2")
	b.pass(900*ms, mute)
	is.Equal(b.head.seats["s2"].State, Unhealthy) // for lack of consensus: w1 does not know of w2
	b.pass(900*ms, mute)
	is.Equal(b.head.seats["s1"].State, MustDie)
	b.pass(600*ms, mute)
	is.Equal(b.head.seats["s2"].State, Healthy) // w1 is lost, its set binds nobody
}

// An attempt in the log on a worker that has not come holds the wait up even where
// all worker sets agree.
func TestWaitHoldsForAttemptsNotHeardOf(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.agent("w1", "s1")
	b.pass(4*time.Second, nil)
	b.lead(2)
	b.pass(700*ms, nil)
	is.Equal(b.head.Wait, false) // the one agent agrees with itself
	b.lead(3, Hold{Attempt: try("j", 1), Shard: "s2", Room: types.Resources{Cores: 1 * types.Core}})
	b.pass(700*ms, nil)
	is.Equal(b.head.Wait, true)
	b.ends = nil
	b.pass(2500*ms, nil)
	is.Equal(b.head.Wait, false)
	is.Equal(b.ends[0], state.AttemptEnd{ID: try("j", 1), Outcome: state.OutcomeLost})
}

func TestReplacedWorkerComesBack(t *testing.T) {
	is := is.New(t)
	b := newBench()
	old := b.agent("w", "s")
	b.pass(4*time.Second, nil)
	was := old.id
	delete(b.hands, "w")
	fresh := b.agent("v", "s")
	b.pass(600*ms, nil)
	is.Equal(b.head.seats["s"].ID, was) // only a lost one may be replaced
	b.pass(3500*ms, nil)
	is.Equal(b.head.seats["s"].ID, fresh.id)
	b.hands["w"] = old
	old.good, old.until = b.now, b.now.Add(time.Second) // it believes itself well
	b.now = b.now.Add(400 * ms)
	old.Tick(b.now, "h")
	b.flow(nil)
	is.Equal(old.state, MustDie)
	is.Equal(b.head.seats["s"].ID, fresh.id)
}

func TestOldLeaderIsRefused(t *testing.T) {
	is, b, w := calm(t)
	old := b.head
	b.lead(2)
	b.pass(time.Second, nil)
	is.Equal(w.term, types.Term(2))
	b.head = old
	order(b, "s", try("j", 1))
	b.flow(nil)
	is.Equal(len(w.attempts), 0)
	is.Equal(w.lead, types.Addr("h"))
}

func TestSettledLostKeepsAGoodEnd(t *testing.T) {
	is, b, w := calm(t)
	order(b, "s", try("j", 1))
	b.flow(nil)
	w.finish(w.attempts[try("j", 1)], state.OutcomeOK)
	b.head.Settle([]state.AttemptEnd{{ID: try("j", 1), Outcome: state.OutcomeLost}})
	b.flow(nil)
	is.Equal(w.attempts[try("j", 1)].settled, false)
}

// A grant counts from the agent's own stamp: however late the answer comes, the
// grant ends when it would have.
func TestLateGrantIsStale(t *testing.T) {
	is, b, w := calm(t)
	w.beat, b.now = never, b.now.Add(10*ms)
	w.Tick(b.now, "h")
	at := b.now
	late := b.flow(kind(wire.Beaten))
	is.True(len(late) > 0)
	b.now = at.Add(3 * time.Second)
	b.give(late[len(late)-1])
	is.True(w.until <= at.Add(Defaults.Grant))
	is.Equal(b.poll(w, w.call+1).Until, b.now) // nothing is left to give on
}

func TestFrozenAgentIsLostBeforeItsWorkIsGivenAgain(t *testing.T) {
	is, b, w := calm(t)
	order(b, "s", try("j", 1))
	b.flow(nil)
	until, given := w.until, w.given
	mute := func(s wire.Send) bool { return s.Message.From == "w" || s.To == "w" }
	b.ends = nil
	for len(b.ends) == 0 {
		b.now = b.now.Add(50 * ms)
		b.head.Tick(b.now, time.Second)
		b.flow(mute)
	}
	is.Equal(b.ends[0].Outcome, state.OutcomeLost)
	is.True(b.now > until)
	is.True(b.now > given.Add(Defaults.Worker))
}

// An attempt that its agent counts lost is in doubt until the worker is heard again:
// then it went well, or is known to be gone, and both are told.
func TestLostIsNotTheLastWord(t *testing.T) {
	for _, end := range []struct {
		told []Finish
		want state.Outcome
	}{{nil, state.OutcomeWorkerExited}, {[]Finish{{Run{try("j", 1), types.Resources{}}, state.OutcomeOK}}, state.OutcomeOK}} {
		is, b, w := calm(t)
		order(b, "s", try("j", 1))
		b.flow(nil)
		b.poll(w, w.call+1, try("j", 1))
		b.now = b.now.Add(Defaults.Worker + Slack + 10*ms)
		w.Tick(b.now, "h")
		is.Equal(w.attempts[try("j", 1)].outcome, state.OutcomeLost)
		w.attempts[try("j", 1)].settled = true
		w.Poll(b.now, Poll{Worker: "k", Call: w.call + 1, Stamp: b.now, Ends: end.told})
		is.Equal(w.attempts[try("j", 1)].outcome, end.want)
		is.Equal(w.attempts[try("j", 1)].settled, false)
	}
}

// A worker looks at its grant now and then; until it has had the time to, its
// agent does not say that an attempt is lost.
func TestLossLeavesTheWorkerTimeToStop(t *testing.T) {
	is, b, w := calm(t)
	order(b, "s", try("j", 1))
	b.flow(nil)
	b.poll(w, w.call+1, try("j", 1))
	b.now = w.given.Add(Defaults.Worker + Slack/2)
	w.Tick(b.now, "h")
	is.True(w.attempts[try("j", 1)].part != ended)
}

// The initial wait counts from when an earlier leader can last have had authority.
func TestInitialWaitCountsFromTheLastAuthority(t *testing.T) {
	is := is.New(t)
	b := newBench()
	for _, ago := range []time.Duration{0, 900 * time.Millisecond, time.Hour} {
		h := NewScheduler(b.now, b.now.Add(-ago), Defaults, "h", 2, []Hold{{Attempt: try("j", 1), Shard: "s"}})
		h.Taken, h.Doubts = func(state.AttemptEnd) bool { return false }, func(types.Shard) []types.AttemptID { return nil }
		h.Apart, h.Invoked = func(types.Shard) bool { return false }, func(types.Shard) bool { return true }
		for at := time.Duration(0); at < Defaults.Loss+time.Second; at += 10 * time.Millisecond {
			h.Tick(b.now.Add(at), time.Second)
			is.Equal(h.Wait, at+ago <= Defaults.Loss+Defaults.Beat)
		}
	}
}
