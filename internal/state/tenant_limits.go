package state

import (
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// removedTenantAge is how long a removed tenant without jobs keeps its limit: a request that
// a gateway has authenticated by the table before may still arrive.
const removedTenantAge = time.Minute

// RemovedTenant is what is kept of a tenant that a table left out. Its keys are not.
type RemovedTenant struct {
	Limit     types.Resources   `json:"limit"` // the last one
	RemovedAt types.ClusterTime `json:"at"`
}

// TenantLimits returns the limits in force: those of the table, and the last ones of
// tenants that it no longer has, which hold for the jobs that they still have.
func (s *State) TenantLimits() map[types.TenantName]types.Resources {
	limits := make(map[types.TenantName]types.Resources, len(s.Table.Tenants)+len(s.RemovedTenants))
	for name, removed := range s.RemovedTenants {
		limits[name] = removed.Limit
	}
	for i := range s.Table.Tenants {
		limits[s.Table.Tenants[i].Name] = s.Table.Tenants[i].Limit
	}
	return limits
}

// UnfinishedJobsOfTenant returns how many unfinished jobs a tenant has.
func (s *State) UnfinishedJobsOfTenant(tenant types.TenantName) int {
	return s.index.tenants[tenant].unfinished
}

// retainRemovedTenants keeps the limits of tenants that the next table lacks and that have
// unfinished jobs, or were in a table until removedTenantAge ago.
func (s *State) retainRemovedTenants(next config.Table) {
	kept := map[types.TenantName]RemovedTenant{}
	keep := func(name types.TenantName, removed RemovedTenant) {
		_, ok := next.FindTenant(name)
		if !ok && (s.UnfinishedJobsOfTenant(name) > 0 || s.Time.Sub(removed.RemovedAt) < removedTenantAge) {
			kept[name] = removed
		}
	}
	for name, removed := range s.RemovedTenants {
		keep(name, removed)
	}
	for _, tenant := range s.Table.Tenants {
		keep(tenant.Name, RemovedTenant{Limit: tenant.Limit, RemovedAt: s.Time})
	}
	s.RemovedTenants = kept
}
