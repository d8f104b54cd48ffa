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
	Begin raft.BootstrapOptions
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
	flight    map[state.AttemptEnd]bool
	freed     map[types.AttemptID]bool // of those, what surely runs no more
	giving    types.Index
	given     map[types.TaskID]state.Assignment // on their way into the log, or just there
	rounds    []types.Index                     // of them
	shaped    types.Index
	timed     types.MonoTime
	since     types.Index // the entry of the latest snapshot, or of the one under way
	shot      int         // bytes of the latest snapshot
	drain     bool
	late      types.MonoTime
	moved     bool // something was applied, or time passed, since work was last placed
	rates     map[types.QueueName]*rate
	works     map[types.QueueName]float64 // mean work of a queue\'s jobs
	habits    map[types.QueueName]*habit
	courses   map[types.JobID][]course    // of jobs that are not over
	tasks     map[types.QueueName]float64 // mean seconds of a queue's tasks
	peaks     map[types.QueueName]float64 // cores that a queue lately had in use at once
	peaked    types.MonoTime
	early     []early
	kept      *placement.Reservation // workers kept for work that was passed over
	waited    map[placement.TaskGroup]types.MonoTime
	moves     types.MonoTime // when something was last displaced
	limits    check          // of attempts against the table's time limits
	slots     slotCache
	wanted    []placement.Request // the memory of the last list
	checks    check               // for attempts to take back and second attempts
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
	h := &Controller{options: p, now: now, raft: raft.New(now, p.Core, rnd, me, p.Begin, recs, types.NewID(rnd)),
		waiters: map[types.Index]waiter{}, proposals: map[types.Index]proposal{}, ahead: map[types.JobID]types.Index{}, flight: map[state.AttemptEnd]bool{}, freed: map[types.AttemptID]bool{},
		given: map[types.TaskID]state.Assignment{}, rates: map[types.QueueName]*rate{}, works: map[types.QueueName]float64{}, peaks: map[types.QueueName]float64{},
		tasks: map[types.QueueName]float64{}, habits: map[types.QueueName]*habit{}, courses: map[types.JobID][]course{}, Trail: trace.New()}
	h.roster = membership.New(rnd, h.card(), p.Seeds)
	h.desk = configwatch.NewPublisher(p.Addr)
	h.state = state.New()
	h.beginLoad()
	h.loadPart()
	return h
}

func (co *Controller) card() membership.Card {
	return membership.Card{Addr: co.options.Addr, ID: co.raft.ID(), Role: "controller", Zone: co.options.Zone, Name: co.raft.ClusterName(),
		Term: co.raft.Term(), Leads: co.raft.IsLeader() && !co.drain, Part: co.raft.Role(), Ready: co.Ready(), Issue: co.options.Issue}
}

// Ready tells whether the platform may send callers here: a controller that knows a
// leader of now, or is it.
func (co *Controller) Ready() bool {
	return !co.drain && co.disk == nil && co.loader == nil && co.raft.ClusterName() != "" && (co.raft.IsLeader() && co.raft.HoldsReadLease() || !co.raft.IsLeader() && co.raft.LeaderAddr() != "")
}

// Step takes one event.
func (co *Controller) Step(e wire.Event) wire.Out {
	co.now = e.Now
	co.raft.SetTime(e.Now)
	co.Sums.Steps++
	co.overload.measure(e.Now.Mono, e.Load)
	switch {
	case e.Message != nil:
		co.take(*e.Message)
	case e.Ask != nil:
		co.ask(waiter{token: e.Ask.Token}, wire.CallBody{Verb: e.Ask.Verb, Arg: e.Ask.Arg, Body: e.Ask.Body})
	case e.Synced > 0:
		co.disk = nil
		co.raft.Synced(e.Now, e.Synced)
	case e.Disk != nil:
		co.disk = e.Disk
		co.raft.DiskFailed(e.Now)
	case e.Close:
		co.close()
	default:
		co.refuseExpired(e.Expired)
		co.tick()
	}
	co.applyCommitted()
	co.relieve()
	co.lead()
	var out wire.Out
	co.writeSnapshotPart()
	co.roster.Me(co.card())
	out.Instead = co.raft.AppendInstead()
	out.Sends, out.Batch, out.Seq, out.Whole = co.raft.Ready()
	out.Sends = append(append(out.Sends, co.sends...), co.roster.Out()...)
	out.Answers = co.answers
	co.sends, co.answers = nil, nil
	out.Idle = co.drain && (co.raft.MayStop() || co.now.Mono >= co.late) && len(co.waiters) == 0
	return out
}

func (co *Controller) take(n wire.Message) {
	switch {
	case co.roster.Take(co.now.Mono, n):
	case co.raft.Step(co.now, n):
	case n.Kind == wire.Call:
		co.call(n)
	case n.Kind == wire.News:
		if co.raft.HoldsReadLease() {
			co.desk.Take(co.now.Mono, n)
		}
	default:
		if n.Kind == wire.Status {
			co.keep(n)
		}
		if co.scheduler != nil {
			co.scheduler.HandleMessage(co.now.Mono, co.raft.AuthorityRemaining(), n)
		}
	}
}

func (co *Controller) tick() {
	co.moved = true
	co.loadPart()
	co.roster.Tick(co.now.Mono)
	var seen []raft.DiscoveredPeer
	for _, c := range co.roster.Controllers() {
		if c.ID != "" && c.Part != "out" {
			seen = append(seen, raft.DiscoveredPeer{Member: raft.Member{ID: c.ID, Addr: c.Addr, Zone: c.Zone}, ClusterName: c.Name})
		}
	}
	co.raft.SetDiscoveredPeers(seen, co.others())
	co.raft.Tick(co.now)
	co.pass()
}

// others are, while no cluster is known, where daemons are that are no controllers: a
// founder that turns out to be one of them is not waited for.
func (co *Controller) others() (list []types.Addr) {
	if co.raft.ClusterName() == "" {
		for _, a := range co.options.Begin.Founders {
			if role := co.roster.Role(a); role != "" && role != "controller" {
				list = append(list, a)
			}
		}
	}
	return
}

// close begins a planned stop: the duty goes to a successor.
func (co *Controller) close() {
	co.drain = true
	co.late = co.now.Mono.Add(3 * time.Second)
	co.raft.PrepareStop(co.now)
}

// told leaves marks of what was applied for the tracer.
func (co *Controller) told(f state.Command, at types.Index) {
	switch {
	case f.Table != nil:
		co.Trail.Add(co.now.Wall, trace.Table(co.state.Table.Version), "applied", "index", at)
	case f.Job != nil:
		co.Trail.Add(co.now.Wall, trace.Job(f.Job.ID), "accept applied", "index", at)
	case f.Cancel != "":
		co.Trail.Add(co.now.Wall, trace.Job(f.Cancel), "cancel applied", "index", at)
	}
	for _, g := range f.Assignments {
		co.Trail.Add(co.now.Wall, trace.Job(g.ID.Job), "leg given out", "leg", g.ID, "shard", g.Shard)
	}
	for _, x := range f.Ends {
		co.Trail.Add(co.now.Wall, trace.Job(x.ID.Job), "end applied", "leg", x.ID, "fate", x.Outcome)
		co.ended(x)
	}
}

// lead does the leader's work, or lets go of it.
func (co *Controller) lead() {
	if !co.raft.IsLeader() {
		if co.scheduler != nil {
			co.scheduler = nil
			co.Sums.Lost++
		}
		for _, i := range slices.Sorted(maps.Keys(co.waiters)) {
			co.bad(co.waiters[i], leaderChanged())
		}
		co.turnAway()
		clear(co.waiters)
		clear(co.flight)
		clear(co.freed)
		clear(co.given)
		co.slots.reset()
		co.giving, co.rounds, co.shaped, co.kept, co.waited = 0, nil, 0, nil, nil
		return
	}
	if co.scheduler == nil {
		if !co.raft.HoldsReadLease() || co.lags() {
			return
		}
		co.Sums.Elected++
		co.scheduler = dispatch.NewScheduler(co.now.Mono, co.raft.PriorLeaderHeardAt(), co.options.Truth, co.options.Addr, co.raft.Term(), co.outs())
		co.scheduler.Invoked = func(x types.Shard) bool { return co.state.WorkerShapes[x].CalledByAgent }
		co.scheduler.Partitioned = func(x types.Shard) bool { return co.roster.Apart(string(x)) }
		co.scheduler.EndRecorded, co.scheduler.Unresolved = co.taken, func(x types.Shard) []types.AttemptID { return co.state.UnresolvedAttempts(x) }
	}
	co.scheduler.Tick(co.now.Mono, co.raft.AuthorityRemaining())
	co.heed()
	if co.moved && co.overload.mayPlace(co.now.Mono) {
		co.moved = false
		co.overload.place(co.now.Mono)
		co.Sums.Placed++
		co.plan()
		co.heed()
	}
	if co.raft.HoldsReadLease() {
		co.sends = append(co.sends, co.desk.Answer(co.now.Mono, co.state.Table)...)
	}
}

// outs lists the attempts given out as the state has them.
func (co *Controller) outs() (list []dispatch.OutstandingAttempt) {
	for _, j := range co.state.LiveJobs() {
		for i := range j.Tasks {
			for _, o := range j.Tasks[i].Outstanding() {
				n := j.Spec.TaskNumber(i)
				at := types.StageOf(n)
				list = append(list, dispatch.OutstandingAttempt{Attempt: types.AttemptID{TaskID: types.TaskID{Job: j.ID, Number: n}, Attempt: o.Number},
					Shard: o.Shard, Stage: at, Resources: j.Spec.Steps[at.Step()].Resources, BaselineName: usual(j, at), TimeLimit: co.limit(j, at)})
			}
		}
	}
	return
}

// taken tells whether the state already has an end, or has no use for it.
func (co *Controller) taken(e state.AttemptEnd) bool {
	j := co.state.Jobs[e.ID.Job]
	if j == nil || j.Ended() {
		return true
	}
	t := j.Task(e.ID.Number)
	return t == nil || t.EndIsKnown(e.ID.Attempt, e.Outcome)
}
