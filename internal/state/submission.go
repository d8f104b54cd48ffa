package state

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Submission is a job that a caller submits under an id of its own.
type Submission struct {
	ID   types.JobID `json:"id"`
	Spec Spec        `json:"spec"`
}

// CheckJob reports whether a job may be accepted now: it returns the earlier job if the
// same one was accepted under this id before, or why the job is refused, or neither.
func (s *State) CheckJob(id types.JobID, spec Spec) (known *Job, refusal *apierror.Error) {
	if j := s.Find(id); j != nil {
		if j.Hash != spec.Hash() {
			return nil, apierror.New(apierror.IDInUse, "id", "another job has this id")
		}
		return j, nil
	}
	queue, ok := s.Table.FindQueue(spec.Queue)
	if !ok {
		return nil, apierror.New(apierror.NoSuchQueue, "queue", "no queue is called "+string(spec.Queue))
	}
	if n := s.index.usage[spec.Queue].jobs; n >= queue.MaxUnfinished {
		return nil, apierror.New(apierror.QueueFull, "queue",
			fmt.Sprintf("%d unfinished jobs, as many as the queue may hold", n))
	}
	if refusal := s.checkIDLimit(); refusal != nil {
		return nil, refusal
	}
	return nil, s.checkBudget(spec)
}

// applySubmission accepts a job unless CheckJob refuses it. It is idempotent.
func (s *State) applySubmission(submission Submission) *apierror.Error {
	known, refusal := s.CheckJob(submission.ID, submission.Spec)
	if known != nil || refusal != nil {
		return refusal
	}
	s.LastSeq++
	spec := &submission.Spec
	j := &Job{
		ID: submission.ID, Seq: s.LastSeq, Hash: spec.Hash(), Queue: spec.Queue,
		AcceptedAt: s.Time, AcceptedWallTime: types.WallTime(s.Time) + s.WallOffset,
		Status: JobOpen, Spec: spec, TaskCount: spec.TotalTasks(), ApproxBytes: spec.ApproxBytes(),
		snapshotNumber: s.snapshotNumber, // a snapshot in progress began before the job was there
	}
	j.Tasks = make([]Task, j.TaskCount)
	s.Jobs[j.ID] = j
	s.index.add(j)
	s.queueCounts(j.Queue).Accepted++
	return nil
}
