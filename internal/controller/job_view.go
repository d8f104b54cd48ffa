package controller

import (
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// maxTaskDetails is the largest number of tasks for which a view lists each task.
const maxTaskDetails = 200

// JobView is the status of a job, as shown to callers.
type JobView struct {
	ID             types.JobID     `json:"id"`
	Queue          types.QueueName `json:"queue,omitempty"`
	State          state.JobStatus `json:"state"`
	DecidedState   state.JobStatus `json:"outcome,omitempty"` // final state, while the last attempts are being stopped
	Reason         string          `json:"reason,omitempty"`  // why the job failed or was cancelled
	AcceptedAt     string          `json:"accepted_at,omitempty"`
	CancelAccepted bool            `json:"cancel_accepted,omitempty"`
	Tasks          int             `json:"tasks"`
	TasksDone      int             `json:"tasks_done"`
	TasksRunning   int             `json:"tasks_running"` // attempts assigned and not yet ended
	Attempts       int             `json:"legs"`          // attempts assigned in total
	// TasksUnresolved counts tasks whose last attempt was lost and whose actual end is not known yet.
	TasksUnresolved int          `json:"tasks_in_doubt,omitempty"`
	TaskDetails     []state.Task `json:"detail,omitempty"`
}

// jobView returns a view of a job, or nil if no job has the ID.
func jobView(s *state.State, id types.JobID) *JobView {
	j := s.Find(id)
	if j == nil {
		return nil
	}
	view := &JobView{
		ID:             j.ID,
		Queue:          j.Queue,
		State:          j.Status,
		Reason:         j.Reason,
		CancelAccepted: j.CancelRequested,
		Tasks:          j.TaskCount,
		TasksDone:      j.DoneTasks,
		Attempts:       j.AttemptCount,
	}
	if j.Status == state.JobEnding && j.DoneTasks == j.TaskCount {
		view.DecidedState = state.JobDone
	}
	if j.AcceptedWallTime != 0 {
		view.AcceptedAt = time.Unix(0, int64(j.AcceptedWallTime)).UTC().Format(time.RFC3339Nano)
	}
	for i := range j.Tasks {
		task := &j.Tasks[i]
		view.TasksRunning += len(task.Outstanding())
		if task.UnresolvedOn != "" && task.Primary == nil && !task.Done {
			view.TasksUnresolved++
		}
	}
	if len(j.Tasks) <= maxTaskDetails {
		view.TaskDetails = append([]state.Task(nil), j.Tasks...)
	}
	return view
}
