package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	// stallReportDelay is how long a job must be stalled before it is reported, and then before it
	// is reported again.
	stallReportDelay = 3 * time.Second
	// stallReviewInterval is the minimum time between two reviews.
	stallReviewInterval = time.Second
	// maxDiagnosedInputAge is how long the last round may have been made before a stall is put down
	// to the rounds in flight. At a busy leader some round is nearly always in flight.
	maxDiagnosedInputAge = time.Second
	// maxReportedStalls bounds the jobs that one review reports; the longest stalled go first.
	maxReportedStalls = 4
)

// StallReason is why a job is stalled.
type StallReason string

// Reasons of a stall, as far as the leader can tell.
const (
	StallUnconfirmed StallReason = "attempts not confirmed" // assigned, but no agent has reported them as running
	StallBackoff     StallReason = "tasks in back-off"
	StallInFlight    StallReason = "assignment in flight"
	StallNoRound     StallReason = "no round of placement"
	StallTenantLimit StallReason = "tenant is at its limit"
	StallQueueLimit  StallReason = "queue is at its limit"
	StallNoWorker    StallReason = "no worker available"
	StallNotReached  StallReason = "not reached in the placement order" // although workers are available
)

// StalledJob is a job that has tasks due but no running attempt, while less than half of all cores
// is in use.
type StalledJob struct {
	Job         types.JobID
	Reason      StallReason
	Detail      string // details of the reason, such as the number of workers per placement obstacle
	Idle        time.Duration
	Outstanding int // attempts that are assigned and not confirmed by an agent
	ReadyTasks  int
}

// idleTimes is since when a job has had nothing running, and when that was last reported.
type idleTimes struct {
	since, reportedAt types.MonoTime
}

// stalledJobReview periodically looks for stalled jobs and reports them to operators. It does not
// affect scheduling.
type stalledJobReview struct {
	reviewedAt types.MonoTime
	idle       map[types.JobID]idleTimes
	found      []StalledJob // since the last call of take
}

// reset drops the state of the previous leadership.
func (r *stalledJobReview) reset() { *r = stalledJobReview{} }

// take returns the stalled jobs found since its last call.
func (r *stalledJobReview) take() []StalledJob {
	found := r.found
	r.found = nil
	return found
}

// review looks for stalled jobs if the review is due. It is called after a placement round.
func (r *stalledJobReview) review(v *leaderView, p *planner) {
	if v.now.Sub(r.reviewedAt) < stallReviewInterval {
		return
	}
	r.reviewedAt = v.now
	waiting, coresInUse := r.updateIdle(v)
	if halfInUse(coresInUse, healthyCores(v)) {
		return
	}
	r.found = nil
	for _, j := range waiting {
		times := r.idle[j.ID]
		if v.now.Sub(max(times.since, times.reportedAt)) < stallReportDelay {
			continue
		}
		if len(r.found) == maxReportedStalls {
			return
		}
		r.idle[j.ID] = idleTimes{since: times.since, reportedAt: v.now}
		stalled := p.diagnose(v, j)
		stalled.Idle = v.now.Sub(times.since)
		r.found = append(r.found, stalled)
	}
}

// updateIdle returns the jobs that have tasks due but nothing running, the longest waiting first,
// and the cores in use by all jobs.
func (r *stalledJobReview) updateIdle(v *leaderView) (waiting []*state.Job, coresInUse types.MilliCores) {
	running, idle := v.scheduler.JobsRunning(), map[types.JobID]idleTimes{}
	for _, j := range v.state.LiveJobs() {
		ready := v.state.ReadyIndex(j, v.clock)
		coresInUse += ready.InUse.Cores
		if j.Status != state.JobOpen || running[j.ID] || !anyRemaining(ready) {
			continue
		}
		times, ok := r.idle[j.ID]
		if !ok {
			times = idleTimes{since: v.now}
		}
		idle[j.ID] = times
		waiting = append(waiting, j)
	}
	r.idle = idle
	slices.SortStableFunc(waiting, func(a, b *state.Job) int { return int(idle[a.ID].since - idle[b.ID].since) })
	return waiting, coresInUse
}

// anyRemaining reports whether a job has due tasks that are not done.
func anyRemaining(ready *state.ReadyIndex) bool {
	return slices.ContainsFunc(ready.RemainingTasks, func(count int) bool { return count > 0 })
}

// healthyCores returns the cores of all healthy workers.
func healthyCores(v *leaderView) (total types.MilliCores) {
	for _, worker := range v.scheduler.Workers() {
		if worker.State == protocol.WorkerHealthy {
			total += worker.Capacity.Cores
		}
	}
	return total
}

// diagnose finds why a job is stalled, from its state and from the last round.
func (p *planner) diagnose(v *leaderView, j *state.Job) StalledJob {
	ready := v.state.ReadyIndex(j, v.clock)
	stalled := StalledJob{Job: j.ID, Outstanding: ready.OutstandingAttempts}
	for _, stage := range ready.Stages {
		stalled.ReadyTasks += len(stage.Tasks)
	}
	stalled.Reason, stalled.Detail = p.stallReason(v, j, ready)
	return stalled
}

func (p *planner) stallReason(v *leaderView, j *state.Job, ready *state.ReadyIndex) (StallReason, string) {
	if len(ready.Stages) == 0 {
		if ready.OutstandingAttempts > 0 {
			return StallUnconfirmed, ""
		}
		return StallBackoff, backoffDetail(v, j)
	}
	stage := types.StageID{Job: j.ID, Stage: ready.Stages[0].Stage}
	if p.rounds.assigned(types.TaskID{Job: j.ID, TaskNumber: ready.Stages[0].Tasks[0]}) {
		return StallInFlight, ""
	}
	if usage := p.tenantUsage(v)[j.Tenant]; !tenantAllows(usage, j, ready.Stages[0]) {
		return StallTenantLimit, fmt.Sprintf("%+v of %+v in use", usage.InUse, usage.Limit)
	}
	if p.blocked() && v.now.Sub(p.lastInputAt) >= maxDiagnosedInputAge {
		return StallNoRound, p.blockedReason
	}
	request := slices.IndexFunc(p.lastInput.Requests, func(r placement.Request) bool { return r.StageID == stage })
	if request < 0 {
		return StallNoRound, p.blockedReason
	}
	diagnosis := placement.Diagnose(p.lastInput, &p.lastInput.Requests[request])
	detail := workersByObstacle(diagnosis.Workers)
	switch {
	case diagnosis.Queue != placement.NotRejected:
		return StallQueueLimit, string(diagnosis.Queue) + "; " + detail
	case diagnosis.Workers[placement.NotRejected] == 0:
		return StallNoWorker, detail
	}
	return StallNotReached, detail
}

// backoffDetail describes the tasks of a job that are in back-off and when the first is ready.
func backoffDetail(v *leaderView, j *state.Job) string {
	waiting, unresolved, losses := 0, 0, 0
	first := types.DistantFuture
	for i := range j.Tasks {
		task := &j.Tasks[i]
		if task.Done || task.ReadyAt <= v.clock {
			continue
		}
		waiting++
		first, losses = min(first, task.ReadyAt), max(losses, task.Losses)
		if task.UnresolvedOn != "" {
			unresolved++
		}
	}
	if waiting == 0 {
		return "no task is due"
	}
	return fmt.Sprintf("%d tasks waiting, %d of them unresolved, at most %d losses per task, first ready in %v",
		waiting, unresolved, losses, first.Sub(v.clock).Round(time.Millisecond))
}

// workersByObstacle formats the number of workers per placement obstacle.
func workersByObstacle(workers map[placement.RejectReason]int) string {
	var parts []string
	for _, obstacle := range slices.Sorted(maps.Keys(workers)) {
		name := string(obstacle)
		if obstacle == placement.NotRejected {
			name = "free"
		}
		parts = append(parts, fmt.Sprintf("%s: %d", name, workers[obstacle]))
	}
	return strings.Join(parts, ", ")
}
