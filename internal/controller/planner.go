package controller

import (
	"time"

	"coppercourse/internal/placement"
	"coppercourse/internal/policy"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// unlimitedDuration is the time limit assumed for steps that have none, so that they are never
// placed on a worker with an upcoming maintenance window.
const unlimitedDuration = 10_000 * time.Hour

// planner makes placement rounds: it lists the ready tasks and the workers with free capacity,
// chooses a worker for each task and numbers the new attempts. Only one full round is in flight
// at a time; meanwhile further rounds may place new work.
type planner struct {
	review        attemptReview
	preemption    preemption
	rounds        assignmentRounds
	waits         waitTimes
	ranking       jobRanking
	limits        coreLimits
	slots         slotCache
	quotaExcess   float64 // see placement.TenantUsage.Excess
	ends          *endTracker
	locality      locality
	policy        policy.Policy
	hold          reservationHold     // workers that are reserved for a request that was passed over
	requests      []placement.Request // of the last round; the memory is reused
	blockedReason string              // why the last round placed nothing beside one in flight, or empty
	lastInput     placement.Input     // of the last round that was not blocked, as modified by Place; may be empty
	lastInputAt   types.MonoTime      // when that round was made

	// Results of the last round, for the status.
	tenants         map[types.TenantName]*placement.TenantUsage
	waitingForLimit map[types.TenantName]int // ready tasks that wait for their tenant's limit
}

// newPlanner returns a planner. It uses windows to find how long workers are available, and ends
// to find which attempts have released their resources.
func newPlanner(windows workerWindows, ends *endTracker, options Options) planner {
	return planner{
		locality:    newLocality(options),
		policy:      options.Policy,
		review:      attemptReview{windows: windows},
		rounds:      assignmentRounds{assignments: map[types.TaskID]state.Assignment{}},
		ranking:     newJobRanking(options.Policy),
		limits:      newCoreLimits(),
		slots:       slotCache{windows: windows},
		quotaExcess: options.QuotaExcess,
		ends:        ends,

		waitingForLimit: map[types.TenantName]int{},
	}
}

// reset drops the state of the previous leadership, except for the statistics on the queues' jobs.
func (p *planner) reset() {
	p.rounds.reset()
	p.waits.reset()
	p.slots.reset()
	p.hold.reset()
	p.lastInput = placement.Input{}
	p.tenants = nil
}

// recordJob adds a new job to the statistics of its queue.
func (p *planner) recordJob(v *leaderView, j *state.Job) { p.ranking.recordJob(v, j) }

// invalidate drops the cached occupancy of a worker.
func (p *planner) invalidate(shard types.Shard) { p.slots.invalidate(shard) }

// proposed records that a round's assignments were proposed.
func (p *planner) proposed(index types.Index, assignments []state.Assignment) {
	p.rounds.proposed(index, assignments)
}

// applied records that the assignment of a task was applied.
func (p *planner) applied(task types.TaskID) { p.rounds.applied(task) }

// plan makes the next round; applied is the last applied index.
func (p *planner) plan(v *leaderView, applied types.Index) round {
	p.blockedReason = ""
	if p.rounds.inFlight(applied) {
		p.blockedReason = p.blockedReasonInFlight(v, applied)
	}
	if p.blockedReason != "" {
		return round{}
	}
	p.lastInput, p.lastInputAt = placement.Input{}, v.now
	if p.rounds.inFlight(applied) {
		return p.planWhileInFlight(v)
	}
	return p.planFull(v)
}

// blocked reports whether the last round placed nothing because an earlier one was in flight.
func (p *planner) blocked() bool { return p.blockedReason != "" }

// planFull makes a full round: the review withdraws attempts, new work is placed, and if neither
// had any result, preemption frees capacity.
func (p *planner) planFull(v *leaderView) round {
	p.rounds.allApplied()
	result := round{withdrawals: p.review.review(v)}
	if v.scheduler.InInitialWait() {
		return result
	}
	in := p.readyWork(v)
	if len(in.Requests) == 0 {
		p.waits.reset()
		p.hold.reset()
		return result
	}
	in.Slots, in.TotalCores = p.slots.list(v, p.ends, &p.rounds)
	in.Reservation = p.hold.limit(v, p.ends, &p.slots, in)
	p.hold.markVain(v.now, in.Requests)
	out := p.place(v, in)
	reservation := out.Reservation
	result.assignments = p.assign(v.state, out.Assignments)
	if result.empty() && reservation == nil && !p.policy.NoPreemption {
		result.withdrawals, reservation = p.preemption.find(v, in)
	}
	p.hold.update(reservation)
	return result
}

// planWhileInFlight places new work while an earlier round is in flight.
func (p *planner) planWhileInFlight(v *leaderView) round {
	in := p.readyWork(v)
	if len(in.Requests) == 0 {
		return round{}
	}
	in.Slots, in.TotalCores = p.slots.list(v, p.ends, &p.rounds)
	return round{assignments: p.assign(v.state, p.place(v, in).Assignments)}
}

// blockedReasonInFlight returns why nothing may be placed while an earlier round is in flight, or
// an empty string.
func (p *planner) blockedReasonInFlight(v *leaderView, applied types.Index) string {
	switch {
	case p.rounds.full(applied):
		return "too many rounds in flight"
	case v.scheduler.InInitialWait():
		return "initial wait"
	case p.hold.reservation != nil:
		return "a reservation is held while a round is in flight"
	}
	return ""
}

// place chooses workers for the requests.
func (p *planner) place(v *leaderView, in placement.Input) placement.Output {
	p.waits.update(v.now, in.Requests)
	markOverdue(v, in)
	p.limits.apply(v.now, in)
	p.lastInput = in
	return placement.Place(in)
}

// assign numbers the attempts of the placed tasks. A task uses each number only once; all members
// of a gang get the same number.
func (p *planner) assign(s *state.State, placed []placement.Assignment) []state.Assignment {
	var list []state.Assignment
	for _, a := range placed {
		j := s.Jobs[a.Task.Job]
		stage := types.StageOf(a.Task.TaskNumber)
		attempt := j.Task(a.Task.TaskNumber).LastAttempt + 1
		if j.Spec.Steps[stage.Step()].Gang {
			for _, member := range j.StageTasks(stage) {
				attempt = max(attempt, member.LastAttempt+1)
			}
		}
		id := types.AttemptID{TaskID: a.Task, Attempt: attempt}
		list = append(list, state.Assignment{ID: id, Shard: a.Shard})
		p.waits.placed(types.StageID{Job: a.Task.Job, Stage: stage})
	}
	return list
}

// readyWork lists the tasks that may start now, and the usage of each queue and of each tenant
// with a limit. The list is valid until the next call. It omits tasks that exceed their tenant's
// limit, so that they add no cost to the round.
func (p *planner) readyWork(v *leaderView) placement.Input {
	in := placement.Input{Usage: queueUsage(v.state), Tenants: p.tenantUsage(v), Policy: p.policy}
	list := p.requests[:0]
	clear(p.waitingForLimit)
	for _, j := range v.state.LiveJobs() {
		used := in.Usage[j.Queue]
		if used == nil {
			continue
		}
		ready := v.state.ReadyIndex(j, v.clock)
		used.RunningTasks += ready.OutstandingAttempts
		used.CoresInUse += ready.InUse.Cores
		var estimate *jobEstimate
		for _, stage := range ready.Stages {
			if stage.Tasks = p.unassigned(j, stage, used); len(stage.Tasks) == 0 {
				continue
			}
			if !tenantAllows(in.Tenants[j.Tenant], j, stage) {
				p.waitingForLimit[j.Tenant] += len(stage.Tasks)
				continue
			}
			if estimate == nil {
				estimate = p.ranking.estimate(v, j, used.Queue, ready)
			}
			rank := p.ranking.rank(v, j, used.Queue, estimate, stage)
			list = append(list, p.request(v, j, ready, stage, rank))
		}
	}
	p.tenants = in.Tenants
	p.requests, in.Requests = list, list
	return in
}

// queueUsage returns a zero usage for each queue, including removed queues that still have jobs.
func queueUsage(s *state.State) map[types.QueueName]*placement.QueueUsage {
	usage := map[types.QueueName]*placement.QueueUsage{}
	for name, queue := range s.RemovedQueues {
		usage[name] = &placement.QueueUsage{Queue: queue}
	}
	for _, queue := range s.Table.Queues {
		usage[queue.Name] = &placement.QueueUsage{Queue: queue}
	}
	return usage
}

// request returns the request for workers for the ready tasks of one stage of a job.
func (p *planner) request(v *leaderView, j *state.Job, ready *state.ReadyIndex, stage state.ReadyStage,
	rank jobRank) placement.Request {
	step := &j.Spec.Steps[stage.Stage.Step()]
	request := stageRequest(j, stage.Stage)
	request.Tasks = stage.Tasks
	request.TimeLimit = placementTimeLimit(v.state, j, stage.Stage)
	request.Gang = step.Gang
	request.PreferOneRack = step.PreferOneRack
	request.AvoidWorkers = stage.AvoidWorkers
	request.Class = rank.class
	request.HeadroomPercent = rank.headroomPercent
	request.SortKey = rank.sortKey
	request.JobIdle = ready.OutstandingAttempts == 0
	request.DataRackWait = p.locality.dataRackWait(step, v.expectedDuration(j, stage.Stage.Step()))
	return request
}

// placementTimeLimit returns how long an attempt of a stage may occupy its worker.
func placementTimeLimit(s *state.State, j *state.Job, stage types.Stage) time.Duration {
	if j.Spec.Steps[stage.Step()].AlwaysRestart {
		return unlimitedDuration
	}
	return timeLimit(s, j, stage)
}

// stageRequest returns a request without tasks that has the worker requirements of a stage from
// the job's specification. They are the same for first attempts and hedged attempts.
func stageRequest(j *state.Job, stage types.Stage) placement.Request {
	step := &j.Spec.Steps[stage.Step()]
	return placement.Request{
		StageID:      types.StageID{Job: j.ID, Stage: stage},
		Queue:        j.Queue,
		Tenant:       j.Tenant,
		Urgency:      j.Spec.Urgency,
		Kind:         step.Kind,
		Rack:         step.Rack,
		Labels:       step.Labels,
		Resources:    step.Resources,
		MaxPerWorker: step.MaxPerWorker,
		DataRack:     step.DataRack,
	}
}

// unassigned returns the tasks of a stage that are in no round in flight. Tasks in flight are
// added to the usage.
func (p *planner) unassigned(j *state.Job, stage state.ReadyStage, used *placement.QueueUsage) []int {
	if p.rounds.empty() {
		return stage.Tasks
	}
	var list []int
	for _, number := range stage.Tasks {
		if !p.rounds.assigned(types.TaskID{Job: j.ID, TaskNumber: number}) {
			list = append(list, number)
			continue
		}
		used.RunningTasks++
		used.CoresInUse += j.Spec.Steps[stage.Stage.Step()].Resources.Cores
	}
	return list
}
