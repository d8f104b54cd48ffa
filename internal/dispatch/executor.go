// Executor is the half beside each worker. It holds the one true account of what
// runs there: an attempt is in it from its order until its end is settled.
package dispatch

import (
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type part string

const (
	waiting part = "waiting" // ordered, not yet taken up by the worker
	going   part = "running"
	halting part = "stopping"
	ended   part = "ended"
)

type attempt struct {
	job     Job
	part    part
	until   types.Stamp
	from    types.Stamp
	outcome state.Outcome
	over    bool // past its time limit: however it is stopped, it failed
	shown   bool
	settled bool
	ghost   bool // the worker runs it although it has ended here

	// of a worker that is called
	fence  uint64        // under which it was started
	asked  types.Stamp   // when its stop was last asked for
	sure   types.Stamp   // when the worker last said that it runs
	turned types.Stamp   // when the worker took its stop
	unsure bool          // its start had no clear answer
	n      uint64        // the number of its end
	ref    string        // what it has saved
	saved  types.Stamp   // when that last changed
	done   float64       // how far it is, in percent
	read   types.Stamp   // when that was told
	moved  types.Stamp   // when it last changed
	spoke  time.Duration // how long it takes in all, as was told last
}

// Executor is one agent's half.
type Executor struct {
	pace  Timeouts
	me    types.Addr
	shard types.Shard
	id    types.ID
	mint  func() types.ID
	past  types.ID

	now      types.Stamp
	boot     types.Stamp
	term     types.Term
	lead     types.Addr
	state    Health
	since    types.Stamp
	good     types.Stamp
	until    types.Stamp
	seq      types.Seq
	set      SetID
	beat     types.Stamp
	status   types.Stamp
	attempts map[types.Attempt]*attempt
	order    []*attempt // the same, in order
	seen     map[types.Attempt]types.Stamp
	worker   types.ID
	told     bool
	call     uint64
	heard    types.Stamp
	stamp    types.Stamp
	given    types.Stamp
	goes     types.Stamp // when the worker goes, if it said so
	rep      Report
	news     bool
	caller   *Caller // of a worker that is called
	sends    []wire.Send
}

const never = types.Stamp(-1 << 61)

// NewHand starts an agent that knows nothing of its worker yet.
func NewExecutor(now types.Stamp, pace Timeouts, me types.Addr, shard types.Shard, mint func() types.ID) *Executor {
	return &Executor{pace: pace, me: me, shard: shard, id: mint(), mint: mint, now: now, boot: now, state: New, since: now,
		good: now, until: never, beat: never, status: never, heard: never, given: now,
		attempts: map[types.Attempt]*attempt{}, seen: map[types.Attempt]types.Stamp{}}
}

// put takes an attempt into the account, forget out of it.
func (h *Executor) put(l *attempt) {
	if h.attempts[l.job.Attempt] == nil {
		i, _ := slices.BinarySearchFunc(h.order, l, byAttempt)
		h.order = slices.Insert(h.order, i, l)
	}
	h.attempts[l.job.Attempt] = l
}

func (h *Executor) forget(k types.Attempt) {
	if l := h.attempts[k]; l != nil {
		i, _ := slices.BinarySearchFunc(h.order, l, byAttempt)
		h.order = slices.Delete(h.order, i, i+1)
		delete(h.attempts, k)
	}
}

func byAttempt(a, b *attempt) int { return a.job.Attempt.Compare(b.job.Attempt) }

// sorted lists the attempts in order; the list is a copy.
func (h *Executor) sorted() []*attempt { return slices.Clone(h.order) }

func (h *Executor) say(to types.Addr, kind string, body any) {
	h.sends = append(h.sends, wire.Make(h.me, to, kind, body))
}

func (h *Executor) turn(s Health) {
	if h.state != s {
		h.state, h.since = s, h.now
	}
}

// finish ends an attempt in the account and has it told. Lost is not the last word:
// the attempt stays until the worker is heard again and says what became of it.
func (h *Executor) finish(l *attempt, f state.Outcome) {
	if l.over && f != state.OK {
		f = state.Bad
	}
	l.part, l.outcome, l.settled, l.unsure, h.status = ended, f, false, false, never
}

// halt has an attempt stopped. One that the worker was never shown ends at once.
func (h *Executor) halt(l *attempt) {
	switch {
	case l.part == waiting && !l.shown:
		h.finish(l, state.Unrun)
	case l.part == waiting || l.part == going:
		l.part, h.news = halting, true
	}
}

// Tick lets time pass; lead is whom the roster holds for the leader.
func (h *Executor) Tick(now types.Stamp, lead types.Addr) {
	if lead != h.lead {
		h.beat = never // it is told at once who is here
	}
	h.now, h.lead = now, lead
	was := h.rep.Healthy
	if h.caller != nil {
		h.rep.Healthy = h.told && !h.quiet()
	} else {
		h.rep.Healthy = h.told && now.Sub(h.heard) < h.pace.Ill*6/10
	}
	if was != h.rep.Healthy {
		h.beat = never
	}
	quiet := now.Sub(h.good)
	switch {
	case h.state == MustDie:
		h.rise()
	case h.state == New:
	case quiet > h.pace.Loss:
		h.turn(MustDie)
	case quiet > h.pace.Ill:
		h.turn(Unhealthy)
	default:
		h.turn(Healthy)
	}
	if now >= h.until && !h.anew() || h.state == MustDie {
		for _, l := range h.sorted() {
			h.halt(l)
		}
	}
	for _, l := range h.sorted() {
		if l.part == going && l.job.Limit > 0 && now.Sub(l.from) > time.Duration(l.job.Limit)*time.Millisecond {
			l.over = true
			h.halt(l)
		}
		if l.part == ended || !h.told {
			continue
		}
		switch {
		case h.caller == nil && h.lapsed():
			h.finish(l, state.Lost)
		case h.caller != nil && h.expired():
			h.caller.Sums.Lapsed++
			h.finish(l, state.Lapsed)
		}
	}
	for l, by := range h.seen {
		if now > by {
			delete(h.seen, l)
		}
	}
	h.line()
	h.pulse()
}

// anew is true for an agent that starts anew beside a worker that is called, until
// its first grant: what it finds there runs under a lease of the one before it,
// and may run on under its own.
func (h *Executor) anew() bool {
	return h.caller != nil && h.until == never && h.now.Sub(h.boot) <= h.pace.Loss
}

// rise comes back as a new instance once nothing can be running any more.
func (h *Executor) rise() {
	for _, l := range h.attempts {
		if l.part != ended {
			return
		}
	}
	h.id, h.past, h.set, h.seq = h.mint(), "", SetID{}, 0
	h.good, h.until, h.beat = h.now, never, never
	h.turn(New)
}

func (h *Executor) pulse() {
	if h.lead == "" {
		return
	}
	if l := h.lacks(); l != h.rep.Lacks {
		h.rep.Lacks, h.beat = l, never
	}
	if h.now.Sub(h.beat) >= h.pace.Beat && h.ready() {
		h.beat = h.now
		if h.rep.LeaveMS > 0 {
			h.rep.LeaveMS = max(1, h.goes.Sub(h.now).Milliseconds())
		}
		h.say(h.lead, wire.Beat, Heartbeat{h.shard, h.id, h.past, h.now, h.set, h.rep, h.saves(), h.spans()})
	}
	if h.now.Sub(h.status) < h.pace.Again {
		return
	}
	var list []state.End
	for _, l := range h.sorted() {
		if l.part == ended && !l.settled && len(list) < 500 {
			list = append(list, state.End{Attempt: l.job.Attempt, Outcome: l.outcome, Ref: l.ref})
		}
	}
	if list != nil {
		h.status = h.now
		h.say(h.lead, wire.Status, Status{h.shard, h.id, list})
	}
}

// ready is false while the agent can't tell what runs: its worker has not
// called yet and could still hold a grant of an earlier agent.
func (h *Executor) ready() bool { return h.told || h.now.Sub(h.boot) > h.pace.Loss }

// Out drains what there is to send.
func (h *Executor) Out() []wire.Send {
	s := h.sends
	h.sends = nil
	return s
}

// View is the account as the agent's own status page shows it.
type View struct {
	Shard types.Shard `json:"shard"`
	ID    types.ID    `json:"instance"`
	Term  types.Term  `json:"term"`
	State Health      `json:"state"`
	ForMS int64       `json:"for_ms"`
	Report
	Grant    int64         `json:"grant_left_ms"`
	Worker   types.ID      `json:"worker"`
	Lease    *Lease        `json:"lease,omitempty"`
	Attempts []AttemptView `json:"legs"`
}

type AttemptView struct {
	Attempt types.Attempt `json:"leg"`
	Part    string        `json:"part"`
	Outcome state.Outcome `json:"fate,omitempty"`
}

func (h *Executor) View() View {
	v := View{Shard: h.shard, ID: h.id, Term: h.term, State: h.state, ForMS: h.now.Sub(h.since).Milliseconds(),
		Report: h.rep, Worker: h.worker, Lease: h.Lease(), Attempts: []AttemptView{}}
	v.Grant = max(0, h.until.Sub(h.now).Milliseconds())
	for _, l := range h.sorted() {
		v.Attempts = append(v.Attempts, AttemptView{l.job.Attempt, string(l.part), l.outcome})
	}
	return v
}
