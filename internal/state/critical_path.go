package state

import (
	"slices"
	"time"
)

// CriticalPath returns the length of the longest chain of steps that depend on one
// another, from one step on, or of the whole job if from is -1. cost returns how long a
// step takes; each counts 1 ns at least.
func (s Spec) CriticalPath(from int, cost func(step int) time.Duration) time.Duration {
	longest := make([]time.Duration, len(s.Steps)) // by step, 0 if not known yet
	var pathFrom func(step int) time.Duration
	pathFrom = func(step int) time.Duration {
		if longest[step] > 0 {
			return longest[step]
		}
		following := time.Duration(0)
		for i, next := range s.Steps {
			if slices.Contains(next.DependsOn, s.Steps[step].Name) {
				following = max(following, pathFrom(i))
			}
		}
		longest[step] = max(1, cost(step)) + following
		return longest[step]
	}
	if from >= 0 {
		return pathFrom(from)
	}
	total := time.Duration(0)
	for step := range s.Steps {
		total = max(total, pathFrom(step))
	}
	return total
}
