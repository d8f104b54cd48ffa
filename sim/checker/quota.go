package checker

import (
	"slices"

	"coppercourse/internal/types"
)

// checkQuotas judges that no start brings what a tenant runs, over all workers, above its
// limit with the excess that is allowed and one task more, by any table that may be in force.
func (c *checker) checkQuotas() {
	running := map[types.TenantName][]*execution{}
	for _, e := range c.executions {
		job := c.jobs[e.attempt.Job]
		if job.spec == nil || job.spec.Tenant == "" {
			continue
		}
		tenant := job.spec.Tenant
		running[tenant] = append(removeEnded(running[tenant], e.startedAt), e)
		c.checkQuota(tenant, e, c.resourcesInUse(running[tenant], e.startedAt))
	}
}

// resourcesInUse returns what executions that have not ended use at a time. What is being stopped
// still runs; a suspended worker runs nothing.
func (c *checker) resourcesInUse(running []*execution, at int64) types.Resources {
	var used types.Resources
	for _, e := range running {
		if e.runsDuring(at, at+1) {
			used = used.Add(c.resources(e))
		}
	}
	return used
}

// checkQuota judges one start, with which its tenant uses so much.
func (c *checker) checkQuota(tenant types.TenantName, e *execution, used types.Resources) {
	limits := c.limitsInForce(tenant, e)
	task := c.resources(e)
	keeps := func(limit types.Resources) bool {
		return used.Sub(task).Within(limit.Increase(c.bounds.QuotaExcess))
	}
	if len(limits) > 0 && !slices.ContainsFunc(limits, keeps) {
		c.recordViolation("quota", e.startedAt, "%v brings what %s runs to %v, its limit is one of %v",
			e.attempt, tenant, used, limits)
	}
	c.countQuotaCoverage(e, used.Add(task), limits)
}

// limitsInForce returns the limits of a tenant by the tables that may be in force when an
// execution starts; one that was ordered earlier and carried out late, by any table before.
func (c *checker) limitsInForce(tenant types.TenantName, e *execution) []types.Resources {
	oldest := c.minVersion(e.startedAt)
	if e.deliveredLate {
		oldest = 0
	}
	var limits []types.Resources
	for _, table := range c.tables {
		if t, ok := table.FindTenant(tenant); ok && table.submittedAt <= e.startedAt && table.Version >= oldest {
			limits = append(limits, t.Limit)
		}
	}
	return limits
}

// countQuotaCoverage counts a start after which no other like it keeps the limits; next is
// what would be in use with another.
func (c *checker) countQuotaCoverage(e *execution, next types.Resources, limits []types.Resources) {
	keeps := func(limit types.Resources) bool { return next.Within(limit) }
	if len(limits) == 0 || slices.ContainsFunc(limits, keeps) {
		return
	}
	c.coverage["quota: started at the limit"]++
	if !c.faultFree(e.startedAt-second, e.startedAt) {
		c.coverage["quota: started at the limit near a fault"]++
	}
	if slices.ContainsFunc(limits, func(limit types.Resources) bool { return limit != limits[0] }) {
		c.coverage["quota: started at the limit while it was changed"]++
	}
}

// exceedsHalfOfLimit reports whether a tenant uses more than half of a limit that may be in
// force at a time. Its jobs may have to wait then.
func (c *checker) exceedsHalfOfLimit(tenant types.TenantName, used types.Resources, at int64) bool {
	oldest := c.minVersion(at)
	return slices.ContainsFunc(c.tables, func(table activeTable) bool {
		t, ok := table.FindTenant(tenant)
		return ok && table.submittedAt <= at && table.Version >= oldest && !used.Scale(2).Within(t.Limit)
	})
}
