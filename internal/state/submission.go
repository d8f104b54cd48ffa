package state

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Submission is a job that a caller submits under an id that the caller chose.
type Submission struct {
	ID   types.JobID `json:"id"`
	Spec Spec        `json:"spec"`
	// OverRate is set if the tenant submitted more jobs per second than its weight.
	OverRate bool `json:"over_rate,omitempty"`
}

// CheckJob reports whether a job may be accepted now. It returns the existing job if the same
// job was accepted under this id before, or the rejection, or neither. The rejection is of the
// kind IDInUse, NoSuchQueue, QueueFull or TooManyIDs.
func (s *State) CheckJob(id types.JobID, spec Spec) (known *Job, rejection *apierror.Error) {
	if job := s.Find(id); job != nil {
		if job.Hash != spec.Hash() || !job.BelongsTo(spec.Tenant) {
			return nil, apierror.New(apierror.IDInUse, "id", "another job has this id")
		}
		return job, nil
	}
	queue, ok := s.Table.FindQueue(spec.Queue)
	if !ok {
		return nil, apierror.New(apierror.NoSuchQueue, "queue", "no queue is called "+string(spec.Queue))
	}
	if n := s.index.usage[spec.Queue].jobs; n >= queue.MaxUnfinished {
		return nil, apierror.New(apierror.QueueFull, "queue",
			fmt.Sprintf("the queue has %d unfinished jobs and is at its limit", n))
	}
	if rejection := s.checkIDLimit(); rejection != nil {
		return nil, rejection
	}
	return nil, s.checkBudget(spec)
}

// applySubmission accepts a job unless CheckJob rejects it. It is idempotent.
func (s *State) applySubmission(submission Submission) *apierror.Error {
	known, rejection := s.CheckJob(submission.ID, submission.Spec)
	if known != nil || rejection != nil {
		return rejection
	}
	s.LastSeq++
	spec := &submission.Spec
	job := &Job{
		ID: submission.ID, Seq: s.LastSeq, Hash: spec.Hash(), Queue: spec.Queue, Tenant: spec.Tenant,
		OverRate:   submission.OverRate,
		AcceptedAt: s.Time, AcceptedWallTime: types.WallTime(s.Time) + s.WallOffset,
		Status: JobOpen, Spec: spec, TaskCount: spec.TotalTasks(), ApproxBytes: spec.ApproxBytes(),
		snapshotNumber: s.snapshotNumber, // a snapshot in progress began before the job and excludes it
	}
	job.Tasks = make([]Task, job.TaskCount)
	s.Jobs[job.ID] = job
	s.index.add(job)
	s.queueCounts(job.Queue).Accepted++
	return nil
}
