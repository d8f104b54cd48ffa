// The table and the traffic of large fleets, in proportion to their size.

package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

const (
	minFleetQueues = 3
	maxFleetQueues = 200
	loadedQueues   = 3 // the first queues, which have the traffic

	longTaskMillis = 3_600_000
	longJobTasks   = 250
	maxShortTasks  = 64 // of a job
	gangInterval   = 5 * time.Second
)

// scaleDown scales a count of the full size down to a fleet's workers.
func (s Scale) scaleDown(full int) int { return full * s.Agents / DesignWorkers }

// fleetQueueName returns the name of the i-th queue of a fleet's table.
func fleetQueueName(i int) types.QueueName { return types.QueueName(fmt.Sprintf("team-%d", i)) }

// fleetTable returns the first table of a fleet.
func fleetTable(s Scale) config.Table {
	t := config.Table{MaxTasks: 1_000_000}
	for i := range max(minFleetQueues, min(maxFleetQueues, s.scaleDown(DesignQueues))) {
		t.Queues = append(t.Queues, config.Queue{
			Name:                    fleetQueueName(i),
			Weight:                  1,
			MaxRunning:              100_000,
			MaxUnfinished:           10_000,
			MaxFailures:             3,
			TaskTimeoutMillis:       600_000,
			UnresolvedTimeoutMillis: 30_000,
			PartitionTimeoutMillis:  86_400_000,
			StragglerFactor:         10,
			MaxPreemptions:          3,
		})
	}
	return t
}

// oneStepJob returns a job with one step. The step's name tells kinds of jobs apart, as
// durations are estimated by name.
func oneStepJob(name string, queue, tasks, taskMillis int) state.Spec {
	return state.Spec{
		Queue: fleetQueueName(queue),
		Steps: []state.Step{{
			Name:      name,
			Kind:      "quote",
			Resources: types.Resources{Cores: 1, MemoryMB: 64},
			Tasks:     tasks,
			Work:      json.RawMessage(fmt.Sprintf(`{"ms":%d}`, taskMillis)),
		}},
	}
}

// submit submits a job at any gateway.
func (r *Run) submit(id string, spec state.Spec) {
	r.Record(history.Event{Kind: history.JobSubmitted, Job: types.JobID(id), Spec: &spec})
	r.Clients.Submit(types.JobID(id), wire.EncodeBody(spec), r.Clients.AnyGateway())
}

// startLoad starts long tasks in proportion to those that run at the full size, and then
// submits short ones at its rate, and a gang now and then.
func (r *Run) startLoad(s Scale) error {
	longTasks := s.scaleDown(designRunningTasks)
	for i, left := 0, longTasks; left > 0; i, left = i+1, left-longJobTasks {
		tasks := min(left, longJobTasks)
		r.submit(fmt.Sprintf("long-%d", i), oneStepJob("long", i%loadedQueues, tasks, longTaskMillis))
	}
	allRunning := func() bool { return r.runningTasks() >= longTasks }
	if err := r.await(30*time.Second, "the long tasks running", allRunning); err != nil {
		return err
	}
	r.startShortJobs(s)
	return nil
}

// startShortJobs submits short jobs and gangs from now on.
func (r *Run) startShortJobs(s Scale) {
	startsPerSecond := float64(designStartsPerSecond*s.Agents) / DesignWorkers
	tasks := max(1, min(maxShortTasks, int(startsPerSecond/2)))
	jobInterval := time.Duration(float64(tasks) / startsPerSecond * float64(time.Second))
	jobs := 0
	r.runPeriodically(jobInterval, func() {
		jobs++
		queue := r.Random.Intn(loadedQueues)
		taskMillis := 500 + r.Random.Intn(2000)
		r.submit(fmt.Sprintf("short-%d", jobs), oneStepJob("short", queue, tasks, taskMillis))
	})
	r.runPeriodically(gangInterval, func() {
		jobs++
		gang := oneStepJob("gang", r.Random.Intn(loadedQueues), max(2, s.scaleDown(designGangTasks)), 1000)
		gang.Steps[0].Gang = true
		r.submit(fmt.Sprintf("gang-%d", jobs), gang)
	})
}

// every calls a function at an interval, for the first time within one.
func (r *Run) runPeriodically(interval time.Duration, call func()) {
	var again func()
	again = func() {
		call()
		r.After(interval, again)
	}
	r.After(time.Duration(r.Random.Int63n(int64(interval))), again)
}
