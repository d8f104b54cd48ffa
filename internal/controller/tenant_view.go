package controller

import (
	"cmp"
	"maps"
	"slices"

	"coppercourse/internal/types"
)

// maxTenantViews bounds the tenants in the status, and thereby the label values of its metrics.
const maxTenantViews = 32

// TenantView is the usage of a tenant with a limit, as of the leader's last placement round.
type TenantView struct {
	Name           types.TenantName `json:"name"`
	Limit          types.Resources  `json:"limit"` // a resource of 0 is unlimited
	InUse          types.Resources  `json:"in_use"`
	UnfinishedJobs int              `json:"jobs_unfinished"`
	TasksWaiting   int              `json:"tasks_waiting_for_limit"` // ready tasks held back only by the limit
}

// tenantViews returns views of at most maxTenantViews tenants with unfinished jobs, ordered by
// descending number of tasks waiting for the limit, then of unfinished jobs. It returns none unless
// this controller leads.
func (l *leader) tenantViews() []TenantView {
	if !l.active() {
		return nil
	}
	s := l.log.state()
	var views []TenantView
	for _, name := range slices.Sorted(maps.Keys(l.planner.tenants)) {
		usage := l.planner.tenants[name]
		view := TenantView{
			Name:           name,
			Limit:          usage.Limit,
			InUse:          usage.InUse,
			UnfinishedJobs: s.UnfinishedJobsOfTenant(name),
			TasksWaiting:   l.planner.waitingForLimit[name],
		}
		if view.UnfinishedJobs > 0 {
			views = append(views, view)
		}
	}
	slices.SortStableFunc(views, func(a, b TenantView) int {
		return cmp.Or(cmp.Compare(b.TasksWaiting, a.TasksWaiting), cmp.Compare(b.UnfinishedJobs, a.UnfinishedJobs))
	})
	return views[:min(len(views), maxTenantViews)]
}
