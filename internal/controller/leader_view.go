package controller

import (
	"time"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// leaderView is the input of the leader's parts during one step: the time, the replicated
// state, the workers with their attempts, and how long tasks are expected to take.
type leaderView struct {
	now       types.MonoTime
	clock     types.ClusterTime
	state     *state.State
	scheduler *scheduler.Scheduler
	durations *durationEstimates
}

// expectedDuration returns the expected duration of a task of a step, estimated from the step's
// ended tasks, else from its running tasks, else from its queue.
func (v *leaderView) expectedDuration(j *state.Job, step int) time.Duration {
	if d, ok := v.durations.ofStep(j, step); ok {
		return d
	}
	if v.scheduler != nil {
		if d, ok := v.scheduler.StageDuration(j.ID, step); ok {
			return d
		}
	}
	return v.durations.ofQueue(j, step)
}

// openJob returns the job with an ID, or nil if there is no open job with that ID.
func openJob(s *state.State, id types.JobID) *state.Job {
	if j := s.Jobs[id]; j != nil && j.Status == state.JobOpen {
		return j
	}
	return nil
}

// timeLimit returns how long an attempt of a step may run under the table in force, or 0 for a
// step that is always restarted, which has no limit.
func timeLimit(s *state.State, j *state.Job, stage types.Stage) time.Duration {
	step := &j.Spec.Steps[stage.Step()]
	if step.AlwaysRestart {
		return 0
	}
	own := time.Duration(step.TimeLimitMillis) * time.Millisecond
	queue, ok := s.QueueConfig(j.Queue)
	if ok && (own == 0 || own > queue.TaskTimeout()) {
		return queue.TaskTimeout()
	}
	return own
}

// baselineName names the baseline that an attempt's duration is compared with: the durations of
// all attempts of the same step of its queue's jobs.
func baselineName(j *state.Job, stage types.Stage) string {
	return string(j.Queue) + "/" + j.Spec.Steps[stage.Step()].Name
}
