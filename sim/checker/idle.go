package checker

import (
	"slices"
	"sort"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// idleSampleInterval is how often the idle rule looks at a deployment.
const idleSampleInterval = int64(250 * time.Millisecond)

// checkIdle judges that no work stands still without a reason: that of no job nothing
// runs for long although one of its tasks is ready, there is capacity for it twice over,
// and less than half of all capacity is in use. It looks while there is no fault.
func (c *checker) checkIdle() {
	jobs := slices.DeleteFunc(c.sortedJobs(), func(j *jobHistory) bool { return j.spec == nil || j.acceptedAt == 0 })
	starting := slices.Clone(c.executions)
	sort.SliceStable(starting, func(i, k int) bool { return starting[i].startedAt < starting[k].startedAt })
	idleSince := map[*jobHistory]int64{}
	var running []*execution
	for at := idleSampleInterval; at < c.end; at += idleSampleInterval {
		for len(starting) > 0 && starting[0].startedAt <= at {
			running, starting = append(running, starting[0]), starting[1:]
		}
		running = removeEnded(running, at)
		if !c.faultFree(at-int64(c.bounds.FaultGracePeriod), at) {
			clear(idleSince)
			continue
		}
		used, active := c.capacityInUse(running)
		byTenant := c.tenantsInUse(running)
		for _, job := range jobs {
			step := c.readyStep(job, at)
			waits := c.exceedsHalfOfLimit(job.spec.Tenant, byTenant[job.spec.Tenant], at)
			if step == nil || active[job.id] || waits || !c.hasCapacity(step, used, at) {
				delete(idleSince, job)
				continue
			}
			c.recordIdleSample(job, step, at, idleSince)
		}
	}
}

// recordIdleSample notes that nothing of a job runs although one of its steps could.
func (c *checker) recordIdleSample(job *jobHistory, step *state.Step, at int64, idleSince map[*jobHistory]int64) {
	if idleSince[job] == 0 {
		idleSince[job] = at
	}
	c.coverage["idle: samples of a job with nothing running, and capacity"]++
	idle := at - idleSince[job]
	if idle >= int64(c.bounds.MaxIdleTime) {
		c.recordViolation("idle", at, "%s has nothing running for %.1f s, though a task of step %s could",
			job.id, seconds(idle), step.Name)
		idleSince[job] = at
	}
}

// capacityInUse returns what is in use on each worker, and which jobs run.
func (c *checker) capacityInUse(running []*execution) (map[types.Shard]types.Resources, map[types.JobID]bool) {
	used, active := map[types.Shard]types.Resources{}, map[types.JobID]bool{}
	for _, e := range running {
		active[e.attempt.Job] = true
		used[e.shard] = used[e.shard].Add(c.resources(e))
	}
	return used, active
}

// tenantsInUse returns what each tenant uses.
func (c *checker) tenantsInUse(running []*execution) map[types.TenantName]types.Resources {
	used := map[types.TenantName]types.Resources{}
	for _, e := range running {
		if job := c.jobs[e.attempt.Job]; job.spec != nil {
			used[job.spec.Tenant] = used[job.spec.Tenant].Add(c.resources(e))
		}
	}
	return used
}

// readyStep returns a step of a job of which a task is ready to run, or nil.
func (c *checker) readyStep(job *jobHistory, at int64) *state.Step {
	cancelled := job.cancelSentAt > 0 && job.cancelSentAt <= at
	ended := func(event history.Event) bool { return event.At <= at && isTerminal(event.Status) }
	if at < job.acceptedAt || cancelled || slices.ContainsFunc(job.observations, ended) || c.hasExhaustedTask(job, at) {
		return nil
	}
	for occurrence := range job.spec.Occurrences() {
		for i := range job.spec.Steps {
			step := &job.spec.Steps[i]
			due := job.dueAt(step, occurrence) + int64(c.bounds.EarlyStartTolerance)
			if due > at || !dependenciesSucceeded(job, step, occurrence, at) {
				continue
			}
			for k := range step.Tasks {
				task := types.TaskNumber(occurrence, i, k)
				if !job.succeededBy(task, at) && c.mayRetry(job, task, at) {
					return step
				}
			}
		}
	}
	return nil
}

// mayRetry reports whether a task has failed less often than its queue allows.
func (c *checker) mayRetry(job *jobHistory, task int, at int64) bool {
	return job.step(task).AlwaysRestart ||
		failedAttempts(job, task, at) < minFailures(c.queuesInForce(job.spec.Queue, at, at))
}

// hasExhaustedTask reports whether a task has failed as often as its queue allows, by
// which the whole job has failed.
func (c *checker) hasExhaustedTask(job *jobHistory, at int64) bool {
	for task := range job.executions {
		if !job.succeededBy(task, at) && !c.mayRetry(job, task, at) {
			return true
		}
	}
	return false
}

// hasCapacity reports whether there is capacity for a step's next work twice over at a time, and
// less than half of all capacity is in use. A worker that is down has none, and one that leaves
// or is drained takes nothing more.
func (c *checker) hasCapacity(step *state.Step, used map[types.Shard]types.Resources, at int64) bool {
	var allCores, usedCores types.MilliCores
	fits, needed := 0, 2
	if step.Gang {
		needed = 2 * step.Tasks
	}
	for shard, worker := range c.workers {
		if coversTime(c.down[shard], at) {
			continue
		}
		allCores += worker.Capacity.Cores
		usedCores += used[shard].Cores
		if !hasLabels(worker, step.Labels) || coversTime(c.leaving[shard], at) || coversTime(c.draining[shard], at) {
			continue
		}
		count := worker.Capacity.Sub(used[shard]).FitCount(step.Resources)
		if step.MaxPerWorker > 0 {
			count = min(count, step.MaxPerWorker)
		}
		fits += count
	}
	return fits >= needed && 2*usedCores < allCores
}

func hasLabels(worker *history.WorkerSpec, labels []string) bool {
	for _, label := range labels {
		if !slices.Contains(worker.Labels, label) {
			return false
		}
	}
	return true
}

// coversTime reports whether one of some intervals has a time in it.
func coversTime(list []interval, at int64) bool {
	return slices.ContainsFunc(list, func(i interval) bool { return i.from <= at && at < i.to })
}
