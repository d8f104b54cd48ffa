package state

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// CheckCancel reports whether a job may be cancelled now. repeat is true if it already
// is or is being cancelled, which is no error. A job that has ended otherwise can't be
// cancelled.
func (s *State) CheckCancel(id types.JobID) (repeat bool, refusal *apierror.Error) {
	j := s.Find(id)
	switch {
	case j == nil:
		return false, apierror.New(apierror.NoSuchJob, "id", "no such job")
	case j.Status == JobCancelled || j.CancelRequested && !j.Ended():
		return true, nil
	case j.Ended():
		return false, apierror.New(apierror.AlreadyEnded, "id", "the job has ended: "+string(j.Status))
	}
	return false, nil
}

// applyCancel cancels a job. The job ends once its outstanding attempts have ended.
func (s *State) applyCancel(id types.JobID) *apierror.Error {
	repeat, refusal := s.CheckCancel(id)
	if repeat || refusal != nil {
		return refusal
	}
	j := s.Jobs[id]
	s.beforeChange(j)
	j.CancelRequested = true
	j.Reason = "cancelled"
	j.updateStatus(s.Time)
	s.closeIfEnded(j)
	return nil
}
