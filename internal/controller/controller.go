// Package controller is the control and scheduler daemon as one state machine: the
// replicated log, the state it makes, and, on the leader, the dispatcher. This
// file is the step itself; calls.go answers callers, plan.go places work.
package controller

import (
	"encoding/json"
	"maps"
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/configwatch"
	"coppercourse/internal/dispatch"
	"coppercourse/internal/membership"
	"coppercourse/internal/placement"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Place is where and as what a controller runs.
type Place struct {
	Addr  types.Addr
	Zone  types.Zone
	Seeds []types.Addr
	Begin raft.Origin
	Loses int // voters that may be lost at once, disk and all
	Issue string
	Core  raft.Pace
	Truth dispatch.Pace
	Every types.Index // entries between two snapshots at least; 0 is Every
}

type waiter struct {
	from  types.Addr
	id    uint64
	token uint64 // of a request that came here itself, not by way of a gateway
	term  types.Term
}

// Controller is one control daemon.
type Controller struct {
	place   Place
	now     types.Now
	core    *raft.Core
	roster  *membership.Roster
	state   *state.State
	done    types.Index
	head    *dispatch.Head
	desk    *configwatch.Desk
	Trail   *trace.Ring
	waits   map[types.Index]waiter
	ahead   map[types.JobID]types.Index // of the latest ends on their way into the log
	reads   []reader
	flight  map[state.End]bool
	freed   map[types.Attempt]bool // of those, what surely runs no more
	giving  types.Index
	given   map[types.Task]state.Give // on their way into the log, or just there
	rounds  []types.Index             // of them
	shaped  types.Index
	timed   types.Stamp
	since   types.Index // the entry of the latest snapshot, or of the one under way
	shot    int         // bytes of the latest snapshot
	drain   bool
	late    types.Stamp
	moved   bool // something was applied, or time passed, since work was last placed
	rates   map[types.Queue]*rate
	works   map[types.Queue]float64 // mean work of a queue\'s jobs
	habits  map[types.Queue]*habit
	courses map[types.JobID][]course // of jobs that are not over
	tasks   map[types.Queue]float64  // mean seconds of a queue's tasks
	peaks   map[types.Queue]float64  // cores that a queue lately had in use at once
	peaked  types.Stamp
	early   []early
	kept    *placement.Reserve // workers kept for work that was passed over
	waited  map[placement.Part]types.Stamp
	moves   types.Stamp // when something was last displaced
	sends   []wire.Send
	answers []wire.Answer
	Sums    Sums
}

// Sums are counters since start.
type Sums struct {
	Steps, Applied, Calls, Refused, Orders, Ends, Elected, Lost uint64
}

// Every is how many entries the log grows at least before it is put together,
// and it must have grown to a good part of what it would be put together to, so
// that the file is not rewritten more often than it is worth. Slice is about
// how many bytes of a snapshot one step writes out.
const (
	Every = 4096
	Far   = 50_000
	slice = 64 << 10
)

// New starts a controller from the records of its disk.
func New(now types.Now, rnd *rand.Rand, p Place, recs [][]byte) *Controller {
	me := raft.Member{Addr: p.Addr, Zone: p.Zone}
	h := &Controller{place: p, now: now, core: raft.New(now, p.Core, rnd, me, p.Begin, recs, types.Mint(rnd)),
		waits: map[types.Index]waiter{}, ahead: map[types.JobID]types.Index{}, flight: map[state.End]bool{}, freed: map[types.Attempt]bool{},
		given: map[types.Task]state.Give{}, rates: map[types.Queue]*rate{}, works: map[types.Queue]float64{}, peaks: map[types.Queue]float64{},
		tasks: map[types.Queue]float64{}, habits: map[types.Queue]*habit{}, courses: map[types.JobID][]course{}, Trail: trace.New()}
	h.roster = membership.New(rnd, h.card(), p.Seeds)
	h.desk = configwatch.NewDesk(p.Addr)
	h.load()
	return h
}

func (h *Controller) load() {
	s := h.core.State()
	st, err := state.Restore(s.Parts)
	if err != nil {
		panic(err)
	}
	h.state, h.done, h.since = st, s.Index, s.Index
	h.shot = 0
	for _, b := range s.Parts {
		h.shot += len(b)
	}
	h.core.Wind(st.Tick)
}

func (h *Controller) card() membership.Card {
	return membership.Card{Addr: h.place.Addr, ID: h.core.ID(), Role: "controller", Zone: h.place.Zone, Name: h.core.Name(),
		Term: h.core.Term(), Leads: h.core.Leads() && !h.drain, Part: h.core.Role(), Ready: h.Ready(), Issue: h.place.Issue}
}

// Ready tells whether the platform may send callers here: a controller that knows a
// leader of now, or is it.
func (h *Controller) Ready() bool {
	return !h.drain && h.core.Name() != "" && (h.core.Leads() && h.core.Firm() || !h.core.Leads() && h.core.Leader() != "")
}

// Step takes one event.
func (h *Controller) Step(e wire.Event) wire.Out {
	h.now = e.Now
	h.Sums.Steps++
	switch {
	case e.Message != nil:
		h.take(*e.Message)
	case e.Ask != nil:
		h.ask(waiter{token: e.Ask.Token}, wire.CallBody{Verb: e.Ask.Verb, Arg: e.Ask.Arg, Body: e.Ask.Body})
	case e.Synced > 0:
		h.core.Synced(e.Now, e.Synced)
	case e.Close:
		h.close()
	default:
		h.tick()
	}
	h.catch()
	h.lead()
	var out wire.Out
	h.shoot()
	h.roster.Me(h.card())
	out.Sends, out.Batch, out.Seq, out.Whole = h.core.Out()
	out.Sends = append(append(out.Sends, h.sends...), h.roster.Out()...)
	out.Answers = h.answers
	h.sends, h.answers = nil, nil
	out.Idle = h.drain && (!h.core.Leads() || h.now.Mono >= h.late) && len(h.waits) == 0
	return out
}

// shoot puts the log together, a little a step.
func (h *Controller) shoot() {
	if !h.state.Shooting() {
		n := h.done - h.since
		every := h.place.Every
		if every == 0 {
			every = Every
		}
		if n <= every || h.core.Grown() < h.shot/2 && n < Far {
			return
		}
		h.since = h.done
		h.state.Begin()
	}
	if parts := h.state.Shoot(slice); parts != nil {
		h.shot = 0
		for _, b := range parts {
			h.shot += len(b)
		}
		h.core.Compact(h.since, parts)
	}
}

func (h *Controller) take(n wire.Message) {
	switch {
	case h.roster.Take(h.now.Mono, n):
	case h.core.Take(h.now, n):
	case n.Kind == wire.Call:
		h.call(n)
	case n.Kind == wire.News:
		if h.core.Firm() {
			h.desk.Take(h.now.Mono, n)
		}
	default:
		if n.Kind == wire.Status {
			h.keep(n)
		}
		if h.head != nil {
			h.head.Take(h.now.Mono, h.core.Grace(), n)
		}
	}
}

func (h *Controller) tick() {
	h.moved = true
	h.roster.Tick(h.now.Mono)
	var seen []raft.Seen
	for _, c := range h.roster.Controllers() {
		if c.ID != "" && c.Part != "out" {
			seen = append(seen, raft.Seen{Member: raft.Member{ID: c.ID, Addr: c.Addr, Zone: c.Zone}, Name: c.Name})
		}
	}
	h.core.See(seen, h.others())
	h.core.Tick(h.now)
	h.pass()
}

// others are, while no cluster is known, where daemons are that are no controllers: a
// founder that turns out to be one of them is not waited for.
func (h *Controller) others() (list []types.Addr) {
	if h.core.Name() == "" {
		for _, a := range h.place.Begin.Founders {
			if role := h.roster.Role(a); role != "" && role != "controller" {
				list = append(list, a)
			}
		}
	}
	return
}

// close begins a planned stop: the duty goes to a successor.
func (h *Controller) close() {
	h.drain = true
	h.late = h.now.Mono.Add(3 * time.Second)
	h.core.Leave(h.now)
}

// catch brings the state up to what is committed.
func (h *Controller) catch() {
	if s := h.core.State(); s.Index > h.done {
		h.load()
	}
	for h.done < h.core.Commit() {
		h.done++
		e := h.core.Entry(h.done)
		h.Sums.Applied++
		if e.Fact == nil {
			continue
		}
		var f state.Fact
		if err := json.Unmarshal(e.Fact, &f); err != nil {
			panic(err)
		}
		h.moved = true
		h.learn(f)
		attempts, bad := h.state.Apply(f)
		h.core.Wind(h.state.Tick)
		h.told(f, e.Index)
		w, ok := h.waits[e.Index]
		delete(h.waits, e.Index)
		if ok && w.term == e.Term {
			h.settle(w, f, bad)
		}
		if h.head != nil && h.core.Leads() {
			if f.Job != nil && bad == nil {
				h.weigh(h.state.Jobs[f.Job.ID])
			}
			for _, g := range f.Attempts {
				delete(h.given, g.Attempt.Task)
			}
			h.order(attempts)
			h.head.Settle(f.Ends)
			for _, x := range f.Ends {
				delete(h.flight, x)
				delete(h.freed, x.Attempt)
				if h.ahead[x.Attempt.Job] <= h.done {
					delete(h.ahead, x.Attempt.Job)
				}
			}
		}
	}
	h.answer()
}

// told leaves marks of what was applied for the tracer.
func (h *Controller) told(f state.Fact, at types.Index) {
	switch {
	case f.Table != nil:
		h.Trail.Add(h.now.Wall, trace.Table(h.state.Table.Version), "applied", "index", at)
	case f.Job != nil:
		h.Trail.Add(h.now.Wall, trace.Job(f.Job.ID), "accept applied", "index", at)
	case f.Cancel != "":
		h.Trail.Add(h.now.Wall, trace.Job(f.Cancel), "cancel applied", "index", at)
	}
	for _, g := range f.Attempts {
		h.Trail.Add(h.now.Wall, trace.Job(g.Attempt.Job), "leg given out", "leg", g.Attempt, "shard", g.Shard)
	}
	for _, x := range f.Ends {
		h.Trail.Add(h.now.Wall, trace.Job(x.Attempt.Job), "end applied", "leg", x.Attempt, "fate", x.Outcome)
		h.ended(x)
	}
}

// lead does the leader's work, or lets go of it.
func (h *Controller) lead() {
	if !h.core.Leads() {
		if h.head != nil {
			h.head = nil
			h.Sums.Lost++
		}
		for _, i := range slices.Sorted(maps.Keys(h.waits)) {
			h.reply(h.waits[i], wire.ReplyBody{Fault: apierror.New(apierror.Unsure, "", "the leader changed; send the same again")})
		}
		h.turnAway()
		clear(h.waits)
		clear(h.flight)
		clear(h.freed)
		clear(h.given)
		h.giving, h.rounds, h.shaped, h.kept, h.waited = 0, nil, 0, nil, nil
		return
	}
	if h.head == nil {
		if !h.core.Firm() {
			return
		}
		h.Sums.Elected++
		h.head = dispatch.NewHead(h.now.Mono, h.core.Ruled(), h.place.Truth, h.place.Addr, h.core.Term(), h.outs())
		h.head.Invoked = func(x types.Shard) bool { return h.state.Shapes[x].Invoked }
		h.head.Apart = func(x types.Shard) bool { return h.roster.Apart(string(x)) }
		h.head.Taken, h.head.Doubts = h.taken, func(x types.Shard) []types.Attempt { return h.state.Doubts(x) }
	}
	h.head.Tick(h.now.Mono, h.core.Grace())
	h.heed()
	if h.moved {
		h.moved = false
		h.plan()
		h.heed()
	}
	if h.core.Firm() {
		h.sends = append(h.sends, h.desk.Tell(h.now.Mono, h.state.Table)...)
	}
}

func (h *Controller) fact(f state.Fact) (types.Index, bool) {
	f.Tick = max(h.core.Clock(), h.state.Tick)
	return h.core.Propose(wire.Body(f))
}

// outs lists the attempts given out as the state has them.
func (h *Controller) outs() (list []dispatch.Hold) {
	for _, j := range h.state.Live() {
		for i := range j.Tasks {
			for _, o := range j.Tasks[i].Outs() {
				n := j.Spec.No(i)
				at := types.StageOf(n)
				list = append(list, dispatch.Hold{Attempt: types.Attempt{Task: types.Task{Job: j.ID, N: n}, Attempt: o.Attempt},
					Shard: o.Shard, Stage: at, Room: j.Spec.Steps[at.Step()].Room, Usual: usual(j, at), Limit: h.limit(j, at)})
			}
		}
	}
	return
}

// taken tells whether the state already has an end, or has no use for it.
func (h *Controller) taken(e state.End) bool {
	j := h.state.Jobs[e.Attempt.Job]
	if j == nil || j.Over() {
		return true
	}
	t := j.Task(e.Attempt.N)
	return t == nil || t.Knows(e.Attempt.Attempt, e.Outcome)
}
