// The users' rules on jobs as a whole: what was turned away, what callers were
// shown, what is forgotten.
package sim

import (
	"coppercourse/internal/state"
)

// refused: nothing runs of a job whose every try was turned away.
func (c *checker) refused(j *job) {
	if j.taken > 0 || j.unclear > 0 || j.turned == 0 {
		return
	}
	c.seen["refused: jobs that were turned away for good"]++
	for _, list := range j.spans {
		for _, s := range list {
			c.bad("refused", s.from, "%v starts, but all %d tries to hand its job in were turned away", s.attempt, j.turned)
		}
	}
}

func ended(s state.JobStatus) bool {
	return s == state.JobDone || s == state.JobFailed || s == state.JobCancelled
}

// answers: what callers were told of a job is true, and none is forgotten.
func (c *checker) answers(j *job) {
	if j.taken == 0 {
		return
	}
	if j.missed > j.taken+int64(c.b.Seen) && !c.on(j.missed, j.missed, func(t faultWindow) bool { return t.affected == nil }) {
		c.bad("forgotten", j.missed, "%s was accepted, then there was no such job", j.id)
	}
	last := state.JobStatus("")
	for _, h := range j.sight {
		if ended(last) && h.Stage != last && ended(h.Stage) {
			c.bad("shown", h.At, "%s was %s, then %s", j.id, last, h.Stage)
		}
		if ended(h.Stage) && last != h.Stage {
			c.seen["shown: ended "+string(h.Stage)]++
			c.outcome(j, h)
		}
		if ended(h.Stage) {
			last = h.Stage
		}
	}
	if last == "" && c.b.Settled {
		c.bad("forgotten", c.end, "%s was accepted and has not ended", j.id)
	}
}

// outcome looks for the cause of what a caller was shown.
func (c *checker) outcome(j *job, h HistoryEvent) {
	dead := false
	for i := range j.spec.TotalTasks() {
		n := j.spec.TaskNumber(i)
		p := j.spec.Steps[j.spec.StepOf(n)]
		if h.Stage == state.JobDone && !j.good(n, h.At) {
			c.bad("shown", h.At, "%s is shown done, but task %d never ended well", j.id, n)
		}
		failed, least := map[int]bool{}, 1<<30
		for _, s := range c.peers(j, n, p) {
			if s.outcome == state.OutcomeFailed && s.to <= h.At {
				failed[s.attempt.Attempt] = true
			}
		}
		for _, r := range c.rows(j.spec.Queue, j.sent, h.At) {
			least = min(least, r.MaxFailures)
		}
		dead = dead || len(failed) >= least
	}
	if h.Stage == state.JobFailed && !dead {
		c.bad("shown", h.At, "%s is shown failed (%s), but no task failed as often as its queue allows", j.id, h.Text)
	}
	if h.Stage == state.JobCancelled && (j.asked == 0 || j.asked > h.At) {
		c.bad("shown", h.At, "%s is shown cancelled, but nobody did", j.id)
	}
}
