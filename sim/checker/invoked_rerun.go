package checker

import (
	"bytes"
	"encoding/json"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// checkInvokedReruns judges that no task runs twice at once, and none again after a
// success that was acknowledged. Where a step allows hedging, only a start long after
// that breaks the rule.
func (c *checker) checkInvokedReruns(job *jobHistory) {
	doneShown := int64(0)
	for _, event := range job.observations {
		if event.Status == state.JobDone && doneShown == 0 {
			doneShown = event.At
		}
	}
	for task, executions := range job.executions {
		step := job.step(task)
		for i, e := range executions {
			if doneShown > 0 && e.startedAt > doneShown+second && c.timeBoundsApply(e) {
				c.recordViolation("again", e.startedAt, "%v starts %.3f s after its job was shown done",
					e.attempt, seconds(e.startedAt-doneShown))
			}
			c.checkOverlap(step, e, executions[:i])
			c.checkRerunAfterSuccess(step, e, job.executionsWithGang(task))
		}
	}
}

func (c *checker) checkOverlap(step *state.Step, e *execution, earlier []*execution) {
	for _, o := range earlier {
		if o.runsDuring(e.startedAt, e.endedAt) && !step.AllowHedge {
			c.recordViolation("twice", e.startedAt, "%v on %s while %v runs on %s", e.attempt, e.process, o.attempt, o.process)
		}
		if o.outcome == state.OutcomeLeaseExpired || o.outcome == state.OutcomeWorkerExited {
			c.coverage["twice: started again after an expired lease or a crash"]++
		}
	}
}

func (c *checker) checkRerunAfterSuccess(step *state.Step, e *execution, related []*execution) {
	for _, o := range related {
		if o.outcome != state.OutcomeOK || o.endedAt > e.startedAt || o == e {
			continue
		}
		if o.settledAt == 0 {
			c.coverage["again: started after a success that was never settled"]++
			continue
		}
		if !step.AllowHedge || e.startedAt > o.settledAt+second && c.timeBoundsApply(e) {
			c.recordViolation("again", e.startedAt, "%v starts although %v succeeded at %.3f s, settled at %.3f s",
				e.attempt, o.attempt, seconds(o.endedAt), seconds(o.settledAt))
		}
	}
}

// checkFailureLimit judges that no task starts after as many acknowledged failures as
// its queue allows. Failures of a gang's members under one attempt number are one.
func (c *checker) checkFailureLimit(job *jobHistory) {
	for task, executions := range job.executions {
		step := job.step(task)
		if step.AlwaysRestart {
			continue
		}
		for _, e := range executions {
			failed, lastSettled := map[int]bool{}, int64(0)
			for _, o := range job.executionsWithGang(task) {
				known := o.outcome == state.OutcomeFailed && o.endedAt <= e.startedAt && o.settledAt > 0
				if known && o.attempt.Attempt != e.attempt.Attempt {
					failed[o.attempt.Attempt] = true
					lastSettled = max(lastSettled, o.settledAt)
				}
			}
			allowed := maxFailures(c.queuesInForce(job.spec.Queue, e.startedAt, e.startedAt))
			if len(failed) >= allowed && (!step.AllowHedge || e.startedAt > lastSettled+second && c.timeBoundsApply(e)) {
				c.recordViolation("tries", e.startedAt, "%v starts after %d failures, %d allowed", e.attempt, len(failed),
					allowed)
			}
			c.countFailures(len(failed), allowed)
		}
	}
}

// savedCheckpoints returns who saved each checkpoint, and when.
func (c *checker) savedCheckpoints() map[string]history.Event {
	saved := map[string]history.Event{}
	for _, event := range c.history.Events {
		if event.Kind == history.CheckpointSaved {
			saved[event.Checkpoint] = event
		}
	}
	return saved
}

// checkUnsolicited judges that nothing runs but what was submitted, with its own input,
// from a checkpoint of its own task or gang.
func (c *checker) checkUnsolicited(job *jobHistory, checkpoints map[string]history.Event) {
	for task, executions := range job.executions {
		step := job.spec.StepOf(task)
		for _, e := range executions {
			if step < 0 {
				c.recordViolation("unasked", e.startedAt, "%v starts, a task that its job does not have", e.attempt)
				continue
			}
			if !sameJSON(e.work, job.spec.StepWork(step)) {
				c.recordViolation("unasked", e.startedAt, "%v starts with other work: %s", e.attempt, e.work)
			}
			if e.startedAt < job.submittedAt {
				c.recordViolation("unasked", e.startedAt, "%v starts before its job was submitted", e.attempt)
			}
			if e.checkpoint == "" {
				continue
			}
			c.coverage["unasked: started from a checkpoint"]++
			saved := checkpoints[e.checkpoint]
			if !isOwnCheckpoint(job, task, saved.Attempt) || saved.At > e.startedAt {
				c.recordViolation("unasked", e.startedAt, "%v starts from %s, which is not its own", e.attempt, e.checkpoint)
			}
		}
	}
}

// isOwnCheckpoint reports whether a task may start from the checkpoint of an attempt.
func isOwnCheckpoint(job *jobHistory, task int, saver types.AttemptID) bool {
	if saver.Job != job.id {
		return false
	}
	sameGang := job.step(task).Joint && types.StageOf(saver.TaskNumber) == types.StageOf(task)
	return saver.TaskNumber == task || sameGang
}

// sameJSON reports whether two JSON texts differ at most in white space.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && x.String() == y.String()
}
