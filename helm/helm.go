// Package helm is the control and scheduler daemon as one state machine: the
// replicated log, the state it makes, and, on the leader, the dispatcher. This
// file is the step itself; calls.go answers callers, plan.go places work.
package helm

import (
	"encoding/json"
	"maps"
	"math/rand"
	"slices"
	"time"

	"coppercourse/accord"
	"coppercourse/choice"
	"coppercourse/fault"
	"coppercourse/kin"
	"coppercourse/mark"
	"coppercourse/news"
	"coppercourse/store"
	"coppercourse/trail"
	"coppercourse/truth"
	"coppercourse/word"
)

// Place is where and as what a helm runs.
type Place struct {
	Addr  mark.Addr
	Loc   mark.Locality
	Seeds []mark.Addr
	Begin accord.Origin
	Loses int // voters that may be lost at once, disk and all
	Issue string
	Core  accord.Pace
	Truth truth.Pace
	Every mark.Index // entries between two snapshots at least; 0 is Every
}

type waiter struct {
	from  mark.Addr
	id    uint64
	token uint64 // of a request that came here itself, not by way of a gate
	term  mark.Term
}

// Helm is one control daemon.
type Helm struct {
	place   Place
	now     mark.Now
	core    *accord.Core
	kin     *kin.Roster
	state   *store.State
	done    mark.Index
	head    *truth.Head
	desk    *news.Desk
	Trail   *trail.Ring
	waits   map[mark.Index]waiter
	ahead   map[mark.JobID]mark.Index // of the latest ends on their way into the log
	reads   []reader
	flight  map[store.End]bool
	freed   map[mark.Leg]bool // of those, what surely runs no more
	giving  mark.Index
	given   map[mark.Task]store.Give // on their way into the log, or just there
	rounds  []mark.Index             // of them
	shaped  mark.Index
	timed   mark.Stamp
	since   mark.Index // the entry of the latest snapshot, or of the one under way
	shot    int        // bytes of the latest snapshot
	drain   bool
	late    mark.Stamp
	moved   bool // something was applied, or time passed, since work was last placed
	rates   map[mark.Queue]*rate
	works   map[mark.Queue]float64 // mean work of a queue\'s jobs
	habits  map[mark.Queue]*habit
	courses map[mark.JobID][]course // of jobs that are not over
	tasks   map[mark.Queue]float64  // mean seconds of a queue's tasks
	peaks   map[mark.Queue]float64  // cores that a queue lately had in use at once
	peaked  mark.Stamp
	early   []early
	kept    *choice.Reserve // workers kept for work that was passed over
	waited  map[choice.Part]mark.Stamp
	moves   mark.Stamp // when something was last displaced
	sends   []word.Send
	answers []word.Answer
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

// New starts a helm from the records of its disk.
func New(now mark.Now, rnd *rand.Rand, p Place, recs [][]byte) *Helm {
	me := accord.Member{Addr: p.Addr, Loc: p.Loc}
	h := &Helm{place: p, now: now, core: accord.New(now, p.Core, rnd, me, p.Begin, recs, mark.Mint(rnd)),
		waits: map[mark.Index]waiter{}, ahead: map[mark.JobID]mark.Index{}, flight: map[store.End]bool{}, freed: map[mark.Leg]bool{},
		given: map[mark.Task]store.Give{}, rates: map[mark.Queue]*rate{}, works: map[mark.Queue]float64{}, peaks: map[mark.Queue]float64{},
		tasks: map[mark.Queue]float64{}, habits: map[mark.Queue]*habit{}, courses: map[mark.JobID][]course{}, Trail: trail.New()}
	h.kin = kin.New(rnd, h.card(), p.Seeds)
	h.desk = news.NewDesk(p.Addr)
	h.load()
	return h
}

func (h *Helm) load() {
	s := h.core.State()
	st, err := store.Restore(s.Parts)
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

func (h *Helm) card() kin.Card {
	return kin.Card{Addr: h.place.Addr, ID: h.core.ID(), Role: "helm", Loc: h.place.Loc, Name: h.core.Name(),
		Term: h.core.Term(), Leads: h.core.Leads() && !h.drain, Part: h.core.Role(), Ready: h.Ready(), Issue: h.place.Issue}
}

// Ready tells whether the platform may send callers here: a helm that knows a
// leader of now, or is it.
func (h *Helm) Ready() bool {
	return !h.drain && h.core.Name() != "" && (h.core.Leads() && h.core.Firm() || !h.core.Leads() && h.core.Leader() != "")
}

// Step takes one event.
func (h *Helm) Step(e word.Event) word.Out {
	h.now = e.Now
	h.Sums.Steps++
	switch {
	case e.Note != nil:
		h.take(*e.Note)
	case e.Ask != nil:
		h.ask(waiter{token: e.Ask.Token}, word.CallBody{Verb: e.Ask.Verb, Arg: e.Ask.Arg, Body: e.Ask.Body})
	case e.Synced > 0:
		h.core.Synced(e.Now, e.Synced)
	case e.Close:
		h.close()
	default:
		h.tick()
	}
	h.catch()
	h.lead()
	var out word.Out
	h.shoot()
	h.kin.Me(h.card())
	out.Sends, out.Batch, out.Seq, out.Whole = h.core.Out()
	out.Sends = append(append(out.Sends, h.sends...), h.kin.Out()...)
	out.Answers = h.answers
	h.sends, h.answers = nil, nil
	out.Idle = h.drain && (!h.core.Leads() || h.now.Mono >= h.late) && len(h.waits) == 0
	return out
}

// shoot puts the log together, a little a step.
func (h *Helm) shoot() {
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

func (h *Helm) take(n word.Note) {
	switch {
	case h.kin.Take(h.now.Mono, n):
	case h.core.Take(h.now, n):
	case n.Kind == word.Call:
		h.call(n)
	case n.Kind == word.News:
		if h.core.Firm() {
			h.desk.Take(h.now.Mono, n)
		}
	default:
		if n.Kind == word.Status {
			h.keep(n)
		}
		if h.head != nil {
			h.head.Take(h.now.Mono, h.core.Grace(), n)
		}
	}
}

func (h *Helm) tick() {
	h.moved = true
	h.kin.Tick(h.now.Mono)
	var seen []accord.Seen
	for _, c := range h.kin.Helms() {
		if c.ID != "" && c.Part != "out" {
			seen = append(seen, accord.Seen{Member: accord.Member{ID: c.ID, Addr: c.Addr, Loc: c.Loc}, Name: c.Name})
		}
	}
	h.core.See(seen, h.others())
	h.core.Tick(h.now)
	h.pass()
}

// others are, while no cluster is known, where daemons are that are no helms: a
// founder that turns out to be one of them is not waited for.
func (h *Helm) others() (list []mark.Addr) {
	if h.core.Name() == "" {
		for _, a := range h.place.Begin.Founders {
			if role := h.kin.Role(a); role != "" && role != "helm" {
				list = append(list, a)
			}
		}
	}
	return
}

// close begins a planned stop: the duty goes to a successor.
func (h *Helm) close() {
	h.drain = true
	h.late = h.now.Mono.Add(3 * time.Second)
	h.core.Leave(h.now)
}

// catch brings the state up to what is committed.
func (h *Helm) catch() {
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
		var f store.Fact
		if err := json.Unmarshal(e.Fact, &f); err != nil {
			panic(err)
		}
		h.moved = true
		h.learn(f)
		legs, bad := h.state.Apply(f)
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
			for _, g := range f.Legs {
				delete(h.given, g.Leg.Task)
			}
			h.order(legs)
			h.head.Settle(f.Ends)
			for _, x := range f.Ends {
				delete(h.flight, x)
				delete(h.freed, x.Leg)
				if h.ahead[x.Leg.Job] <= h.done {
					delete(h.ahead, x.Leg.Job)
				}
			}
		}
	}
	h.answer()
}

// told leaves marks of what was applied for the tracer.
func (h *Helm) told(f store.Fact, at mark.Index) {
	switch {
	case f.Table != nil:
		h.Trail.Add(h.now.Wall, trail.Table(h.state.Table.Edition), "applied", "index", at)
	case f.Job != nil:
		h.Trail.Add(h.now.Wall, trail.Job(f.Job.ID), "accept applied", "index", at)
	case f.Cancel != "":
		h.Trail.Add(h.now.Wall, trail.Job(f.Cancel), "cancel applied", "index", at)
	}
	for _, g := range f.Legs {
		h.Trail.Add(h.now.Wall, trail.Job(g.Leg.Job), "leg given out", "leg", g.Leg, "shard", g.Shard)
	}
	for _, x := range f.Ends {
		h.Trail.Add(h.now.Wall, trail.Job(x.Leg.Job), "end applied", "leg", x.Leg, "fate", x.Fate)
		h.ended(x)
	}
}

// lead does the leader's work, or lets go of it.
func (h *Helm) lead() {
	if !h.core.Leads() {
		if h.head != nil {
			h.head = nil
			h.Sums.Lost++
		}
		for _, i := range slices.Sorted(maps.Keys(h.waits)) {
			h.reply(h.waits[i], word.ReplyBody{Fault: fault.New(fault.Unsure, "", "the leader changed; send the same again")})
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
		h.head = truth.NewHead(h.now.Mono, h.core.Ruled(), h.place.Truth, h.place.Addr, h.core.Term(), h.outs())
		h.head.Invoked = func(x mark.Shard) bool { return h.state.Shapes[x].Invoked }
		h.head.Apart = func(x mark.Shard) bool { return h.kin.Apart(string(x)) }
		h.head.Taken, h.head.Doubts = h.taken, func(x mark.Shard) []mark.Leg { return h.state.Doubts(x) }
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

func (h *Helm) fact(f store.Fact) (mark.Index, bool) {
	f.Tick = max(h.core.Clock(), h.state.Tick)
	return h.core.Propose(word.Body(f))
}

// outs lists the legs given out as the state has them.
func (h *Helm) outs() (list []truth.Hold) {
	for _, j := range h.state.Live() {
		for i := range j.Tasks {
			for _, o := range j.Tasks[i].Outs() {
				n := j.Spec.No(i)
				at := mark.StageOf(n)
				list = append(list, truth.Hold{Leg: mark.Leg{Task: mark.Task{Job: j.ID, N: n}, Leg: o.Leg},
					Shard: o.Shard, Stage: at, Room: j.Spec.Steps[at.Step()].Room, Usual: usual(j, at), Limit: h.limit(j, at)})
			}
		}
	}
	return
}

// taken tells whether the state already has an end, or has no use for it.
func (h *Helm) taken(e store.End) bool {
	j := h.state.Jobs[e.Leg.Job]
	if j == nil || j.Over() {
		return true
	}
	t := j.Task(e.Leg.N)
	return t == nil || t.Knows(e.Leg.Leg, e.Fate)
}
