// A rig for the agent's side towards a called worker: a leader's half, an agent's half
// and the stand-in worker with a shared time, a log that keeps the first end of each
// attempt, and calls that a test carries, loses, or has carried out late, one by one.
package executor_test

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"coppercourse/internal/dispatch/executor"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim"
	"coppercourse/sim/history"
)

const ms = time.Millisecond

// longLeases is a pace with leases of five seconds.
var longLeases = func() protocol.Timeouts {
	p := protocol.DefaultTimeouts
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
	timeouts          protocol.Timeouts
	now               types.MonoTime
	term              types.Term
	scheduler         *scheduler.Scheduler
	executor          *executor.Executor
	worker            *sim.InvokedWorker
	environment       *sim.WorkerEnvironment
	workerSpec        history.WorkerSpec
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

func newLinkRig(t *testing.T, seed int64, pace protocol.Timeouts) *linkRig {
	r := &linkRig{t: t, random: rand.New(rand.NewSource(seed)), timeouts: pace, authorityLeft: pace.AgentLease, now: types.MonoTime(time.Hour),
		environment: sim.NewWorkerEnvironment(sim.WorkerRules{MaxLease: 6 * time.Second, MaxStopTime: 400 * ms, GangTimeout: 3 * time.Second, CheckpointInterval: 2 * time.Second, RestoreTime: 600 * ms, RemoteSlowdown: 1.5}),
		workerSpec:  history.WorkerSpec{Shard: "s", Rack: "r", Kinds: []types.ServiceKind{"x"}, Capacity: types.Resources{Cores: 8 * types.Core}, RejectsOverload: true},
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
func (lr *linkRig) after(d time.Duration, do func()) {
	lr.lastTimer++
	lr.timers = append(lr.timers, timer{lr.now.Add(d), lr.lastTimer, do})
	sort.Slice(lr.timers, func(i, k int) bool {
		a, b := lr.timers[i], lr.timers[k]
		return a.at < b.at || a.at == b.at && a.no < b.no
	})
}

func (lr *linkRig) every(d time.Duration, do func()) {
	lr.after(d, func() { do(); lr.every(d, do) })
}

// advance lets time go by.
func (lr *linkRig) advance(d time.Duration) {
	end := lr.now.Add(d)
	for lr.timers[0].at <= end {
		x := lr.timers[0]
		lr.timers = lr.timers[1:]
		lr.now = x.at
		x.do()
	}
	lr.now = end
}

// newLeader has another leader take over; what the old one had proposed is gone.
func (lr *linkRig) newLeader() {
	lr.term++
	var outs []scheduler.OutstandingAttempt
	for l := range lr.outstanding {
		outs = append(outs, scheduler.OutstandingAttempt{Attempt: l, Shard: "s", Resources: types.Resources{Cores: types.Core}})
	}
	sort.Slice(outs, func(i, k int) bool { return outs[i].Attempt.Less(outs[k].Attempt) })
	lr.scheduler = scheduler.New(lr.now, scheduler.Config{
		Timeouts:          lr.timeouts,
		Addr:              "h",
		Term:              lr.term,
		PriorAuthorityEnd: lr.now,
		Outstanding:       outs,
		Cluster:           rigCluster{lr},
	})
	clear(lr.proposed)
}

// rigCluster answers the scheduler from the rig's log; its worker is called by its agent.
type rigCluster struct{ rig *linkRig }

func (rigCluster) UnresolvedAttempts(types.Shard) []types.AttemptID { return nil }
func (rigCluster) ZonePartitioned(types.Shard) bool                 { return false }
func (rigCluster) CalledByAgent(types.Shard) bool                   { return true }

func (rc rigCluster) EndRecorded(e state.AttemptEnd) bool {
	_, ok := rc.rig.committed[e.ID]
	return ok || !rc.rig.outstanding[e.ID]
}

// newAgent starts an agent that knows nothing.
func (lr *linkRig) newAgent() {
	lr.agents++
	n := 0
	lr.executor = executor.New(lr.now, lr.timeouts, "w", "s", func() types.ID { n++; return types.ID(fmt.Sprintf("w%d.%d", lr.agents, n)) })
}

// startWorker starts a worker process.
func (lr *linkRig) startWorker() {
	lr.incarnations++
	id := types.ID(fmt.Sprint("k", lr.incarnations))
	lr.heartbeatSequence = 0
	clear(lr.running)
	lr.worker = sim.NewInvokedWorker(lr.workerSpec, id, lr.environment, lr.random, func() types.MonoTime { return lr.now }, func(h history.Event) {
		if lr.worker == nil || types.ID(h.Process) != lr.worker.ID {
			return
		}
		switch h.Kind {
		case history.AttemptStarted:
			lr.running[h.Attempt] = true
			lr.starts[h.Attempt]++
			if f, ok := lr.committed[h.Attempt]; ok {
				lr.t.Errorf("%v starts, although the log has it as %s", h.Attempt, f)
			}
		case history.AttemptEnded:
			delete(lr.running, h.Attempt)
			lr.endings[h.Attempt] = h.How
		case history.EndSettled:
			lr.acknowledged[h.Attempt] = true
			if f := lr.committed[h.Attempt]; h.How == wire.EndSucceeded && f != state.OutcomeOK {
				lr.t.Errorf("%v is noted as done, and the log has it as %q", h.Attempt, f)
			}
		}
	})
	lr.worker.StartsUnderLease = true
}

func (lr *linkRig) crashWorker() {
	lr.worker = nil
	clear(lr.running)
}

func (lr *linkRig) nextHeartbeat() wire.WorkerHeartbeat {
	lr.heartbeatSequence++
	return wire.WorkerHeartbeat{Incarnation: lr.worker.ID, Addr: "k", Seq: lr.heartbeatSequence, Rack: "r", Kinds: lr.workerSpec.Kinds, Capacity: lr.workerSpec.Capacity, ClockMS: lr.worker.Clock()}
}

// deliver carries all that the two halves want sent and called.
func (lr *linkRig) deliver() {
	for more := true; more; {
		sends, ends := lr.scheduler.TakeOutput()
		lr.propose(ends)
		from := lr.executor.TakeOutput()
		more = len(sends)+len(from) > 0
		for _, s := range from {
			if u, ok := wire.DecodeBody[protocol.UpdateStatus](s.Message); ok && s.Message.Kind == wire.StatusReport {
				lr.reported = append(lr.reported, u.Ends...)
			}
			if lr.onSend != nil {
				lr.onSend(s)
			}
			if !lr.partitioned {
				lr.scheduler.HandleMessage(lr.now, lr.authorityLeft, s.Message)
			}
		}
		for _, s := range sends {
			if !lr.partitioned {
				lr.executor.HandleMessage(lr.now, s.Message)
			}
		}
		for _, c := range lr.executor.TakeCalls() {
			more = true
			lr.makeCall(c)
		}
	}
}

func (lr *linkRig) makeCall(c wire.WorkerCall) {
	if lr.onCall != nil {
		lr.onCall(c)
	}
	hand, over := lr.executor, false
	back := func(x wire.WorkerReply) {
		if !over && lr.executor == hand {
			over = true
			x.Number = c.Number
			lr.executor.HandleWorkerReply(lr.now, x)
			lr.deliver()
		}
	}
	mute := func(wire.WorkerReply) {}
	do := func(reply func(wire.WorkerReply)) {
		if lr.worker == nil {
			return
		}
		lr.worker.HandleCall(c, reply)
	}
	lr.after(c.Timeout, func() { back(wire.WorkerReply{Result: wire.ResultNoReply}) })
	switch lr.fateOf(c) {
	case callDelivered:
		lr.after(ms, func() {
			do(func(x wire.WorkerReply) {
				d := ms
				if c.Kind == wire.RenewLease {
					d += lr.holdReplyDelay
				}
				lr.after(d, func() { back(x) })
			})
		})
	case replyLost:
		lr.after(ms, func() { do(mute) })
	case callLate:
		lr.after(lr.lateDelay(), func() { do(mute) })
	}
}

// propose puts ends into the log a little later; the first one of an attempt stands.
func (lr *linkRig) propose(list []state.AttemptEnd) {
	for _, e := range list {
		if lr.proposed[e] {
			continue
		}
		lr.proposed[e] = true
		head := lr.scheduler
		lr.after(time.Duration(5+lr.random.Intn(40))*ms, func() {
			if lr.scheduler != head {
				return
			}
			delete(lr.proposed, e)
			if _, ok := lr.committed[e.ID]; !ok && lr.outstanding[e.ID] {
				lr.commit(e)
			}
			lr.scheduler.OnEndsCommitted([]state.AttemptEnd{e})
			lr.deliver()
		})
	}
}

func (lr *linkRig) commit(e state.AttemptEnd) {
	lr.committed[e.ID] = e.Outcome
	delete(lr.outstanding, e.ID)
	switch {
	case e.Outcome == state.OutcomeOK:
	case lr.running[e.ID]:
		lr.t.Errorf("the log has %v as %s while it runs", e.ID, e.Outcome)
	case lr.acknowledged[e.ID] && lr.endings[e.ID] == wire.EndSucceeded:
		lr.t.Errorf("the log has %v as %s after its good end was noted", e.ID, e.Outcome)
	}
}

// runTask has the leader give an attempt out.
func (lr *linkRig) runTask(l types.AttemptID, work string) {
	lr.outstanding[l] = true
	lr.scheduler.RunTask("s", 0, "", protocol.AttemptSpec{Attempt: l, Kind: "x", Resources: types.Resources{Cores: types.Core}, Input: []byte(work)})
	lr.deliver()
}

func attempt(job string, n int) types.AttemptID {
	return types.AttemptID{TaskID: types.TaskID{Job: types.JobID(job)}, Attempt: n}
}

// newReadyRig is a rig in which all have found each other healthy.
func newReadyRig(t *testing.T, seed int64) *linkRig {
	return newReadyRigWith(t, seed, protocol.DefaultTimeouts)
}

func newReadyRigWith(t *testing.T, seed int64, pace protocol.Timeouts) *linkRig {
	r := newLinkRig(t, seed, pace)
	r.advance(pace.LostAfter + 1500*ms)
	if s := r.executor.View().State; s != protocol.WorkerHealthy {
		t.Fatal("the agent is", s)
	}
	return r
}

// attemptState is how the agent has an attempt: its part, and its outcome.
func (lr *linkRig) attemptState(l types.AttemptID) (string, state.Outcome) {
	for _, v := range lr.executor.View().Attempts {
		if v.Attempt == l {
			return v.State, v.Outcome
		}
	}
	return "", ""
}
