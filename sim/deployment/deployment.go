package deployment

import (
	"fmt"
	"slices"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// Deployment is what a trial sets up.
type Deployment struct {
	Name  string
	Size  Size
	Cores types.MilliCores // of a worker of the usual size
	Flows []Flow           // of jobs, where workers poll

	// Where workers are invoked.
	WorkerRules *worker.Rules // nil where workers poll
	Streams     []Stream
	Queues      []config.Queue
	Tenants     []config.Tenant // whose the jobs are; the first sends most of them
	// WorkerSizes and WorkerSlowdowns are taken in turn by the workers: the size beside
	// Cores, and how many times as long tasks take there. Where they are nil, every third
	// worker is larger and none is slow.
	WorkerSizes, WorkerSlowdowns []float64
}

// Size is how many of each there are.
type Size struct {
	Zones, Controllers, Gateways, Workers, WorkersPerRack int
	// Founders is how many controllers are named as those that found the cluster
	// together; 0 means that all may found it.
	Founders int
}

// Small is the size of the first deployments.
var Small = Size{Zones: 3, Controllers: 3, Gateways: 4, Workers: 11, WorkersPerRack: 3}

// Zone returns the zone of the i-th machine of a role.
func (s Size) Zone(i int) types.Zone { return types.Zone(fmt.Sprintf("z%d", i%s.Zones+1)) }

// Clone returns a copy that shares no memory with the deployment that a run could change.
func (d Deployment) Clone() Deployment {
	d.Flows = slices.Clone(d.Flows)
	d.Streams = slices.Clone(d.Streams)
	d.Queues = slices.Clone(d.Queues)
	d.Tenants = slices.Clone(d.Tenants)
	if d.WorkerRules != nil {
		rules := *d.WorkerRules
		d.WorkerRules = &rules
	}
	return d
}

// Invoked reports whether the workers are invoked.
func (d Deployment) Invoked() bool { return d.WorkerRules != nil }

// Table returns the deployment's first table, a new one at each call.
func (d Deployment) Table() config.Table {
	if d.Invoked() {
		return config.Table{
			Orphans:  config.FinishOrphans,
			Queues:   slices.Clone(d.Queues),
			Tenants:  slices.Clone(d.Tenants),
			Services: []config.Service{{Name: invokedService, EnforcesResources: true}},
		}
	}
	return config.Table{Queues: []config.Queue{
		d.Flows[0].queue(4, 30),
		d.Flows[1].queue(2, 10),
		d.Flows[2].queue(4, 20),
	}}
}

// Workers returns the workers, rack by rack.
func (d Deployment) Workers() []history.WorkerSpec {
	list := make([]history.WorkerSpec, 0, d.Size.Workers)
	for i := range d.Size.Workers {
		spec := history.WorkerSpec{
			Shard: types.Shard(fmt.Sprintf("k%d", i+1)),
			Rack:  types.Rack(fmt.Sprintf("r%d", i/d.Size.WorkersPerRack+1)),
		}
		if d.Invoked() {
			d.setInvokedCapacity(&spec, i)
		} else {
			d.setPollingCapacity(&spec, i)
		}
		list = append(list, spec)
	}
	return list
}

// setPollingCapacity gives the i-th worker that polls its services and capacity.
func (d Deployment) setPollingCapacity(spec *history.WorkerSpec, i int) {
	const memoryPerCore = 1024 // MB
	kinds := [][]types.ServiceKind{{"quote", "menu"}, {"quote", "pay"}, {"menu", "pay", "quote"}}
	spec.Kinds = kinds[i%len(kinds)]
	spec.Capacity = types.Resources{Cores: d.Cores, MemoryMB: int(d.Cores) * memoryPerCore / int(types.Core)}
}

// setInvokedCapacity gives the i-th worker that is invoked its service, labels and capacity:
// every third is larger, and every third has a second label.
func (d Deployment) setInvokedCapacity(spec *history.WorkerSpec, i int) {
	const memoryPerCore = 2048 // MB
	sizes := d.WorkerSizes
	if sizes == nil {
		sizes = []float64{1, 1, 1.5}
	}
	cores := float64(d.Cores) * sizes[i%len(sizes)]
	if len(d.WorkerSlowdowns) > 0 {
		spec.Slowdown = d.WorkerSlowdowns[i%len(d.WorkerSlowdowns)]
	}
	spec.Kinds = []types.ServiceKind{invokedService}
	spec.Capacity = types.Resources{
		Cores:    types.MilliCores(cores),
		MemoryMB: int(cores * memoryPerCore / float64(types.Core)),
	}
	spec.RejectsOverload = true
	spec.Labels = []string{"a"}
	if i%3 == 1 {
		spec.Labels = append(spec.Labels, "b")
	}
}
