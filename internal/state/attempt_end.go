package state

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// AttemptEnd says how an attempt ended. It may be reported more than once, and after the
// attempt was counted as lost.
type AttemptEnd struct {
	ID         types.AttemptID `json:"leg"`
	Outcome    Outcome         `json:"fate"`
	Checkpoint string          `json:"ref,omitempty"` // reference to what the attempt saved, if anything
}

// UnresolvedAttempts returns the attempts lost on a worker whose true ends are awaited.
func (s *State) UnresolvedAttempts(shard types.Shard) (list []types.AttemptID) {
	for _, j := range s.LiveJobs() {
		for i := range j.Tasks {
			if t := &j.Tasks[i]; t.UnresolvedOn == shard && t.Primary == nil {
				list = append(list, j.lastAttemptID(i))
			}
		}
	}
	return list
}

// applyWorkerExit resolves all attempts lost on a worker: its process has ended.
func (s *State) applyWorkerExit(shard types.Shard) {
	for _, id := range s.UnresolvedAttempts(shard) {
		s.applyEnd(AttemptEnd{ID: id, Outcome: OutcomeWorkerExited})
	}
}

// applyEnd applies the end of an attempt. An end that is already known changes nothing
// but the queue's counts.
func (s *State) applyEnd(end AttemptEnd) {
	j := s.index.live[end.ID.Job]
	if j == nil {
		return
	}
	counts := s.queueCounts(j.Queue)
	switch {
	case end.Outcome == OutcomeFailed:
		counts.FailedAttempts++
	case end.Outcome.unresolved() || end.Outcome == OutcomeWorkerExited:
		counts.LostAttempts++
	}
	s.beforeChange(j)
	j.applyEnd(end, s.effectiveQueueConfig(j.Queue), s.Time)
	s.closeIfEnded(j)
}

// applyEnd applies the end of an attempt of the job.
func (j *Job) applyEnd(end AttemptEnd, queue config.Queue, now types.ClusterTime) {
	t := j.Task(end.ID.TaskNumber)
	if t == nil {
		return
	}
	stage := types.StageOf(end.ID.TaskNumber)
	transition := endTransition{
		AttemptEnd: end, job: j, task: t,
		step: &j.Spec.Steps[stage.Step()], stage: stage, queue: queue, now: now,
	}
	if transition.apply() {
		j.updateStatus(now)
	}
}

// endTransition is the application of one attempt's end to its job.
type endTransition struct {
	AttemptEnd
	job   *Job
	task  *Task
	step  *Step
	stage types.Stage
	queue config.Queue
	now   types.ClusterTime
}

// apply changes the task, and for a gang its stage. It reports false for an attempt whose
// lease expired before, of which nothing counts any more.
func (e *endTransition) apply() bool {
	t, number := e.task, e.ID.Attempt
	outstanding := t.FindOutstanding(number)
	if outstanding == nil && number <= t.ExpiredThrough {
		return false
	}
	if e.step.AlwaysRestart && e.Outcome == OutcomeOK {
		e.Outcome = OutcomeWorkerExited
	}
	if e.Outcome == OutcomeOK && number <= t.LastAttempt {
		e.markDone()
	}
	unresolved := slices.Index(t.UnresolvedAttempts, number)
	switch {
	case outstanding != nil:
		e.endOutstanding(outstanding.Shard)
	case unresolved >= 0 && e.Outcome == OutcomeWaitExpired:
		if t.LastAttempt == number && t.ReadyAt <= e.now {
			t.UnresolvedOn = ""
			e.failIfExhausted(t)
		}
	case unresolved >= 0 && !e.Outcome.unresolved():
		t.UnresolvedAttempts = slices.Delete(t.UnresolvedAttempts, unresolved, unresolved+1)
		e.resolve()
	}
	return true
}

// markDone marks the task as done, and with a joint step all tasks of its stage.
func (e *endTransition) markDone() {
	e.job.markDone(e.task)
	if e.step.Joint {
		tasks := e.job.StageTasks(e.stage)
		for i := range tasks {
			e.job.markDone(&tasks[i])
		}
	}
}

// endOutstanding applies the end of an attempt that was outstanding on a worker.
func (e *endTransition) endOutstanding(shard types.Shard) {
	t, number := e.task, e.ID.Attempt
	t.removeOutstanding(number)
	if e.Outcome.unresolved() && !t.Done {
		t.UnresolvedOn = shard
		t.UnresolvedAttempts = append(t.UnresolvedAttempts, number)
	}
	if e.Outcome == OutcomeLeaseExpired {
		t.ExpiredThrough = max(t.ExpiredThrough, number)
	}
	e.saveCheckpoint()
	switch e.Outcome {
	case OutcomeFailed:
		t.AvoidWorker = shard
		e.recordFailure()
	case OutcomeLost:
		e.recordLoss(e.queue.UnresolvedTimeout())
	case OutcomePartitioned:
		e.recordLoss(max(e.queue.PartitionTimeout(), e.queue.UnresolvedTimeout()))
	case OutcomeWorkerExited, OutcomeLeaseExpired:
		e.recordLoss(0)
	case OutcomeStopped, OutcomeNeverRan:
		t.Stops++
		t.ReadyAt = e.now.Add(e.queue.Backoff(1))
	}
	if e.step.Gang {
		e.updateBrokenGang()
	}
}

// resolve applies the true end of an attempt that was counted as lost.
func (e *endTransition) resolve() {
	t := e.task
	if t.LastAttempt == e.ID.Attempt {
		t.UnresolvedOn = ""
		t.ReadyAt = e.now
		if e.Outcome == OutcomeWorkerExited {
			t.ReadyAt = e.now.Add(t.lossBackoff(e.step, &e.queue))
		}
	}
	if e.Outcome == OutcomeFailed {
		e.recordFailure()
	}
	e.failIfExhausted(t)
}

// saveCheckpoint keeps what the attempt saved, for the next one to go on from. That of
// any member of a gang is good for all, and all must go on from the same.
func (e *endTransition) saveCheckpoint() {
	if e.Checkpoint == "" || !e.step.KeepsCheckpoint {
		return
	}
	e.task.Checkpoint = e.Checkpoint
	if e.step.Gang {
		tasks := e.job.StageTasks(e.stage)
		for i := range tasks {
			tasks[i].Checkpoint = e.Checkpoint
		}
	}
}

// recordLoss counts a loss. The task may be assigned again after wait, and after a
// backoff that grows with each loss.
func (e *endTransition) recordLoss(wait time.Duration) {
	t := e.task
	t.Losses++
	t.ReadyAt = e.now.Add(max(wait, t.lossBackoff(e.step, &e.queue)))
	e.failIfExhausted(t)
}

// recordFailure counts a failure against the queue's limit. All members of a joint gang
// fail with the first of them that does; further failures under the same attempt number
// don't count.
func (e *endTransition) recordFailure() {
	if e.step.AlwaysRestart {
		e.task.ReadyAt = e.now.Add(e.queue.Backoff(1))
		return
	}
	if !e.step.Joint {
		e.failAttempt(e.task)
		return
	}
	tasks := e.job.StageTasks(e.stage)
	for i := range tasks {
		if tasks[i].LastFailedAttempt == e.ID.Attempt {
			return
		}
	}
	for i := range tasks {
		e.failAttempt(&tasks[i])
	}
}

// failAttempt counts the failed attempt for one task.
func (e *endTransition) failAttempt(t *Task) {
	t.LastFailedAttempt = e.ID.Attempt
	t.Failures++
	if t.UnresolvedOn == "" {
		t.ReadyAt = e.now.Add(e.queue.Backoff(t.Failures))
	}
	e.failIfExhausted(t)
}

func (e *endTransition) failIfExhausted(t *Task) { e.job.failIfExhausted(t, e.queue) }

// updateBrokenGang marks the stage as broken while members of the gang are outstanding
// though another ended without success: they must be stopped, and the gang starts anew.
func (e *endTransition) updateBrokenGang() {
	outstanding := slices.ContainsFunc(e.job.StageTasks(e.stage), func(t Task) bool { return t.Primary != nil })
	switch {
	case !outstanding:
		delete(e.job.BrokenGangs, e.stage)
	case e.Outcome != OutcomeOK:
		if e.job.BrokenGangs == nil {
			e.job.BrokenGangs = map[types.Stage]bool{}
		}
		e.job.BrokenGangs[e.stage] = true
	}
}
