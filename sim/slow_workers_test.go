// Which workers count as slow while the tasks of a step differ widely.

package sim

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

const (
	// slowWorkersInterval is the time between two observations of the number of slow workers.
	slowWorkersInterval = 500 * time.Millisecond
	// maxSlowShareWithoutFaults is the share of healthy workers that may count as slow, on average.
	maxSlowShareWithoutFaults = 0.01
)

// observeSlowWorkers records, until a time, which share of all workers counts as slow at the leader.
func (r *Run) observeSlowWorkers(until time.Duration, shares *[]float64) {
	r.After(slowWorkersInterval, func() {
		if leader := r.leader(); leader != nil {
			share := float64(r.controllerStatus(leader).SlowWorkers) / float64(len(r.agents))
			*shares = append(*shares, share)
		}
		if time.Duration(r.Now()) < until {
			r.observeSlowWorkers(until, shares)
		}
	})
}

// unevenDeployment returns a deployment whose tasks differ widely within a step, and take about a
// third of all cores.
func unevenDeployment() deployment.Deployment {
	shape := deployment.JobShape{
		Queue: "searches", Steps: 1.5, Tasks: 31, TaskMS: 240, Cores: 12, MemoryMB: 8600, Variation: 0.9,
	}
	const largestTask = 36 // cores
	d := deployment.Named("romania-grown")
	d.Streams = []deployment.Stream{{
		Queue:        shape.Queue,
		MeanInterval: 125 * time.Millisecond,
		NewSpec: func(random *rand.Rand, now int64) state.Spec {
			return shape.NewSpec(random, now, largestTask)
		},
	}}
	return d
}

// Guards against the loss of healthy workers to the limit on slow ones: tasks of a step differ, and
// so the leader took most workers for slow.
func TestHealthyWorkersDoNotCountAsSlow(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	t.Parallel()
	for _, seed := range []int64{1, 2} {
		is := is.New(t)
		plan := largeDeploymentPlan(seed, "", 0)
		r := NewWithDeployment(plan, unevenDeployment())
		var shares []float64
		r.observeSlowWorkers(plan.trafficEnd(), &shares)
		r.Execute()
		for _, violation := range r.Verdict().Violations {
			t.Error(violation)
		}
		sum := 0.0
		for _, share := range shares {
			sum += share
		}
		mean := sum / float64(len(shares))
		t.Logf("seed %d: %.4f of the workers are slow, mean of %d observations; %d attempts started",
			seed, mean, len(shares), r.countEvents(history.AttemptStarted))
		is.True(r.countEvents(history.AttemptStarted) > 1500)
		is.True(mean <= maxSlowShareWithoutFaults)
	}
}
