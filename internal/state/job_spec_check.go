package state

import (
	"fmt"

	"coppercourse/internal/apierror"
)

// Check adds the errors of a job as a whole: missing names, duplicate or unknown steps, too
// many tasks, cyclic dependencies.
func (s Spec) Check(errs *apierror.ErrorList) {
	errs.Check(s.Queue != "", "queue", "missing")
	errs.Check(len(s.Steps) > 0, "steps", "missing or empty")
	stepIndex := map[string]int{}
	for i := range s.Steps {
		step, path := &s.Steps[i], fmt.Sprintf("steps[%d]", i)
		errs.Check(step.Name != "", path+".name", "missing")
		errs.Check(step.Kind != "", path+".kind", "missing")
		_, repeated := stepIndex[step.Name]
		errs.Check(!repeated, path+".name", "two steps are called "+step.Name)
		stepIndex[step.Name] = i
		errs.Check(!step.AtMostOnce || !step.AllowHedge, path+".once", "a step with copies may run more than once")
		errs.Check(!step.AtMostOnce || !step.AlwaysRestart, path+".once", "a step that lasts is always started again")
	}
	taskCount := s.tasksPerOccurrence()
	if s.Schedule != nil {
		count := s.Schedule.Count
		errs.Check(count >= 1 && count <= maxOccurrences, "times.count", fmt.Sprintf("want 1 to %d", maxOccurrences))
		taskCount *= count
	}
	errs.Check(taskCount <= maxTasks, "steps", fmt.Sprintf("more than %d tasks in all", maxTasks))
	for i := range s.Steps {
		for k, name := range s.Steps[i].DependsOn {
			_, ok := stepIndex[name]
			errs.Check(ok, fmt.Sprintf("steps[%d].after[%d]", i, k), "no step is called "+name)
		}
	}
	if len(errs.List()) > 0 {
		return
	}
	if step := s.StepGraph().firstInCycle(); step >= 0 {
		errs.Add(apierror.BadField, fmt.Sprintf("steps[%d].after", step), "the dependencies of the steps form a cycle")
	}
}
