package controller

import (
	"time"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
)

// minStragglerRuntime is how long an attempt runs at the least that has stalled.
const minStragglerRuntime = 2 * time.Second

// An attempt that has stalled is withdrawn, once a task: its queue says how far beyond the
// usual duration that is, or its progress shows that it will hardly end. One that is only
// slow is left to its worker. To start its task a second time, beside it or in its place,
// cost more wherever it was measured than it won: what is slow is mostly so for reasons of
// its own, and the room for the second attempt is then missing for a first one (docs/policy.md).

// isStraggler reports whether an attempt is far beyond its step's usual duration, or its
// progress far behind that of others of its stage.
func isStraggler(v *leaderView, attempt *scheduler.OutstandingAttempt) bool {
	j := v.state.Jobs[attempt.ID.Job]
	if j == nil || attempt.Stage == scheduler.StageUnknown {
		return false
	}
	task := j.Task(attempt.ID.TaskNumber)
	if task == nil || task.AvoidWorker != "" || j.Spec.Steps[attempt.Stage.Step()].AlwaysRestart {
		return false
	}
	runs := v.now.Sub(attempt.DispatchedAt)
	return runs > minStragglerRuntime && (attempt.StragglerEnd > v.now || exceedsStragglerLimit(v, j, attempt, runs))
}

// exceedsStragglerLimit reports whether an attempt has run for longer than its queue allows beside the
// usual duration.
func exceedsStragglerLimit(v *leaderView, j *state.Job, attempt *scheduler.OutstandingAttempt, runs time.Duration) bool {
	usual, ok := v.scheduler.BaselineDuration(attempt.BaselineName)
	queue, _ := v.state.QueueConfig(j.Queue)
	return ok && queue.StragglerFactor > 0 && runs > time.Duration(queue.StragglerFactor)*usual
}
