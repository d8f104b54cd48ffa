package state

import (
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// ReadyIndex is the view of a job that a planning round uses. It is cached until the job, the
// table or the wall offset changes or the passage of time makes more tasks ready, so that the
// cost of a round grows with the number of changed jobs and not of waiting ones.
type ReadyIndex struct {
	Stages              []ReadyStage
	OutstandingAttempts int
	InUse               types.Resources   // by the outstanding attempts
	RemainingTasks      []int             // by step: tasks not done, of occurrences whose start time has passed
	AttemptsToStop      []types.AttemptID // see Job.AttemptsToStop
	ExpiredWaits        []AttemptEnd      // see Job.ExpiredWaits

	validUntil   types.ClusterTime // from then on more tasks may be ready
	wallOffset   types.WallTime    // with which it was computed
	tableVersion types.Version     // with which it was computed
}

// ReadyStage lists the tasks of one stage that may be assigned now.
type ReadyStage struct {
	Stage        types.Stage
	Tasks        []int                // their numbers
	ReadySince   types.ClusterTime    // the job's acceptance or the stage's start time, whichever is later
	AvoidWorkers map[types.Shard]bool // where attempts of these tasks failed or were stragglers
}

// ReadyIndex returns the ready index of a live job at the given time. The caller must not
// modify it; it is valid until the next command is applied.
func (s *State) ReadyIndex(job *Job, now types.ClusterTime) *ReadyIndex {
	index := job.readyIndex
	if index != nil && now < index.validUntil && index.wallOffset == s.WallOffset &&
		index.tableVersion == s.Table.Version {
		return index
	}
	index = computeReadyIndex(job, s.effectiveQueueConfig(job.Queue), now, s.WallOffset)
	index.tableVersion = s.Table.Version
	job.readyIndex = index
	return index
}

// readyIndexBuilder computes the ready index of one job, stage by stage.
type readyIndexBuilder struct {
	job   *Job
	queue config.Queue
	now   types.ClusterTime
	index *ReadyIndex
}

// computeReadyIndex computes the ready index of a live job.
func computeReadyIndex(job *Job, queue config.Queue, now types.ClusterTime, wallOffset types.WallTime) *ReadyIndex {
	b := readyIndexBuilder{job: job, queue: queue, now: now, index: &ReadyIndex{
		RemainingTasks: make([]int, len(job.Spec.Steps)),
		AttemptsToStop: job.AttemptsToStop(),
		ExpiredWaits:   job.ExpiredWaits(queue, now),
		validUntil:     types.DistantFuture,
		wallOffset:     wallOffset,
	}}
	job.eachStage(b.addStage)
	return b.index
}

// addStage adds one stage to the index.
func (b *readyIndexBuilder) addStage(stage jobStage) {
	b.addOutstanding(stage)
	if b.job.Status != JobOpen {
		return
	}
	start := b.job.startTime(stage, b.index.wallOffset)
	if start > b.now {
		b.invalidateAt(start)
		return
	}
	for i := range stage.tasks {
		if !stage.tasks[i].Done {
			b.index.RemainingTasks[stage.id.Step()]++
		}
	}
	if b.job.dependenciesMet(stage) {
		b.addReadyTasks(stage, start)
	}
}

// addOutstanding counts the outstanding attempts of a stage, and limits the validity of the
// index to the time when a task that backs off may be assigned.
func (b *readyIndexBuilder) addOutstanding(stage jobStage) {
	for i := range stage.tasks {
		task := &stage.tasks[i]
		switch {
		case task.Primary != nil:
			count := len(task.Outstanding())
			b.index.OutstandingAttempts += count
			b.index.InUse = b.index.InUse.Add(stage.step.Resources.Scale(count))
		case !task.Done && !task.Failed:
			b.invalidateAt(task.ReadyAt)
		}
	}
}

// invalidateAt limits the validity of the index to a time, if that time is in the future.
func (b *readyIndexBuilder) invalidateAt(at types.ClusterTime) {
	if at > b.now {
		b.index.validUntil = min(b.index.validUntil, at)
	}
}

// addReadyTasks adds the tasks of a stage that may be assigned now. The tasks of a gang are
// added only if all that are not done may be assigned.
func (b *readyIndexBuilder) addReadyTasks(stage jobStage, start types.ClusterTime) {
	ready := ReadyStage{Stage: stage.id, ReadySince: max(b.job.AcceptedAt, start)}
	complete := true
	for i := range stage.tasks {
		task := &stage.tasks[i]
		if task.Done {
			continue
		}
		if !b.job.canAssign(task, b.queue, b.now) {
			complete = false
			continue
		}
		ready.Tasks = append(ready.Tasks, stage.id.TaskNumber(i))
		if task.AvoidWorker != "" {
			ready.avoid(task.AvoidWorker)
		}
	}
	if len(ready.Tasks) > 0 && (complete || !stage.step.Gang) {
		b.index.Stages = append(b.index.Stages, ready)
	}
}

// avoid adds a worker to AvoidWorkers.
func (rs *ReadyStage) avoid(shard types.Shard) {
	if rs.AvoidWorkers == nil {
		rs.AvoidWorkers = map[types.Shard]bool{}
	}
	rs.AvoidWorkers[shard] = true
}

// startTime returns the earliest start of a stage, apart from its dependencies: the latest of
// the end of the step's delay, the step's NotBefore and the start of the occurrence.
func (j *Job) startTime(stage jobStage, wallOffset types.WallTime) types.ClusterTime {
	start := j.AcceptedAt.Add(milliseconds(stage.step.DelayMillis))
	wall := parseNotBefore(stage.step.NotBefore)
	if schedule := j.Spec.Schedule; schedule != nil {
		wall = max(wall, schedule.start(stage.id.Occurrence()))
	}
	return max(start, types.ClusterTime(wall-wallOffset))
}

// parseNotBefore parses a step's NotBefore. It returns 0 if the text is empty or not a time.
func parseNotBefore(text string) types.WallTime {
	if text == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0
	}
	return types.WallTimeOf(t)
}

// milliseconds returns a duration of n milliseconds.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// dependenciesMet reports whether all steps on which a stage depends are done in the stage's
// occurrence.
func (j *Job) dependenciesMet(stage jobStage) bool {
	for _, step := range j.StepGraph().dependencies[stage.id.Step()] {
		dependency := types.StageOf(types.TaskNumber(stage.id.Occurrence(), step, 0))
		if !allDone(j.StageTasks(dependency)) {
			return false
		}
	}
	return true
}

func allDone(tasks []Task) bool {
	for i := range tasks {
		if !tasks[i].Done {
			return false
		}
	}
	return true
}
