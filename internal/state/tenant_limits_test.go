package state

import (
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

func TestRemovedTenantsKeepTheirLimitsWhileTheyHaveJobs(t *testing.T) {
	is := is.New(t)
	s := newTestState(t)
	limit := func(cores types.MilliCores) types.Resources { return types.Resources{Cores: cores} }
	put := func(tenants ...config.Tenant) {
		t.Helper()
		table := config.Table{Version: s.Table.Version, Queues: s.Table.Queues, Tenants: tenants}
		if _, rejection := s.Apply(Command{Time: sec, Table: &table}); rejection != nil {
			t.Fatal(rejection)
		}
	}
	spec := Spec{Queue: "q", Tenant: "busy", Steps: []Step{{Name: "a", Kind: "x", Tasks: 1}}}
	_, rejection := s.Apply(Command{Time: sec, Job: &Submission{ID: "j", Spec: spec}})
	is.Equal(rejection.Kind, apierror.Unauthorized) // the table has no such tenant
	put(config.Tenant{Name: "busy", Limit: limit(5)}, config.Tenant{Name: "idle", Limit: limit(6)})
	_, rejection = s.Apply(Command{Time: sec, Job: &Submission{ID: "j", Spec: spec}})
	is.True(rejection == nil)
	is.Equal(s.UnfinishedJobsOf("busy"), 1)
	put()
	is.Equal(s.TenantLimits(), map[types.TenantName]types.Resources{"busy": limit(5)})
	put()
	is.Equal(s.TenantLimits(), map[types.TenantName]types.Resources{"busy": limit(5)}) // also after the next change
	put(config.Tenant{Name: "busy", Limit: limit(9)})
	is.Equal(s.TenantLimits(), map[types.TenantName]types.Resources{"busy": limit(9)})
	put()
	_, rejection = s.Apply(Command{Time: sec, Cancel: "j"})
	is.True(rejection == nil)
	is.Equal(s.UnfinishedJobsOf("busy"), 0)
	put()
	is.Equal(len(s.TenantLimits()), 0)
}
