package placement

import "coppercourse/internal/types"

// TenantUsage is a tenant's limit and what its tasks use, over all workers and queues.
type TenantUsage struct {
	Limit types.Resources // a part that is 0 bounds nothing
	// Excess is by what part of the limit what runs may exceed it before the last start.
	Excess float64
	// InUse is what tasks use that possibly run, those that are being stopped included.
	InUse types.Resources
}

// Allows reports whether the tenant may start a number of tasks together: they keep its
// limit, or it uses no more than half of it and only the last of them exceeds the limit and
// its excess. Without the latter a large task or a gang could wait for ever beside small
// work of its tenant, and a task larger than the limit in any case.
func (u *TenantUsage) Allows(task types.Resources, tasks int) bool {
	if u.InUse.Add(task.Scale(tasks)).Within(u.Limit) {
		return true
	}
	beforeLast := u.InUse.Add(task.Scale(tasks - 1))
	return u.InUse.Scale(2).Within(u.Limit) && beforeLast.Within(u.Limit.Increase(u.Excess))
}

// tenantAllows reports whether the tenant of a request may start its next task, or gang. A request
// without a tenant, or of one that is not listed, has no limit.
func (r *round) tenantAllows(request *Request) bool {
	usage := r.Tenants[request.Tenant]
	return usage == nil || usage.Allows(request.Resources, request.MinTasks())
}
