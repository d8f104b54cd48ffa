package state

import (
	"maps"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// TenantLimits returns the limits in force: those of the table, and the last ones of
// tenants that it has left out while they had unfinished jobs. Every unfinished job of a
// tenant is thereby under a limit, since none is accepted for a tenant that is not in the
// table.
func (s *State) TenantLimits() map[types.TenantName]types.Resources {
	limits := make(map[types.TenantName]types.Resources, len(s.Table.Tenants)+len(s.RemovedTenants))
	maps.Copy(limits, s.RemovedTenants)
	for i := range s.Table.Tenants {
		limits[s.Table.Tenants[i].Name] = s.Table.Tenants[i].Limit
	}
	return limits
}

// UnfinishedJobsOf returns how many unfinished jobs a tenant has.
func (s *State) UnfinishedJobsOf(tenant types.TenantName) int { return s.index.tenants[tenant] }

// keepRemovedTenants keeps the limits of tenants that have unfinished jobs and are not in
// the next table. Their keys are forgotten.
func (s *State) keepRemovedTenants(next config.Table) {
	kept := map[types.TenantName]types.Resources{}
	for name, limit := range s.TenantLimits() {
		if _, ok := next.FindTenant(name); !ok && s.UnfinishedJobsOf(name) > 0 {
			kept[name] = limit
		}
	}
	s.RemovedTenants = kept
}
