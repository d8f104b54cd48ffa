package controller

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// leader does the work that only the leading controller does: it manages the workers' leases
// and orders through its scheduler.Scheduler, proposes the attempt ends that agents report, and
// plans placement rounds. Each leadership gets a new scheduler; the other parts persist, and
// revoke resets the state in them that belongs to one leadership.
//
// The first fields are shared with the rest of the controller, the others are the leader's own
// parts. There is one field per part because leader only coordinates them.
type leader struct {
	options  Options
	raft     *raft.Node
	log      *commandLog
	members  *membership.MemberList
	outbox   *outbox
	requests *requestTable
	counters *Counters

	scheduler   *scheduler.Scheduler // nil unless this controller leads
	ends        *endTracker
	schedule    placementSchedule
	planner     planner
	timeLimits  timeLimitReview
	shapes      workerShapes
	wallOffset  wallOffset
	locality    locality
	stalledJobs stalledJobReview
	current     leaderView // see view
}

func newLeader(c *Controller) *leader {
	windows := workerWindows{orderDelay: c.options.DispatchTimeouts.AgentLease}
	ends := newEndTracker()
	return &leader{
		options:  c.options,
		raft:     c.raft,
		log:      c.log,
		members:  c.members,
		outbox:   c.outbox,
		requests: c.requests,
		counters: &c.Counters,
		ends:     ends,
		planner:  newPlanner(windows, ends, c.options),
		locality: newLocality(c.options),
		current:  leaderView{durations: c.durations},
	}
}

// active reports whether this controller leads and has established its leadership.
func (l *leader) active() bool { return l.scheduler != nil }

// stopPlacement stops the placement of work because the daemon is shutting down.
func (l *leader) stopPlacement() { l.schedule.stop() }

// measurePlacement measures how long a round of the last step took; eventAge is how long the
// event of this step was queued.
func (l *leader) measurePlacement(now types.MonoTime, eventAge time.Duration) {
	l.schedule.measure(now, eventAge)
}

// requestPlacement schedules a placement round in this step or, under overload, in a later one.
func (l *leader) requestPlacement() { l.schedule.request() }

// view returns the input of the leader's parts at the given time. It is valid until the next call.
func (l *leader) view(now types.MonoTime) *leaderView {
	v := &l.current
	v.now, v.clock = now, l.raft.Clock()
	v.state, v.scheduler = l.log.state(), l.scheduler
	return v
}

// establish starts the leader's work with a new scheduler, which learns from the agents which
// attempts are running. Attempts that are outstanding in the state must be confirmed by their
// agents, or counted as lost, before their tasks may be assigned again.
func (l *leader) establish(now types.MonoTime) {
	l.counters.Elected++
	l.scheduler = scheduler.New(now, scheduler.Config{
		Timeouts:           l.options.DispatchTimeouts,
		Addr:               l.options.Addr,
		Term:               l.raft.Term(),
		PriorLeaderHeardAt: l.raft.PriorLeaderHeardAt(),
		Outstanding:        outstandingAttempts(l.log.state(), l.locality),
		Cluster:            clusterState{log: l.log, members: l.members},
		Policy:             l.options.Policy,
	})
}

// revoke stops the leader's work and resets the state of this leadership.
func (l *leader) revoke() {
	if l.active() {
		l.scheduler = nil
		l.counters.LeadershipsLost++
	}
	l.ends.reset()
	l.planner.reset()
	l.shapes.reset()
	l.stalledJobs.reset()
}

// outstandingAttempts lists the attempts that are outstanding in a state.
func outstandingAttempts(s *state.State, l locality) []scheduler.OutstandingAttempt {
	var list []scheduler.OutstandingAttempt
	for _, j := range s.LiveJobs() {
		for i := range j.Tasks {
			number := j.Spec.TaskNumber(i)
			stage := types.StageOf(number)
			task := types.TaskID{Job: j.ID, TaskNumber: number}
			for _, attempt := range j.Tasks[i].Outstanding() {
				list = append(list, scheduler.OutstandingAttempt{
					ID:          types.AttemptID{TaskID: task, Attempt: attempt.Number},
					Shard:       attempt.Shard,
					Stage:       stage,
					Resources:   j.Spec.Steps[stage.Step()].Resources,
					Expectation: l.expectation(s, j, stage, attempt.Shard),
					TimeLimit:   timeLimit(s, j, stage),
				})
			}
		}
	}
	return list
}

// handleMessage handles a message from an agent.
func (l *leader) handleMessage(now types.MonoTime, message wire.Message) {
	l.scheduler.HandleMessage(now, l.raft.AuthorityRemaining(), message)
}

// step runs after each event: it advances the scheduler's timers and makes a placement round if
// one is due; lag is how far the daemon's event loop is behind.
func (l *leader) step(now types.MonoTime, lag time.Duration) {
	l.scheduler.Tick(now, l.raft.AuthorityRemaining())
	l.takeSchedulerOutput()
	if l.schedule.startRound(now, lag) {
		l.counters.Placed++
		l.placeWork(l.view(now))
		l.stalledJobs.review(l.view(now), &l.planner)
		l.takeSchedulerOutput()
	}
}

// takeSchedulerOutput sends the scheduler's messages and proposes the attempt ends that it has
// collected.
func (l *leader) takeSchedulerOutput() {
	messages, ends := l.scheduler.TakeOutput()
	l.outbox.send(messages...)
	l.proposeEnds(ends)
}

// proposeEnds proposes the ends that are not already in flight. Attempts that have certainly
// stopped release their resources immediately, before the commit.
func (l *leader) proposeEnds(ends []state.AttemptEnd) {
	list := l.ends.toPropose(l.log.state(), ends)
	if list == nil {
		return
	}
	index, ok := l.log.propose(state.Command{Ends: list})
	if !ok {
		return
	}
	for _, end := range list {
		l.ends.proposed(end)
		l.requests.endProposed(end.ID.Job, index)
		if end.Outcome.FreesResources() {
			l.release(end.ID)
		}
	}
	l.counters.Ends += uint64(len(list))
}

// release frees the resources of an attempt that has certainly stopped.
func (l *leader) release(attempt types.AttemptID) {
	l.ends.release(attempt)
	l.planner.invalidate(l.scheduler.ShardOf(attempt))
	l.requestPlacement()
}

// placeWork stops attempts that must not continue, proposes changes of the worker shapes and the
// wall offset, and plans and proposes a round. Without a read lease it places nothing, because
// another controller may lead.
func (l *leader) placeWork(v *leaderView) {
	l.stopAttempts(v)
	if !l.raft.HoldsReadLease() || l.schedule.isStopped() {
		return
	}
	l.shapes.propose(v, l.log)
	if l.wallOffset.due(v.now) {
		l.wallOffset.propose(v, l.log, l.raft.WallOffsets())
	}
	l.proposeRound(l.planner.plan(v, l.log.applied()))
	if l.planner.blocked() {
		l.counters.Blocked++
	}
}

// stopAttempts stops attempts that the state no longer needs, attempts unknown to the state and
// attempts beyond their time limit, and proposes the ends of exhausted tasks.
func (l *leader) stopAttempts(v *leaderView) {
	var toStop []types.AttemptID
	var exhausted []state.AttemptEnd
	for _, j := range v.state.LiveJobs() {
		ready := v.state.ReadyIndex(j, v.clock)
		toStop, exhausted = append(toStop, ready.AttemptsToStop...), append(exhausted, ready.ExpiredWaits...)
	}
	l.proposeEnds(exhausted)
	l.scheduler.KillTasks(append(toStop, l.scheduler.UnknownAttempts()...), l.timeLimits.exceeded(v))
}

// proposeRound proposes a round unless it is empty. Its orders are sent after it is committed.
func (l *leader) proposeRound(r round) {
	if r.empty() {
		return
	}
	index, ok := l.log.propose(state.Command{Assignments: r.assignments, Withdrawals: r.withdrawals})
	if ok {
		l.planner.proposed(index, r.assignments)
	}
}

// commandApplied handles a command that was just applied: rejection is the reason why the state
// rejected it, or nil; assignments are those that took effect.
func (l *leader) commandApplied(now types.MonoTime, command state.Command, assignments []state.Assignment,
	rejection *apierror.Error) {
	if command.Job != nil && rejection == nil {
		l.planner.recordJob(l.view(now), l.log.state().Jobs[command.Job.ID])
	}
	for _, a := range command.Assignments {
		l.planner.applied(a.ID.TaskID)
	}
	l.sendOrders(assignments)
	l.scheduler.OnEndsCommitted(command.Ends)
	for _, end := range command.Ends {
		l.ends.committed(end)
		l.requests.endCommitted(end.ID.Job, l.log.applied())
	}
}

// sendOrders sends the agents the orders to run newly assigned attempts.
func (l *leader) sendOrders(assignments []state.Assignment) {
	s := l.log.state()
	for _, a := range assignments {
		j := s.Jobs[a.ID.Job]
		stage := types.StageOf(a.ID.TaskNumber)
		step := &j.Spec.Steps[stage.Step()]
		l.counters.Orders++
		l.scheduler.RunTask(a.Shard, stage, l.locality.expectation(s, j, stage, a.Shard), protocol.AttemptSpec{
			Attempt:     a.ID,
			Kind:        step.Kind,
			Rack:        step.Rack,
			Resources:   step.Resources,
			TimeLimitMS: int(timeLimit(s, j, stage).Milliseconds()),
			Labels:      step.Labels,
			Checkpoint:  j.Task(a.ID.TaskNumber).Checkpoint,
			Input:       j.Spec.StepWork(stage.Step()),
		})
	}
}

// attempts returns the attempts that may be running, as far as this controller knows.
func (l *leader) attempts() []*scheduler.OutstandingAttempt {
	if !l.active() {
		return nil
	}
	return l.scheduler.Attempts()
}

// workers returns the workers that registered with this controller during its leadership.
func (l *leader) workers() []*scheduler.RemoteWorker {
	if !l.active() {
		return nil
	}
	return l.scheduler.Workers()
}

// initialWait returns why no work is placed yet after this controller was elected, or an empty
// string.
func (l *leader) initialWait() string {
	if !l.active() || !l.scheduler.InInitialWait() {
		return ""
	}
	return l.scheduler.InitialWaitReason()
}
