package state

import (
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Assignment gives a task's next attempt to a worker. In a command the attempt number of
// ID is the least that may be used; Apply returns it with the number that was assigned.
type Assignment struct {
	ID    types.AttemptID `json:"leg"`
	Shard types.Shard     `json:"shard"`
	Hedge bool            `json:"copy,omitempty"` // a second attempt beside the outstanding one
}

// applyAssignments makes the assignments that are still possible and returns them with
// their attempt numbers. A stage of a joint step is assigned whole or not at all.
func (s *State) applyAssignments(list []Assignment) (assigned []Assignment) {
	assignable := map[types.StageID]int{}
	s.countAssignable(list, assignable)
	for _, a := range list {
		j := s.index.live[a.ID.Job]
		if j == nil || j.Task(a.ID.TaskNumber) == nil {
			continue
		}
		stage := a.ID.StageID()
		step := &j.Spec.Steps[stage.Stage.Step()]
		if step.Joint && assignable[stage] < step.Tasks {
			continue
		}
		s.beforeChange(j)
		queue := s.effectiveQueueConfig(j.Queue)
		if a.Hedge && j.assignHedge(a, queue, s.Time) || !a.Hedge && j.assign(a, queue, s.Time) {
			a.ID.Attempt = j.Task(a.ID.TaskNumber).LastAttempt
			assigned = append(assigned, a)
		}
	}
	return assigned
}

// countAssignable counts, for each stage, the assignments whose task may be assigned now.
func (s *State) countAssignable(list []Assignment, count map[types.StageID]int) {
	for _, a := range list {
		j := s.index.live[a.ID.Job]
		if j != nil && j.canAssign(j.Task(a.ID.TaskNumber), s.effectiveQueueConfig(j.Queue), s.Time) {
			count[a.ID.StageID()]++
		}
	}
}

// canAssign reports whether the next attempt of a task may be assigned now. t may be nil.
func (j *Job) canAssign(t *Task, queue config.Queue, now types.ClusterTime) bool {
	return j.Status == JobOpen && t != nil && t.Primary == nil && !t.Done && !t.Failed &&
		t.ReadyAt <= now && !t.exhausted(queue)
}

// assign assigns the next attempt of a task if that is possible. Attempt numbers may be
// left out, since all members of a joint gang get the same.
func (j *Job) assign(a Assignment, queue config.Queue, now types.ClusterTime) bool {
	t := j.Task(a.ID.TaskNumber)
	if !j.canAssign(t, queue, now) {
		return false
	}
	t.LastAttempt = max(t.LastAttempt+1, a.ID.Attempt)
	t.UnresolvedOn = ""
	j.AttemptCount++
	t.Primary = &OutstandingAttempt{Number: t.LastAttempt, Shard: a.Shard, AssignedAt: now}
	return true
}

// assignHedge assigns a second attempt beside the outstanding one, on another worker, if
// the step allows that.
func (j *Job) assignHedge(a Assignment, queue config.Queue, now types.ClusterTime) bool {
	t := j.Task(a.ID.TaskNumber)
	switch {
	case j.Status != JobOpen || t == nil || t.Done || t.Failed || t.exhausted(queue):
		return false
	case t.Primary == nil || t.Primary.Shard == a.Shard || t.Hedge != nil:
		return false
	case !j.Spec.Steps[types.StageOf(a.ID.TaskNumber).Step()].AllowHedge:
		return false
	}
	t.LastAttempt++
	j.AttemptCount++
	t.Hedge = &OutstandingAttempt{Number: t.LastAttempt, Shard: a.Shard, AssignedAt: now}
	return true
}
