package checker

import (
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// checkPlacement judges that attempts run on workers of the right service, rack and
// labels, not on ones that leave, and no more of a step on a worker than it allows.
func (c *checker) checkPlacement(job *jobHistory) {
	for task, executions := range job.executions {
		step := job.step(task)
		for _, e := range executions {
			c.checkWorker(step, e)
			c.checkLeaving(e)
			c.checkSpread(job, task, e)
		}
	}
}

func (c *checker) checkWorker(step *state.Step, e *execution) {
	worker := c.workers[e.shard]
	if !slices.Contains(worker.Kinds, step.Kind) {
		c.recordViolation("service", e.startedAt, "%v of kind %s on %s", e.attempt, step.Kind, e.shard)
	}
	if step.Rack != "" {
		c.coverage["rack: started under a label"]++
		if step.Rack != worker.Rack {
			c.recordViolation("rack", e.startedAt, "%v for rack %s on %s in %s", e.attempt, step.Rack, e.shard, worker.Rack)
		}
	}
	for _, label := range step.Labels {
		c.coverage["label: started under one"]++
		if !slices.Contains(worker.Labels, label) {
			c.recordViolation("label", e.startedAt, "%v needs %s, which %s lacks", e.attempt, label, e.shard)
		}
	}
}

// checkLeaving judges a start against announced departures and drains.
func (c *checker) checkLeaving(e *execution) {
	if c.bounds.FaultGracePeriod > 0 && !c.timeBoundsApply(e) {
		return
	}
	for _, leaving := range slices.Concat(c.leaving[e.shard], c.draining[e.shard]) {
		last := leaving.from + int64(c.bounds.StartAfterLeaving)
		if e.startedAt > leaving.from && e.startedAt <= last {
			c.coverage["leaving: started within 2 s of the notice"]++
		}
		if e.startedAt > last && e.startedAt < leaving.to {
			c.recordViolation("leaving", e.startedAt, "%v starts on %s, leaving for %.3f s",
				e.attempt, e.process, seconds(e.startedAt-leaving.from))
		}
	}
}

// checkSpread judges how many tasks of a step run on the worker of one of them.
func (c *checker) checkSpread(job *jobHistory, task int, e *execution) {
	step := job.step(task)
	if step.MaxPerWorker == 0 {
		return
	}
	running := 0
	for i := range step.Tasks {
		for _, other := range job.executions[types.StageOf(task).TaskNumber(i)] {
			if other.process == e.process && other.startedAt <= e.startedAt && other.endedAt > e.startedAt {
				running++
			}
		}
	}
	if running == step.MaxPerWorker {
		c.coverage["spread: started at the limit"]++
	}
	if running > step.MaxPerWorker {
		c.recordViolation("spread", e.startedAt, "%d tasks of step %s of %s on %s, %d allowed",
			running, step.Name, job.id, e.process, step.MaxPerWorker)
	}
}

// checkCapacity judges that what a worker runs at once fits it.
func (c *checker) checkCapacity() {
	byProcess := map[string][]*execution{}
	for _, e := range c.executions {
		byProcess[e.process] = append(byProcess[e.process], e)
	}
	for process, executions := range byProcess {
		var running []*execution
		for _, e := range executions {
			running = append(removeEnded(running, e.startedAt), e)
			c.checkCapacityAt(e, process, running)
		}
	}
}

// checkCapacityAt judges the start of an execution on a process, beside what runs there.
func (c *checker) checkCapacityAt(e *execution, process string, running []*execution) {
	var used types.Resources
	for _, other := range running {
		if other.endedAt > e.startedAt {
			used = used.Add(c.resources(other))
		}
	}
	capacity := c.workers[e.shard].Capacity
	if capacity.Cores == used.Cores {
		c.coverage["room: started into the last core"]++
	}
	if c.jobs[e.attempt.Job].spec != nil && !capacity.Contains(used.Add(c.resources(e))) {
		c.coverage["room: started where no other like it would fit"]++
	}
	if !capacity.Contains(used) {
		c.recordViolation("room", e.startedAt, "%s runs %v at once, its capacity is %v", process, used, capacity)
	}
}

// resources returns what an execution takes; nothing is known of a job that nobody
// submitted.
func (c *checker) resources(e *execution) types.Resources {
	if c.jobs[e.attempt.Job].spec == nil {
		return types.Resources{}
	}
	return c.stepOf(e).Resources
}

// removeEnded returns the executions that have not ended by a time, in the same array.
func removeEnded(list []*execution, at int64) []*execution {
	return slices.DeleteFunc(list, func(e *execution) bool { return e.endedAt <= at })
}
