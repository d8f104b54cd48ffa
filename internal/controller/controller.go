// Package controller is the control and scheduler daemon as one state machine: the
// replicated log, the state it makes, and, on the leader, the dispatcher. This
// file is the step itself; calls.go answers callers, plan.go places work.
package controller

import (
	"maps"
	"math/rand"
	"slices"
	"time"

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
type Options struct {
	Addr  types.Addr
	Zone  types.Zone
	Seeds []types.Addr
	Begin raft.Bootstrap
	Loses int // voters that may be lost at once, disk and all
	Issue string
	Core  raft.Timeouts
	Truth dispatch.Timeouts
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
	options   Options
	now       types.Now
	raft      *raft.Node
	roster    *membership.Roster
	state     *state.State
	loader    *state.Loader // of a snapshot that is being read back, or nil
	loaded    types.Index   // the entry that it stands for
	disk      error         // why the disk refuses, until it takes writes again
	applied   types.Index
	proposals map[types.Index]proposal
	scheduler *dispatch.Scheduler
	desk      *configwatch.Publisher
	Trail     *trace.Ring
	waiters   map[types.Index]waiter
	ahead     map[types.JobID]types.Index // of the latest ends on their way into the log
	reads     []reader
	flight    map[state.End]bool
	freed     map[types.Attempt]bool // of those, what surely runs no more
	giving    types.Index
	given     map[types.Task]state.Assignment // on their way into the log, or just there
	rounds    []types.Index                   // of them
	shaped    types.Index
	timed     types.Stamp
	since     types.Index // the entry of the latest snapshot, or of the one under way
	shot      int         // bytes of the latest snapshot
	drain     bool
	late      types.Stamp
	moved     bool // something was applied, or time passed, since work was last placed
	rates     map[types.Queue]*rate
	works     map[types.Queue]float64 // mean work of a queue\'s jobs
	habits    map[types.Queue]*habit
	courses   map[types.JobID][]course // of jobs that are not over
	tasks     map[types.Queue]float64  // mean seconds of a queue's tasks
	peaks     map[types.Queue]float64  // cores that a queue lately had in use at once
	peaked    types.Stamp
	early     []early
	kept      *placement.Reserve // workers kept for work that was passed over
	waited    map[placement.Part]types.Stamp
	moves     types.Stamp // when something was last displaced
	limits    check       // of attempts against the table's time limits
	slots     slotCache
	wanted    []placement.Want // the memory of the last list
	checks    check            // for attempts to take back and second attempts
	sends     []wire.Send
	answers   []wire.Answer
	overload  overload
	Sums      Sums
}

// Sums are counters since start.
type Sums struct {
	Steps, Applied, Calls, Refused, Orders, Ends, Elected, Lost uint64
	Placed, TurnedAway, Relieved                                uint64
}

// New starts a controller from the records of its disk.
func New(now types.Now, rnd *rand.Rand, p Options, recs [][]byte) *Controller {
	me := raft.Member{Addr: p.Addr, Zone: p.Zone}
	h := &Controller{options: p, now: now, raft: raft.New(now, p.Core, rnd, me, p.Begin, recs, types.Mint(rnd)),
		waiters: map[types.Index]waiter{}, proposals: map[types.Index]proposal{}, ahead: map[types.JobID]types.Index{}, flight: map[state.End]bool{}, freed: map[types.Attempt]bool{},
		given: map[types.Task]state.Assignment{}, rates: map[types.Queue]*rate{}, works: map[types.Queue]float64{}, peaks: map[types.Queue]float64{},
		tasks: map[types.Queue]float64{}, habits: map[types.Queue]*habit{}, courses: map[types.JobID][]course{}, Trail: trace.New()}
	h.roster = membership.New(rnd, h.card(), p.Seeds)
	h.desk = configwatch.NewPublisher(p.Addr)
	h.state = state.New()
	h.beginLoad()
	h.loadPart()
	return h
}

func (h *Controller) card() membership.Card {
	return membership.Card{Addr: h.options.Addr, ID: h.raft.ID(), Role: "controller", Zone: h.options.Zone, Name: h.raft.Name(),
		Term: h.raft.Term(), Leads: h.raft.IsLeader() && !h.drain, Part: h.raft.Role(), Ready: h.Ready(), Issue: h.options.Issue}
}

// Ready tells whether the platform may send callers here: a controller that knows a
// leader of now, or is it.
func (h *Controller) Ready() bool {
	return !h.drain && h.disk == nil && h.loader == nil && h.raft.Name() != "" && (h.raft.IsLeader() && h.raft.HoldsLease() || !h.raft.IsLeader() && h.raft.Leader() != "")
}

// Step takes one event.
func (h *Controller) Step(e wire.Event) wire.Out {
	h.now = e.Now
	h.raft.Observe(e.Now)
	h.Sums.Steps++
	h.overload.measure(e.Now.Mono, e.Load)
	switch {
	case e.Message != nil:
		h.take(*e.Message)
	case e.Ask != nil:
		h.ask(waiter{token: e.Ask.Token}, wire.CallBody{Verb: e.Ask.Verb, Arg: e.Ask.Arg, Body: e.Ask.Body})
	case e.Synced > 0:
		h.disk = nil
		h.raft.Synced(e.Now, e.Synced)
	case e.Disk != nil:
		h.disk = e.Disk
		h.raft.DiskFailed(e.Now)
	case e.Close:
		h.close()
	default:
		h.refuseExpired(e.Expired)
		h.tick()
	}
	h.applyCommitted()
	h.relieve()
	h.lead()
	var out wire.Out
	h.writeSnapshotPart()
	h.roster.Me(h.card())
	out.Instead = h.raft.Instead()
	out.Sends, out.Batch, out.Seq, out.Whole = h.raft.Out()
	out.Sends = append(append(out.Sends, h.sends...), h.roster.Out()...)
	out.Answers = h.answers
	h.sends, h.answers = nil, nil
	out.Idle = h.drain && (h.raft.MayStop() || h.now.Mono >= h.late) && len(h.waiters) == 0
	return out
}

func (h *Controller) take(n wire.Message) {
	switch {
	case h.roster.Take(h.now.Mono, n):
	case h.raft.Receive(h.now, n):
	case n.Kind == wire.Call:
		h.call(n)
	case n.Kind == wire.News:
		if h.raft.HoldsLease() {
			h.desk.Take(h.now.Mono, n)
		}
	default:
		if n.Kind == wire.Status {
			h.keep(n)
		}
		if h.scheduler != nil {
			h.scheduler.Take(h.now.Mono, h.raft.AuthorityLeft(), n)
		}
	}
}

func (h *Controller) tick() {
	h.moved = true
	h.loadPart()
	h.roster.Tick(h.now.Mono)
	var seen []raft.Discovered
	for _, c := range h.roster.Controllers() {
		if c.ID != "" && c.Part != "out" {
			seen = append(seen, raft.Discovered{Member: raft.Member{ID: c.ID, Addr: c.Addr, Zone: c.Zone}, Name: c.Name})
		}
	}
	h.raft.SetDiscovered(seen, h.others())
	h.raft.Tick(h.now)
	h.pass()
}

// others are, while no cluster is known, where daemons are that are no controllers: a
// founder that turns out to be one of them is not waited for.
func (h *Controller) others() (list []types.Addr) {
	if h.raft.Name() == "" {
		for _, a := range h.options.Begin.Founders {
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
	h.raft.PrepareStop(h.now)
}

// told leaves marks of what was applied for the tracer.
func (h *Controller) told(f state.Command, at types.Index) {
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
	if !h.raft.IsLeader() {
		if h.scheduler != nil {
			h.scheduler = nil
			h.Sums.Lost++
		}
		for _, i := range slices.Sorted(maps.Keys(h.waiters)) {
			h.bad(h.waiters[i], leaderChanged())
		}
		h.turnAway()
		clear(h.waiters)
		clear(h.flight)
		clear(h.freed)
		clear(h.given)
		h.slots.reset()
		h.giving, h.rounds, h.shaped, h.kept, h.waited = 0, nil, 0, nil, nil
		return
	}
	if h.scheduler == nil {
		if !h.raft.HoldsLease() || h.lags() {
			return
		}
		h.Sums.Elected++
		h.scheduler = dispatch.NewScheduler(h.now.Mono, h.raft.PriorAuthority(), h.options.Truth, h.options.Addr, h.raft.Term(), h.outs())
		h.scheduler.Invoked = func(x types.Shard) bool { return h.state.Shapes[x].Invoked }
		h.scheduler.Apart = func(x types.Shard) bool { return h.roster.Apart(string(x)) }
		h.scheduler.Taken, h.scheduler.Doubts = h.taken, func(x types.Shard) []types.Attempt { return h.state.Doubts(x) }
	}
	h.scheduler.Tick(h.now.Mono, h.raft.AuthorityLeft())
	h.heed()
	if h.moved && h.overload.mayPlace(h.now.Mono) {
		h.moved = false
		h.overload.place(h.now.Mono)
		h.Sums.Placed++
		h.plan()
		h.heed()
	}
	if h.raft.HoldsLease() {
		h.sends = append(h.sends, h.desk.Answer(h.now.Mono, h.state.Table)...)
	}
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
