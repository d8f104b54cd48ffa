package state

// What of a job may start: worked out once and kept until the job changes, so
// that a round costs as much as changed, not all that waits.

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// ReadyStage is the tasks of one stage that may start now.
type ReadyStage struct {
	Stage        types.Stage
	Tasks        []int
	ReadySince   types.ClusterTime    // when the job was accepted, or the stage's time came
	AvoidWorkers map[types.Shard]bool // workers where attempts of these stalled or failed
}

// ReadyIndex is what a round needs to know of a job.
type ReadyIndex struct {
	Stages              []ReadyStage
	OutstandingAttempts int
	CoresInUse          types.MilliCores
	RemainingTasks      []int // tasks of each step that have not ended well, of the times that have come
	ToStop              []types.AttemptID
	Exhausted           []AttemptEnd
	validUntil          types.ClusterTime // from then on something more may start
}

const neverTime = types.ClusterTime(1 << 62)

// ReadyIndex is what of a job may start, as of now.
func (s *State) ReadyIndex(j *Job, now types.ClusterTime) *ReadyIndex {
	if j.readyCache == nil || now >= j.readyCache.validUntil || s.WallOffset != j.readyCacheOffset || s.Table.Version != j.readyCacheVersion {
		j.readyCache, j.readyCacheOffset, j.readyCacheVersion = j.computeReady(s.effectiveQueueConfig(j.Queue), now, s.WallOffset), s.WallOffset, s.Table.Version
	}
	return j.readyCache
}

// CriticalPath is the longest chain of work, of the whole job or from one step on, where
// cost tells how long a step takes.
func (s Spec) CriticalPath(from int, cost func(step int) time.Duration) time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	var pathFrom func(i int) time.Duration
	pathFrom = func(i int) time.Duration {
		if longest[i] > 0 {
			return longest[i]
		}
		following := time.Duration(0)
		for k, next := range s.Steps {
			if slices.Contains(next.DependsOn, s.Steps[i].Name) {
				following = max(following, pathFrom(k))
			}
		}
		longest[i] = max(1, cost(i)) + following
		return longest[i]
	}
	if from >= 0 {
		return pathFrom(from)
	}
	total := time.Duration(0)
	for i := range s.Steps {
		total = max(total, pathFrom(i))
	}
	return total
}

// computeReady works it out afresh.
func (j *Job) computeReady(queue config.Queue, now types.ClusterTime, wallOffset types.WallTime) *ReadyIndex {
	index := &ReadyIndex{ToStop: j.ToStop(), Exhausted: j.Exhausted(queue, now), validUntil: neverTime, RemainingTasks: make([]int, len(j.Spec.Steps))}
	recheckAt := func(t types.ClusterTime) {
		if t > now {
			index.validUntil = min(index.validUntil, t)
		}
	}
	j.eachStage(func(stage types.Stage, step *Step, tasks []Task) {
		for i := range tasks {
			if t := &tasks[i]; t.Primary != nil {
				n := len(t.Outstanding())
				index.OutstandingAttempts += n
				index.CoresInUse += step.Resources.Cores * types.MilliCores(n)
			} else if !t.Done && !t.Failed {
				recheckAt(t.ReadyAt)
			}
		}
		if j.Status != JobOpen {
			return
		}
		startTime, wallStart := j.startTime(step, stage.Occurrence())
		startTime = max(startTime, types.ClusterTime(wallStart-wallOffset))
		recheckAt(startTime)
		if startTime <= now {
			for i := range tasks {
				if !tasks[i].Done {
					index.RemainingTasks[stage.Step()]++
				}
			}
		}
		if startTime > now || !j.dependenciesMet(step, stage.Occurrence()) {
			return
		}
		ready, complete := ReadyStage{Stage: stage, ReadySince: max(j.AcceptedAt, startTime)}, true
		for i := range tasks {
			t := &tasks[i]
			if t.Done {
				continue
			}
			if !j.canAssign(t, queue, now) {
				complete = false
				continue
			}
			ready.Tasks = append(ready.Tasks, stage.TaskNumber(i))
			if t.AvoidWorker != "" {
				if ready.AvoidWorkers == nil {
					ready.AvoidWorkers = map[types.Shard]bool{}
				}
				ready.AvoidWorkers[t.AvoidWorker] = true
			}
		}
		if len(ready.Tasks) > 0 && (complete || !step.Gang) {
			index.Stages = append(index.Stages, ready)
		}
	})
	return index
}
