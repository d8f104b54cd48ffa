package checker

import (
	"slices"
	"sort"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	// timeLimitSlack is how long after its time limit an attempt must have ended.
	timeLimitSlack = int64(1500 * time.Millisecond)
	// admissionMargin is how close to the limit a submission counts as an opportunity.
	admissionMargin = 3
)

// checkTableEffects judges that starts keep the running limit, attempts their time limit,
// and submissions the waiting limit, of a table in force.
func (c *checker) checkTableEffects() {
	executions := map[types.QueueName][]*execution{}
	for _, e := range c.executions {
		if job := c.jobs[e.attempt.Job]; job.spec != nil {
			executions[job.spec.Queue] = append(executions[job.spec.Queue], e)
		}
	}
	for queue, list := range executions {
		c.checkExecutionLimits(queue, list)
	}
	accepted := map[types.QueueName][]*jobHistory{}
	for _, job := range c.jobs {
		if job.spec != nil && job.acceptedAt > 0 {
			accepted[job.spec.Queue] = append(accepted[job.spec.Queue], job)
		}
	}
	for queue, list := range accepted {
		sort.Slice(list, func(i, k int) bool { return list[i].acceptedAt < list[k].acceptedAt })
		c.checkAdmissionLimit(queue, list)
	}
}

// timeLimit returns the time limit of an attempt in nanoseconds.
func timeLimit(queueMillis int, step state.Step) int64 {
	millis := queueMillis
	if step.TimeLimitMillis > 0 {
		millis = min(millis, step.TimeLimitMillis)
	}
	return int64(millis) * int64(time.Millisecond)
}

// checkExecutionLimits judges the executions of a queue, in order of their start, by the
// versions of the queue that may have been in force then.
func (c *checker) checkExecutionLimits(queue types.QueueName, executions []*execution) {
	var earlier []*execution
	for _, e := range executions {
		earlier = removeEnded(earlier, e.startedAt)
		versions := c.queuesInForce(queue, e.startedAt, e.startedAt)
		c.checkRunningLimit(queue, versions, e, earlier)
		c.checkTimeLimit(versions, e)
		earlier = append(earlier, e)
	}
}

// checkRunningLimit judges how many executions of a queue run when one of them starts;
// earlier are those that may.
func (c *checker) checkRunningLimit(
	queue types.QueueName, versions []config.Queue, e *execution, earlier []*execution,
) {
	allowed := 0
	for _, version := range versions {
		allowed = max(allowed, version.MaxRunning)
	}
	running := 1
	for _, o := range earlier {
		if o.runsDuring(e.startedAt, e.startedAt+1) {
			running++
		}
	}
	if running == allowed {
		c.coverage["table: started at the running limit"]++
	}
	if running > allowed {
		c.recordViolation("table", e.startedAt, "%v starts as running task %d of %s, %d allowed",
			e.attempt, running, queue, allowed)
	}
}

// checkTimeLimit judges how long an execution runs.
func (c *checker) checkTimeLimit(versions []config.Queue, e *execution) {
	longest := 0
	for _, version := range versions {
		longest = max(longest, version.TaskTimeoutMillis)
	}
	limit := timeLimit(longest, c.stepOf(e))
	if e.runsDuring(e.startedAt+limit+timeLimitSlack, c.end) {
		c.recordViolation("table", e.endedAt, "%v runs %.3f s, its queue or step allows %d ms",
			e.attempt, seconds(e.endedAt-e.startedAt), time.Duration(limit).Milliseconds())
	}
}

// checkAdmissionLimit judges the jobs of a queue in order of their acceptance: none may
// be accepted while as many others as the queue may hold were surely unfinished from its
// submission on.
func (c *checker) checkAdmissionLimit(queue types.QueueName, jobs []*jobHistory) {
	var earlier []*jobHistory // that may be unfinished
	for _, job := range jobs {
		earlier = slices.DeleteFunc(earlier, func(o *jobHistory) bool { return o.unfinishedUntil <= job.submittedAt })
		queues := c.queuesInForce(queue, job.submittedAt, job.acceptedAt)
		if len(queues) == 0 {
			c.recordViolation("table", job.acceptedAt, "%s was accepted into %s, which no table in force has", job.id, queue)
			continue
		}
		allowed := 0
		for _, q := range queues {
			allowed = max(allowed, q.MaxUnfinished)
		}
		unfinished := 0
		for _, o := range earlier {
			if o.acceptedAt < job.submittedAt && o.unfinishedUntil > job.acceptedAt {
				unfinished++
			}
		}
		job.unfinishedUntil = job.lastStart()
		earlier = append(earlier, job)
		if unfinished >= allowed {
			c.recordViolation("table", job.acceptedAt, "%s was accepted into %s beside %d unfinished jobs, %d allowed",
				job.id, queue, unfinished, allowed)
		}
		if unfinished >= allowed-admissionMargin {
			c.coverage["table: accepted near the waiting limit"]++
		}
	}
}
