package controller

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	preemptionDelay    = time.Second     // how long a request must have waited before it preempts
	preemptionInterval = 2 * time.Second // minimum time between two preemptions
)

// preemption selects running attempts to withdraw for a waiting request. The queue of the request
// must allow preemption. Victims are of queues that are not below their share. They are less
// urgent than the request or, if its queue is below its share, of another queue and not more
// urgent. Gangs are preempted whole, each task at most MaxPreemptions times. Only one request at a
// time preempts, and the freed capacity is reserved for it.
type preemption struct {
	lastAt types.MonoTime
}

// victim is a unit of preemption: one attempt, or all attempts of a gang.
type victim struct {
	attempts []types.AttemptID
	freed    map[types.Shard]types.Resources // by worker
	urgency  int
	age      time.Duration
}

// newVictim returns a victim without attempts.
func newVictim(urgency int, age time.Duration) *victim {
	return &victim{freed: map[types.Shard]types.Resources{}, urgency: urgency, age: age}
}

// add adds an attempt and the resources that its preemption frees.
func (v *victim) add(attempt *scheduler.OutstandingAttempt) {
	v.attempts = append(v.attempts, attempt.ID)
	v.freed[attempt.Shard] = v.freed[attempt.Shard].Add(attempt.Resources)
}

// find returns the attempts to withdraw for the first request that can be placed by preemption,
// and the workers to reserve for it.
func (p *preemption) find(v *leaderView, in placement.Input) ([]state.Withdrawal, *placement.Reservation) {
	if v.now.Sub(p.lastAt) < preemptionInterval {
		return nil, nil
	}
	for _, request := range in.Requests {
		if !mayPreempt(request, in.Usage[request.Queue], in.Tenants[request.Tenant]) {
			continue
		}
		victims := chooseVictims(request, in.Slots, preemptionCandidates(v, request, in))
		if victims == nil {
			continue
		}
		p.lastAt = v.now
		workers := fit(request, in.Slots, victims)
		return withdrawals(victims), &placement.Reservation{StageID: request.StageID, Workers: workers}
	}
	return nil, nil
}

// mayPreempt reports whether a request may preempt running attempts; tenant is nil if the
// request's tenant has no limit.
func mayPreempt(request placement.Request, usage *placement.QueueUsage, tenant *placement.TenantUsage) bool {
	if tenant != nil && !tenant.Allows(request.Resources, request.MinTasks()) {
		return false
	}
	return usage != nil && usage.Queue.CanPreempt && request.WaitingFor >= preemptionDelay &&
		len(request.Tasks) > 0 && usage.RunningTasks+request.MinTasks() <= usage.Queue.MaxRunning
}

// belowShare reports whether a queue uses less than its share of the total cores.
func belowShare(usage *placement.QueueUsage, total types.MilliCores) bool {
	return 100*usage.CoresInUse < types.MilliCores(usage.Queue.SharePercent)*total
}

// preemptionCandidates lists the victims that a request may preempt, by increasing urgency and
// then by increasing run time.
func preemptionCandidates(v *leaderView, request placement.Request, in placement.Input) []*victim {
	var list []*victim
	gangs := map[types.StageID]*victim{}
	below := belowShare(in.Usage[request.Queue], in.TotalCores)
	for _, attempt := range v.scheduler.Attempts() {
		if attempt.Stage == scheduler.StageUnknown || !canWithdraw(v.state, attempt.ID) {
			continue
		}
		j := v.state.Jobs[attempt.ID.Job]
		if !isCandidate(j, attempt.ID.TaskNumber, request, below, in) {
			continue
		}
		stage := attempt.StageID()
		candidate := gangs[stage]
		if candidate == nil {
			candidate = newVictim(j.Spec.Urgency, v.now.Sub(attempt.DispatchedAt))
			list = append(list, candidate)
			if j.Spec.Steps[attempt.Stage.Step()].Gang {
				gangs[stage] = candidate
			}
		}
		candidate.add(attempt)
	}
	slices.SortStableFunc(list, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.age, b.age))
	})
	return list
}

// isCandidate reports whether a request may preempt a task of a job; below is whether the
// request's queue is below its share.
func isCandidate(j *state.Job, task int, request placement.Request, below bool, in placement.Input) bool {
	usage := in.Usage[j.Queue]
	if usage == nil || belowShare(usage, in.TotalCores) || j.Task(task).Preemptions >= usage.Queue.MaxPreemptions {
		return false
	}
	if j.Spec.Urgency < request.Urgency {
		return true
	}
	return below && j.Queue != request.Queue && j.Spec.Urgency <= request.Urgency
}

// chooseVictims takes candidates in order until the request fits, and then removes those that are
// not needed. It returns nil if the request fits without preemption, or does not fit even if all
// candidates are preempted.
func chooseVictims(request placement.Request, slots []placement.Slot, candidates []*victim) []*victim {
	if fit(request, slots, nil) != nil || fit(request, slots, candidates) == nil {
		return nil
	}
	var chosen []*victim
	for _, candidate := range candidates {
		chosen = append(chosen, candidate)
		if fit(request, slots, chosen) != nil {
			break
		}
	}
	for i := 0; i < len(chosen); {
		fewer := slices.Delete(slices.Clone(chosen), i, i+1)
		if fit(request, slots, fewer) != nil {
			chosen = fewer
		} else {
			i++
		}
	}
	return chosen
}

// fit returns workers that together can run the request after the victims have stopped, with the
// number of tasks for each, or nil if there are none.
func fit(request placement.Request, slots []placement.Slot, victims []*victim) []placement.ReservedWorker {
	var workers []placement.ReservedWorker
	missing := request.MinTasks()
	for i := range slots {
		slot := &slots[i]
		if !slot.Reservable(&request) {
			continue
		}
		free := slot.Free
		for _, victim := range victims {
			free = free.Add(victim.freed[slot.Shard])
		}
		if tasks := taskFitCount(request, slot, free, missing); tasks > 0 {
			workers = append(workers, placement.ReservedWorker{Shard: slot.Shard, Tasks: tasks})
			missing -= tasks
		}
		if missing <= 0 {
			return workers
		}
	}
	return nil
}

// taskFitCount returns how many tasks of a request fit the free resources of one worker, at most
// limit.
func taskFitCount(request placement.Request, slot *placement.Slot, free types.Resources, limit int) int {
	tasks := 0
	if request.MaxPerWorker > 0 {
		limit = min(limit, request.MaxPerWorker-slot.TaskCount(request.StageID))
	}
	for tasks < limit && free.Contains(request.Resources) {
		free = free.Sub(request.Resources)
		tasks++
	}
	return tasks
}

// withdrawals returns the withdrawals of all attempts of the victims.
func withdrawals(victims []*victim) []state.Withdrawal {
	var list []state.Withdrawal
	for _, victim := range victims {
		for _, attempt := range victim.attempts {
			list = append(list, state.Withdrawal{ID: attempt, Reason: state.Preempted})
		}
	}
	return list
}
