package controller

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// checkSubmitter returns an error if the job's queue requires a key and the submission has no tenant.
// Gateways map keys to tenants; the leader sees only tenants.
func (a *api) checkSubmitter(spec state.Spec) *apierror.Error {
	if queue, ok := a.log.state().Table.FindQueue(spec.Queue); ok && queue.RequiresKey && spec.Tenant == "" {
		return apierror.KeyRequired()
	}
	return nil
}

// checkOwner returns an error if the request may not read or cancel its job. A tenant's job requires
// a key of that tenant, or no key if its queue does not require keys. A key of another tenant is
// always rejected.
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
