// Scheduler is the scheduler's half. A new one is made with each leadership; what
// runs it learns from the agents alone, and the log only tells it which attempts it
// must hear of before it may give their tasks out again.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type phase string

const (
	dim    phase = "unknown" // given out before this leadership, not told of yet
	sent   phase = "sent"
	sure   phase = "running"
	unsure phase = "unsure"
)

// WorkerEntry is one shard and the agent instance that has it.
type WorkerEntry struct {
	Shard types.Shard
	ID    types.ID
	Addr  types.Addr
	State Health
	Since types.MonoTime
	Report
	Goes  types.MonoTime // when its worker goes, if it said so
	Been  bool
	Good  types.MonoTime
	heard types.MonoTime
	stamp types.MonoTime
	seq   types.Seq
	asked types.MonoTime
	query types.MonoTime
	quest map[types.Seq][]types.AttemptID
	old   SetID
	ver   int
	ind   int
	join  int // the set that has it first
	left  int // the first that has it no more, or 0
	Worth Worth
	pace  float64 // log of how many times the usual its attempts take
	paced types.MonoTime
}

// Scheduler is the whole model.
type Scheduler struct {
	pace   Timeouts
	me     types.Addr
	term   types.Term
	born   types.MonoTime
	ruled  types.MonoTime // when an earlier leader can last have had authority
	now    types.MonoTime
	grace  time.Duration
	Wait   bool
	Why    string
	swept  types.MonoTime
	seats  map[types.Shard]*WorkerEntry
	order  []*WorkerEntry // the same, by shard
	past   map[types.ID]bool
	holds  holds
	sets   sets
	ends   []state.AttemptEnd
	norm   map[string]*usual
	stages map[stage]*times
	pruned types.MonoTime
	sends  []wire.Send
	// Doubts lists the attempts lost on a shard whose true ends are still awaited.
	Doubts func(types.Shard) []types.AttemptID
	// Apart tells whether a shard is silent together with its whole zone.
	Apart func(types.Shard) bool
	// Invoked tells whether a shard's worker is one that is called.
	Invoked func(types.Shard) bool
	// Taken tells whether the log already has an end, or has no use for it.
	Taken func(state.AttemptEnd) bool
}

// NewHead starts a leadership; outs are the attempts that the log has as given out,
// and ruled is when an earlier leader can last have had authority.
func NewScheduler(now, ruled types.MonoTime, pace Timeouts, me types.Addr, term types.Term, outs []Hold) *Scheduler {
	h := &Scheduler{pace: pace, me: me, term: term, born: now, ruled: min(now, ruled), now: now, Wait: true, seats: map[types.Shard]*WorkerEntry{},
		past: map[types.ID]bool{}, holds: newHolds(), sets: sets{groups: map[int][]*WorkerEntry{}}, norm: map[string]*usual{},
		stages: map[stage]*times{}, swept: now.Add(-sweep)}
	for _, o := range outs {
		o.Phase, o.At = dim, now
		h.holds.add(&o)
	}
	return h
}

func (sc *Scheduler) say(s *WorkerEntry, kind string, body any) {
	sc.sends = append(sc.sends, wire.Make(sc.me, s.Addr, kind, body))
}

func (sc *Scheduler) top(s *WorkerEntry) Top { return Top{sc.term, s.ID} }

// Out drains the step: what to send, and the ends to commit.
func (sc *Scheduler) Out() (sends []wire.Send, ends []state.AttemptEnd) {
	sends, ends = sc.sends, sc.ends
	sc.sends, sc.ends = nil, nil
	return
}

func (sc *Scheduler) onBeat(from types.Addr, b Heartbeat) {
	s := sc.seats[b.Shard]
	switch {
	case s == nil:
		s = sc.sit(from, b)
	case s.ID != b.ID && sc.past[b.ID]:
		sc.sends = append(sc.sends, wire.Make(sc.me, from, wire.Quit, Quit{Top{sc.term, b.ID}}))
		return
	case s.ID != b.ID && (s.State == MustDie || b.Past == s.ID || sc.follows(s, from)):
		sc.past[s.ID] = true
		if s.State != MustDie {
			sc.dim(s)
		}
		s = sc.sit(from, b)
	case s.ID != b.ID:
		return
	}
	s.heard = sc.now
	if s.State == MustDie {
		sc.say(s, wire.Quit, Quit{sc.top(s)})
		return
	}
	if b.Stamp <= s.stamp {
		return
	}
	s.Addr, s.stamp, s.Report = from, b.Stamp, b.Report
	s.Goes = sc.now.Add(time.Duration(b.LeaveMS)*time.Millisecond - sc.pace.Beat)
	if b.Healthy {
		s.Good = sc.now
	}
	if b.Set.Born == sc.term && b.Set.Ver > s.ver && b.Set.Ver <= sc.sets.ver {
		s.ver = b.Set.Ver
		sc.sets.lift(s)
	}
	for _, x := range b.Spans {
		if o := sc.holds.by[x.Attempt]; o != nil && o.Shard == b.Shard {
			sc.took(o, time.Duration(x.MS)*time.Millisecond, false)
		}
	}
	for _, x := range b.Saves {
		if o := sc.holds.by[x.Attempt]; o != nil {
			o.Ref = x.Ref
		}
	}
	if s.State == New {
		sc.ask(s)
	}
	sc.judge(s)
	sc.answer(s, b.Healthy)
}

// follows tells that another agent instance at a seat's own address has come after
// it: one process stands at an address. While the present one beats, the other's
// beat was only late.
func (sc *Scheduler) follows(s *WorkerEntry, from types.Addr) bool {
	return s.Addr == from && sc.now.Sub(s.heard) > 2*sc.pace.Beat
}

// answer renews the agent's grant, but only for a beat that told of a sound
// worker: the time to loss counts from the same beat.
func (sc *Scheduler) answer(s *WorkerEntry, healthy bool) {
	a := HeartbeatReply{Top: sc.top(s), Stamp: s.stamp, Known: s.State != New, Set: sc.set()}
	if healthy && s.State != New {
		a.Until = s.stamp.Add(min(sc.pace.Grant, sc.grace))
	}
	sc.say(s, wire.Beaten, a)
}

func (sc *Scheduler) sit(from types.Addr, b Heartbeat) *WorkerEntry {
	s := &WorkerEntry{Shard: b.Shard, ID: b.ID, Addr: from, State: New, Since: sc.now, Good: sc.now, old: b.Set, Worth: Worth{Slow: 1},
		asked: -1 << 62, stamp: -1 << 62, quest: map[types.Seq][]types.AttemptID{}}
	old := sc.seats[b.Shard]
	i, _ := slices.BinarySearchFunc(sc.order, b.Shard, func(x *WorkerEntry, k types.Shard) int { return cmp.Compare(x.Shard, k) })
	if old != nil {
		sc.order[i] = s
	} else {
		sc.order = slices.Insert(sc.order, i, s)
	}
	sc.seats[b.Shard] = s
	sc.sets.enter(s, old)
	return s
}

// dim makes a replaced agent's attempts unknown until its successor's account.
func (sc *Scheduler) dim(s *WorkerEntry) {
	for _, o := range sc.holds.of(s.Shard) {
		sc.holds.turn(o, dim)
	}
}

func (sc *Scheduler) ask(s *WorkerEntry) {
	if sc.now.Sub(s.asked) >= sc.pace.Again/3 {
		s.asked = sc.now
		sc.say(s, wire.AskRun, RunningTasksQuery{sc.top(s)})
	}
}

// mine finds the seat that an agent's message speaks for.
func (sc *Scheduler) mine(t types.Term, shard types.Shard, id types.ID) *WorkerEntry {
	if s := sc.seats[shard]; s != nil && s.ID == id && t == sc.term {
		return s
	}
	return nil
}

func (sc *Scheduler) onAccount(_ types.Addr, a RunningTasks) {
	s := sc.mine(a.Term, a.Shard, a.ID)
	if s == nil || s.State != New {
		return
	}
	told := map[types.AttemptID]bool{}
	for _, r := range a.Runs {
		told[r.Attempt] = true
		if o := sc.holds.by[r.Attempt]; o != nil && o.Shard == s.Shard {
			sc.holds.turn(o, sure)
		} else if o == nil {
			sc.holds.add(&Hold{Attempt: r.Attempt, Shard: s.Shard, Stage: -1, Room: r.Room, Phase: sure, At: sc.now})
		}
	}
	outcome := state.OutcomeLost
	if sc.Invoked(s.Shard) {
		outcome = state.OutcomeLeaseExpired
	}
	if a.Whole {
		outcome = state.OutcomeNeverRan
		sc.clear(s.Shard, told)
	}
	for _, o := range sc.holds.of(s.Shard) {
		if !told[o.Attempt] {
			sc.drop(o.Attempt, outcome)
		}
	}
	s.State, s.Since = Unhealthy, sc.now
	sc.judge(s)
	sc.answer(s, s.Healthy)
}

// clear ends the doubt about attempts that were lost on a shard and are not in its
// worker's own account: they did not end well and never will.
func (sc *Scheduler) clear(shard types.Shard, told map[types.AttemptID]bool) {
	for _, l := range sc.Doubts(shard) {
		if !told[l] {
			sc.drop(l, state.OutcomeNeverRan)
		}
	}
}

// gone is the outcome of an attempt whose worker is out of reach. One that is called
// has no lease any more by then, and what it did is not settled there.
func (sc *Scheduler) gone(shard types.Shard) state.Outcome {
	switch {
	case sc.Invoked(shard):
		return state.OutcomeLeaseExpired
	case sc.Apart(shard):
		return state.OutcomePartitioned
	}
	return state.OutcomeLost
}

// drop says that an attempt has ended; it is held until that is committed.
func (sc *Scheduler) drop(l types.AttemptID, f state.Outcome) {
	e := state.AttemptEnd{ID: l, Outcome: f}
	if o := sc.holds.by[l]; o != nil {
		e.Checkpoint = o.Ref
	}
	sc.ends = append(sc.ends, e)
}

// Settle forgets attempts whose end is committed and tells their agents.
func (sc *Scheduler) Settle(list []state.AttemptEnd) {
	by := map[types.Shard][]state.AttemptEnd{}
	for _, e := range list {
		if o := sc.holds.by[e.ID]; o != nil {
			sc.mark(o, e.Outcome)
			by[o.Shard] = append(by[o.Shard], e)
			sc.holds.drop(e.ID)
		}
	}
	for _, k := range sorted(by) {
		if s := sc.seats[k]; s != nil && s.State != MustDie {
			sc.say(s, wire.Settled, CommittedEnds{sc.top(s), by[k]})
		}
	}
}

// Order marks an attempt running and sends it, once.
func (sc *Scheduler) Order(shard types.Shard, at types.Stage, usual string, j Job) {
	o := &Hold{Attempt: j.Attempt, Shard: shard, Stage: at, Room: j.Room, Phase: sent, Usual: usual, Limit: time.Duration(j.Limit) * time.Millisecond, At: sc.now}
	sc.holds.add(o)
	s := sc.seats[shard]
	if s == nil || s.State != Healthy || s.Leaving || sc.grace <= 0 {
		sc.drop(j.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.say(s, wire.Order, Order{sc.top(s), s.seq, s.stamp.Add(min(sc.pace.Grant, sc.grace)), j})
}

func (sc *Scheduler) onOrdered(_ types.Addr, r OrderReply) {
	s, o := sc.mine(r.Term, r.Shard, r.ID), sc.holds.by[r.Attempt]
	if s == nil || o == nil || o.Shard != s.Shard || o.Phase == sure {
		return
	}
	if r.Why != "" {
		s.Healthy = false // until the next beat says otherwise
		sc.drop(r.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.holds.turn(o, sure)
}

func (sc *Scheduler) onQueried(_ types.Addr, q QueryReply) {
	s := sc.mine(q.Term, q.Shard, q.ID)
	if s == nil {
		return
	}
	for _, l := range s.quest[q.Seq] {
		if o := sc.holds.by[l]; o != nil && o.Phase == unsure {
			sc.holds.turn(o, sure)
		}
	}
	delete(s.quest, q.Seq)
}

// onStatus takes ends. Those already committed are settled at once; an attempt's
// number is used once, so an end counts whoever of the shard's agents tells it.
// Of an agent not known yet only what its worker did is taken, for the agent may
// not live until it is.
func (sc *Scheduler) onStatus(from types.Addr, u Status) {
	s := sc.seats[u.Shard]
	known := s != nil && (s.ID != u.ID || s.State != New)
	var done []state.AttemptEnd
	for _, e := range u.Ends {
		if !known && !e.Outcome.ReportedByWorker() {
			continue
		}
		if sc.Taken(e) {
			sc.holds.drop(e.ID)
			done = append(done, e)
		} else {
			sc.ends = append(sc.ends, e)
		}
	}
	if done != nil {
		sc.sends = append(sc.sends, wire.Make(sc.me, from, wire.Settled, CommittedEnds{Top{sc.term, u.ID}, done}))
	}
}

// WorkerEntry finds a shard's, or gives nil.
func (sc *Scheduler) Seat(shard types.Shard) *WorkerEntry { return sc.seats[shard] }

// Seats lists the seats in order; the list is the head's own.
func (sc *Scheduler) Seats() []*WorkerEntry { return sc.order }
