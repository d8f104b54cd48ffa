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
)

// Stream is jobs of a shape with their mean rate, of which some are cancelled.
type Stream struct {
	Queue  types.QueueName
	Every  time.Duration
	Spec   func(r *rand.Rand, now int64) state.Spec
	Cancel float64       // the part that is cancelled,
	Within time.Duration // and about within what time
}

// shape is the size of one kind of job: means, and what they are at most.
type shape struct {
	queue    types.QueueName
	every    time.Duration
	steps    float64
	width    float64
	ms       float64
	cores    float64
	memory   float64
	uneven   float64
	off      float64 // how wrong estimates are
	fails    float64 // part of the attempts that fail by themselves
	poison   float64 // part of the jobs that can never be done
	near     float64 // part of the jobs whose data is on a rack
	copies   float64
	keeps    float64
	apart    float64 // part of the jobs that limit how many tasks go to one worker
	timed    float64
	gangs    float64
	labels   float64
	cancel   float64
	priority int
	tries    int
	stretch  float64
	target   int
}

// around draws round a mean, seldom much more.
func around(r *rand.Rand, mean, spread, most float64) float64 {
	return min(most, mean*math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

func (sh shape) spec(r *rand.Rand, now int64, largest float64) state.Spec {
	s := state.Spec{Queue: sh.queue}
	yes := func(p float64) bool { return r.Float64() < p }
	near, copies, keeps, apart, label := yes(sh.near), yes(sh.copies), yes(sh.keeps), yes(sh.apart), yes(sh.labels)
	rack, lost := types.Rack(fmt.Sprintf("r%d", 1+r.Intn(4))), yes(sh.poison)
	for i := range max(1, int(around(r, sh.steps+0.3, 0.4, 2.5*sh.steps))) {
		work := Work{MS: int(around(r, sh.ms, 0.5, 2.5*sh.ms)), Fails: sh.fails, Uneven: sh.uneven}
		if lost {
			work.Fails = 1
		}
		p := state.Step{Name: fmt.Sprint("s", i), Kind: "work", Tasks: max(1, int(around(r, sh.width, 0.8, 6*sh.width))), AllowHedge: copies, KeepsCheckpoint: keeps,
			Resources: types.Resources{Cores: types.MilliCores(1000 * around(r, sh.cores, 0.45, min(largest, 3*sh.cores))), MemoryMB: int(around(r, sh.memory, 0.6, 3*sh.memory))},
			Work:      work.raw(), EstimateMillis: int(float64(work.MS) * (1 + sh.off*(2*r.Float64()-1)))}
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
		if yes(sh.gangs) {
			p.Gang, p.Joint, p.AllowHedge, p.PreferOneRack, p.Tasks = true, true, false, yes(0.5), min(p.Tasks, 2+r.Intn(5))
		}
		s.Steps = append(s.Steps, p)
	}
	if yes(sh.timed) {
		s.Schedule = &state.Schedule{FirstUnixMillis: (origin+now)/1e6 + int64(r.Intn(3000)), IntervalMillis: 1000 + int64(r.Intn(2000)), Count: 2 + r.Intn(4)}
	}
	return s
}

func (sh shape) row() config.Queue {
	return config.Queue{Name: sh.queue, Weight: 1, MaxRunning: 10_000, MaxUnfinished: 5000, MaxFailures: sh.tries, TaskTimeoutMillis: 120_000, UnresolvedTimeoutMillis: 5000, PartitionTimeoutMillis: 5000,
		MaxPreemptions: 3, CanPreempt: true, Service: "work", Priority: sh.priority, TargetFactor: sh.stretch, TargetMarginMillis: sh.target, InitialBackoffMillis: 100}
}

// lasting is tasks that run until their job is cancelled.
func lasting(q types.QueueName) func(*rand.Rand, int64) state.Spec {
	return func(r *rand.Rand, _ int64) state.Spec {
		return state.Spec{Queue: q, Steps: []state.Step{{Name: "serve", Kind: "work", Resources: types.Resources{Cores: types.Core, MemoryMB: 512},
			Tasks: 1 + r.Intn(3), AlwaysRestart: true, Work: Work{MS: 100}.raw()}}}
	}
}

// invokedDeployment makes a deployment of shapes.
func invokedDeployment(name string, cores types.MilliCores, m WorkerRules, shapes ...shape) Deployment {
	t := Deployment{Name: name, Cores: cores, WorkerRules: &m}
	for _, x := range shapes {
		t.Streams = append(t.Streams, Stream{Queue: x.queue, Every: x.every, Cancel: x.cancel, Within: 4 * time.Second,
			Spec: func(r *rand.Rand, now int64) state.Spec { return x.spec(r, now, float64(cores)/1000) }})
		t.rows = append(t.rows, x.row())
	}
	last := shapes[2].queue
	t.Streams = append(t.Streams, Stream{Queue: last, Every: 9 * time.Second, Cancel: 1, Within: 12 * time.Second, Spec: lasting(last)})
	return t
}

// grown is a deployment with more of everything. Its callers send as many jobs a worker
// as before, half as often, so that a run is short enough for every change.
func (d Deployment) grown(name string, x Size) Deployment {
	d.Name, d.Size = name, x
	m := *d.WorkerRules
	m.Gang = 4 * time.Second
	d.WorkerRules, d.Streams = &m, slices.Clone(d.Streams)
	for i := range d.Streams {
		d.Streams[i].Every = 2 * d.Streams[i].Every * time.Duration(Small.Workers) / time.Duration(x.Workers)
	}
	return d
}

func init() {
	beat := 1500 * time.Millisecond
	a := invokedDeployment("kingston-called", 16*types.Core,
		WorkerRules{Lease: 6 * time.Second, Stop: 400 * time.Millisecond, Gang: 3 * time.Second, Save: 2 * time.Second, Restore: 600 * time.Millisecond, Far: 1.5, Beat: beat},
		shape{queue: "quotes", every: 142 * time.Millisecond, steps: 1.5, width: 14, ms: 240, cores: 1.5, memory: 1500, uneven: 0.3, off: 0.5, fails: 0.02,
			poison: 0.01, near: 0.3, copies: 0.6, gangs: 0.1, labels: 0.1, priority: 0, tries: 4, stretch: 1.5, target: 250},
		shape{queue: "menus", every: 4200 * time.Millisecond, steps: 1.3, width: 5, ms: 6000, cores: 4.8, memory: 8900, uneven: 0.15, off: 0.9, fails: 0.02,
			poison: 0.03, keeps: 0.4, gangs: 0.3, cancel: 0.1, priority: 2, tries: 3, stretch: 3.2, target: 3000},
		shape{queue: "payments", every: 752 * time.Millisecond, steps: 1, width: 2, ms: 900, cores: 2.4, memory: 2500, uneven: 0.15, off: 0.2, fails: 0.02,
			poison: 0.02, apart: 0.3, timed: 0.3, labels: 0.1, cancel: 0.04, priority: 1, tries: 3, stretch: 2.2, target: 1000})
	b := invokedDeployment("romania-called", 64*types.Core,
		WorkerRules{Lease: 10 * time.Second, Stop: 900 * time.Millisecond, Gang: 3 * time.Second, Save: time.Second, Restore: 250 * time.Millisecond, Far: 1.5, Beat: beat},
		shape{queue: "searches", every: 222 * time.Millisecond, steps: 1.5, width: 14, ms: 380, cores: 6, memory: 8600, uneven: 0.15, off: 0.9, fails: 0.005,
			poison: 0.01, near: 0.3, copies: 0.6, gangs: 0.1, labels: 0.1, priority: 0, tries: 2, stretch: 1.5, target: 200},
		shape{queue: "plans", every: 4200 * time.Millisecond, steps: 1.3, width: 5, ms: 6000, cores: 19, memory: 36000, uneven: 0.3, off: 0.9, fails: 0.05,
			keeps: 0.4, gangs: 0.3, cancel: 0.1, priority: 2, tries: 4, stretch: 3.2, target: 3000},
		shape{queue: "bookings", every: 369 * time.Millisecond, steps: 1, width: 2, ms: 720, cores: 9.7, memory: 14000, uneven: 0.3, off: 0.2, fails: 0.03,
			apart: 0.3, timed: 0.3, cancel: 0.04, priority: 1, tries: 4, stretch: 2.2, target: 1000})
	Deployments[a.Name], Deployments[b.Name] = a, b
	Deployments["kingston-grown"] = a.grown("kingston-grown", Size{Zones: 4, Controllers: 8, Gateways: 8, Workers: 62, Rack: 7, Founders: 3})
	Deployments["romania-grown"] = b.grown("romania-grown", Size{Zones: 3, Controllers: 6, Gateways: 7, Workers: 50, Rack: 8, Founders: 3})
}
