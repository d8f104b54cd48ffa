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
		c.recordNotFound(job)
	}
	c.checkObservedEnds(job, c.checkObservedEnd)
}

// checkInvokedStatuses judges the same where workers are invoked: right after its
// acceptance, or while a fault affects all machines, a job need not be known everywhere.
func (c *checker) checkInvokedStatuses(job *jobHistory) {
	if job.acceptedAt == 0 {
		return
	}
	visible := job.notFoundAt > job.acceptedAt+int64(c.bounds.JobVisible)
	if visible && !c.faultDuring(job.notFoundAt, job.notFoundAt, faultWindow.affectsAll) {
		c.recordNotFound(job)
	}
	c.checkObservedEnds(job, c.checkInvokedObservedEnd)
}

func (c *checker) recordNotFound(job *jobHistory) {
	c.recordViolation("forgotten", job.notFoundAt, "%s was accepted, then there was no such job", job.id)
}

// checkObservedEnds judges that a job has one end, or none that its callers were shown, and
// passes that to check.
func (c *checker) checkObservedEnds(job *jobHistory, check func(*jobHistory, history.Event)) {
	end := state.JobStatus("")
	for _, event := range job.observations {
		if !isTerminal(event.Status) || event.Status == end {
			continue
		}
		if end != "" {
			c.recordViolation("shown", event.At, "%s was %s, then %s", job.id, end, event.Status)
		}
		c.coverage["shown: ended "+string(event.Status)]++
		check(job, event)
		end = event.Status
	}
	if end == "" && c.bounds.AllJobsEnd {
		c.recordViolation("forgotten", c.end, "%s was accepted and has not ended", job.id)
	}
}

// checkObservedEnd judges the end of a job that its caller was shown.
func (c *checker) checkObservedEnd(job *jobHistory, shown history.Event) {
	exhausted, succeeded := false, 0
	for i := range job.spec.TotalTasks() {
		task := job.spec.TaskNumber(i)
		exhausted = c.checkTaskOfEndedJob(job, task, shown) || exhausted
		if job.succeededBy(task, shown.At) {
			succeeded++
		}
	}
	switch shown.Status {
	case state.JobFailed:
		if !exhausted && !strings.Contains(shown.Text, "lost") {
			c.recordUnfoundedFailure(job, shown)
		}
		if succeeded == job.spec.TotalTasks() {
			c.recordViolation("shown", shown.At, "%s is shown failed (%s), but all its tasks had succeeded", job.id, shown.Text)
		}
	case state.JobCancelled:
		if job.cancelledAt == 0 && !strings.Contains(shown.Text, "cancel") {
			c.recordUnfoundedCancel(job, shown)
		}
	}
}

// checkTaskOfEndedJob judges one task of a job that is shown ended, and reports whether the
// task had failed as often as its queue allows.
func (c *checker) checkTaskOfEndedJob(job *jobHistory, task int, shown history.Event) (exhausted bool) {
	failures, lastFailure := 0, int64(0)
	for _, e := range job.executions[task] {
		if e.runsDuring(shown.At, c.end) {
			c.recordViolation("shown", shown.At, "%s is shown %s while %v runs", job.id, shown.Status, e.attempt)
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

// checkInvokedObservedEnd judges the end of a job that its caller was shown, where the
// failures of a gang count once.
func (c *checker) checkInvokedObservedEnd(job *jobHistory, shown history.Event) {
	exhausted := false
	for i := range job.spec.TotalTasks() {
		task := job.spec.TaskNumber(i)
		c.checkDone(job, task, shown)
		allowed := minFailures(c.queuesInForce(job.spec.Queue, job.submittedAt, shown.At))
		exhausted = exhausted || failedAttempts(job, task, shown.At) >= allowed
	}
	if shown.Status == state.JobFailed && !exhausted {
		c.recordUnfoundedFailure(job, shown)
	}
	if shown.Status == state.JobCancelled && (job.cancelSentAt == 0 || job.cancelSentAt > shown.At) {
		c.recordUnfoundedCancel(job, shown)
	}
}

// failedAttempts counts the attempts at a task, or at its joint gang, that had failed by
// a time.
func failedAttempts(job *jobHistory, task int, by int64) int {
	failed := map[int]bool{}
	for _, e := range job.executionsWithGang(task) {
		if e.outcome == state.OutcomeFailed && e.endedAt <= by {
			failed[e.attempt.Attempt] = true
		}
	}
	return len(failed)
}

// checkDone judges that a task of a job that is shown done had succeeded.
func (c *checker) checkDone(job *jobHistory, task int, shown history.Event) {
	if shown.Status == state.JobDone && !job.succeededBy(task, shown.At) {
		c.recordViolation("shown", shown.At, "%s is shown done, but task %d never succeeded", job.id, task)
	}
}

func (c *checker) recordUnfoundedFailure(job *jobHistory, shown history.Event) {
	c.recordViolation("shown", shown.At, "%s is shown failed (%s), but no task failed as often as its queue allows", job.id,
		shown.Text)
}

func (c *checker) recordUnfoundedCancel(job *jobHistory, shown history.Event) {
	c.recordViolation("shown", shown.At, "%s is shown cancelled, but nobody cancelled it", job.id)
}

// checkRejectedJob judges that nothing runs of a job of which every request to submit it
// was rejected.
func (c *checker) checkRejectedJob(job *jobHistory) {
	if job.acceptedAt > 0 || job.unresolved > 0 || job.rejections == 0 {
		return
	}
	c.coverage["refused: jobs that were rejected for good"]++
	for _, executions := range job.executions {
		for _, e := range executions {
			c.recordViolation("refused", e.startedAt, "%v starts, but all %d requests to submit its job were rejected",
				e.attempt, job.rejections)
		}
	}
}
