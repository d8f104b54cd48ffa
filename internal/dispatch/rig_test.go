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

// ample is a pace with leases of five seconds.
var ample = func() dispatch.Timeouts {
	p := dispatch.Defaults
	p.Grant, p.Loss = 5*time.Second, 6*time.Second
	return p
}()

// way is what becomes of a call.
type way int

const (
	fine   way = iota
	lost       // it never comes, and nothing is heard
	unsaid     // it is carried out, and nothing is heard
	late       // nothing is heard, and it is carried out later
)

type due struct {
	at types.MonoTime
	no int
	do func()
}

type rig struct {
	t      *testing.T
	rnd    *rand.Rand
	pace   dispatch.Timeouts
	now    types.MonoTime
	term   types.Term
	head   *dispatch.Scheduler
	hand   *dispatch.Executor
	worker *sim.InvokedWorker
	floor  *sim.WorkerEnvironment
	made   sim.WorkerSpec
	lives  int
	agents int
	seq    uint64
	cut    bool          // leader and agent hear nothing of each other
	grace  time.Duration // how long the leader may let others act on its word
	idle   bool          // the worker's own beats stop
	how    func(wire.WorkerCall) way
	lag    func() time.Duration // of a call that is late
	spy    func(wire.WorkerCall)
	tap    func(wire.Send) // hears what the agent says
	slow   time.Duration   // of replies to holds
	plan   []due
	no     int

	out    map[types.AttemptID]bool          // given out, not ended in the log
	log    map[types.AttemptID]state.Outcome // the first end of each
	runs   map[types.AttemptID]bool          // on the worker now
	began  map[types.AttemptID]int
	hows   map[types.AttemptID]wire.How
	noted  map[types.AttemptID]bool
	flight map[state.AttemptEnd]bool
	shows  []state.AttemptEnd // what the agent has told, in order
}

func newRig(t *testing.T, seed int64, pace dispatch.Timeouts) *rig {
	r := &rig{t: t, rnd: rand.New(rand.NewSource(seed)), pace: pace, grace: pace.Grant, now: types.MonoTime(time.Hour),
		floor: sim.NewWorkerEnvironment(sim.WorkerRules{Lease: 6 * time.Second, Stop: 400 * ms, Gang: 3 * time.Second, Save: 2 * time.Second, Restore: 600 * ms, Far: 1.5}),
		made:  sim.WorkerSpec{Shard: "s", Rack: "r", Kinds: []types.ServiceKind{"x"}, Room: types.Resources{Cores: 8 * types.Core}, Guards: true},
		how:   func(wire.WorkerCall) way { return fine }, lag: func() time.Duration { return 3 * time.Second },
		out: map[types.AttemptID]bool{}, log: map[types.AttemptID]state.Outcome{}, runs: map[types.AttemptID]bool{}, began: map[types.AttemptID]int{},
		hows: map[types.AttemptID]wire.How{}, noted: map[types.AttemptID]bool{}, flight: map[state.AttemptEnd]bool{}}
	r.lead()
	r.agent()
	r.life()
	r.every(10*ms, func() {
		if r.worker != nil {
			r.worker.Tick()
		}
	})
	r.every(20*ms, func() { r.hand.Tick(r.now, "h"); r.flow() })
	r.every(20*ms, func() { r.head.Tick(r.now, r.grace); r.flow() })
	r.every(1500*ms, func() {
		if r.worker != nil && !r.idle {
			r.hand.Beat(r.now, r.beat())
			r.flow()
		}
	})
	return r
}

// at has something done after a time.
func (r *rig) at(d time.Duration, do func()) {
	r.no++
	r.plan = append(r.plan, due{r.now.Add(d), r.no, do})
	sort.Slice(r.plan, func(i, k int) bool {
		a, b := r.plan[i], r.plan[k]
		return a.at < b.at || a.at == b.at && a.no < b.no
	})
}

func (r *rig) every(d time.Duration, do func()) {
	r.at(d, func() { do(); r.every(d, do) })
}

// pass lets time go by.
func (r *rig) pass(d time.Duration) {
	end := r.now.Add(d)
	for r.plan[0].at <= end {
		x := r.plan[0]
		r.plan = r.plan[1:]
		r.now = x.at
		x.do()
	}
	r.now = end
}

// lead has another leader take over; what the old one had proposed is gone.
func (r *rig) lead() {
	r.term++
	var outs []dispatch.Hold
	for l := range r.out {
		outs = append(outs, dispatch.Hold{Attempt: l, Shard: "s", Room: types.Resources{Cores: types.Core}})
	}
	sort.Slice(outs, func(i, k int) bool { return outs[i].Attempt.Less(outs[k].Attempt) })
	h := dispatch.NewScheduler(r.now, r.now, r.pace, "h", r.term, outs)
	h.Taken = func(e state.AttemptEnd) bool { _, ok := r.log[e.ID]; return ok || !r.out[e.ID] }
	h.Apart = func(types.Shard) bool { return false }
	h.Invoked = func(types.Shard) bool { return true }
	h.Doubts = func(types.Shard) []types.AttemptID { return nil }
	r.head = h
	clear(r.flight)
}

// agent starts an agent that knows nothing.
func (r *rig) agent() {
	r.agents++
	n := 0
	r.hand = dispatch.NewExecutor(r.now, r.pace, "w", "s", func() types.ID { n++; return types.ID(fmt.Sprintf("w%d.%d", r.agents, n)) })
}

// life starts a worker process.
func (r *rig) life() {
	r.lives++
	id := types.ID(fmt.Sprint("k", r.lives))
	r.seq = 0
	clear(r.runs)
	r.worker = sim.NewInvokedWorker(r.made, id, r.floor, r.rnd, func() types.MonoTime { return r.now }, func(h sim.HistoryEvent) {
		if r.worker == nil || types.ID(h.Who) != r.worker.ID {
			return
		}
		switch h.What {
		case sim.Started:
			r.runs[h.Attempt] = true
			r.began[h.Attempt]++
			if f, ok := r.log[h.Attempt]; ok {
				r.t.Errorf("%v starts, although the log has it as %s", h.Attempt, f)
			}
		case sim.Ended:
			delete(r.runs, h.Attempt)
			r.hows[h.Attempt] = h.How
		case sim.Noted:
			r.noted[h.Attempt] = true
			if f := r.log[h.Attempt]; h.How == wire.Done && f != state.OutcomeOK {
				r.t.Errorf("%v is noted as done, and the log has it as %q", h.Attempt, f)
			}
		}
	})
	r.worker.Lax = true
}

func (r *rig) die() {
	r.worker = nil
	clear(r.runs)
}

func (r *rig) beat() wire.WorkerBeat {
	r.seq++
	return wire.WorkerBeat{Life: r.worker.ID, To: "k", Seq: r.seq, Rack: "r", Kinds: r.made.Kinds, Room: r.made.Room, Clock: r.worker.Clock()}
}

// flow carries all that the two halves want sent and called.
func (r *rig) flow() {
	for more := true; more; {
		sends, ends := r.head.Out()
		r.propose(ends)
		from := r.hand.Out()
		more = len(sends)+len(from) > 0
		for _, s := range from {
			if u, ok := wire.Read[dispatch.Status](s.Message); ok && s.Message.Kind == wire.Status {
				r.shows = append(r.shows, u.Ends...)
			}
			if r.tap != nil {
				r.tap(s)
			}
			if !r.cut {
				r.head.Take(r.now, r.grace, s.Message)
			}
		}
		for _, s := range sends {
			if !r.cut {
				r.hand.Take(r.now, s.Message)
			}
		}
		for _, c := range r.hand.Calls() {
			more = true
			r.call(c)
		}
	}
}

func (r *rig) call(c wire.WorkerCall) {
	if r.spy != nil {
		r.spy(c)
	}
	hand, over := r.hand, false
	back := func(x wire.WorkerReply) {
		if !over && r.hand == hand {
			over = true
			x.No = c.No
			r.hand.Back(r.now, x)
			r.flow()
		}
	}
	mute := func(wire.WorkerReply) {}
	do := func(reply func(wire.WorkerReply)) {
		if r.worker == nil {
			return
		}
		r.worker.Do(c, reply)
	}
	r.at(c.Limit, func() { back(wire.WorkerReply{Result: wire.Silent}) })
	switch r.how(c) {
	case fine:
		r.at(ms, func() {
			do(func(x wire.WorkerReply) {
				d := ms
				if c.Kind == wire.Hold {
					d += r.slow
				}
				r.at(d, func() { back(x) })
			})
		})
	case unsaid:
		r.at(ms, func() { do(mute) })
	case late:
		r.at(r.lag(), func() { do(mute) })
	}
}

// propose puts ends into the log a little later; the first one of an attempt stands.
func (r *rig) propose(list []state.AttemptEnd) {
	for _, e := range list {
		if r.flight[e] {
			continue
		}
		r.flight[e] = true
		head := r.head
		r.at(time.Duration(5+r.rnd.Intn(40))*ms, func() {
			if r.head != head {
				return
			}
			delete(r.flight, e)
			if _, ok := r.log[e.ID]; !ok && r.out[e.ID] {
				r.commit(e)
			}
			r.head.Settle([]state.AttemptEnd{e})
			r.flow()
		})
	}
}

func (r *rig) commit(e state.AttemptEnd) {
	r.log[e.ID] = e.Outcome
	delete(r.out, e.ID)
	switch {
	case e.Outcome == state.OutcomeOK:
	case r.runs[e.ID]:
		r.t.Errorf("the log has %v as %s while it runs", e.ID, e.Outcome)
	case r.noted[e.ID] && r.hows[e.ID] == wire.Done:
		r.t.Errorf("the log has %v as %s after its good end was noted", e.ID, e.Outcome)
	}
}

// give has the leader give an attempt out.
func (r *rig) give(l types.AttemptID, work string) {
	r.out[l] = true
	r.head.Order("s", 0, "", dispatch.Job{Attempt: l, Kind: "x", Room: types.Resources{Cores: types.Core}, Work: []byte(work)})
	r.flow()
}

func attempt(job string, n int) types.AttemptID {
	return types.AttemptID{TaskID: types.TaskID{Job: types.JobID(job)}, Attempt: n}
}

// ready is a rig in which all have found each other healthy.
func ready(t *testing.T, seed int64) *rig { return paced(t, seed, dispatch.Defaults) }

func paced(t *testing.T, seed int64, pace dispatch.Timeouts) *rig {
	r := newRig(t, seed, pace)
	r.pass(pace.Loss + 1500*ms)
	if s := r.hand.View().State; s != dispatch.Healthy {
		t.Fatal("the agent is", s)
	}
	return r
}

// part is how the agent has an attempt: its part, and its outcome.
func (r *rig) part(l types.AttemptID) (string, state.Outcome) {
	for _, v := range r.hand.View().Attempts {
		if v.Attempt == l {
			return v.Part, v.Outcome
		}
	}
	return "", ""
}
