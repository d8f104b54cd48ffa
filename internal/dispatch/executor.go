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
	until   types.MonoTime
	from    types.MonoTime
	outcome state.Outcome
	over    bool // past its time limit: however it is stopped, it failed
	shown   bool
	settled bool
	ghost   bool // the worker runs it although it has ended here

	// of a worker that is called
	fence  uint64         // under which it was started
	asked  types.MonoTime // when its stop was last asked for
	sure   types.MonoTime // when the worker last said that it runs
	turned types.MonoTime // when the worker took its stop
	unsure bool           // its start had no clear answer
	n      uint64         // the number of its end
	ref    string         // what it has saved
	saved  types.MonoTime // when that last changed
	done   float64        // how far it is, in percent
	read   types.MonoTime // when that was told
	moved  types.MonoTime // when it last changed
	spoke  time.Duration  // how long it takes in all, as was told last
}

// Executor is one agent's half.
type Executor struct {
	pace  Timeouts
	me    types.Addr
	shard types.Shard
	id    types.ID
	mint  func() types.ID
	past  types.ID

	now      types.MonoTime
	boot     types.MonoTime
	term     types.Term
	lead     types.Addr
	state    Health
	since    types.MonoTime
	good     types.MonoTime
	until    types.MonoTime
	seq      types.Seq
	set      SetID
	beat     types.MonoTime
	status   types.MonoTime
	attempts map[types.AttemptID]*attempt
	order    []*attempt // the same, in order
	seen     map[types.AttemptID]types.MonoTime
	worker   types.ID
	told     bool
	call     uint64
	heard    types.MonoTime
	stamp    types.MonoTime
	given    types.MonoTime
	goes     types.MonoTime // when the worker goes, if it said so
	rep      Report
	news     bool
	caller   *Caller // of a worker that is called
	sends    []wire.Send
}

const never = types.MonoTime(-1 << 61)

// NewHand starts an agent that knows nothing of its worker yet.
func NewExecutor(now types.MonoTime, pace Timeouts, me types.Addr, shard types.Shard, mint func() types.ID) *Executor {
	return &Executor{pace: pace, me: me, shard: shard, id: mint(), mint: mint, now: now, boot: now, state: New, since: now,
		good: now, until: never, beat: never, status: never, heard: never, given: now,
		attempts: map[types.AttemptID]*attempt{}, seen: map[types.AttemptID]types.MonoTime{}}
}

// put takes an attempt into the account, forget out of it.
func (ex *Executor) put(l *attempt) {
	if ex.attempts[l.job.Attempt] == nil {
		i, _ := slices.BinarySearchFunc(ex.order, l, byAttempt)
		ex.order = slices.Insert(ex.order, i, l)
	}
	ex.attempts[l.job.Attempt] = l
}

func (ex *Executor) forget(k types.AttemptID) {
	if l := ex.attempts[k]; l != nil {
		i, _ := slices.BinarySearchFunc(ex.order, l, byAttempt)
		ex.order = slices.Delete(ex.order, i, i+1)
		delete(ex.attempts, k)
	}
}

func byAttempt(a, b *attempt) int { return a.job.Attempt.Compare(b.job.Attempt) }

// sorted lists the attempts in order; the list is a copy.
func (ex *Executor) sorted() []*attempt { return slices.Clone(ex.order) }

func (ex *Executor) say(to types.Addr, kind string, body any) {
	ex.sends = append(ex.sends, wire.Make(ex.me, to, kind, body))
}

func (ex *Executor) turn(s Health) {
	if ex.state != s {
		ex.state, ex.since = s, ex.now
	}
}

// finish ends an attempt in the account and has it told. Lost is not the last word:
// the attempt stays until the worker is heard again and says what became of it.
func (ex *Executor) finish(l *attempt, f state.Outcome) {
	if l.over && f != state.OutcomeOK {
		f = state.OutcomeFailed
	}
	l.part, l.outcome, l.settled, l.unsure, ex.status = ended, f, false, false, never
}

// halt has an attempt stopped. One that the worker was never shown ends at once.
func (ex *Executor) halt(l *attempt) {
	switch {
	case l.part == waiting && !l.shown:
		ex.finish(l, state.OutcomeNeverRan)
	case l.part == waiting || l.part == going:
		l.part, ex.news = halting, true
	}
}

// Tick lets time pass; lead is whom the roster holds for the leader.
func (ex *Executor) Tick(now types.MonoTime, lead types.Addr) {
	if lead != ex.lead {
		ex.beat = never // it is told at once who is here
	}
	ex.now, ex.lead = now, lead
	was := ex.rep.Healthy
	if ex.caller != nil {
		ex.rep.Healthy = ex.told && !ex.quiet()
	} else {
		ex.rep.Healthy = ex.told && now.Sub(ex.heard) < ex.pace.Ill*6/10
	}
	if was != ex.rep.Healthy {
		ex.beat = never
	}
	quiet := now.Sub(ex.good)
	switch {
	case ex.state == MustDie:
		ex.rise()
	case ex.state == New:
	case quiet > ex.pace.Loss:
		ex.turn(MustDie)
	case quiet > ex.pace.Ill:
		ex.turn(Unhealthy)
	default:
		ex.turn(Healthy)
	}
	if now >= ex.until && !ex.anew() || ex.state == MustDie {
		for _, l := range ex.sorted() {
			ex.halt(l)
		}
	}
	for _, l := range ex.sorted() {
		if l.part == going && l.job.Limit > 0 && now.Sub(l.from) > time.Duration(l.job.Limit)*time.Millisecond {
			l.over = true
			ex.halt(l)
		}
		if l.part == ended || !ex.told {
			continue
		}
		switch {
		case ex.caller == nil && ex.lapsed():
			ex.finish(l, state.OutcomeLost)
		case ex.caller != nil && ex.expired():
			ex.caller.Sums.Lapsed++
			ex.finish(l, state.OutcomeLeaseExpired)
		}
	}
	for l, by := range ex.seen {
		if now > by {
			delete(ex.seen, l)
		}
	}
	ex.line()
	ex.pulse()
}

// anew is true for an agent that starts anew beside a worker that is called, until
// its first grant: what it finds there runs under a lease of the one before it,
// and may run on under its own.
func (ex *Executor) anew() bool {
	return ex.caller != nil && ex.until == never && ex.now.Sub(ex.boot) <= ex.pace.Loss
}

// rise comes back as a new instance once nothing can be running any more.
func (ex *Executor) rise() {
	for _, l := range ex.attempts {
		if l.part != ended {
			return
		}
	}
	ex.id, ex.past, ex.set, ex.seq = ex.mint(), "", SetID{}, 0
	ex.good, ex.until, ex.beat = ex.now, never, never
	ex.turn(New)
}

func (ex *Executor) pulse() {
	if ex.lead == "" {
		return
	}
	if l := ex.lacks(); l != ex.rep.Lacks {
		ex.rep.Lacks, ex.beat = l, never
	}
	if ex.now.Sub(ex.beat) >= ex.pace.Beat && ex.ready() {
		ex.beat = ex.now
		if ex.rep.LeaveMS > 0 {
			ex.rep.LeaveMS = max(1, ex.goes.Sub(ex.now).Milliseconds())
		}
		ex.say(ex.lead, wire.Beat, Heartbeat{ex.shard, ex.id, ex.past, ex.now, ex.set, ex.rep, ex.saves(), ex.spans()})
	}
	if ex.now.Sub(ex.status) < ex.pace.Again {
		return
	}
	var list []state.AttemptEnd
	for _, l := range ex.sorted() {
		if l.part == ended && !l.settled && len(list) < 500 {
			list = append(list, state.AttemptEnd{ID: l.job.Attempt, Outcome: l.outcome, Checkpoint: l.ref})
		}
	}
	if list != nil {
		ex.status = ex.now
		ex.say(ex.lead, wire.Status, Status{ex.shard, ex.id, list})
	}
}

// ready is false while the agent can't tell what runs: its worker has not
// called yet and could still hold a grant of an earlier agent.
func (ex *Executor) ready() bool { return ex.told || ex.now.Sub(ex.boot) > ex.pace.Loss }

// Out drains what there is to send.
func (ex *Executor) Out() []wire.Send {
	s := ex.sends
	ex.sends = nil
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
	Attempt types.AttemptID `json:"leg"`
	Part    string          `json:"part"`
	Outcome state.Outcome   `json:"fate,omitempty"`
}

func (ex *Executor) View() View {
	v := View{Shard: ex.shard, ID: ex.id, Term: ex.term, State: ex.state, ForMS: ex.now.Sub(ex.since).Milliseconds(),
		Report: ex.rep, Worker: ex.worker, Lease: ex.Lease(), Attempts: []AttemptView{}}
	v.Grant = max(0, ex.until.Sub(ex.now).Milliseconds())
	for _, l := range ex.sorted() {
		v.Attempts = append(v.Attempts, AttemptView{l.job.Attempt, string(l.part), l.outcome})
	}
	return v
}
