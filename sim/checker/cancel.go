package checker

// checkCancel judges that nothing of a job starts or runs beyond the bounds after its
// cancel was acknowledged.
func (c *checker) checkCancel(job *jobHistory) {
	if job.cancelledAt == 0 {
		return
	}
	for _, executions := range job.executions {
		for _, e := range executions {
			if e.startedAt > c.lastStartAfterCancel(job) {
				c.recordStartAfterCancel(job, e)
			}
			if e.runsDuring(c.lastRunAfterCancel(job), c.end) {
				c.recordRunAfterCancel(job, e)
			}
		}
	}
}

// checkInvokedCancel judges the same of invoked workers, where calls that were carried
// out late and faults are an excuse.
func (c *checker) checkInvokedCancel(job *jobHistory) {
	if job.cancelledAt == 0 {
		return
	}
	for _, executions := range job.executions {
		for _, e := range executions {
			if e.startedAt > c.lastStartAfterCancel(job) && c.timeBoundsApply(e) {
				c.recordStartAfterCancel(job, e)
			}
			if !e.runsDuring(job.cancelledAt, c.end) {
				continue
			}
			c.coverage["cancel: hit a running attempt"]++
			last := c.lastRunAfterCancel(job)
			if e.runsDuring(last, c.end) && !e.deliveredLate && c.faultFree(job.cancelledAt, last) {
				c.recordRunAfterCancel(job, e)
			}
		}
	}
}

func (c *checker) lastStartAfterCancel(job *jobHistory) int64 {
	return job.cancelledAt + int64(c.bounds.StartAfterCancel)
}

func (c *checker) lastRunAfterCancel(job *jobHistory) int64 {
	return job.cancelledAt + int64(c.bounds.RunAfterCancel)
}

func (c *checker) recordStartAfterCancel(job *jobHistory, e *execution) {
	c.recordViolation("cancel-start", e.startedAt, "%v starts %.3f s after its cancel", e.attempt,
		seconds(e.startedAt-job.cancelledAt))
}

func (c *checker) recordRunAfterCancel(job *jobHistory, e *execution) {
	c.recordViolation("cancel-run", e.endedAt, "%v runs %.3f s after its cancel", e.attempt, seconds(e.endedAt-job.cancelledAt))
}
