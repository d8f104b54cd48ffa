package state

import (
	"fmt"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// JobStatus is the status of a job. The values are stored.
type JobStatus string

// Statuses of a job. The last three are final.
const (
	JobOpen      JobStatus = "open"
	JobEnding    JobStatus = "ending"    // its final status is decided, but attempts are still outstanding
	JobDone      JobStatus = "done"      // all tasks have succeeded
	JobFailed    JobStatus = "failed"    // a task has exhausted its attempts; see Job.Reason
	JobCancelled JobStatus = "cancelled" // by its caller
)

// Job is one accepted job. Once it has ended, Spec, Tasks and BrokenGangs are cleared.
// It has more than 15 fields because it is one record of the snapshot.
type Job struct {
	ID               types.JobID          `json:"id"`
	Seq              uint64               `json:"seq"`  // position in the order of acceptance
	Hash             string               `json:"hash"` // of the Spec; see Spec.Hash
	Queue            types.QueueName      `json:"queue"`
	Tenant           types.TenantName     `json:"tenant,omitempty"`
	OverRate         bool                 `json:"over_rate,omitempty"` // see Submission.OverRate
	AcceptedAt       types.ClusterTime    `json:"at"`
	AcceptedWallTime types.WallTime       `json:"wall"`
	Status           JobStatus            `json:"state"`
	Reason           string               `json:"why,omitempty"` // why it failed or was cancelled
	Spec             *Spec                `json:"spec,omitempty"`
	Tasks            []Task               `json:"tasks,omitempty"`  // of all stages; see Spec.TaskIndex
	BrokenGangs      map[types.Stage]bool `json:"broken,omitempty"` // gangs to be stopped and restarted
	CancelRequested  bool                 `json:"halt,omitempty"`
	EndedAt          types.ClusterTime    `json:"end,omitempty"`
	TaskCount        int                  `json:"size"`
	ApproxBytes      int                  `json:"bytes"` // see Spec.ApproxBytes
	DoneTasks        int                  `json:"fine"`
	AttemptCount     int                  `json:"legs"` // attempts assigned so far

	snapshotNumber uint64      // the last snapshot that includes the job, or that began before it was accepted
	readyIndex     *ReadyIndex // cached; nil after the job has changed
	stepGraph      *StepGraph  // cached; nil until it is needed
}

// Ended reports whether the job has a final status. None of its attempts can still be
// running.
func (j *Job) Ended() bool {
	return j.Status == JobDone || j.Status == JobFailed || j.Status == JobCancelled
}

// BelongsTo reports whether a tenant may see and change the job: the job is the tenant's own
// or has no tenant, or the request has none and the name is empty.
func (j *Job) BelongsTo(tenant types.TenantName) bool {
	return j.Tenant == "" || tenant == "" || j.Tenant == tenant
}

// Task returns the task with the given number, or nil if there is none or the job has ended.
func (j *Job) Task(number int) *Task {
	if j.Spec == nil {
		return nil
	}
	if i := j.Spec.TaskIndex(number); i >= 0 {
		return &j.Tasks[i]
	}
	return nil
}

// StageTasks returns the tasks of a stage, by their index in the stage.
func (j *Job) StageTasks(stage types.Stage) []Task {
	first := j.Spec.TaskIndex(stage.TaskNumber(0))
	return j.Tasks[first : first+j.Spec.Steps[stage.Step()].Tasks]
}

// jobStage is one stage of a job with its tasks.
type jobStage struct {
	id    types.Stage
	step  *Step
	tasks []Task
}

// eachStage calls visit for every stage of the job, occurrence by occurrence.
func (j *Job) eachStage(visit func(jobStage)) {
	first := 0
	for occurrence := range j.Spec.Occurrences() {
		for i := range j.Spec.Steps {
			step := &j.Spec.Steps[i]
			id := types.StageOf(types.TaskNumber(occurrence, i, 0))
			visit(jobStage{id: id, step: step, tasks: j.Tasks[first : first+step.Tasks]})
			first += step.Tasks
		}
	}
}

// outstanding returns the number of outstanding attempts.
func (j *Job) outstanding() int {
	count := 0
	for i := range j.Tasks {
		count += len(j.Tasks[i].Outstanding())
	}
	return count
}

// AttemptsToStop returns the outstanding attempts that must be stopped: those of an ending
// job, of tasks that another attempt has completed, of broken gangs, and withdrawn ones.
func (j *Job) AttemptsToStop() (list []types.AttemptID) {
	if j.Ended() {
		return nil
	}
	j.eachStage(func(stage jobStage) {
		stopAll := j.Status == JobEnding || j.BrokenGangs[stage.id]
		for i := range stage.tasks {
			task := &stage.tasks[i]
			for _, attempt := range task.Outstanding() {
				if stopAll || task.Done || attempt.Withdrawn != "" {
					list = append(list, types.AttemptID{
						TaskID:  types.TaskID{Job: j.ID, TaskNumber: stage.id.TaskNumber(i)},
						Attempt: attempt.Number,
					})
				}
			}
		}
	})
	return list
}

// ExpiredWaits returns the ends to propose for the lost attempts of tasks that have exhausted
// their attempts, once the wait for the true ends has timed out.
func (j *Job) ExpiredWaits(queue config.Queue, now types.ClusterTime) (list []AttemptEnd) {
	if j.Status != JobOpen {
		return nil
	}
	for i := range j.Tasks {
		task := &j.Tasks[i]
		awaitsEnd := task.Primary == nil && task.UnresolvedOn != "" && !task.Done
		if awaitsEnd && task.exhausted(queue) && task.ReadyAt <= now {
			list = append(list, AttemptEnd{ID: j.lastAttemptID(i), Outcome: OutcomeWaitExpired})
		}
	}
	return list
}

// lastAttemptID returns the id of the last attempt of Tasks[i].
func (j *Job) lastAttemptID(i int) types.AttemptID {
	return types.AttemptID{
		TaskID:  types.TaskID{Job: j.ID, TaskNumber: j.Spec.TaskNumber(i)},
		Attempt: j.Tasks[i].LastAttempt,
	}
}

// markDone marks a task as done.
func (j *Job) markDone(task *Task) {
	if task.Done {
		return
	}
	task.Done = true
	task.Failed = false
	task.UnresolvedOn = ""
	j.DoneTasks++
}

// failIfExhausted fails a task that has exhausted its attempts, unless one of its lost
// attempts may still be reported as successful.
func (j *Job) failIfExhausted(task *Task, queue config.Queue) {
	if task.Done || task.Failed || task.UnresolvedOn != "" {
		return
	}
	switch {
	case task.Failures >= queue.MaxFailures:
		task.Failed = true
		j.Reason = fmt.Sprintf("task %d failed %d times", j.taskNumber(task), task.Failures)
	case queue.MaxLosses > 0 && task.Losses >= queue.MaxLosses && task.Primary == nil:
		task.Failed = true
		j.Reason = fmt.Sprintf("task %d was lost with its worker %d times", j.taskNumber(task), task.Losses)
	}
}

// taskNumber returns the number of one of the job's tasks.
func (j *Job) taskNumber(task *Task) int {
	for i := range j.Tasks {
		if &j.Tasks[i] == task {
			return j.Spec.TaskNumber(i)
		}
	}
	return -1
}

// updateStatus recomputes the job's status after a change. A success reported late turns a
// failed task into a done one, so that an ending job can become open again.
func (j *Job) updateStatus(now types.ClusterTime) {
	taskFailed := false
	for i := range j.Tasks {
		taskFailed = taskFailed || j.Tasks[i].Failed
	}
	switch {
	case j.DoneTasks == j.TaskCount:
		j.Status = JobDone
	case j.CancelRequested:
		j.Status = JobCancelled
	case taskFailed:
		j.Status = JobFailed
	default:
		j.Status = JobOpen
		j.Reason = ""
		return
	}
	if j.outstanding() > 0 {
		j.Status = JobEnding
		return
	}
	j.EndedAt = now
	if j.Status == JobDone {
		j.Reason = ""
	}
	j.Spec, j.Tasks, j.BrokenGangs, j.stepGraph = nil, nil, nil, nil
}
