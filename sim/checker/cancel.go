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
				c.violateCancelStart(job, e)
			}
			if e.runs(c.lastRunAfterCancel(job), c.end) {
				c.violateCancelRun(job, e)
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
			if e.startedAt > c.lastStartAfterCancel(job) && c.boundsApply(e) {
				c.violateCancelStart(job, e)
			}
			if !e.runs(job.cancelledAt, c.end) {
				continue
			}
			c.coverage["cancel: hit a running attempt"]++
			last := c.lastRunAfterCancel(job)
			if e.runs(last, c.end) && !e.deliveredLate && c.faultFree(job.cancelledAt, last) {
				c.violateCancelRun(job, e)
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

func (c *checker) violateCancelStart(job *jobHistory, e *execution) {
	c.violate("cancel-start", e.startedAt, "%v starts %.3f s after its cancel", e.attempt,
		seconds(e.startedAt-job.cancelledAt))
}

func (c *checker) violateCancelRun(job *jobHistory, e *execution) {
	c.violate("cancel-run", e.endedAt, "%v runs %.3f s after its cancel", e.attempt, seconds(e.endedAt-job.cancelledAt))
}
