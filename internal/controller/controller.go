// Package controller is the control and scheduler daemon as one state machine: the
// replicated log, the state it makes, and, on the leader, the dispatcher. This
// file is the step itself; requests.go answers callers, planner.go places work.
package controller

import (
	"math/rand"
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
	Addr              types.Addr
	Zone              types.Zone
	Seeds             []types.Addr
	Bootstrap         raft.BootstrapOptions
	LossTolerance     int // voters that may be lost at once, disk and all
	Build             string
	RaftTimeouts      raft.Timeouts
	DispatchTimeouts  dispatch.Timeouts
	SnapshotThreshold types.Index // entries between two snapshots at least; 0 is Every
}

// Controller is one control daemon.
type Controller struct {
	options             Options
	now                 types.Now
	raft                *raft.Node
	members             *membership.MemberList
	log                 *commandLog
	diskError           error // why the disk refuses, until it takes writes again
	scheduler           *dispatch.Scheduler
	publisher           *configwatch.Publisher
	Trace               *trace.Ring
	requests            *requestTable
	endsInFlight        map[state.AttemptEnd]bool
	released            map[types.AttemptID]bool // of those, what surely runs no more
	lastRound           types.Index
	assignmentsInFlight map[types.TaskID]state.Assignment // on their way into the log, or just there
	roundsInFlight      []types.Index                     // of them
	shapesIndex         types.Index
	offsetCheckedAt     types.MonoTime
	shuttingDown        bool
	shutdownDeadline    types.MonoTime
	needsPlacement      bool                        // something was applied, or time passed, since work was last placed
	meanJobWork         map[types.QueueName]float64 // mean work of a queue\'s jobs
	queueDurations      map[types.QueueName]*queueDurations
	jobDurations        map[types.JobID][]stepDurations // of jobs that are not over
	meanTaskSeconds     map[types.QueueName]float64     // mean seconds of a queue's tasks
	peakCores           map[types.QueueName]float64     // cores that a queue lately had in use at once
	peaksUpdatedAt      types.MonoTime
	bufferedReports     []bufferedReport
	reservation         *placement.Reservation // workers kept for work that was passed over
	readySince          map[placement.TaskGroup]types.MonoTime
	preemptedAt         types.MonoTime // when something was last displaced
	limitReview         reviewTimer    // of attempts against the table's time limits
	slots               slotCache
	workBuffer          []placement.Request // the memory of the last list
	attemptReview       reviewTimer         // for attempts to take back and second attempts
	outbox              outbox
	overload            overload
	Counters            Counters
}

// Counters are counters since start.
type Counters struct {
	Steps, Applied, Calls, Refused, Orders, Ends, Elected, Lost uint64
	Placed, TurnedAway, Relieved                                uint64
}

// New starts a controller from the records of its disk.
func New(now types.Now, rnd *rand.Rand, p Options, recs [][]byte) *Controller {
	me := raft.Member{Addr: p.Addr, Zone: p.Zone}
	h := &Controller{options: p, now: now, raft: raft.New(now, p.RaftTimeouts, rnd, me, p.Bootstrap, recs, types.NewID(rnd)),
		requests: newRequestTable(), endsInFlight: map[state.AttemptEnd]bool{}, released: map[types.AttemptID]bool{},
		assignmentsInFlight: map[types.TaskID]state.Assignment{}, meanJobWork: map[types.QueueName]float64{}, peakCores: map[types.QueueName]float64{},
		meanTaskSeconds: map[types.QueueName]float64{}, queueDurations: map[types.QueueName]*queueDurations{}, jobDurations: map[types.JobID][]stepDurations{}, Trace: trace.New()}
	h.outbox = outbox{self: p.Addr, counters: &h.Counters}
	h.log = newCommandLog(h.raft, p.SnapshotThreshold)
	h.members = membership.New(rnd, h.describe(), p.Seeds)
	h.publisher = configwatch.NewPublisher(p.Addr)
	return h
}

func (co *Controller) describe() membership.Card {
	return membership.Card{Addr: co.options.Addr, ID: co.raft.ID(), Role: "controller", Zone: co.options.Zone, Name: co.raft.ClusterName(),
		Term: co.raft.Term(), Leads: co.raft.IsLeader() && !co.shuttingDown, Shard: co.raft.Role(), Ready: co.Ready(), Build: co.options.Build}
}

// Ready tells whether the platform may send callers here: a controller that knows a
// leader of now, or is it.
func (co *Controller) Ready() bool {
	return !co.shuttingDown && co.diskError == nil && !co.log.isLoading() && co.raft.ClusterName() != "" && (co.raft.IsLeader() && co.raft.HoldsReadLease() || !co.raft.IsLeader() && co.raft.LeaderAddr() != "")
}

// Step takes one event.
func (co *Controller) Step(e wire.Event) wire.Effects {
	co.now = e.Now
	co.raft.SetTime(e.Now)
	co.Counters.Steps++
	co.overload.measure(e.Now.Mono, e.Load)
	switch {
	case e.Message != nil:
		co.handleMessage(*e.Message)
	case e.Request != nil:
		co.handleRequest(caller{token: e.Request.Token}, wire.ForwardedRequest{Verb: e.Request.Verb, Arg: e.Request.Arg, Body: e.Request.Body})
	case e.Synced > 0:
		co.diskError = nil
		co.raft.Synced(e.Now, e.Synced)
	case e.DiskError != nil:
		co.diskError = e.DiskError
		co.raft.DiskFailed(e.Now)
	case e.Shutdown:
		co.beginShutdown()
	default:
		co.rejectExpired(e.ExpiredForwards)
		co.tick()
	}
	co.applyCommitted()
	co.transferIfOverloaded()
	co.runLeader()
	var out wire.Effects
	co.log.writeSnapshotPart()
	co.members.SetSelf(co.describe())
	out.FallbackRecords = co.raft.AppendInstead()
	out.Messages, out.Records, out.BatchNumber, out.ReplaceLog = co.raft.Ready()
	var messages []wire.OutboundMessage
	messages, out.Responses = co.outbox.take()
	out.Messages = append(append(out.Messages, messages...), co.members.TakeMessages()...)
	out.Drained = co.shuttingDown && (co.raft.MayStop() || co.now.Mono >= co.shutdownDeadline) && co.requests.idle()
	return out
}

func (co *Controller) handleMessage(n wire.Message) {
	switch {
	case co.members.HandleMessage(co.now.Mono, n):
	case co.raft.Step(co.now, n):
	case n.Kind == wire.ForwardRequest:
		co.handleCall(n)
	case n.Kind == wire.ConfigWatch:
		if co.raft.HoldsReadLease() {
			co.publisher.HandleRequest(co.now.Mono, n)
		}
	default:
		if n.Kind == wire.StatusReport {
			co.bufferEndReport(n)
		}
		if co.scheduler != nil {
			co.scheduler.HandleMessage(co.now.Mono, co.raft.AuthorityRemaining(), n)
		}
	}
}

func (co *Controller) tick() {
	co.needsPlacement = true
	co.log.loadPart()
	co.members.Tick(co.now.Mono)
	var seen []raft.DiscoveredPeer
	for _, c := range co.members.Controllers() {
		if c.ID != "" && c.Shard != "out" {
			seen = append(seen, raft.DiscoveredPeer{Member: raft.Member{ID: c.ID, Addr: c.Addr, Zone: c.Zone}, ClusterName: c.Name})
		}
	}
	co.raft.SetDiscoveredPeers(seen, co.foundersInOtherRoles())
	co.raft.Tick(co.now)
	co.forwardEndReports()
}

// foundersInOtherRoles are, while no cluster is known, where daemons are that are no controllers: a
// founder that turns out to be one of them is not waited for.
func (co *Controller) foundersInOtherRoles() (list []types.Addr) {
	if co.raft.ClusterName() == "" {
		for _, a := range co.options.Bootstrap.Founders {
			if role := co.members.RoleOf(a); role != "" && role != "controller" {
				list = append(list, a)
			}
		}
	}
	return
}

// beginShutdown begins a planned stop: the duty goes to a successor.
func (co *Controller) beginShutdown() {
	co.shuttingDown = true
	co.shutdownDeadline = co.now.Mono.Add(3 * time.Second)
	co.raft.PrepareStop(co.now)
}

// traceCommand leaves marks of what was applied for the tracer.
func (co *Controller) traceCommand(f state.Command, at types.Index) {
	switch {
	case f.Table != nil:
		co.Trace.Add(co.now.Wall, trace.TableSubject(co.log.state().Table.Version), "applied", "index", at)
	case f.Job != nil:
		co.Trace.Add(co.now.Wall, trace.JobSubject(f.Job.ID), "accept applied", "index", at)
	case f.Cancel != "":
		co.Trace.Add(co.now.Wall, trace.JobSubject(f.Cancel), "cancel applied", "index", at)
	}
	for _, g := range f.Assignments {
		co.Trace.Add(co.now.Wall, trace.JobSubject(g.ID.Job), "leg given out", "leg", g.ID, "shard", g.Shard)
	}
	for _, x := range f.Ends {
		co.Trace.Add(co.now.Wall, trace.JobSubject(x.ID.Job), "end applied", "leg", x.ID, "fate", x.Outcome)
		co.attemptEnded(x)
	}
}

// runLeader does the leader's work, or lets go of it.
func (co *Controller) runLeader() {
	if !co.raft.IsLeader() {
		if co.scheduler != nil {
			co.scheduler = nil
			co.Counters.Lost++
		}
		co.abandonRequests()
		clear(co.endsInFlight)
		clear(co.released)
		clear(co.assignmentsInFlight)
		co.slots.reset()
		co.lastRound, co.roundsInFlight, co.shapesIndex, co.reservation, co.readySince = 0, nil, 0, nil, nil
		return
	}
	if co.scheduler == nil {
		if !co.raft.HoldsReadLease() || co.log.isLagging() {
			return
		}
		co.Counters.Elected++
		co.scheduler = dispatch.NewScheduler(co.now.Mono, co.raft.PriorLeaderHeardAt(), co.options.DispatchTimeouts, co.options.Addr, co.raft.Term(), co.outstandingAttempts())
		co.scheduler.Invoked = func(x types.Shard) bool { return co.log.state().WorkerShapes[x].CalledByAgent }
		co.scheduler.Partitioned = func(x types.Shard) bool { return co.members.ZonePartitioned(string(x)) }
		co.scheduler.EndRecorded, co.scheduler.Unresolved = co.endRecorded, func(x types.Shard) []types.AttemptID { return co.log.state().UnresolvedAttempts(x) }
	}
	co.scheduler.Tick(co.now.Mono, co.raft.AuthorityRemaining())
	co.drainScheduler()
	if co.needsPlacement && co.overload.mayPlace(co.now.Mono) {
		co.needsPlacement = false
		co.overload.startPlacement(co.now.Mono)
		co.Counters.Placed++
		co.placeWork()
		co.drainScheduler()
	}
	if co.raft.HoldsReadLease() {
		co.outbox.send(co.publisher.Responses(co.now.Mono, co.log.state().Table)...)
	}
}

// abandonRequests answers all requests that wait, as this controller does not lead any more.
func (co *Controller) abandonRequests() {
	changes, reads := co.requests.abandon()
	for _, from := range changes {
		co.outbox.replyError(from, leaderChanged())
	}
	for _, from := range reads {
		co.outbox.redirect(from, co.otherLeader())
	}
}

// outstandingAttempts lists the attempts given out as the state has them.
func (co *Controller) outstandingAttempts() (list []dispatch.OutstandingAttempt) {
	for _, j := range co.log.state().LiveJobs() {
		for i := range j.Tasks {
			for _, o := range j.Tasks[i].Outstanding() {
				n := j.Spec.TaskNumber(i)
				at := types.StageOf(n)
				list = append(list, dispatch.OutstandingAttempt{Attempt: types.AttemptID{TaskID: types.TaskID{Job: j.ID, Number: n}, Attempt: o.Number},
					Shard: o.Shard, Stage: at, Resources: j.Spec.Steps[at.Step()].Resources, BaselineName: durationKey(j, at), TimeLimit: co.timeLimit(j, at)})
			}
		}
	}
	return
}

// endRecorded tells whether the state already has an end, or has no use for it.
func (co *Controller) endRecorded(e state.AttemptEnd) bool {
	j := co.log.state().Jobs[e.ID.Job]
	if j == nil || j.Ended() {
		return true
	}
	t := j.Task(e.ID.Number)
	return t == nil || t.EndIsKnown(e.ID.Attempt, e.Outcome)
}
