package state

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Assignment assigns a task's next attempt to a worker. In a command the attempt number of
// ID is a lower bound; Apply returns the assignment with the number that it assigned.
type Assignment struct {
	ID    types.AttemptID `json:"leg"`
	Shard types.Shard     `json:"shard"`
	Hedge bool            `json:"copy,omitempty"` // a second attempt, concurrent with the outstanding one
}

// applyAssignments applies the assignments that are still valid and returns them with their
// attempt numbers. A stage of a joint step is assigned all or nothing.
func (s *State) applyAssignments(list []Assignment) (assigned []Assignment) {
	assignable := map[types.StageID]int{}
	s.countAssignable(list, assignable)
	for _, assignment := range list {
		job := s.index.live[assignment.ID.Job]
		if job == nil || job.Task(assignment.ID.TaskNumber) == nil {
			continue
		}
		stage := assignment.ID.StageID()
		step := &job.Spec.Steps[stage.Stage.Step()]
		if step.Joint && assignable[stage] < step.Tasks {
			continue
		}
		s.beforeChange(job)
		queue := s.effectiveQueueConfig(job.Queue)
		if job.assign(assignment, queue, s.Time) {
			assignment.ID.Attempt = job.Task(assignment.ID.TaskNumber).LastAttempt
			assigned = append(assigned, assignment)
		}
	}
	return assigned
}

// countAssignable counts, for each stage, the assignments whose task may be assigned now.
// The caller passes the map so that it stays on the stack: most commands assign nothing.
func (s *State) countAssignable(list []Assignment, count map[types.StageID]int) {
	for _, assignment := range list {
		job := s.index.live[assignment.ID.Job]
		if job != nil && job.canAssign(job.Task(assignment.ID.TaskNumber), s.effectiveQueueConfig(job.Queue), s.Time) {
			count[assignment.ID.StageID()]++
		}
	}
}

// canAssign reports whether the next attempt of a task may be assigned now. The task
// may be nil.
func (j *Job) canAssign(task *Task, queue config.Queue, now types.ClusterTime) bool {
	return j.Status == JobOpen && task != nil && task.Primary == nil && !task.Done && !task.Failed &&
		task.ReadyAt <= now && !task.exhausted(queue)
}

// assign applies an assignment and reports whether it was valid.
func (j *Job) assign(assignment Assignment, queue config.Queue, now types.ClusterTime) bool {
	if assignment.Hedge {
		return j.assignHedge(assignment, queue, now)
	}
	return j.assignPrimary(assignment, queue, now)
}

// assignPrimary assigns the next attempt of a task if canAssign allows it. Attempt numbers
// may be skipped, since all members of a joint gang get the same number.
func (j *Job) assignPrimary(assignment Assignment, queue config.Queue, now types.ClusterTime) bool {
	task := j.Task(assignment.ID.TaskNumber)
	if !j.canAssign(task, queue, now) {
		return false
	}
	task.LastAttempt = max(task.LastAttempt+1, assignment.ID.Attempt)
	task.UnresolvedOn = ""
	j.AttemptCount++
	task.Primary = &OutstandingAttempt{Number: task.LastAttempt, Shard: assignment.Shard, AssignedAt: now}
	return true
}

// assignHedge assigns a second attempt, concurrent with the outstanding one and on another
// worker, if the step allows hedging.
func (j *Job) assignHedge(assignment Assignment, queue config.Queue, now types.ClusterTime) bool {
	task := j.Task(assignment.ID.TaskNumber)
	switch {
	case j.Status != JobOpen || task == nil || task.Done || task.Failed || task.exhausted(queue):
		return false
	case task.Primary == nil || task.Primary.Shard == assignment.Shard || task.Hedge != nil:
		return false
	case !j.Spec.Steps[types.StageOf(assignment.ID.TaskNumber).Step()].AllowHedge:
		return false
	}
	task.LastAttempt++
	j.AttemptCount++
	task.Hedge = &OutstandingAttempt{Number: task.LastAttempt, Shard: assignment.Shard, AssignedAt: now}
	return true
}
