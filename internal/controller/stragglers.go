package controller

import (
	"time"

	"coppercourse/internal/dispatch/scheduler"
)

const (
	minStallDuration = 2 * time.Second // a shorter attempt has not stalled
	// stallRatio is how many times as long as usual an attempt takes, by its progress, that
	// has stalled.
	stallRatio = 10
)

// An attempt that has stalled is withdrawn, once a task: its queue says how far beyond the
// usual duration that is, or its progress shows that it will hardly end. One that is only
// slow is left to its worker. To start its task a second time, beside it or in its place,
// cost more wherever it was measured than it won: what is slow is mostly so for reasons of
// its own, and the room for the second attempt is then missing for a first one (docs/policy.md).

// isStalled reports whether an attempt is far beyond its step's usual duration, or will be.
func isStalled(v *leaderView, attempt *scheduler.OutstandingAttempt) bool {
	usual, ok := v.scheduler.BaselineDuration(attempt.BaselineName)
	j := v.state.Jobs[attempt.ID.Job]
	if !ok || j == nil || attempt.Stage == scheduler.StageUnknown {
		return false
	}
	task := j.Task(attempt.ID.TaskNumber)
	if task == nil || task.AvoidWorker != "" || j.Spec.Steps[attempt.Stage.Step()].AlwaysRestart {
		return false
	}
	queue, _ := v.state.QueueConfig(j.Queue)
	runs := v.now.Sub(attempt.OrderedAt)
	limit := max(minStallDuration, time.Duration(queue.StragglerFactor)*usual)
	return queue.StragglerFactor > 0 && runs > limit || runs > minStallDuration && standsStill(v, attempt, usual)
}

// standsStill reports whether an attempt's progress shows that it will take stallRatio times
// as long as usual.
func standsStill(v *leaderView, attempt *scheduler.OutstandingAttempt, usual time.Duration) bool {
	return attempt.StragglerEnd > v.now && attempt.StragglerEnd.Sub(attempt.OrderedAt) > stallRatio*usual
}
