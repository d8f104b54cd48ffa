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
	Since types.Stamp
	Report
	Goes  types.Stamp // when its worker goes, if it said so
	Been  bool
	Good  types.Stamp
	heard types.Stamp
	stamp types.Stamp
	seq   types.Seq
	asked types.Stamp
	query types.Stamp
	quest map[types.Seq][]types.Attempt
	old   SetID
	ver   int
	ind   int
	join  int // the set that has it first
	left  int // the first that has it no more, or 0
	Worth Worth
	pace  float64 // log of how many times the usual its attempts take
	paced types.Stamp
}

// Scheduler is the whole model.
type Scheduler struct {
	pace   Timeouts
	me     types.Addr
	term   types.Term
	born   types.Stamp
	ruled  types.Stamp // when an earlier leader can last have had authority
	now    types.Stamp
	grace  time.Duration
	Wait   bool
	Why    string
	swept  types.Stamp
	seats  map[types.Shard]*WorkerEntry
	order  []*WorkerEntry // the same, by shard
	past   map[types.ID]bool
	holds  holds
	sets   sets
	ends   []state.End
	norm   map[string]*usual
	stages map[stage]*times
	pruned types.Stamp
	sends  []wire.Send
	// Doubts lists the attempts lost on a shard whose true ends are still awaited.
	Doubts func(types.Shard) []types.Attempt
	// Apart tells whether a shard is silent together with its whole zone.
	Apart func(types.Shard) bool
	// Invoked tells whether a shard's worker is one that is called.
	Invoked func(types.Shard) bool
	// Taken tells whether the log already has an end, or has no use for it.
	Taken func(state.End) bool
}

// NewHead starts a leadership; outs are the attempts that the log has as given out,
// and ruled is when an earlier leader can last have had authority.
func NewScheduler(now, ruled types.Stamp, pace Timeouts, me types.Addr, term types.Term, outs []Hold) *Scheduler {
	h := &Scheduler{pace: pace, me: me, term: term, born: now, ruled: min(now, ruled), now: now, Wait: true, seats: map[types.Shard]*WorkerEntry{},
		past: map[types.ID]bool{}, holds: newHolds(), sets: sets{groups: map[int][]*WorkerEntry{}}, norm: map[string]*usual{},
		stages: map[stage]*times{}, swept: now.Add(-sweep)}
	for _, o := range outs {
		o.Phase, o.At = dim, now
		h.holds.add(&o)
	}
	return h
}

func (h *Scheduler) say(s *WorkerEntry, kind string, body any) {
	h.sends = append(h.sends, wire.Make(h.me, s.Addr, kind, body))
}

func (h *Scheduler) top(s *WorkerEntry) Top { return Top{h.term, s.ID} }

// Out drains the step: what to send, and the ends to commit.
func (h *Scheduler) Out() (sends []wire.Send, ends []state.End) {
	sends, ends = h.sends, h.ends
	h.sends, h.ends = nil, nil
	return
}

func (h *Scheduler) onBeat(from types.Addr, b Heartbeat) {
	s := h.seats[b.Shard]
	switch {
	case s == nil:
		s = h.sit(from, b)
	case s.ID != b.ID && h.past[b.ID]:
		h.sends = append(h.sends, wire.Make(h.me, from, wire.Quit, Quit{Top{h.term, b.ID}}))
		return
	case s.ID != b.ID && (s.State == MustDie || b.Past == s.ID || h.follows(s, from)):
		h.past[s.ID] = true
		if s.State != MustDie {
			h.dim(s)
		}
		s = h.sit(from, b)
	case s.ID != b.ID:
		return
	}
	s.heard = h.now
	if s.State == MustDie {
		h.say(s, wire.Quit, Quit{h.top(s)})
		return
	}
	if b.Stamp <= s.stamp {
		return
	}
	s.Addr, s.stamp, s.Report = from, b.Stamp, b.Report
	s.Goes = h.now.Add(time.Duration(b.LeaveMS)*time.Millisecond - h.pace.Beat)
	if b.Healthy {
		s.Good = h.now
	}
	if b.Set.Born == h.term && b.Set.Ver > s.ver && b.Set.Ver <= h.sets.ver {
		s.ver = b.Set.Ver
		h.sets.lift(s)
	}
	for _, x := range b.Spans {
		if o := h.holds.by[x.Attempt]; o != nil && o.Shard == b.Shard {
			h.took(o, time.Duration(x.MS)*time.Millisecond, false)
		}
	}
	for _, x := range b.Saves {
		if o := h.holds.by[x.Attempt]; o != nil {
			o.Ref = x.Ref
		}
	}
	if s.State == New {
		h.ask(s)
	}
	h.judge(s)
	h.answer(s, b.Healthy)
}

// follows tells that another agent instance at a seat's own address has come after
// it: one process stands at an address. While the present one beats, the other's
// beat was only late.
func (h *Scheduler) follows(s *WorkerEntry, from types.Addr) bool {
	return s.Addr == from && h.now.Sub(s.heard) > 2*h.pace.Beat
}

// answer renews the agent's grant, but only for a beat that told of a sound
// worker: the time to loss counts from the same beat.
func (h *Scheduler) answer(s *WorkerEntry, healthy bool) {
	a := HeartbeatReply{Top: h.top(s), Stamp: s.stamp, Known: s.State != New, Set: h.set()}
	if healthy && s.State != New {
		a.Until = s.stamp.Add(min(h.pace.Grant, h.grace))
	}
	h.say(s, wire.Beaten, a)
}

func (h *Scheduler) sit(from types.Addr, b Heartbeat) *WorkerEntry {
	s := &WorkerEntry{Shard: b.Shard, ID: b.ID, Addr: from, State: New, Since: h.now, Good: h.now, old: b.Set, Worth: Worth{Slow: 1},
		asked: -1 << 62, stamp: -1 << 62, quest: map[types.Seq][]types.Attempt{}}
	old := h.seats[b.Shard]
	i, _ := slices.BinarySearchFunc(h.order, b.Shard, func(x *WorkerEntry, k types.Shard) int { return cmp.Compare(x.Shard, k) })
	if old != nil {
		h.order[i] = s
	} else {
		h.order = slices.Insert(h.order, i, s)
	}
	h.seats[b.Shard] = s
	h.sets.enter(s, old)
	return s
}

// dim makes a replaced agent's attempts unknown until its successor's account.
func (h *Scheduler) dim(s *WorkerEntry) {
	for _, o := range h.holds.of(s.Shard) {
		h.holds.turn(o, dim)
	}
}

func (h *Scheduler) ask(s *WorkerEntry) {
	if h.now.Sub(s.asked) >= h.pace.Again/3 {
		s.asked = h.now
		h.say(s, wire.AskRun, RunningTasksQuery{h.top(s)})
	}
}

// mine finds the seat that an agent's message speaks for.
func (h *Scheduler) mine(t types.Term, shard types.Shard, id types.ID) *WorkerEntry {
	if s := h.seats[shard]; s != nil && s.ID == id && t == h.term {
		return s
	}
	return nil
}

func (h *Scheduler) onAccount(_ types.Addr, a RunningTasks) {
	s := h.mine(a.Term, a.Shard, a.ID)
	if s == nil || s.State != New {
		return
	}
	told := map[types.Attempt]bool{}
	for _, r := range a.Runs {
		told[r.Attempt] = true
		if o := h.holds.by[r.Attempt]; o != nil && o.Shard == s.Shard {
			h.holds.turn(o, sure)
		} else if o == nil {
			h.holds.add(&Hold{Attempt: r.Attempt, Shard: s.Shard, Stage: -1, Room: r.Room, Phase: sure, At: h.now})
		}
	}
	outcome := state.Lost
	if h.Invoked(s.Shard) {
		outcome = state.Lapsed
	}
	if a.Whole {
		outcome = state.Unrun
		h.clear(s.Shard, told)
	}
	for _, o := range h.holds.of(s.Shard) {
		if !told[o.Attempt] {
			h.drop(o.Attempt, outcome)
		}
	}
	s.State, s.Since = Unhealthy, h.now
	h.judge(s)
	h.answer(s, s.Healthy)
}

// clear ends the doubt about attempts that were lost on a shard and are not in its
// worker's own account: they did not end well and never will.
func (h *Scheduler) clear(shard types.Shard, told map[types.Attempt]bool) {
	for _, l := range h.Doubts(shard) {
		if !told[l] {
			h.drop(l, state.Unrun)
		}
	}
}

// gone is the outcome of an attempt whose worker is out of reach. One that is called
// has no lease any more by then, and what it did is not settled there.
func (h *Scheduler) gone(shard types.Shard) state.Outcome {
	switch {
	case h.Invoked(shard):
		return state.Lapsed
	case h.Apart(shard):
		return state.Cut
	}
	return state.Lost
}

// drop says that an attempt has ended; it is held until that is committed.
func (h *Scheduler) drop(l types.Attempt, f state.Outcome) {
	e := state.End{Attempt: l, Outcome: f}
	if o := h.holds.by[l]; o != nil {
		e.Ref = o.Ref
	}
	h.ends = append(h.ends, e)
}

// Settle forgets attempts whose end is committed and tells their agents.
func (h *Scheduler) Settle(list []state.End) {
	by := map[types.Shard][]state.End{}
	for _, e := range list {
		if o := h.holds.by[e.Attempt]; o != nil {
			h.mark(o, e.Outcome)
			by[o.Shard] = append(by[o.Shard], e)
			h.holds.drop(e.Attempt)
		}
	}
	for _, k := range sorted(by) {
		if s := h.seats[k]; s != nil && s.State != MustDie {
			h.say(s, wire.Settled, CommittedEnds{h.top(s), by[k]})
		}
	}
}

// Order marks an attempt running and sends it, once.
func (h *Scheduler) Order(shard types.Shard, at types.Stage, usual string, j Job) {
	o := &Hold{Attempt: j.Attempt, Shard: shard, Stage: at, Room: j.Room, Phase: sent, Usual: usual, Limit: time.Duration(j.Limit) * time.Millisecond, At: h.now}
	h.holds.add(o)
	s := h.seats[shard]
	if s == nil || s.State != Healthy || s.Leaving || h.grace <= 0 {
		h.drop(j.Attempt, state.Unrun)
		return
	}
	h.say(s, wire.Order, Order{h.top(s), s.seq, s.stamp.Add(min(h.pace.Grant, h.grace)), j})
}

func (h *Scheduler) onOrdered(_ types.Addr, r OrderReply) {
	s, o := h.mine(r.Term, r.Shard, r.ID), h.holds.by[r.Attempt]
	if s == nil || o == nil || o.Shard != s.Shard || o.Phase == sure {
		return
	}
	if r.Why != "" {
		s.Healthy = false // until the next beat says otherwise
		h.drop(r.Attempt, state.Unrun)
		return
	}
	h.holds.turn(o, sure)
}

func (h *Scheduler) onQueried(_ types.Addr, q QueryReply) {
	s := h.mine(q.Term, q.Shard, q.ID)
	if s == nil {
		return
	}
	for _, l := range s.quest[q.Seq] {
		if o := h.holds.by[l]; o != nil && o.Phase == unsure {
			h.holds.turn(o, sure)
		}
	}
	delete(s.quest, q.Seq)
}

// onStatus takes ends. Those already committed are settled at once; an attempt's
// number is used once, so an end counts whoever of the shard's agents tells it.
// Of an agent not known yet only what its worker did is taken, for the agent may
// not live until it is.
func (h *Scheduler) onStatus(from types.Addr, u Status) {
	s := h.seats[u.Shard]
	known := s != nil && (s.ID != u.ID || s.State != New)
	var done []state.End
	for _, e := range u.Ends {
		if !known && !e.Outcome.IsFact() {
			continue
		}
		if h.Taken(e) {
			h.holds.drop(e.Attempt)
			done = append(done, e)
		} else {
			h.ends = append(h.ends, e)
		}
	}
	if done != nil {
		h.sends = append(h.sends, wire.Make(h.me, from, wire.Settled, CommittedEnds{Top{h.term, u.ID}, done}))
	}
}

// WorkerEntry finds a shard's, or gives nil.
func (h *Scheduler) Seat(shard types.Shard) *WorkerEntry { return h.seats[shard] }

// Seats lists the seats in order; the list is the head's own.
func (h *Scheduler) Seats() []*WorkerEntry { return h.order }
