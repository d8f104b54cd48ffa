package placement

import (
	"slices"
	"time"

	"coppercourse/internal/types"
)

// Slot is a worker to which tasks may be assigned, and what is known of it.
type Slot struct {
	Shard  types.Shard
	Rack   types.Rack
	Kinds  []types.ServiceKind
	Labels []string

	Capacity     types.Resources       // when nothing runs there
	Free         types.Resources       // now; negative where more runs than fits
	RunningTasks int                   // on it now
	TasksByStage map[types.StageID]int // the same by stage; shared by rounds and not changed

	AvailableFor time.Duration // until it may run nothing, 0 for no end
	IdleIn       time.Duration // until all that runs there has ended, by the tasks' time limits

	FailureRate    float64 // part of its attempts that fail, 0 to 1
	DurationFactor float64 // durations of its attempts over the usual ones
	// CurrentDurationFactor is the same of what runs there now, or 0 if that is not slow.
	CurrentDurationFactor float64

	reserved types.Resources // part of Free that is kept for a request
	assigned []types.StageID // of the tasks assigned since TasksByStage was made
}

// TaskCount returns how many tasks of a stage run there.
func (s *Slot) TaskCount(stage types.StageID) int {
	count := s.TasksByStage[stage]
	for _, assigned := range s.assigned {
		if assigned == stage {
			count++
		}
	}
	return count
}

// Assign assigns a task of a stage, which takes resources.
func (s *Slot) Assign(stage types.StageID, resources types.Resources) {
	s.Free = s.Free.Sub(resources)
	s.RunningTasks++
	s.assigned = append(s.assigned, stage)
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

// maxTasks returns how many tasks of a request the worker could run at once if it were idle.
func (s *Slot) maxTasks(request *Request) int {
	n := s.Capacity.FitCount(request.Resources)
	if request.MaxPerWorker > 0 {
		n = min(n, request.MaxPerWorker-s.TaskCount(request.StageID))
	}
	return n
}
