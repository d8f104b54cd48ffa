package state

// The job as an aggregate: its tasks, the attempts given out for them, and the
// rules by which ends move it on. A job is shown ended only when none of its
// attempts can be running.

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// JobStatus is how far a job is.
type JobStatus string

// Stages of a job: open, ending while the last attempts are stopped, and three ends.
const (
	JobOpen      JobStatus = "open"
	JobEnding    JobStatus = "ending"
	JobDone      JobStatus = "done"
	JobFailed    JobStatus = "failed"
	JobCancelled JobStatus = "cancelled"
)

// Job is one accepted job.
type Job struct {
	ID                types.JobID          `json:"id"`
	Seq               uint64               `json:"seq"`
	Hash              string               `json:"hash"`
	Queue             types.QueueName      `json:"queue"`
	AcceptedAt        types.ClusterTime    `json:"at"`
	AcceptedWallTime  types.WallTime       `json:"wall"`
	Status            JobStatus            `json:"state"`
	Reason            string               `json:"why,omitempty"`
	Spec              *Spec                `json:"spec,omitempty"`
	Tasks             []Task               `json:"tasks,omitempty"`
	BrokenGangs       map[types.Stage]bool `json:"broken,omitempty"`
	CancelRequested   bool                 `json:"halt,omitempty"`
	EndedAt           types.ClusterTime    `json:"end,omitempty"`
	TaskCount         int                  `json:"size"`
	ApproxBytes       int                  `json:"bytes"`
	DoneTasks         int                  `json:"fine"`
	AttemptCount      int                  `json:"legs"`
	snapshotNumber    uint64
	readyCache        *ReadyIndex
	readyCacheOffset  types.WallTime // as of which the heat is
	readyCacheVersion types.Version
}

// Ended is true once the job has ended for good.
func (j *Job) Ended() bool {
	return j.Status == JobDone || j.Status == JobFailed || j.Status == JobCancelled
}

// eachStage calls f for every step at every time, with the tasks it has.
func (j *Job) eachStage(f func(at types.Stage, spec *Step, part []Task)) {
	first := 0
	for occurrence := range j.Spec.Occurrences() {
		for step := range j.Spec.Steps {
			spec := &j.Spec.Steps[step]
			f(types.StageOf(types.TaskNumber(occurrence, step, 0)), spec, j.Tasks[first:first+spec.Tasks])
			first += spec.Tasks
		}
	}
}

// Task finds a task by its number, or gives nil.
func (j *Job) Task(number int) *Task {
	if j.Spec == nil {
		return nil
	}
	if i := j.Spec.TaskIndex(number); i >= 0 {
		return &j.Tasks[i]
	}
	return nil
}

// StageTasks is the tasks of one step at one time.
func (j *Job) StageTasks(stage types.Stage) []Task {
	i := j.Spec.TaskIndex(stage.TaskNumber(0))
	return j.Tasks[i : i+j.Spec.Steps[stage.Step()].Tasks]
}

// startTime tells when a step may start at one of the times, but for what it depends
// on: by the cluster's clock, and by the wall where a time of day is told.
func (j *Job) startTime(step *Step, occurrence int) (types.ClusterTime, types.WallTime) {
	wall := parseWallTime(step.NotBefore)
	if schedule := j.Spec.Schedule; schedule != nil {
		wall = max(wall, types.WallTime(schedule.FirstUnixMillis+int64(occurrence)*schedule.IntervalMillis)*types.WallTime(millisecond))
	}
	return j.AcceptedAt.Add(milliseconds(step.DelayMillis)), wall
}

const millisecond = time.Millisecond

func milliseconds(n int) time.Duration { return time.Duration(n) * millisecond }

func parseWallTime(s string) types.WallTime {
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return 0
	}
	return types.WallTime(t.UnixNano())
}

// dependenciesMet tells whether all that a step depends on has ended well.
func (j *Job) dependenciesMet(step *Step, occurrence int) bool {
	for _, a := range step.DependsOn {
		for i, q := range j.Spec.Steps {
			if q.Name == a && !allDone(j.StageTasks(types.StageOf(types.TaskNumber(occurrence, i, 0)))) {
				return false
			}
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

func (j *Job) outstanding() (n int) {
	for i := range j.Tasks {
		n += len(j.Tasks[i].Outstanding())
	}
	return
}

// ToStop lists the attempts that are out and must be stopped: the job is ending,
// the task is done by another attempt, or a peer of the gang ended badly.
func (j *Job) ToStop() (list []types.AttemptID) {
	if j.Ended() {
		return nil
	}
	j.eachStage(func(stage types.Stage, _ *Step, tasks []Task) {
		for i := range tasks {
			t := &tasks[i]
			for _, attempt := range t.Outstanding() {
				if j.Status == JobEnding || t.Done || attempt.Withdrawn != "" || j.BrokenGangs[stage] {
					list = append(list, types.AttemptID{TaskID: types.TaskID{Job: j.ID, Number: stage.TaskNumber(i)}, Attempt: attempt.Number})
				}
			}
		}
	})
	return
}

// canAssign tells whether a task may be given out now.
func (j *Job) canAssign(t *Task, queue config.Queue, now types.ClusterTime) bool {
	return j.Status == JobOpen && t != nil && t.Primary == nil && !t.Done && !t.Failed && t.ReadyAt <= now && !t.exhausted(queue)
}

// assign hands out the next attempt of a task, if the task may still have one. The
// members of a gang are given the same number, which leaves some out.
func (j *Job) assign(number, minAttempt int, shard types.Shard, queue config.Queue, now types.ClusterTime) bool {
	t := j.Task(number)
	if !j.canAssign(t, queue, now) {
		return false
	}
	t.LastAttempt = max(t.LastAttempt+1, minAttempt)
	t.UnresolvedOn = ""
	j.AttemptCount++
	t.Primary = &OutstandingAttempt{Number: t.LastAttempt, Shard: shard, AssignedAt: now}
	return true
}

// assignHedge hands out a second attempt beside the first, where the step allows that.
func (j *Job) assignHedge(number int, shard types.Shard, queue config.Queue, now types.ClusterTime) bool {
	t := j.Task(number)
	if j.Status != JobOpen || t == nil || t.Done || t.Failed || t.Primary == nil || t.Hedge != nil || t.exhausted(queue) ||
		t.Primary.Shard == shard || !j.Spec.Steps[types.StageOf(number).Step()].AllowHedge {
		return false
	}
	t.LastAttempt++
	j.AttemptCount++
	t.Hedge = &OutstandingAttempt{Number: t.LastAttempt, Shard: shard, AssignedAt: now}
	return true
}

// applyEnd takes an attempt's end. A late one, of an attempt already counted lost, matters
// only if it ended well.
func (j *Job) applyEnd(e AttemptEnd, queue config.Queue, now types.ClusterTime) {
	attempt, outcome := e.ID.Attempt, e.Outcome
	if j.Ended() {
		return
	}
	t := j.Task(e.ID.Number)
	if t == nil || attempt <= t.ExpiredThrough && t.FindOutstanding(attempt) == nil {
		return
	}
	stage := types.StageOf(e.ID.Number)
	step := &j.Spec.Steps[stage.Step()]
	outstanding := t.FindOutstanding(attempt)
	if step.AlwaysRestart && outcome == OutcomeOK {
		outcome = OutcomeWorkerExited
	}
	if outcome == OutcomeOK && attempt <= t.LastAttempt {
		j.markDone(t)
		if step.Joint {
			for i := range j.StageTasks(stage) {
				j.markDone(&j.StageTasks(stage)[i])
			}
		}
	}
	unresolved := slices.Index(t.UnresolvedAttempts, attempt)
	switch {
	case outstanding != nil:
		shard := outstanding.Shard
		t.removeOutstanding(attempt)
		if outcome.unresolved() && !t.Done {
			t.UnresolvedOn, t.UnresolvedAttempts = shard, append(t.UnresolvedAttempts, attempt)
		}
		if outcome == OutcomeLeaseExpired {
			t.ExpiredThrough = max(t.ExpiredThrough, attempt)
		}
		j.saveCheckpoint(step, stage, t, e.Checkpoint)
		if outcome == OutcomeFailed {
			t.AvoidWorker = shard
		}
		j.applyOutcome(stage, t, attempt, outcome, queue, now)
	case unresolved >= 0 && outcome == OutcomeWaitExpired:
		if t.LastAttempt == attempt && t.ReadyAt <= now {
			t.UnresolvedOn = ""
			j.failIfExhausted(t, queue)
		}
	case unresolved >= 0 && !outcome.unresolved():
		t.UnresolvedAttempts = slices.Delete(t.UnresolvedAttempts, unresolved, unresolved+1)
		if t.LastAttempt == attempt {
			t.UnresolvedOn, t.ReadyAt = "", now
			if outcome == OutcomeWorkerExited {
				t.ReadyAt = now.Add(lossBackoff(step, t, queue))
			}
		}
		if outcome == OutcomeFailed {
			j.recordFailure(stage, t, attempt, queue, now)
		}
		j.failIfExhausted(t, queue)
	}
	j.updateStatus(now)
}

// markDone marks a task as ended well.
func (j *Job) markDone(t *Task) {
	if !t.Done {
		t.Done, t.Failed, t.UnresolvedOn = true, false, ""
		j.DoneTasks++
	}
}

// saveCheckpoint keeps what an attempt saved, for the next to go on from; any member's is good
// for its whole gang, and all must have the same.
func (j *Job) saveCheckpoint(step *Step, stage types.Stage, t *Task, ref string) {
	if ref == "" || !step.KeepsCheckpoint {
		return
	}
	t.Checkpoint = ref
	if step.Gang {
		for i := range j.StageTasks(stage) {
			j.StageTasks(stage)[i].Checkpoint = ref
		}
	}
}

func (j *Job) applyOutcome(stage types.Stage, t *Task, attempt int, outcome Outcome, queue config.Queue, now types.ClusterTime) {
	switch outcome {
	case OutcomeFailed:
		j.recordFailure(stage, t, attempt, queue, now)
	case OutcomeLost:
		j.recordLoss(stage, t, queue, now, queue.UnresolvedTimeout())
	case OutcomePartitioned:
		j.recordLoss(stage, t, queue, now, max(queue.PartitionTimeout(), queue.UnresolvedTimeout()))
	case OutcomeWorkerExited, OutcomeLeaseExpired:
		j.recordLoss(stage, t, queue, now, 0)
	case OutcomeStopped, OutcomeNeverRan:
		t.Stops++
		t.ReadyAt = now.Add(queue.Backoff(1))
	}
	if !j.Spec.Steps[stage.Step()].Gang {
		return
	}
	outstanding := false
	for _, member := range j.StageTasks(stage) {
		outstanding = outstanding || member.Primary != nil
	}
	switch {
	case outcome != OutcomeOK && outstanding:
		if j.BrokenGangs == nil {
			j.BrokenGangs = map[types.Stage]bool{}
		}
		j.BrokenGangs[stage] = true
	case !outstanding:
		delete(j.BrokenGangs, stage)
	}
}

// recordLoss counts a loss; one that loses its workers again and again rests longer
// each time, and fails its job only where the queue's row sets a bound.
func (j *Job) recordLoss(stage types.Stage, t *Task, queue config.Queue, now types.ClusterTime, wait time.Duration) {
	t.Losses++
	t.ReadyAt = now.Add(max(wait, lossBackoff(&j.Spec.Steps[stage.Step()], t, queue)))
	j.failIfExhausted(t, queue)
}

// recordFailure counts a failure against the queue's tries; a gang fails as one, once
// with each number that its members had.
func (j *Job) recordFailure(stage types.Stage, t *Task, attempt int, queue config.Queue, now types.ClusterTime) {
	step := &j.Spec.Steps[stage.Step()]
	if step.AlwaysRestart {
		t.ReadyAt = now.Add(queue.Backoff(1))
		return
	}
	failed := []*Task{t}
	if step.Joint {
		failed = failed[:0]
		for i := range j.StageTasks(stage) {
			member := &j.StageTasks(stage)[i]
			if member.LastFailedAttempt == attempt {
				return
			}
			failed = append(failed, member)
		}
	}
	for _, member := range failed {
		member.LastFailedAttempt = attempt
		member.Failures++
		if member.UnresolvedOn == "" {
			member.ReadyAt = now.Add(queue.Backoff(member.Failures))
		}
		j.failIfExhausted(member, queue)
	}
}

// failIfExhausted ends a task whose tries are spent, unless a lost attempt of it may still
// turn out to have ended well.
func (j *Job) failIfExhausted(t *Task, queue config.Queue) {
	if t.Done || t.Failed || t.UnresolvedOn != "" {
		return
	}
	switch {
	case t.Failures >= queue.MaxFailures:
		t.Failed, j.Reason = true, fmt.Sprintf("task %d failed %d times", j.taskNumber(t), t.Failures)
	case queue.MaxLosses > 0 && t.Losses >= queue.MaxLosses && t.Primary == nil:
		t.Failed, j.Reason = true, fmt.Sprintf("task %d was lost with its worker %d times", j.taskNumber(t), t.Losses)
	}
}

func (j *Job) taskNumber(t *Task) int {
	for i := range j.Tasks {
		if &j.Tasks[i] == t {
			return j.Spec.TaskNumber(i)
		}
	}
	return -1
}

// Exhausted lists the lost attempts of tasks that have no try left, whose ends have
// been waited for as long as the queue says.
func (j *Job) Exhausted(queue config.Queue, now types.ClusterTime) (list []AttemptEnd) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; j.Status == JobOpen && t.Primary == nil && t.UnresolvedOn != "" && !t.Done && t.exhausted(queue) && t.ReadyAt <= now {
			list = append(list, AttemptEnd{ID: types.AttemptID{TaskID: types.TaskID{Job: j.ID, Number: j.Spec.TaskNumber(i)}, Attempt: t.LastAttempt}, Outcome: OutcomeWaitExpired})
		}
	}
	return
}

// updateStatus moves the job's state on after anything changed.
func (j *Job) updateStatus(now types.ClusterTime) {
	taskFailed := false
	for i := range j.Tasks {
		taskFailed = taskFailed || j.Tasks[i].Failed
	}
	switch {
	case j.DoneTasks == j.TaskCount:
		j.Status = JobDone
	case j.CancelRequested:
		j.Status = JobCancelled
	case taskFailed:
		j.Status = JobFailed
	default:
		j.Status, j.Reason = JobOpen, ""
		return
	}
	if j.outstanding() > 0 {
		j.Status = JobEnding
		return
	}
	j.EndedAt = now
	if j.Status == JobDone {
		j.Reason = ""
	}
	j.Spec, j.Tasks, j.BrokenGangs = nil, nil, nil
}
