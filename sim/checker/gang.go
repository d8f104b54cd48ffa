package checker

import (
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// checkGangs judges that no member of a gang runs on for long when another has ended
// badly, or never ran.
func (c *checker) checkGangs(job *jobHistory) {
	for i, step := range job.spec.Steps {
		if !step.Gang {
			continue
		}
		for member := range step.Tasks {
			for _, e := range job.executions[types.TaskNumber(0, i, member)] {
				for other := range step.Tasks {
					if other != member {
						c.checkGangPair(job, e, types.TaskNumber(0, i, other))
					}
				}
			}
		}
	}
}

// checkGangPair judges an execution of a gang's member against the task of another.
func (c *checker) checkGangPair(job *jobHistory, e *execution, other int) {
	others := job.executions[other]
	c.countGangLossCoverage(e, others)
	bound := int64(c.bounds.GangIncomplete)
	if !e.runsDuring(e.startedAt+bound, c.end) {
		return
	}
	ran := job.succeededBy(other, e.startedAt+bound)
	for _, o := range others {
		if o.endedAt <= e.startedAt || o.startedAt >= e.startedAt+bound {
			continue
		}
		ran = true
		if c.endedWithoutReplacement(o, others) && e.runsDuring(o.endedAt+bound, c.end) {
			c.recordViolation("gang", o.endedAt+bound, "%v runs on although %v ended (%s)", e.attempt, o.attempt, o.outcome)
		}
	}
	if !ran {
		c.recordViolation("gang", e.startedAt+bound, "%v runs without task %d", e.attempt, other)
	}
}

// countGangLossCoverage counts the losses of another member while a member runs.
func (c *checker) countGangLossCoverage(e *execution, others []*execution) {
	for _, o := range others {
		if o.endedAt <= e.startedAt || !c.endedWithoutReplacement(o, others) || !e.runsDuring(o.endedAt, c.end) {
			continue
		}
		c.coverage["gang: a member lost while another ran"]++
		if len(e.pausedDuring) == 0 {
			c.coverage.setMax("gang: longest alone"+maxSuffix, int(min(e.endedAt, c.end)-o.endedAt)/1e6)
		}
	}
}

// lost reports whether another member of a gang ended badly and was not replaced
// before that.
func (c *checker) endedWithoutReplacement(other *execution, others []*execution) bool {
	return other.outcome != state.OutcomeOK && other.endedAt < c.end && !supersededBeforeEnd(others, other)
}

// supersededBeforeEnd reports whether a task was started again before one of its
// attempts ended: a suspended worker stops, when it goes on, what has long run elsewhere.
func supersededBeforeEnd(list []*execution, e *execution) bool {
	return slices.ContainsFunc(list, func(o *execution) bool {
		return o != e && o.startedAt >= e.startedAt && o.startedAt <= e.endedAt && o.endedAt > e.endedAt
	})
}

// checkGangWait judges that no member of a gang waits in vain for the others while there
// is no fault.
func (c *checker) checkGangWait(job *jobHistory) {
	for _, executions := range job.executions {
		for _, e := range executions {
			if e.endReason != wire.EndGangStartTimeout {
				continue
			}
			cancelled := job.cancelledAt != 0 && e.endedAt >= job.cancelledAt
			if c.faultFree(e.startedAt-int64(c.bounds.GangIncomplete), e.endedAt) && !cancelled {
				c.recordViolation("alone", e.endedAt, "%v on %s waited for its gang in vain", e.attempt, e.process)
			} else {
				c.coverage["alone: waited in vain during a fault"]++
			}
		}
	}
}
