package controller

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// checkSubmitter returns why a job is not accepted from whoever submits it, or nil. The
// gateway knows keys and the leader only tenants.
func (a *api) checkSubmitter(spec state.Spec) *apierror.Error {
	if queue, ok := a.log.state().Table.FindQueue(spec.Queue); ok && queue.RequiresKey && spec.Tenant == "" {
		return apierror.KeyRequired()
	}
	return nil
}

// checkOwner returns why a request may not show or cancel the job that it is about, or nil.
// A job of a tenant takes a key of that tenant; none at all does where its queue asks for none.
func (a *api) checkOwner(r request) *apierror.Error {
	s := a.log.state()
	job := s.Find(types.JobID(r.arg))
	switch {
	case job == nil || job.Tenant == "" || job.Tenant == r.tenant:
		return nil
	case r.tenant != "":
		return apierror.New(apierror.Forbidden, "id", "the job is another tenant's")
	}
	if queue, ok := s.Table.FindQueue(job.Queue); ok && !queue.RequiresKey {
		return nil
	}
	return apierror.KeyRequired()
}
