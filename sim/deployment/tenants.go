package deployment

import (
	"fmt"
	"math/rand"
	"slices"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// minLimitDivisor is in how many parts a limit is divided of which one is half of the least
// limit that DrawLimits gives.
const minLimitDivisor = 4

// hotTenantRate is the part of all jobs that are the first tenant's; the others have equal
// parts of the rest.
const hotTenantRate = 0.5

// withTenants returns a deployment whose jobs are of tenants with a limit each, in cores; the
// memory limit goes with it.
func (d Deployment) withTenants(name string, limits ...int) Deployment {
	const memoryPerCore = 1600 // MB
	rules := *d.WorkerRules
	rules.QuotaExcess = 0.1
	d.Name, d.WorkerRules = name, &rules
	for i, cores := range limits {
		tenant := types.TenantName(fmt.Sprint("tenant-", i+1))
		d.Tenants = append(d.Tenants, config.Tenant{
			Name:      tenant,
			KeyHashes: []config.KeyHash{config.HashKey("key of " + string(tenant))},
			Limit:     types.Resources{Cores: types.MilliCores(cores) * types.Core, MemoryMB: cores * memoryPerCore},
		})
	}
	return d
}

// AssignTenant draws whose a job is: nobody's where there are no tenants. Its steps are
// made so small that they fit the tenant's first limit, so that each job can end within a
// run, and a gang such that it can run beside half of the least limit that DrawLimits gives.
func (d Deployment) AssignTenant(random *rand.Rand, spec *state.Spec) {
	if len(d.Tenants) == 0 {
		return
	}
	tenant := &d.Tenants[0]
	if others := len(d.Tenants) - 1; others > 0 && random.Float64() >= hotTenantRate {
		tenant = &d.Tenants[1+random.Intn(others)]
	}
	spec.Tenant = tenant.Name
	for i := range spec.Steps {
		step := &spec.Steps[i]
		step.Tasks = min(step.Tasks, 1+tenant.Limit.FitCount(step.Resources))
		if !step.Gang {
			continue
		}
		step.Tasks = min(step.Tasks, 1+tenant.Limit.FitCount(step.Resources.Scale(minLimitDivisor)))
		step.Gang, step.Joint = step.Tasks > 1, step.Tasks > 1
	}
}

// DrawLimits returns tenants of the deployment with the limit of one of them changed, to
// between half of its first limit and one and a half times as much.
func (d Deployment) DrawLimits(random *rand.Rand, tenants []config.Tenant) []config.Tenant {
	tenants = slices.Clone(tenants)
	changed := &tenants[random.Intn(len(tenants))]
	for _, first := range d.Tenants {
		if first.Name == changed.Name {
			changed.Limit = first.Limit.Increase(random.Float64() - 0.5)
		}
	}
	return tenants
}
