package deployment

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/worker"
)

// Flow is a series of jobs of one kind for polling workers at a mean rate.
type Flow struct {
	Queue        types.QueueName
	MeanInterval time.Duration
	NewSpec      func(random *rand.Rand) state.Spec
}

// queue returns the flow's queue in the initial table.
func (f Flow) queue(weight, sharePercent int) config.Queue {
	return config.Queue{
		Name:                    f.Queue,
		Weight:                  weight,
		SharePercent:            sharePercent,
		MaxRunning:              500,
		MaxUnfinished:           400,
		MaxFailures:             3,
		TaskTimeoutMillis:       60_000,
		UnresolvedTimeoutMillis: 30_000,
		PartitionTimeoutMillis:  86_400_000,
		StragglerFactor:         10,
		MaxPreemptions:          3,
	}
}

// RandomWork returns the input of a task with a duration drawn from a range.
func RandomWork(random *rand.Rand, minMS, maxMS int) json.RawMessage {
	return worker.Work{DurationMS: minMS + random.Intn(maxMS-minMS+1)}.Encode()
}

// resources returns resources of whole cores and memory in MB.
func resources(cores, memoryMB int) types.Resources {
	return types.Resources{Cores: types.MilliCores(cores) * types.Core, MemoryMB: memoryMB}
}

// GangJobs returns a function that draws jobs of two small gangs of short tasks.
func GangJobs(queue types.QueueName, kind types.ServiceKind, cores int) func(*rand.Rand) state.Spec {
	return func(random *rand.Rand) state.Spec {
		spec := state.Spec{Queue: queue, Urgency: random.Intn(3)}
		for _, name := range []string{"near", "far"} {
			spec.Steps = append(spec.Steps, state.Step{
				Name:         name,
				Kind:         kind,
				Resources:    resources(cores, 64),
				Tasks:        2 + random.Intn(2),
				Gang:         true,
				MaxPerWorker: 1 + random.Intn(2),
				Work:         RandomWork(random, 60, 250),
			})
		}
		if random.Intn(3) == 0 {
			spec.Steps[1].DependsOn = []string{"near"}
		}
		return spec
	}
}

// wideJobs returns a function that draws jobs of one step with the given number of long tasks.
func wideJobs(queue types.QueueName, kind types.ServiceKind, cores, tasks int) func(*rand.Rand) state.Spec {
	return func(random *rand.Rand) state.Spec {
		step := state.Step{
			Name:         "all",
			Kind:         kind,
			Resources:    resources(cores, 256),
			Tasks:        tasks,
			MaxPerWorker: 3,
			Work:         RandomWork(random, 1500, 4000),
		}
		if random.Intn(4) == 0 {
			step.Rack, step.MaxPerWorker = types.Rack(fmt.Sprintf("r%d", 1+random.Intn(3))), 0
		}
		return state.Spec{Queue: queue, Steps: []state.Step{step}}
	}
}

// PairJobs returns a function that draws jobs of two short tasks that run in sequence or in
// parallel. In one in 25 jobs, every attempt at the second task fails.
func PairJobs(queue types.QueueName, kind types.ServiceKind) func(*rand.Rand) state.Spec {
	return func(random *rand.Rand) state.Spec {
		spec := state.Spec{Queue: queue, Urgency: 5}
		for _, name := range []string{"hold", "book"} {
			spec.Steps = append(spec.Steps, state.Step{
				Name:      name,
				Kind:      kind,
				Resources: resources(1, 32),
				Tasks:     1,
				Work:      RandomWork(random, 40, 150),
			})
		}
		second := &spec.Steps[1]
		switch random.Intn(3) {
		case 0:
			second.DependsOn = []string{"hold"}
		case 1:
			second.DelayMillis = 300 + random.Intn(700)
		}
		if random.Intn(25) == 0 {
			second.Work = worker.Work{DurationMS: 50, Fail: true}.Encode()
		}
		return spec
	}
}

// LongGangs returns a flow of gangs of long tasks. It is part of no deployment; the simulator
// adds it so that faults occur while gangs are running.
func (d Deployment) LongGangs() Flow {
	queue := d.Flows[1].Queue
	newSpec := func(random *rand.Rand) state.Spec {
		return state.Spec{Queue: queue, Steps: []state.Step{{
			Name:         "parade",
			Kind:         "menu",
			Resources:    resources(1, 64),
			Tasks:        3,
			Gang:         true,
			MaxPerWorker: 1,
			Work:         RandomWork(random, 7000, 9000),
		}}}
	}
	return Flow{queue, 5 * time.Second, newSpec}
}
