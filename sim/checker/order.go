package checker

import (
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// checkOrder judges that nothing starts before its time, nor before the steps that it
// depends on have succeeded.
func (c *checker) checkOrder(job *jobHistory) {
	for task, executions := range job.executions {
		for _, e := range executions {
			c.checkStartTime(job, task, e)
			c.checkDependencies(job, task, e)
		}
	}
}

func (c *checker) checkStartTime(job *jobHistory, task int, e *execution) {
	step, slack := job.step(task), int64(c.bounds.EarlyStartTolerance)
	if due := job.dueAt(step, types.StageOf(task).Occurrence()); e.startedAt < due-slack {
		c.recordViolation("early", e.startedAt, "%v starts %.3f s too soon", e.attempt, seconds(due-e.startedAt))
	}
	notBefore, err := time.Parse(time.RFC3339Nano, step.NotBefore)
	if err == nil && e.startedAt+history.WallClockStart < notBefore.UnixNano()-slack {
		c.recordViolation("early", e.startedAt, "%v starts before %s", e.attempt, step.NotBefore)
	}
}

func (c *checker) checkDependencies(job *jobHistory, task int, e *execution) {
	for _, name := range job.step(task).DependsOn {
		for _, needed := range tasksOf(job, name, types.StageOf(task).Occurrence()) {
			if !job.succeededBy(needed, e.startedAt) {
				c.recordViolation("order", e.startedAt, "%v starts before task %d of step %s succeeded", e.attempt, needed,
					name)
			}
		}
	}
}

// tasksOf returns the task numbers of the step of a name at one occurrence of a job.
func tasksOf(job *jobHistory, step string, occurrence int) []int {
	var tasks []int
	for i, s := range job.spec.Steps {
		for k := 0; s.Name == step && k < s.Tasks; k++ {
			tasks = append(tasks, types.TaskNumber(occurrence, i, k))
		}
	}
	return tasks
}

// dependenciesSucceeded reports whether the steps that one depends on have succeeded by a
// time.
func dependenciesSucceeded(job *jobHistory, step *state.Step, occurrence int, at int64) bool {
	for _, name := range step.DependsOn {
		for _, needed := range tasksOf(job, name, occurrence) {
			if !job.succeededBy(needed, at) {
				return false
			}
		}
	}
	return true
}
