// The two deployments as their users size them now: workers that are invoked, and
// jobs with dependencies, uneven tasks, gangs that work only together, data on a
// rack, saved progress, many times, and tasks that last.
package sim

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// Stream is jobs of a shape with their mean rate, of which some are cancelled.
type Stream struct {
	Queue        types.QueueName
	MeanInterval time.Duration
	NewSpec      func(r *rand.Rand, now int64) state.Spec
	CancelRate   float64       // the part that is cancelled,
	CancelWithin time.Duration // and about within what time
}

// shape is the size of one kind of job: means, and what they are at most.
type shape struct {
	queue          types.QueueName
	meanInterval   time.Duration
	steps          float64
	tasks          float64
	taskMS         float64
	cores          float64
	memory         float64
	variation      float64
	estimateError  float64 // how wrong estimates are
	failureRate    float64 // part of the attempts that fail by themselves
	hopelessRate   float64 // part of the jobs that can never be done
	rackDataRate   float64 // part of the jobs whose data is on a rack
	hedgedRate     float64
	checkpointRate float64
	spreadRate     float64 // part of the jobs that limit how many tasks go to one worker
	scheduledRate  float64
	gangRate       float64
	labelRate      float64
	cancelRate     float64
	priority       int
	tries          int
	stretch        float64
	target         int
}

// logNormal draws round a mean, seldom much more.
func logNormal(r *rand.Rand, mean, spread, limit float64) float64 {
	return min(limit, mean*math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

func (sh shape) spec(r *rand.Rand, now int64, largest float64) state.Spec {
	s := state.Spec{Queue: sh.queue}
	yes := func(p float64) bool { return r.Float64() < p }
	near, copies, keeps, apart, label := yes(sh.rackDataRate), yes(sh.hedgedRate), yes(sh.checkpointRate), yes(sh.spreadRate), yes(sh.labelRate)
	rack, lost := types.Rack(fmt.Sprintf("r%d", 1+r.Intn(4))), yes(sh.hopelessRate)
	for i := range max(1, int(logNormal(r, sh.steps+0.3, 0.4, 2.5*sh.steps))) {
		work := worker.Work{DurationMS: int(logNormal(r, sh.taskMS, 0.5, 2.5*sh.taskMS)), FailureRate: sh.failureRate, Variation: sh.variation}
		if lost {
			work.FailureRate = 1
		}
		p := state.Step{Name: fmt.Sprint("s", i), Kind: "work", Tasks: max(1, int(logNormal(r, sh.tasks, 0.8, 6*sh.tasks))), AllowHedge: copies, KeepsCheckpoint: keeps,
			Resources: types.Resources{Cores: types.MilliCores(1000 * logNormal(r, sh.cores, 0.45, min(largest, 3*sh.cores))), MemoryMB: int(logNormal(r, sh.memory, 0.6, 3*sh.memory))},
			Work:      work.Encode(), EstimateMillis: int(float64(work.DurationMS) * (1 + sh.estimateError*(2*r.Float64()-1)))}
		if near {
			p.DataRack = rack
		}
		if label {
			p.Labels = []string{"b"}
		}
		if apart {
			p.MaxPerWorker = 1 + r.Intn(2)
		}
		if i > 0 {
			p.DependsOn = []string{s.Steps[r.Intn(i)].Name}
		}
		if yes(sh.gangRate) {
			p.Gang, p.Joint, p.AllowHedge, p.PreferOneRack, p.Tasks = true, true, false, yes(0.5), min(p.Tasks, 2+r.Intn(5))
		}
		s.Steps = append(s.Steps, p)
	}
	if yes(sh.scheduledRate) {
		s.Schedule = &state.Schedule{FirstUnixMillis: (history.WallClockStart+now)/1e6 + int64(r.Intn(3000)), IntervalMillis: 1000 + int64(r.Intn(2000)), Count: 2 + r.Intn(4)}
	}
	return s
}

func (sh shape) row() config.Queue {
	return config.Queue{Name: sh.queue, Weight: 1, MaxRunning: 10_000, MaxUnfinished: 5000, MaxFailures: sh.tries, TaskTimeoutMillis: 120_000, UnresolvedTimeoutMillis: 5000, PartitionTimeoutMillis: 5000,
		MaxPreemptions: 3, CanPreempt: true, Service: "work", Priority: sh.priority, TargetFactor: sh.stretch, TargetMarginMillis: sh.target, InitialBackoffMillis: 100}
}

// serviceJobs is tasks that run until their job is cancelled.
func serviceJobs(q types.QueueName) func(*rand.Rand, int64) state.Spec {
	return func(r *rand.Rand, _ int64) state.Spec {
		return state.Spec{Queue: q, Steps: []state.Step{{Name: "serve", Kind: "work", Resources: types.Resources{Cores: types.Core, MemoryMB: 512},
			Tasks: 1 + r.Intn(3), AlwaysRestart: true, Work: worker.Work{DurationMS: 100}.Encode()}}}
	}
}

// invokedDeployment makes a deployment of shapes.
func invokedDeployment(name string, cores types.MilliCores, m worker.Rules, shapes ...shape) Deployment {
	t := Deployment{Name: name, Cores: cores, WorkerRules: &m}
	for _, x := range shapes {
		t.Streams = append(t.Streams, Stream{Queue: x.queue, MeanInterval: x.meanInterval, CancelRate: x.cancelRate, CancelWithin: 4 * time.Second,
			NewSpec: func(r *rand.Rand, now int64) state.Spec { return x.spec(r, now, float64(cores)/1000) }})
		t.rows = append(t.rows, x.row())
	}
	last := shapes[2].queue
	t.Streams = append(t.Streams, Stream{Queue: last, MeanInterval: 9 * time.Second, CancelRate: 1, CancelWithin: 12 * time.Second, NewSpec: serviceJobs(last)})
	return t
}

// grownTo is a deployment with more of everything. Its callers send as many jobs a worker
// as before, half as often, so that a run is short enough for every change.
func (d Deployment) grownTo(name string, x Size) Deployment {
	d.Name, d.Size = name, x
	m := *d.WorkerRules
	m.GangTimeout = 4 * time.Second
	d.WorkerRules, d.Streams = &m, slices.Clone(d.Streams)
	for i := range d.Streams {
		d.Streams[i].MeanInterval = 2 * d.Streams[i].MeanInterval * time.Duration(Small.Workers) / time.Duration(x.Workers)
	}
	return d
}

func init() {
	beat := 1500 * time.Millisecond
	a := invokedDeployment("kingston-called", 16*types.Core,
		worker.Rules{MaxLease: 6 * time.Second, MaxStopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second, CheckpointInterval: 2 * time.Second, RestoreTime: 600 * time.Millisecond, RemoteSlowdown: 1.5, HeartbeatInterval: beat},
		shape{queue: "quotes", meanInterval: 142 * time.Millisecond, steps: 1.5, tasks: 14, taskMS: 240, cores: 1.5, memory: 1500, variation: 0.3, estimateError: 0.5, failureRate: 0.02,
			hopelessRate: 0.01, rackDataRate: 0.3, hedgedRate: 0.6, gangRate: 0.1, labelRate: 0.1, priority: 0, tries: 4, stretch: 1.5, target: 250},
		shape{queue: "menus", meanInterval: 4200 * time.Millisecond, steps: 1.3, tasks: 5, taskMS: 6000, cores: 4.8, memory: 8900, variation: 0.15, estimateError: 0.9, failureRate: 0.02,
			hopelessRate: 0.03, checkpointRate: 0.4, gangRate: 0.3, cancelRate: 0.1, priority: 2, tries: 3, stretch: 3.2, target: 3000},
		shape{queue: "payments", meanInterval: 752 * time.Millisecond, steps: 1, tasks: 2, taskMS: 900, cores: 2.4, memory: 2500, variation: 0.15, estimateError: 0.2, failureRate: 0.02,
			hopelessRate: 0.02, spreadRate: 0.3, scheduledRate: 0.3, labelRate: 0.1, cancelRate: 0.04, priority: 1, tries: 3, stretch: 2.2, target: 1000})
	b := invokedDeployment("romania-called", 64*types.Core,
		worker.Rules{MaxLease: 10 * time.Second, MaxStopTime: 900 * time.Millisecond, GangTimeout: 3 * time.Second, CheckpointInterval: time.Second, RestoreTime: 250 * time.Millisecond, RemoteSlowdown: 1.5, HeartbeatInterval: beat},
		shape{queue: "searches", meanInterval: 222 * time.Millisecond, steps: 1.5, tasks: 14, taskMS: 380, cores: 6, memory: 8600, variation: 0.15, estimateError: 0.9, failureRate: 0.005,
			hopelessRate: 0.01, rackDataRate: 0.3, hedgedRate: 0.6, gangRate: 0.1, labelRate: 0.1, priority: 0, tries: 2, stretch: 1.5, target: 200},
		shape{queue: "plans", meanInterval: 4200 * time.Millisecond, steps: 1.3, tasks: 5, taskMS: 6000, cores: 19, memory: 36000, variation: 0.3, estimateError: 0.9, failureRate: 0.05,
			checkpointRate: 0.4, gangRate: 0.3, cancelRate: 0.1, priority: 2, tries: 4, stretch: 3.2, target: 3000},
		shape{queue: "bookings", meanInterval: 369 * time.Millisecond, steps: 1, tasks: 2, taskMS: 720, cores: 9.7, memory: 14000, variation: 0.3, estimateError: 0.2, failureRate: 0.03,
			spreadRate: 0.3, scheduledRate: 0.3, cancelRate: 0.04, priority: 1, tries: 4, stretch: 2.2, target: 1000})
	Deployments[a.Name], Deployments[b.Name] = a, b
	Deployments["kingston-grown"] = a.grownTo("kingston-grown", Size{Zones: 4, Controllers: 8, Gateways: 8, Workers: 62, WorkersPerRack: 7, Founders: 3})
	Deployments["romania-grown"] = b.grownTo("romania-grown", Size{Zones: 3, Controllers: 6, Gateways: 7, Workers: 50, WorkersPerRack: 8, Founders: 3})
}
