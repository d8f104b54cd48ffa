// A rig for the agent's side towards a called worker: a leader's half, an agent's half
// and the stand-in worker with a shared time, a log that keeps the first end of each
// attempt, and calls that a test carries, loses, or has carried out late, one by one.
package dispatch_test

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim"
)

const ms = time.Millisecond

// longLeases is a pace with leases of five seconds.
var longLeases = func() dispatch.Timeouts {
	p := dispatch.Defaults
	p.AgentLease, p.LostAfter = 5*time.Second, 6*time.Second
	return p
}()

// callFate is what becomes of a call.
type callFate int

const (
	callDelivered callFate = iota
	callLost               // it never comes, and nothing is heard
	replyLost              // it is carried out, and nothing is heard
	callLate               // nothing is heard, and it is carried out later
)

type timer struct {
	at types.MonoTime
	no int
	do func()
}

type linkRig struct {
	t                 *testing.T
	random            *rand.Rand
	timeouts          dispatch.Timeouts
	now               types.MonoTime
	term              types.Term
	scheduler         *dispatch.Scheduler
	executor          *dispatch.Executor
	worker            *sim.InvokedWorker
	environment       *sim.WorkerEnvironment
	workerSpec        sim.WorkerSpec
	incarnations      int
	agents            int
	heartbeatSequence uint64
	partitioned       bool          // leader and agent hear nothing of each other
	authorityLeft     time.Duration // how long the leader may let others act on its word
	heartbeatsStopped bool          // the worker's own beats stop
	fateOf            func(wire.WorkerCall) callFate
	lateDelay         func() time.Duration // of a call that is late
	onCall            func(wire.WorkerCall)
	onSend            func(wire.OutboundMessage) // hears what the agent says
	holdReplyDelay    time.Duration              // of replies to holds
	timers            []timer
	lastTimer         int

	outstanding  map[types.AttemptID]bool          // given out, not ended in the log
	committed    map[types.AttemptID]state.Outcome // the first end of each
	running      map[types.AttemptID]bool          // on the worker now
	starts       map[types.AttemptID]int
	endings      map[types.AttemptID]wire.EndReason
	acknowledged map[types.AttemptID]bool
	proposed     map[state.AttemptEnd]bool
	reported     []state.AttemptEnd // what the agent has told, in order
}

func newLinkRig(t *testing.T, seed int64, pace dispatch.Timeouts) *linkRig {
	r := &linkRig{t: t, random: rand.New(rand.NewSource(seed)), timeouts: pace, authorityLeft: pace.AgentLease, now: types.MonoTime(time.Hour),
		environment: sim.NewWorkerEnvironment(sim.WorkerRules{Lease: 6 * time.Second, Stop: 400 * ms, Gang: 3 * time.Second, Save: 2 * time.Second, Restore: 600 * ms, Far: 1.5}),
		workerSpec:  sim.WorkerSpec{Shard: "s", Rack: "r", Kinds: []types.ServiceKind{"x"}, Room: types.Resources{Cores: 8 * types.Core}, Guards: true},
		fateOf:      func(wire.WorkerCall) callFate { return callDelivered }, lateDelay: func() time.Duration { return 3 * time.Second },
		outstanding: map[types.AttemptID]bool{}, committed: map[types.AttemptID]state.Outcome{}, running: map[types.AttemptID]bool{}, starts: map[types.AttemptID]int{},
		endings: map[types.AttemptID]wire.EndReason{}, acknowledged: map[types.AttemptID]bool{}, proposed: map[state.AttemptEnd]bool{}}
	r.newLeader()
	r.newAgent()
	r.startWorker()
	r.every(10*ms, func() {
		if r.worker != nil {
			r.worker.Tick()
		}
	})
	r.every(20*ms, func() { r.executor.Tick(r.now, "h"); r.deliver() })
	r.every(20*ms, func() { r.scheduler.Tick(r.now, r.authorityLeft); r.deliver() })
	r.every(1500*ms, func() {
		if r.worker != nil && !r.heartbeatsStopped {
			r.executor.HandleWorkerHeartbeat(r.now, r.nextHeartbeat())
			r.deliver()
		}
	})
	return r
}

// after has something done after a time.
func (r *linkRig) after(d time.Duration, do func()) {
	r.lastTimer++
	r.timers = append(r.timers, timer{r.now.Add(d), r.lastTimer, do})
	sort.Slice(r.timers, func(i, k int) bool {
		a, b := r.timers[i], r.timers[k]
		return a.at < b.at || a.at == b.at && a.no < b.no
	})
}

func (r *linkRig) every(d time.Duration, do func()) {
	r.after(d, func() { do(); r.every(d, do) })
}

// advance lets time go by.
func (r *linkRig) advance(d time.Duration) {
	end := r.now.Add(d)
	for r.timers[0].at <= end {
		x := r.timers[0]
		r.timers = r.timers[1:]
		r.now = x.at
		x.do()
	}
	r.now = end
}

// newLeader has another leader take over; what the old one had proposed is gone.
func (r *linkRig) newLeader() {
	r.term++
	var outs []dispatch.OutstandingAttempt
	for l := range r.outstanding {
		outs = append(outs, dispatch.OutstandingAttempt{Attempt: l, Shard: "s", Resources: types.Resources{Cores: types.Core}})
	}
	sort.Slice(outs, func(i, k int) bool { return outs[i].Attempt.Less(outs[k].Attempt) })
	h := dispatch.NewScheduler(r.now, r.now, r.timeouts, "h", r.term, outs)
	h.EndRecorded = func(e state.AttemptEnd) bool { _, ok := r.committed[e.ID]; return ok || !r.outstanding[e.ID] }
	h.Partitioned = func(types.Shard) bool { return false }
	h.Invoked = func(types.Shard) bool { return true }
	h.Unresolved = func(types.Shard) []types.AttemptID { return nil }
	r.scheduler = h
	clear(r.proposed)
}

// newAgent starts an agent that knows nothing.
func (r *linkRig) newAgent() {
	r.agents++
	n := 0
	r.executor = dispatch.NewExecutor(r.now, r.timeouts, "w", "s", func() types.ID { n++; return types.ID(fmt.Sprintf("w%d.%d", r.agents, n)) })
}

// startWorker starts a worker process.
func (r *linkRig) startWorker() {
	r.incarnations++
	id := types.ID(fmt.Sprint("k", r.incarnations))
	r.heartbeatSequence = 0
	clear(r.running)
	r.worker = sim.NewInvokedWorker(r.workerSpec, id, r.environment, r.random, func() types.MonoTime { return r.now }, func(h sim.HistoryEvent) {
		if r.worker == nil || types.ID(h.Who) != r.worker.ID {
			return
		}
		switch h.What {
		case sim.Started:
			r.running[h.Attempt] = true
			r.starts[h.Attempt]++
			if f, ok := r.committed[h.Attempt]; ok {
				r.t.Errorf("%v starts, although the log has it as %s", h.Attempt, f)
			}
		case sim.Ended:
			delete(r.running, h.Attempt)
			r.endings[h.Attempt] = h.How
		case sim.Noted:
			r.acknowledged[h.Attempt] = true
			if f := r.committed[h.Attempt]; h.How == wire.EndSucceeded && f != state.OutcomeOK {
				r.t.Errorf("%v is noted as done, and the log has it as %q", h.Attempt, f)
			}
		}
	})
	r.worker.Lax = true
}

func (r *linkRig) crashWorker() {
	r.worker = nil
	clear(r.running)
}

func (r *linkRig) nextHeartbeat() wire.WorkerHeartbeat {
	r.heartbeatSequence++
	return wire.WorkerHeartbeat{Incarnation: r.worker.ID, Addr: "k", Seq: r.heartbeatSequence, Rack: "r", Kinds: r.workerSpec.Kinds, Capacity: r.workerSpec.Room, ClockMS: r.worker.Clock()}
}

// deliver carries all that the two halves want sent and called.
func (r *linkRig) deliver() {
	for more := true; more; {
		sends, ends := r.scheduler.TakeOutput()
		r.propose(ends)
		from := r.executor.TakeOutput()
		more = len(sends)+len(from) > 0
		for _, s := range from {
			if u, ok := wire.DecodeBody[dispatch.UpdateStatus](s.Message); ok && s.Message.Kind == wire.StatusReport {
				r.reported = append(r.reported, u.Ends...)
			}
			if r.onSend != nil {
				r.onSend(s)
			}
			if !r.partitioned {
				r.scheduler.HandleMessage(r.now, r.authorityLeft, s.Message)
			}
		}
		for _, s := range sends {
			if !r.partitioned {
				r.executor.HandleMessage(r.now, s.Message)
			}
		}
		for _, c := range r.executor.TakeCalls() {
			more = true
			r.makeCall(c)
		}
	}
}

func (r *linkRig) makeCall(c wire.WorkerCall) {
	if r.onCall != nil {
		r.onCall(c)
	}
	hand, over := r.executor, false
	back := func(x wire.WorkerReply) {
		if !over && r.executor == hand {
			over = true
			x.Number = c.Number
			r.executor.HandleWorkerReply(r.now, x)
			r.deliver()
		}
	}
	mute := func(wire.WorkerReply) {}
	do := func(reply func(wire.WorkerReply)) {
		if r.worker == nil {
			return
		}
		r.worker.Do(c, reply)
	}
	r.after(c.Timeout, func() { back(wire.WorkerReply{Result: wire.ResultNoReply}) })
	switch r.fateOf(c) {
	case callDelivered:
		r.after(ms, func() {
			do(func(x wire.WorkerReply) {
				d := ms
				if c.Kind == wire.RenewLease {
					d += r.holdReplyDelay
				}
				r.after(d, func() { back(x) })
			})
		})
	case replyLost:
		r.after(ms, func() { do(mute) })
	case callLate:
		r.after(r.lateDelay(), func() { do(mute) })
	}
}

// propose puts ends into the log a little later; the first one of an attempt stands.
func (r *linkRig) propose(list []state.AttemptEnd) {
	for _, e := range list {
		if r.proposed[e] {
			continue
		}
		r.proposed[e] = true
		head := r.scheduler
		r.after(time.Duration(5+r.random.Intn(40))*ms, func() {
			if r.scheduler != head {
				return
			}
			delete(r.proposed, e)
			if _, ok := r.committed[e.ID]; !ok && r.outstanding[e.ID] {
				r.commit(e)
			}
			r.scheduler.OnEndsCommitted([]state.AttemptEnd{e})
			r.deliver()
		})
	}
}

func (r *linkRig) commit(e state.AttemptEnd) {
	r.committed[e.ID] = e.Outcome
	delete(r.outstanding, e.ID)
	switch {
	case e.Outcome == state.OutcomeOK:
	case r.running[e.ID]:
		r.t.Errorf("the log has %v as %s while it runs", e.ID, e.Outcome)
	case r.acknowledged[e.ID] && r.endings[e.ID] == wire.EndSucceeded:
		r.t.Errorf("the log has %v as %s after its good end was noted", e.ID, e.Outcome)
	}
}

// runTask has the leader give an attempt out.
func (r *linkRig) runTask(l types.AttemptID, work string) {
	r.outstanding[l] = true
	r.scheduler.RunTask("s", 0, "", dispatch.AttemptSpec{Attempt: l, Kind: "x", Resources: types.Resources{Cores: types.Core}, Input: []byte(work)})
	r.deliver()
}

func attempt(job string, n int) types.AttemptID {
	return types.AttemptID{TaskID: types.TaskID{Job: types.JobID(job)}, Attempt: n}
}

// newReadyRig is a rig in which all have found each other healthy.
func newReadyRig(t *testing.T, seed int64) *linkRig {
	return newReadyRigWith(t, seed, dispatch.Defaults)
}

func newReadyRigWith(t *testing.T, seed int64, pace dispatch.Timeouts) *linkRig {
	r := newLinkRig(t, seed, pace)
	r.advance(pace.LostAfter + 1500*ms)
	if s := r.executor.View().State; s != dispatch.Healthy {
		t.Fatal("the agent is", s)
	}
	return r
}

// attemptState is how the agent has an attempt: its part, and its outcome.
func (r *linkRig) attemptState(l types.AttemptID) (string, state.Outcome) {
	for _, v := range r.executor.View().Attempts {
		if v.Attempt == l {
			return v.State, v.Outcome
		}
	}
	return "", ""
}
