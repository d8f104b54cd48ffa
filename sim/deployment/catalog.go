package deployment

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/worker"
)

// heartbeatInterval is that of all workers that are invoked.
const heartbeatInterval = 1500 * time.Millisecond

// Named returns a deployment of the catalog, or the zero Deployment if there is none of
// that name. Callers may change what they get: it shares no memory with the catalog.
func Named(name string) Deployment { return catalog[name].Clone() }

// catalog holds all deployments by their names. Runs share it, so nobody changes it.
var catalog = byName(
	kingston,
	romania,
	kingstonInvoked,
	romaniaInvoked,
	kingstonInvoked.withTenants("kingston-shared", 64, 48, 32, 24),
	romaniaInvoked.withTenants("romania-shared", 260, 200, 130, 100),
	kingstonInvoked.scaledTo("kingston-grown",
		Size{Zones: 4, Controllers: 8, Gateways: 8, Workers: 62, WorkersPerRack: 7, Founders: 3}),
	romaniaInvoked.scaledTo("romania-grown",
		Size{Zones: 3, Controllers: 6, Gateways: 7, Workers: 50, WorkersPerRack: 8, Founders: 3}),
)

func byName(list ...Deployment) map[string]Deployment {
	all := map[string]Deployment{}
	for _, d := range list {
		all[d.Name] = d
	}
	return all
}

var kingston = Deployment{
	Name:  "kingston",
	Size:  Small,
	Cores: 16 * types.Core,
	Flows: []Flow{
		{"quotes", 140 * time.Millisecond, GangJobs("quotes", "quote", 1)},
		{"menus", 6 * time.Second, wideJobs("menus", "menu", 2, 12)},
		{"payments", 900 * time.Millisecond, PairJobs("payments", "pay")},
	},
}

var romania = Deployment{
	Name:  "romania",
	Size:  Small,
	Cores: 64 * types.Core,
	Flows: []Flow{
		{"searches", 220 * time.Millisecond, GangJobs("searches", "quote", 2)},
		{"plans", 6 * time.Second, wideJobs("plans", "menu", 4, 24)},
		{"bookings", 330 * time.Millisecond, PairJobs("bookings", "pay")},
	},
}

var kingstonInvoked = newInvokedDeployment("kingston-called", 16*types.Core,
	worker.Rules{
		MaxLease:           6 * time.Second,
		MaxStopTime:        400 * time.Millisecond,
		GangTimeout:        3 * time.Second,
		CheckpointInterval: 2 * time.Second,
		RestoreTime:        600 * time.Millisecond,
		RemoteSlowdown:     1.5,
		HeartbeatInterval:  heartbeatInterval,
	},
	JobShape{
		Queue: "quotes", MeanInterval: 142 * time.Millisecond,
		Steps: 1.5, Tasks: 14, TaskMS: 240, Cores: 1.5, MemoryMB: 1500,
		Variation: 0.3, EstimateError: 0.5, FailureRate: 0.02, AlwaysFailsRate: 0.01,
		RackDataRate: 0.3, HedgedRate: 0.6, GangRate: 0.1, LabelRate: 0.1,
		Priority: 0, MaxFailures: 4, TargetFactor: 1.5, TargetMarginMS: 250,
	},
	JobShape{
		Queue: "menus", MeanInterval: 4200 * time.Millisecond,
		Steps: 1.3, Tasks: 5, TaskMS: 6000, Cores: 4.8, MemoryMB: 8900,
		Variation: 0.15, EstimateError: 0.9, FailureRate: 0.02, AlwaysFailsRate: 0.03,
		CheckpointRate: 0.4, GangRate: 0.3, CancelRate: 0.1,
		Priority: 2, MaxFailures: 3, TargetFactor: 3.2, TargetMarginMS: 3000,
	},
	JobShape{
		Queue: "payments", MeanInterval: 752 * time.Millisecond,
		Steps: 1, Tasks: 2, TaskMS: 900, Cores: 2.4, MemoryMB: 2500,
		Variation: 0.15, EstimateError: 0.2, FailureRate: 0.02, AlwaysFailsRate: 0.02,
		SpreadRate: 0.3, ScheduledRate: 0.3, LabelRate: 0.1, CancelRate: 0.04,
		Priority: 1, MaxFailures: 3, TargetFactor: 2.2, TargetMarginMS: 1000,
	},
)

var romaniaInvoked = newInvokedDeployment("romania-called", 64*types.Core,
	worker.Rules{
		MaxLease:           10 * time.Second,
		MaxStopTime:        900 * time.Millisecond,
		GangTimeout:        3 * time.Second,
		CheckpointInterval: time.Second,
		RestoreTime:        250 * time.Millisecond,
		RemoteSlowdown:     1.5,
		HeartbeatInterval:  heartbeatInterval,
	},
	JobShape{
		Queue: "searches", MeanInterval: 222 * time.Millisecond,
		Steps: 1.5, Tasks: 14, TaskMS: 380, Cores: 6, MemoryMB: 8600,
		Variation: 0.15, EstimateError: 0.9, FailureRate: 0.005, AlwaysFailsRate: 0.01,
		RackDataRate: 0.3, HedgedRate: 0.6, GangRate: 0.1, LabelRate: 0.1,
		Priority: 0, MaxFailures: 2, TargetFactor: 1.5, TargetMarginMS: 200,
	},
	JobShape{
		Queue: "plans", MeanInterval: 4200 * time.Millisecond,
		Steps: 1.3, Tasks: 5, TaskMS: 6000, Cores: 19, MemoryMB: 36000,
		Variation: 0.3, EstimateError: 0.9, FailureRate: 0.05,
		CheckpointRate: 0.4, GangRate: 0.3, CancelRate: 0.1,
		Priority: 2, MaxFailures: 4, TargetFactor: 3.2, TargetMarginMS: 3000,
	},
	JobShape{
		Queue: "bookings", MeanInterval: 369 * time.Millisecond,
		Steps: 1, Tasks: 2, TaskMS: 720, Cores: 9.7, MemoryMB: 14000,
		Variation: 0.3, EstimateError: 0.2, FailureRate: 0.03,
		SpreadRate: 0.3, ScheduledRate: 0.3, CancelRate: 0.04,
		Priority: 1, MaxFailures: 4, TargetFactor: 2.2, TargetMarginMS: 1000,
	},
)

// newInvokedDeployment returns a small deployment whose workers are invoked, with a stream of each
// shape, and one of tasks that last in the queue of the last shape.
func newInvokedDeployment(name string, cores types.MilliCores, rules worker.Rules, shapes ...JobShape) Deployment {
	d := Deployment{Name: name, Size: Small, Cores: cores, WorkerRules: &rules}
	for _, shape := range shapes {
		d.Streams = append(d.Streams, shape.stream(float64(cores)/float64(types.Core)))
		d.Queues = append(d.Queues, shape.queue())
	}
	d.Streams = append(d.Streams, serviceStream(shapes[len(shapes)-1].Queue))
	return d
}

// scaledTo returns a deployment with more of everything. Its callers send half as many
// jobs for each worker, so that a run is short enough for every change.
func (d Deployment) scaledTo(name string, size Size) Deployment {
	rules := *d.WorkerRules
	rules.GangTimeout = 4 * time.Second
	d.Name, d.Size, d.WorkerRules, d.Streams = name, size, &rules, slices.Clone(d.Streams)
	for i := range d.Streams {
		interval := &d.Streams[i].MeanInterval
		*interval = 2 * *interval * time.Duration(Small.Workers) / time.Duration(size.Workers)
	}
	return d
}
