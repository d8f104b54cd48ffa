package controller

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	hedgeFactor = 1.8                    // an attempt is hedged after its usual duration times hedgeFactor
	hedgeMargin = 150 * time.Millisecond // plus hedgeMargin

	minStallDuration   = 2 * time.Second         // a shorter attempt has not stalled
	maxRestartDuration = 1500 * time.Millisecond // a task that usually takes longer is not restarted
	restartDelay       = 300 * time.Millisecond  // to stop an attempt and start it elsewhere
)

// Stragglers are attempts that take far longer than their like. One that has stalled, or
// whose worker is so slow that the task is sooner done elsewhere, is withdrawn, once a task.
// Where the step allows that its tasks run twice, a hedge is started elsewhere instead, in
// resources that nothing else wants: whichever ends well first counts, and the other is
// stopped.

// isStalled reports whether an attempt is far beyond its step's usual duration.
func isStalled(v *leaderView, attempt *scheduler.OutstandingAttempt) bool {
	usual, ok := v.scheduler.BaselineDuration(attempt.BaselineName)
	j := v.state.Jobs[attempt.ID.Job]
	if !ok || j == nil {
		return false
	}
	task := j.Task(attempt.ID.TaskNumber)
	if task == nil || task.AvoidWorker != "" || j.Spec.Steps[attempt.Stage.Step()].AlwaysRestart {
		return false
	}
	queue, _ := v.state.QueueConfig(j.Queue)
	limit := max(minStallDuration, time.Duration(queue.StragglerFactor)*usual)
	return queue.StragglerFactor > 0 && v.now.Sub(attempt.OrderedAt) > limit
}

// isWorthRestarting reports whether an attempt will take so much longer on its slow worker
// that its task is sooner done elsewhere. What takes long anyway is left to its worker,
// which may be quick again before then; what may be hedged is hedged.
func isWorthRestarting(v *leaderView, attempt *scheduler.OutstandingAttempt) bool {
	j := v.state.Jobs[attempt.ID.Job]
	if j == nil || attempt.StragglerEnd <= v.now || attempt.Stage == scheduler.StageUnknown {
		return false
	}
	step := &j.Spec.Steps[attempt.Stage.Step()]
	task := j.Task(attempt.ID.TaskNumber)
	if task == nil || task.AvoidWorker != "" || step.AlwaysRestart || step.AllowHedge && !step.Gang {
		return false
	}
	usual := v.expectedDuration(j, attempt.Stage.Step())
	return usual < maxRestartDuration && attempt.StragglerEnd.Sub(v.now) > 3*usual/2+restartDelay
}

// hedgeRequests asks for hedges of the attempts that need one.
func hedgeRequests(v *leaderView, attempts []*scheduler.OutstandingAttempt) []placement.Request {
	var requests []placement.Request
	for _, attempt := range attempts {
		j := openJob(v.state, attempt.ID.Job)
		if j == nil || attempt.Stage == scheduler.StageUnknown || !needsHedge(v, j, attempt) {
			continue
		}
		request := stageRequest(j, attempt.Stage)
		request.Tasks = []int{attempt.ID.TaskNumber}
		request.TimeLimit = placementTimeLimit(v.state, j, attempt.Stage)
		request.AvoidWorkers = map[types.Shard]bool{attempt.Shard: true}
		requests = append(requests, request)
	}
	return requests
}

// needsHedge reports whether an attempt may be hedged, has no hedge and is slow.
func needsHedge(v *leaderView, j *state.Job, attempt *scheduler.OutstandingAttempt) bool {
	step := &j.Spec.Steps[attempt.Stage.Step()]
	task := j.Task(attempt.ID.TaskNumber)
	if !step.AllowHedge || step.Gang || task == nil || task.Done || task.Hedge != nil {
		return false
	}
	return task.FindOutstanding(attempt.ID.Attempt) != nil && isSlow(v, attempt, step)
}

// isSlow reports whether an attempt is far behind others of its step, or its worker not
// healthy.
func isSlow(v *leaderView, attempt *scheduler.OutstandingAttempt, step *state.Step) bool {
	worker := v.scheduler.Worker(attempt.Shard)
	if worker == nil || worker.State != protocol.WorkerHealthy || !worker.Healthy {
		return true
	}
	if attempt.StragglerEnd > v.now {
		return true
	}
	usual := estimateOf(step)
	if baseline, ok := v.scheduler.BaselineDuration(attempt.BaselineName); ok {
		usual = max(usual, baseline)
	}
	return usual > 0 && v.now.Sub(attempt.OrderedAt) > time.Duration(hedgeFactor*float64(usual))+hedgeMargin
}

// placeHedges places hedges in what a round has left. A hedge on the worker of the attempt
// that it is for would be of no use.
func placeHedges(v *leaderView, in placement.Input, requests []placement.Request) []state.Assignment {
	if requests == nil {
		return nil
	}
	var list []state.Assignment
	in.Requests, in.Reservation = requests, nil
	for _, placed := range placement.Place(in).Assignments {
		task := v.state.Jobs[placed.Task.Job].Task(placed.Task.TaskNumber)
		if task.Primary.Shard != placed.Shard {
			id := types.AttemptID{TaskID: placed.Task, Attempt: task.LastAttempt + 1}
			list = append(list, state.Assignment{ID: id, Shard: placed.Shard, Hedge: true})
		}
	}
	return list
}
