package state

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// CheckCancel reports whether a job may be cancelled now. repeat is true if it already
// is or is being cancelled, which is no error. The rejection is of the kind NoSuchJob, or
// AlreadyEnded for a job that has ended otherwise.
func (s *State) CheckCancel(id types.JobID) (repeat bool, rejection *apierror.Error) {
	job := s.Find(id)
	switch {
	case job == nil:
		return false, apierror.New(apierror.NoSuchJob, "id", "no such job")
	case job.Status == JobCancelled || job.CancelRequested && !job.Ended():
		return true, nil
	case job.Ended():
		return false, apierror.New(apierror.AlreadyEnded, "id", "the job has ended: "+string(job.Status))
	}
	return false, nil
}

// applyCancel cancels a job. The job ends once its outstanding attempts have ended.
func (s *State) applyCancel(id types.JobID) *apierror.Error {
	repeat, rejection := s.CheckCancel(id)
	if repeat || rejection != nil {
		return rejection
	}
	job := s.Jobs[id]
	s.beforeChange(job)
	job.CancelRequested = true
	job.Reason = "cancelled"
	job.updateStatus(s.Time)
	s.moveIfEnded(job)
	return nil
}
