package types

import (
	"cmp"
	"fmt"
)

// TaskID identifies one task of a job. Its number encodes the occurrence, the step and the
// index in the step; see TaskNumber and SplitTaskNumber.
type TaskID struct {
	Job        JobID `json:"job"`
	TaskNumber int   `json:"n"`
}

// AttemptID identifies one attempt at a task (the paper's invocation id). It is never reused,
// even after a change of leader.
type AttemptID struct {
	TaskID
	Attempt int `json:"leg"` // from 1
}

// Stage is the number of one step in one occurrence of a job.
type Stage int

// StageID identifies one stage of one job: the group of tasks that become ready together, are
// placed together and are compared with one another.
type StageID struct {
	Job   JobID
	Stage Stage
}

// Bounds on the parts of a task's number.
const (
	MaxSteps        = 64   // steps of a job
	MaxTasksPerStep = 4096 // tasks of a step in one occurrence
)

// TaskNumber encodes the number of a task from its occurrence, step and index in the step.
func TaskNumber(occurrence, step, index int) int {
	return (occurrence*MaxSteps+step)*MaxTasksPerStep + index
}

// SplitTaskNumber decodes a task's number into its occurrence, step and index in the step.
func SplitTaskNumber(number int) (occurrence, step, index int) {
	return number / MaxTasksPerStep / MaxSteps, number / MaxTasksPerStep % MaxSteps, number % MaxTasksPerStep
}

// StageOf returns the stage of the task with the given number.
func StageOf(number int) Stage { return Stage(number / MaxTasksPerStep) }

// StageID returns the id of the stage to which the task belongs.
func (t TaskID) StageID() StageID { return StageID{Job: t.Job, Stage: StageOf(t.TaskNumber)} }

// Occurrence returns the occurrence of the job to which the stage belongs.
func (s Stage) Occurrence() int { return int(s) / MaxSteps }

// Step returns the index of the stage's step.
func (s Stage) Step() int { return int(s) % MaxSteps }

// TaskNumber returns the number of the task at the given index in the stage.
func (s Stage) TaskNumber(index int) int { return int(s)*MaxTasksPerStep + index }

// String returns the task as JOB/NUMBER.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.TaskNumber) }

// String returns the attempt as JOB/NUMBER#ATTEMPT.
func (a AttemptID) String() string { return fmt.Sprintf("%s/%d#%d", a.Job, a.TaskNumber, a.Attempt) }

// Compare orders attempts by job, task number and attempt number.
func (a AttemptID) Compare(other AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Job, other.Job),
		cmp.Compare(a.TaskNumber, other.TaskNumber),
		cmp.Compare(a.Attempt, other.Attempt),
	)
}

// Less reports whether the attempt sorts before another.
func (a AttemptID) Less(other AttemptID) bool { return a.Compare(other) < 0 }
