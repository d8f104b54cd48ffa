package controller

import (
	"fmt"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
)

// noWorkersRetryAfter is the Retry-After of submissions before the first worker has registered.
const noWorkersRetryAfter = 2 * time.Second

// checkFeasible rejects a job with a step that none of the known workers, connected or not, can
// ever run.
func checkFeasible(s *state.State, spec state.Spec) *apierror.Error {
	if len(s.WorkerShapes) == 0 {
		return apierror.New(apierror.NotReady, "", "no worker has registered yet").WithRetryAfter(noWorkersRetryAfter)
	}
	queue, _ := s.Table.FindQueue(spec.Queue)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if found := findInfeasibility(step, findCapacity(s, step), queue.MaxRunning); found != nil {
			return apierror.New(apierror.NeverPlaceable, fmt.Sprintf("steps[%d].%s", i, found.field), found.reason)
		}
	}
	return nil
}

// stepCapacity is the capacity of the known workers for a step if all of them are idle.
type stepCapacity struct {
	kindFound bool // a worker serves the step's kind
	rackFound bool // such a worker is in the step's rack and has its labels
	workers   int  // number that can hold a task of the step
	tasks     int  // number that these workers can hold at once
}

// findCapacity adds up the capacity of the known workers for a step.
func findCapacity(s *state.State, step *state.Step) stepCapacity {
	var c stepCapacity
	for _, shape := range s.WorkerShapes {
		kind, rack := shape.Matches(*step)
		c.kindFound = c.kindFound || kind
		c.rackFound = c.rackFound || kind && rack
		if !kind || !rack || !shape.Resources.Contains(step.Resources) {
			continue
		}
		tasks := shape.Resources.FitCount(step.Resources)
		if step.MaxPerWorker > 0 {
			tasks = min(tasks, step.MaxPerWorker)
		}
		c.workers++
		c.tasks += tasks
	}
	return c
}

// infeasibility is the reason why a step can never be placed.
type infeasibility struct {
	field  string // name of the step's field in the API
	reason string
}

// findInfeasibility returns why a step can never be placed, or nil if it can; maxRunning is the
// maximum number of tasks that its queue may run at once.
func findInfeasibility(step *state.Step, c stepCapacity, maxRunning int) *infeasibility {
	switch {
	case !c.kindFound:
		return &infeasibility{"kind", "no worker is of kind " + string(step.Kind)}
	case !c.rackFound:
		return &infeasibility{"rack", "no worker of the kind is in rack " + string(step.Rack)}
	case c.workers == 0:
		return &infeasibility{"room", "larger than any worker"}
	case step.Gang && c.tasks < step.Tasks:
		reason := fmt.Sprintf("the workers hold at most %d of its %d members at once", c.tasks, step.Tasks)
		return &infeasibility{"gang", reason}
	case step.Gang && step.Tasks > maxRunning:
		return &infeasibility{"gang", "more members than the queue may run at once"}
	}
	return nil
}
