// The two deployments as the brief sizes them: machines, workers, tables, and
// the three shapes of job with their rates.
package sim

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// Deployment is a deployment.
type Deployment struct {
	Name  string
	Cores types.MilliCores
	Flows []Flow

	Size                      // of the deployment; nothing said is Small
	WorkerRules *worker.Rules // of its workers, where they are called
	Streams     []Stream
	rows        []config.Queue
}

// Size is how many of each there are. Where controllers found the cluster together, they
// are named to all.
type Size struct {
	Zones, Controllers, Gateways, Workers, WorkersPerRack, Founders int
}

// Small is the size of the first deployments: three controllers, any of which found.
var Small = Size{Zones: 3, Controllers: 3, Gateways: 4, Workers: 11, WorkersPerRack: 3}

func (d Deployment) effectiveSize() Size {
	if d.Size == (Size{}) {
		return Small
	}
	return d.Size
}

// zone names the zone of the i-th of something.
func (s Size) zone(i int) types.Zone { return types.Zone(fmt.Sprintf("z%d", i%s.Zones+1)) }

// Flow is one stream of jobs of a shape, with its mean rate.
type Flow struct {
	Queue        types.QueueName
	MeanInterval time.Duration
	NewSpec      func(r *rand.Rand) state.Spec
}

func randomWork(r *rand.Rand, minMS, maxMS int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"ms":%d}`, minMS+r.Intn(maxMS-minMS+1)))
}

// gangJobs is two small gangs of short tasks.
func gangJobs(q types.QueueName, kind types.ServiceKind, cores int) func(*rand.Rand) state.Spec {
	return func(r *rand.Rand) state.Spec {
		s := state.Spec{Queue: q, Urgency: r.Intn(3)}
		for _, name := range []string{"near", "far"} {
			s.Steps = append(s.Steps, state.Step{Name: name, Kind: kind, Resources: types.Resources{Cores: types.MilliCores(cores) * types.Core, MemoryMB: 64}, Tasks: 2 + r.Intn(2),
				Gang: true, MaxPerWorker: 1 + r.Intn(2), Work: randomWork(r, 60, 250)})
		}
		if r.Intn(3) == 0 {
			s.Steps[1].DependsOn = []string{"near"}
		}
		return s
	}
}

// wideJobs is one wide step of long tasks.
func wideJobs(q types.QueueName, kind types.ServiceKind, cores, tasks int) func(*rand.Rand) state.Spec {
	return func(r *rand.Rand) state.Spec {
		s := state.Spec{Queue: q, Steps: []state.Step{{Name: "all", Kind: kind, Resources: types.Resources{Cores: types.MilliCores(cores) * types.Core, MemoryMB: 256}, Tasks: tasks,
			MaxPerWorker: 3, Work: randomWork(r, 1500, 4000)}}}
		if r.Intn(4) == 0 {
			s.Steps[0].Rack, s.Steps[0].MaxPerWorker = types.Rack(fmt.Sprintf("r%d", 1+r.Intn(3))), 0
		}
		return s
	}
}

// pairJobs is two short tasks, one after the other or side by side.
func pairJobs(q types.QueueName, kind types.ServiceKind) func(*rand.Rand) state.Spec {
	return func(r *rand.Rand) state.Spec {
		s := state.Spec{Queue: q, Urgency: 5}
		for _, name := range []string{"hold", "book"} {
			s.Steps = append(s.Steps, state.Step{Name: name, Kind: kind, Resources: types.Resources{Cores: 1 * types.Core, MemoryMB: 32}, Tasks: 1, Work: randomWork(r, 40, 150)})
		}
		switch r.Intn(3) {
		case 0:
			s.Steps[1].DependsOn = []string{"hold"}
		case 1:
			s.Steps[1].DelayMillis = 300 + r.Intn(700)
		}
		if r.Intn(25) == 0 {
			s.Steps[1].Work = json.RawMessage(`{"ms":50,"fail":true}`)
		}
		return s
	}
}

// Deployments are the two.
var Deployments = map[string]Deployment{
	"kingston": {Name: "kingston", Cores: 16 * types.Core, Flows: []Flow{
		{"quotes", 140 * time.Millisecond, gangJobs("quotes", "quote", 1)},
		{"menus", 6 * time.Second, wideJobs("menus", "menu", 2, 12)},
		{"payments", 900 * time.Millisecond, pairJobs("payments", "pay")},
	}},
	"romania": {Name: "romania", Cores: 64 * types.Core, Flows: []Flow{
		{"searches", 220 * time.Millisecond, gangJobs("searches", "quote", 2)},
		{"plans", 6 * time.Second, wideJobs("plans", "menu", 4, 24)},
		{"bookings", 330 * time.Millisecond, pairJobs("bookings", "pay")},
	}},
}

// Table is a deployment's first table.
func (d Deployment) Table() config.Table {
	if d.WorkerRules != nil {
		return config.Table{Orphans: config.FinishOrphans, Queues: d.rows, Services: []config.Service{{Name: "work", EnforcesResources: true}}}
	}
	row := func(f Flow, weight, share int) config.Queue {
		return config.Queue{Name: f.Queue, Weight: weight, SharePercent: share, MaxRunning: 500, MaxUnfinished: 400, MaxFailures: 3, TaskTimeoutMillis: 60_000, UnresolvedTimeoutMillis: 30_000, PartitionTimeoutMillis: 86_400_000, StragglerFactor: 10, MaxPreemptions: 3}
	}
	return config.Table{Queues: []config.Queue{row(d.Flows[0], 4, 30), row(d.Flows[1], 2, 10), row(d.Flows[2], 4, 20)}}
}

// Workers lists them, rack by rack.
func (d Deployment) Workers() (list []history.WorkerSpec) {
	kinds := [][]types.ServiceKind{{"quote", "menu"}, {"quote", "pay"}, {"menu", "pay", "quote"}}
	x := d.effectiveSize()
	for i := range x.Workers {
		if d.WorkerRules != nil {
			size := []float64{1, 1, 1.5}[i%3]
			m := history.WorkerSpec{Shard: types.Shard(fmt.Sprintf("k%d", i+1)), Rack: types.Rack(fmt.Sprintf("r%d", i/x.WorkersPerRack+1)), Kinds: []types.ServiceKind{"work"},
				Capacity: types.Resources{Cores: types.MilliCores(float64(d.Cores) * size), MemoryMB: int(float64(d.Cores) * size * 2048 / 1000)}, RejectsOverload: true}
			if m.Labels = []string{"a"}; i%3 == 1 {
				m.Labels = append(m.Labels, "b")
			}
			list = append(list, m)
			continue
		}
		list = append(list, history.WorkerSpec{Shard: types.Shard(fmt.Sprintf("k%d", i+1)), Rack: types.Rack(fmt.Sprintf("r%d", i/x.WorkersPerRack+1)),
			Kinds: kinds[i%3], Capacity: types.Resources{Cores: d.Cores, MemoryMB: int(d.Cores) * 1024 / 1000}})
	}
	return
}

// Zone names the zone of the i-th of something.
func ZoneOf(i int) types.Zone { return Small.zone(i) }

// LongGangs is a stream of gangs of long tasks. No deployment sends it; the simulator
// does, so that faults meet gangs that run for long.
func (d Deployment) LongGangs() Flow {
	return Flow{d.Flows[1].Queue, 5 * time.Second, func(r *rand.Rand) state.Spec {
		return state.Spec{Queue: d.Flows[1].Queue, Steps: []state.Step{{Name: "parade", Kind: "menu", Resources: types.Resources{Cores: 1 * types.Core, MemoryMB: 64},
			Tasks: 3, Gang: true, MaxPerWorker: 1, Work: randomWork(r, 7000, 9000)}}}
	}}
}
