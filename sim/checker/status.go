package checker

import (
	"strings"

	"coppercourse/internal/state"
	"coppercourse/sim/history"
)

// checkStatuses judges that what callers were shown of a job is true, and that no
// accepted job is forgotten.
func (c *checker) checkStatuses(job *jobHistory) {
	if job.acceptedAt == 0 {
		return
	}
	if job.notFoundAt > job.acceptedAt {
		c.violateNotFound(job)
	}
	c.checkEnds(job, c.checkEndShown)
}

// checkInvokedStatuses judges the same where workers are invoked: right after its
// acceptance, or while a fault affects all machines, a job need not be known everywhere.
func (c *checker) checkInvokedStatuses(job *jobHistory) {
	if job.acceptedAt == 0 {
		return
	}
	visible := job.notFoundAt > job.acceptedAt+int64(c.bounds.JobVisible)
	if visible && !c.faultDuring(job.notFoundAt, job.notFoundAt, faultWindow.affectsAll) {
		c.violateNotFound(job)
	}
	c.checkEnds(job, c.checkInvokedEndShown)
}

func (c *checker) violateNotFound(job *jobHistory) {
	c.violate("forgotten", job.notFoundAt, "%s was accepted, then there was no such job", job.id)
}

// checkEnds judges that a job has one end, or none that its callers were shown, and
// passes that to check.
func (c *checker) checkEnds(job *jobHistory, check func(*jobHistory, history.Event)) {
	end := state.JobStatus("")
	for _, event := range job.observations {
		if !isEnded(event.Status) || event.Status == end {
			continue
		}
		if end != "" {
			c.violate("shown", event.At, "%s was %s, then %s", job.id, end, event.Status)
		}
		c.coverage["shown: ended "+string(event.Status)]++
		check(job, event)
		end = event.Status
	}
	if end == "" && c.bounds.AllJobsEnd {
		c.violate("forgotten", c.end, "%s was accepted and has not ended", job.id)
	}
}

// checkEndShown judges the end of a job that its caller was shown.
func (c *checker) checkEndShown(job *jobHistory, shown history.Event) {
	exhausted, succeeded := false, 0
	for i := range job.spec.TotalTasks() {
		task := job.spec.TaskNumber(i)
		exhausted = c.checkTaskOfEnded(job, task, shown) || exhausted
		if job.endedWell(task, shown.At) {
			succeeded++
		}
	}
	switch shown.Status {
	case state.JobFailed:
		if !exhausted && !strings.Contains(shown.Text, "lost") {
			c.violateNoFailure(job, shown)
		}
		if succeeded == job.spec.TotalTasks() {
			c.violate("shown", shown.At, "%s is shown failed (%s), but all its tasks had succeeded", job.id, shown.Text)
		}
	case state.JobCancelled:
		if job.cancelledAt == 0 && !strings.Contains(shown.Text, "cancel") {
			c.violateNoCancel(job, shown)
		}
	}
}

// checkTaskOfEnded judges one task of a job that is shown ended, and reports whether the
// task had failed as often as its queue allows.
func (c *checker) checkTaskOfEnded(job *jobHistory, task int, shown history.Event) (exhausted bool) {
	failures, lastFailure := 0, int64(0)
	for _, e := range job.executions[task] {
		if e.runs(shown.At, c.end) {
			c.violate("shown", shown.At, "%s is shown %s while %v runs", job.id, shown.Status, e.attempt)
		}
		if e.endedAt <= shown.At && (e.outcome == state.OutcomeFailed || c.exceededTimeLimit(e)) {
			failures++
			lastFailure = max(lastFailure, e.endedAt)
		}
	}
	c.checkDone(job, task, shown)
	return failures >= minFailures(c.queuesInForce(job.spec.Queue, lastFailure, shown.At))
}

// exceededTimeLimit reports whether an attempt was stopped at the time that its queue or
// step allows, which is a failure too.
func (c *checker) exceededTimeLimit(e *execution) bool {
	if e.outcome != state.OutcomeStopped {
		return false
	}
	step := c.stepOf(e)
	for _, queue := range c.queuesInForce(c.jobs[e.attempt.Job].spec.Queue, e.startedAt, e.endedAt) {
		if e.endedAt-e.startedAt >= timeLimit(queue.TaskTimeoutMillis, step) {
			return true
		}
	}
	return false
}

// checkInvokedEndShown judges the end of a job that its caller was shown, where the
// failures of a gang count once.
func (c *checker) checkInvokedEndShown(job *jobHistory, shown history.Event) {
	exhausted := false
	for i := range job.spec.TotalTasks() {
		task := job.spec.TaskNumber(i)
		c.checkDone(job, task, shown)
		allowed := minFailures(c.queuesInForce(job.spec.Queue, job.submittedAt, shown.At))
		exhausted = exhausted || failedAttempts(job, task, shown.At) >= allowed
	}
	if shown.Status == state.JobFailed && !exhausted {
		c.violateNoFailure(job, shown)
	}
	if shown.Status == state.JobCancelled && (job.cancelSentAt == 0 || job.cancelSentAt > shown.At) {
		c.violateNoCancel(job, shown)
	}
}

// failedAttempts counts the attempts at a task, or at its joint gang, that had failed by
// a time.
func failedAttempts(job *jobHistory, task int, by int64) int {
	failed := map[int]bool{}
	for _, e := range job.related(task) {
		if e.outcome == state.OutcomeFailed && e.endedAt <= by {
			failed[e.attempt.Attempt] = true
		}
	}
	return len(failed)
}

// checkDone judges that a task of a job that is shown done had succeeded.
func (c *checker) checkDone(job *jobHistory, task int, shown history.Event) {
	if shown.Status == state.JobDone && !job.endedWell(task, shown.At) {
		c.violate("shown", shown.At, "%s is shown done, but task %d never succeeded", job.id, task)
	}
}

func (c *checker) violateNoFailure(job *jobHistory, shown history.Event) {
	c.violate("shown", shown.At, "%s is shown failed (%s), but no task failed as often as its queue allows", job.id,
		shown.Text)
}

func (c *checker) violateNoCancel(job *jobHistory, shown history.Event) {
	c.violate("shown", shown.At, "%s is shown cancelled, but nobody cancelled it", job.id)
}

// checkRejected judges that nothing runs of a job of which every request to submit it
// was rejected.
func (c *checker) checkRejected(job *jobHistory) {
	if job.acceptedAt > 0 || job.unresolved > 0 || job.rejections == 0 {
		return
	}
	c.coverage["refused: jobs that were rejected for good"]++
	for _, executions := range job.executions {
		for _, e := range executions {
			c.violate("refused", e.startedAt, "%v starts, but all %d requests to submit its job were rejected",
				e.attempt, job.rejections)
		}
	}
}
