package checker

import (
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// jobHistory is what is known of one job. Its times are 0 for what never happened.
type jobHistory struct {
	id              types.JobID
	spec            *state.Spec // nil if nobody submitted it
	submittedAt     int64
	acceptedAt      int64
	cancelSentAt    int64 // when its caller first asked to cancel it
	cancelledAt     int64 // when a cancel was acknowledged
	observations    []history.Event
	notFoundAt      int64                // when a caller was last notified that there is no such job
	unfinishedUntil int64                // by the start of its last attempt
	executions      map[int][]*execution // by task number
	rejections      int                  // requests to submit it that were rejected
	unresolved      int                  // and that may have had an effect
}

// step returns the step of a task.
func (j *jobHistory) step(task int) *state.Step { return &j.spec.Steps[j.spec.StepOf(task)] }

// related returns the executions of a task, or of all tasks of a joint gang.
func (j *jobHistory) executionsWithGang(task int) []*execution {
	step := j.step(task)
	if !step.Joint {
		return j.executions[task]
	}
	var list []*execution
	for i := range step.Tasks {
		list = append(list, j.executions[types.StageOf(task).TaskNumber(i)]...)
	}
	return list
}

// succeededBy reports whether a task had succeeded by a time; for a joint gang any
// success of a member stands for all.
func (j *jobHistory) succeededBy(task int, by int64) bool {
	return slices.ContainsFunc(j.executionsWithGang(task), func(e *execution) bool {
		return e.outcome == state.OutcomeOK && e.endedAt <= by
	})
}

// dueAt returns when a step may start at one of its occurrences, by true time, but for
// the steps that it depends on.
func (j *jobHistory) dueAt(step *state.Step, occurrence int) int64 {
	due := j.submittedAt + int64(step.DelayMillis)*int64(time.Millisecond)
	if schedule := j.spec.Schedule; schedule != nil {
		unixMillis := schedule.FirstUnixMillis + int64(occurrence)*schedule.IntervalMillis
		due = max(due, unixMillis*int64(time.Millisecond)-history.WallClockStart)
	}
	return due
}

// lastStart returns when the last attempt of a job started: until then it was
// unfinished.
func (j *jobHistory) lastStart() int64 {
	last := int64(0)
	for _, executions := range j.executions {
		for _, e := range executions {
			last = max(last, e.startedAt)
		}
	}
	return last
}

// isTerminal reports whether a job of this status changes no more.
func isTerminal(s state.JobStatus) bool {
	return s == state.JobDone || s == state.JobFailed || s == state.JobCancelled
}
