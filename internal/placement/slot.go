package placement

import (
	"slices"
	"time"

	"coppercourse/internal/types"
)

// Slot is a worker to which tasks may be assigned, with its capacity, usage and recent performance.
type Slot struct {
	Shard  types.Shard
	Rack   types.Rack
	Kinds  []types.ServiceKind
	Labels []string

	Capacity     types.Resources       // total
	Unavailable  types.Resources       // part of Capacity that no end of a task will free, see obtainable
	Free         types.Resources       // currently; negative if the worker is overcommitted
	RunningTasks int                   // current number
	TasksByStage map[types.StageID]int // RunningTasks by stage; shared between rounds and read-only

	AvailableFor time.Duration // time until it may run nothing, 0 for unlimited
	// IdleIn is the time until all its running tasks that have a time limit have reached it. On a
	// reserved worker only the tasks count that must end before the reserved ones fit.
	IdleIn time.Duration
	// FreeWhenIdle is what is free on a reserved worker once the tasks have ended that must end
	// before the reserved ones fit. Zero if it is not known.
	FreeWhenIdle types.Resources

	FailureRate    float64 // fraction of its attempts that fail, 0 to 1
	DurationFactor float64 // ratio of its attempts' durations to the usual ones
	// CurrentDurationFactor is the same ratio for the attempts that run there now, or 0 if it is
	// not slow.
	CurrentDurationFactor float64
	// ProbeDue allows one task on a slow worker, to find out whether it is still slow.
	ProbeDue bool

	reserved       types.Resources // part of Free that is reserved for a request
	besideReserved types.Resources // part of FreeWhenIdle that other requests may use
	assigned       []types.StageID // stages of the tasks assigned since TasksByStage was computed
}

// TaskCount returns how many tasks of a stage run on the worker or are assigned to it in this
// round.
func (s *Slot) TaskCount(stage types.StageID) int {
	count := s.TasksByStage[stage]
	for _, assigned := range s.assigned {
		if assigned == stage {
			count++
		}
	}
	return count
}

// Assign adds a task of a stage to the worker and subtracts its resources from Free.
func (s *Slot) Assign(stage types.StageID, resources types.Resources) {
	s.Free = s.Free.Sub(resources)
	s.besideReserved = s.besideReserved.Sub(resources)
	s.RunningTasks++
	s.assigned = append(s.assigned, stage)
}

// reserve reserves resources, which may be free only once other tasks have ended. Tasks that start
// before that share what is left then.
func (s *Slot) reserve(resources types.Resources) {
	s.reserved = resources
	s.besideReserved = s.FreeWhenIdle.Sub(resources)
}

// delaysReserved reports whether another task of a request could delay the request for which the
// worker is reserved, given the free resources and the number of tasks added in this search.
func (s *Slot) delaysReserved(request *Request, free types.Resources, added int) bool {
	return !free.Sub(s.reserved).Contains(request.Resources) &&
		!s.besideReserved.Contains(request.Resources.Scale(added+1)) &&
		request.TimeLimit > s.IdleIn
}

// Feasible reports whether the worker could run a task of a request if it were idle.
func (s *Slot) Feasible(request *Request) bool {
	switch {
	case !s.Capacity.Contains(request.Resources):
		return false
	case request.Rack != "" && request.Rack != s.Rack:
		return false
	case !slices.Contains(s.Kinds, request.Kind):
		return false
	case s.AvailableFor != 0 && request.TimeLimit > s.AvailableFor:
		return false
	}
	return types.HasLabels(s.Labels, request.Labels)
}

// Reservable reports whether the worker could run a task of a request if it were idle, and is not
// too slow to get one.
func (s *Slot) Reservable(request *Request) bool {
	return s.Feasible(request) && (s.CurrentDurationFactor == 0 || s.ProbeDue)
}

// obtainable returns the resources that are free once all tasks with a time limit have ended. Tasks
// without one run until their job is cancelled.
func (s *Slot) obtainable() types.Resources { return s.Capacity.Sub(s.Unavailable) }

// maxTasks returns how many tasks of a request the worker could run at once if all tasks with a
// time limit had ended.
func (s *Slot) maxTasks(request *Request) int {
	n := s.obtainable().FitCount(request.Resources)
	if request.MaxPerWorker > 0 {
		n = min(n, request.MaxPerWorker-s.TaskCount(request.StageID))
	}
	return n
}
