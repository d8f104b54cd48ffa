// The users' rules on jobs as a whole: what was turned away, what callers were
// shown, what is forgotten.
package sim

import (
	"coppercourse/internal/state"
	"coppercourse/sim/history"
)

// refused: nothing runs of a job whose every try was turned away.
func (c *checker) checkRejected(j *jobHistory) {
	if j.acceptedAt > 0 || j.unresolved > 0 || j.rejections == 0 {
		return
	}
	c.coverage["refused: jobs that were turned away for good"]++
	for _, list := range j.executions {
		for _, s := range list {
			c.violate("refused", s.startedAt, "%v starts, but all %d tries to hand its job in were turned away", s.attempt, j.rejections)
		}
	}
}

func isEnded(s state.JobStatus) bool {
	return s == state.JobDone || s == state.JobFailed || s == state.JobCancelled
}

// answers: what callers were told of a job is true, and none is forgotten.
func (c *checker) checkAnswers(j *jobHistory) {
	if j.acceptedAt == 0 {
		return
	}
	if j.notFoundAt > j.acceptedAt+int64(c.bounds.JobVisible) && !c.faultDuring(j.notFoundAt, j.notFoundAt, func(t faultWindow) bool { return t.affected == nil }) {
		c.violate("forgotten", j.notFoundAt, "%s was accepted, then there was no such job", j.id)
	}
	last := state.JobStatus("")
	for _, h := range j.observations {
		if isEnded(last) && h.Stage != last && isEnded(h.Stage) {
			c.violate("shown", h.At, "%s was %s, then %s", j.id, last, h.Stage)
		}
		if isEnded(h.Stage) && last != h.Stage {
			c.coverage["shown: ended "+string(h.Stage)]++
			c.checkOutcomeCause(j, h)
		}
		if isEnded(h.Stage) {
			last = h.Stage
		}
	}
	if last == "" && c.bounds.AllJobsEnd {
		c.violate("forgotten", c.end, "%s was accepted and has not ended", j.id)
	}
}

// checkOutcomeCause looks for the cause of what a caller was shown.
func (c *checker) checkOutcomeCause(j *jobHistory, h history.Event) {
	dead := false
	for i := range j.spec.TotalTasks() {
		n := j.spec.TaskNumber(i)
		p := j.spec.Steps[j.spec.StepOf(n)]
		if h.Stage == state.JobDone && !j.endedWell(n, h.At) {
			c.violate("shown", h.At, "%s is shown done, but task %d never ended well", j.id, n)
		}
		failed, least := map[int]bool{}, 1<<30
		for _, s := range c.gangExecutions(j, n, p) {
			if s.outcome == state.OutcomeFailed && s.endedAt <= h.At {
				failed[s.attempt.Attempt] = true
			}
		}
		for _, r := range c.rowsInForce(j.spec.Queue, j.submittedAt, h.At) {
			least = min(least, r.MaxFailures)
		}
		dead = dead || len(failed) >= least
	}
	if h.Stage == state.JobFailed && !dead {
		c.violate("shown", h.At, "%s is shown failed (%s), but no task failed as often as its queue allows", j.id, h.Text)
	}
	if h.Stage == state.JobCancelled && (j.cancelSentAt == 0 || j.cancelSentAt > h.At) {
		c.violate("shown", h.At, "%s is shown cancelled, but nobody did", j.id)
	}
}
