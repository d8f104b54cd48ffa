package placement

import "coppercourse/internal/types"

// TenantUsage is a tenant's limit and what its tasks use, over all workers and queues.
type TenantUsage struct {
	Limit types.Resources // a part that is 0 bounds nothing
	// Excess is by what part of the limit a gang of a tenant that runs nothing may exceed it.
	Excess float64

	RunningTasks int // that possibly run, those that are being stopped included
	InUse        types.Resources
}

// Add counts a number of tasks as running.
func (u *TenantUsage) Add(task types.Resources, tasks int) {
	u.RunningTasks += tasks
	u.InUse = u.InUse.Add(task.Scale(tasks))
}

// Allows reports whether the tenant may start a number of tasks together: they keep its
// limit, or it runs nothing and only the last of them exceeds the limit and its excess. So
// a tenant whose limit is smaller than one of its tasks runs them one by one.
func (u *TenantUsage) Allows(task types.Resources, tasks int) bool {
	if u.InUse.Add(task.Scale(tasks)).Within(u.Limit) {
		return true
	}
	return u.RunningTasks == 0 && task.Scale(tasks-1).Within(u.Limit.Increase(u.Excess))
}

// mayRun reports whether the tenant of a request may start its next task, or gang.
func (r *round) mayRun(request *Request) bool { return r.tenantAllows(request, request.MinTasks()) }

// tenantAllows reports whether the tenant of a request may start a number of its tasks
// together. A request without a tenant, or of one that is not listed, has no limit.
func (r *round) tenantAllows(request *Request, tasks int) bool {
	usage := r.Tenants[request.Tenant]
	return usage == nil || usage.Allows(request.Resources, tasks)
}
