package checker

import (
	"math"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// checkReruns judges that no task runs twice at once, none again after it succeeded, and
// none more often than its queue allows.
func (c *checker) checkReruns(job *jobHistory, unresolvedTimeout int64) {
	for task, executions := range job.executions {
		wait := unresolvedTimeout
		if job.spec.Steps[types.StageOf(task).Step()].AtMostOnce {
			wait = math.MaxInt64
		}
		for i, e := range executions {
			failures := c.checkAgainstEarlier(e, executions[:i], wait)
			allowed := maxFailures(c.queuesInForce(job.spec.Queue, e.startedAt, e.startedAt))
			if failures >= allowed {
				c.recordViolation("tries", e.startedAt, "task %d of %s starts after %d failures, %d allowed",
					task, job.id, failures, allowed)
			}
			c.countFailures(failures, allowed)
		}
	}
}

// countFailures counts the starts of a task that has failed.
func (c *checker) countFailures(failures, allowed int) {
	if failures == 0 {
		return
	}
	c.coverage["tries: started again after a failure"]++
	if failures == allowed-1 {
		c.coverage["tries: last attempt allowed"]++
	}
}

// checkAgainstEarlier judges an execution by those of its task before it, and returns how many
// of them failed and were known to have.
func (c *checker) checkAgainstEarlier(e *execution, earlier []*execution, unresolvedTimeout int64) (failures int) {
	for _, o := range earlier {
		if o.runsDuring(e.startedAt, e.endedAt) && e.runsDuring(o.startedAt, o.endedAt) {
			c.recordViolation("twice", e.startedAt, "%v on %s while %v runs on %s", e.attempt, e.process, o.attempt, o.process)
		}
		if o.endedAt > e.startedAt {
			c.coverage["twice: a newer attempt while an older was frozen"]++
			continue
		}
		switch o.outcome {
		case state.OutcomeFailed:
			if c.permittedRerunReason(o, e.startedAt, unresolvedTimeout) == "" {
				failures++
			}
		case state.OutcomeOK:
			if excuse := c.permittedRerunReason(o, e.startedAt, unresolvedTimeout); excuse != "" {
				c.coverage[excuse]++
				continue
			}
			c.recordViolation("again", e.startedAt, "%v starts although %v succeeded at %.3f s", e.attempt, o.attempt,
				seconds(o.endedAt))
		default:
			c.coverage["again: started again after a lost or stopped attempt"]++
		}
	}
	return failures
}

// permittedRerunReason returns why the end of an attempt need not have been known at a time, or
// nothing: no daemon alive then had received it, and the worker is dead or the queue's
// unresolvedTimeout is over.
func (c *checker) permittedRerunReason(e *execution, at, unresolvedTimeout int64) string {
	if e.acknowledgedAt > 0 && e.acknowledgedAt <= at {
		return ""
	}
	known, wasKnown := c.endKnownAt(e, at)
	workerDied := e.workerDiedAt > 0 && e.workerDiedAt <= at
	late := at-e.endedAt >= unresolvedTimeout
	switch {
	case known && c.bounds.ShortUnresolvedTimeout && late:
		return rerunPrefix + ": known beyond a partition, short unresolvedTimeout"
	case known:
		return ""
	case workerDied && wasKnown:
		return rerunPrefix + ": worker and all who received the end are dead"
	case workerDied:
		return rerunPrefix + ": worker died before it reported the end"
	case late:
		return rerunPrefix + ": worker unreachable beyond the unresolvedTimeout"
	}
	return ""
}

// endKnownAt reports whether a daemon alive at a time had received the end of an attempt,
// and whether any had.
func (c *checker) endKnownAt(e *execution, at int64) (known, wasKnown bool) {
	for _, report := range e.reports {
		if report.at > at {
			continue
		}
		wasKnown = true
		known = known || !c.stoppedBetween(report.process, report.at, at)
	}
	return known, wasKnown
}

// stoppedBetween reports whether a daemon's process ended between two times.
func (c *checker) stoppedBetween(process string, from, to int64) bool {
	for _, at := range c.stoppedAt[process] {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

// maxFailures returns how many failures the most generous of a queue's versions allows.
func maxFailures(queues []config.Queue) int {
	allowed := 0
	for _, q := range queues {
		allowed = max(allowed, q.MaxFailures)
	}
	return allowed
}

// minFailures returns how many failures the strictest of a queue's versions allows.
func minFailures(queues []config.Queue) int {
	allowed := math.MaxInt
	for _, q := range queues {
		allowed = min(allowed, q.MaxFailures)
	}
	return allowed
}
