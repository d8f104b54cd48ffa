package state

import "coppercourse/internal/types"

// The tasks of a job are stored in one list, ordered by occurrence, then by step, then by
// index in the step. The methods in this file translate between a position in that list and
// the task's number, which is used everywhere else (types.TaskNumber).

// tasksPerOccurrence returns the number of tasks of all steps in one occurrence.
func (s Spec) tasksPerOccurrence() int { return s.stepOffset(len(s.Steps)) }

// stepOffset returns the position of a step's first task within its occurrence.
func (s Spec) stepOffset(step int) int {
	offset := 0
	for i := range step {
		offset += s.Steps[i].Tasks
	}
	return offset
}

// TotalTasks returns the number of tasks of the job in all occurrences.
func (s Spec) TotalTasks() int { return s.Occurrences() * s.tasksPerOccurrence() }

// StepOf returns the step of the task with the given number, or -1 if there is no such task.
func (s Spec) StepOf(number int) int {
	occurrence, step, index := types.SplitTaskNumber(number)
	if number < 0 || occurrence >= s.Occurrences() || step >= len(s.Steps) || index >= s.Steps[step].Tasks {
		return -1
	}
	return step
}

// TaskIndex returns the position of the task with the given number, or -1 if there is none.
func (s Spec) TaskIndex(number int) int {
	step := s.StepOf(number)
	if step < 0 {
		return -1
	}
	occurrence, _, index := types.SplitTaskNumber(number)
	return occurrence*s.tasksPerOccurrence() + s.stepOffset(step) + index
}

// TaskNumber returns the number of the task at a position in the list.
func (s Spec) TaskNumber(position int) int {
	perOccurrence := s.tasksPerOccurrence()
	occurrence, index := position/perOccurrence, position%perOccurrence
	for step := range s.Steps {
		if index < s.Steps[step].Tasks {
			return types.TaskNumber(occurrence, step, index)
		}
		index -= s.Steps[step].Tasks
	}
	return -1
}
