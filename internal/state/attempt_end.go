package state

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// indefiniteWait stands for a wait that only the attempt's true end ends, or an operator.
const indefiniteWait = 50 * 365 * 24 * time.Hour

// AttemptEnd says how an attempt ended. It may be reported more than once, and after the
// attempt was counted as lost.
type AttemptEnd struct {
	ID         types.AttemptID `json:"leg"`
	Outcome    Outcome         `json:"fate"`
	Checkpoint string          `json:"ref,omitempty"` // reference to what the attempt saved, if anything
}

// UnresolvedAttempts returns the attempts lost on a worker whose true ends are awaited.
func (s *State) UnresolvedAttempts(shard types.Shard) (list []types.AttemptID) {
	for _, job := range s.LiveJobs() {
		for i := range job.Tasks {
			if task := &job.Tasks[i]; task.UnresolvedOn == shard && task.Primary == nil {
				list = append(list, job.lastAttemptID(i))
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
	job := s.index.live[end.ID.Job]
	if job == nil {
		return
	}
	counts := s.queueCounts(job.Queue)
	switch {
	case end.Outcome == OutcomeFailed:
		counts.FailedAttempts++
	case end.Outcome.unresolved() || end.Outcome == OutcomeWorkerExited:
		counts.LostAttempts++
	}
	s.beforeChange(job)
	job.applyEnd(end, s.effectiveQueueConfig(job.Queue), s.Time)
	s.moveIfEnded(job)
}

// applyEnd applies the end of an attempt of the job.
func (j *Job) applyEnd(end AttemptEnd, queue config.Queue, now types.ClusterTime) {
	task := j.Task(end.ID.TaskNumber)
	if task == nil {
		return
	}
	stage := types.StageOf(end.ID.TaskNumber)
	transition := endTransition{
		AttemptEnd: end, job: j, task: task,
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
	task, number := e.task, e.ID.Attempt
	outstanding := task.FindOutstanding(number)
	if outstanding == nil && number <= task.ExpiredThrough {
		return false
	}
	if e.step.AlwaysRestart && e.Outcome == OutcomeOK {
		e.Outcome = OutcomeWorkerExited
	}
	if e.Outcome == OutcomeOK && number <= task.LastAttempt {
		e.markDone()
	}
	unresolved := slices.Index(task.UnresolvedAttempts, number)
	switch {
	case outstanding != nil:
		e.endOutstanding(outstanding.Shard)
	case unresolved >= 0 && e.Outcome == OutcomeWaitExpired:
		if task.LastAttempt == number && task.ReadyAt <= e.now {
			task.UnresolvedOn = ""
			e.failIfExhausted(task)
		}
	case unresolved >= 0 && !e.Outcome.unresolved():
		task.UnresolvedAttempts = slices.Delete(task.UnresolvedAttempts, unresolved, unresolved+1)
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
	task, number := e.task, e.ID.Attempt
	task.removeOutstanding(number)
	if e.Outcome.unresolved() && !task.Done {
		task.UnresolvedOn = shard
		task.UnresolvedAttempts = append(task.UnresolvedAttempts, number)
	}
	if e.Outcome == OutcomeLeaseExpired {
		task.ExpiredThrough = max(task.ExpiredThrough, number)
	}
	e.saveCheckpoint()
	switch e.Outcome {
	case OutcomeFailed:
		task.AvoidWorker = shard
		e.recordFailure()
	case OutcomeLost:
		e.recordLoss(e.unresolvedWait(e.queue.UnresolvedTimeout()))
	case OutcomePartitioned:
		e.recordLoss(e.unresolvedWait(max(e.queue.PartitionTimeout(), e.queue.UnresolvedTimeout())))
	case OutcomeWorkerExited, OutcomeLeaseExpired:
		e.recordLoss(0)
	case OutcomeStopped, OutcomeNeverRan:
		task.Stops++
		task.ReadyAt = e.now.Add(e.queue.Backoff(1))
	}
	if e.step.Gang {
		e.updateBrokenGang()
	}
}

// unresolvedWait returns how long the true end of a lost attempt is waited for: as long as
// the queue says, or until it is known where a task may run once at most.
func (e *endTransition) unresolvedWait(ofQueue time.Duration) time.Duration {
	if e.step.AtMostOnce {
		return indefiniteWait
	}
	return ofQueue
}

// resolve applies the true end of an attempt that was counted as lost.
func (e *endTransition) resolve() {
	task := e.task
	if task.LastAttempt == e.ID.Attempt {
		task.UnresolvedOn = ""
		task.ReadyAt = e.now
		if e.Outcome == OutcomeWorkerExited {
			task.ReadyAt = e.now.Add(task.lossBackoff(e.step, &e.queue))
		}
	}
	if e.Outcome == OutcomeFailed {
		e.recordFailure()
	}
	e.failIfExhausted(task)
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
	task := e.task
	task.Losses++
	task.ReadyAt = e.now.Add(max(wait, task.lossBackoff(e.step, &e.queue)))
	e.failIfExhausted(task)
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
func (e *endTransition) failAttempt(task *Task) {
	task.LastFailedAttempt = e.ID.Attempt
	task.Failures++
	if task.UnresolvedOn == "" {
		task.ReadyAt = e.now.Add(e.queue.Backoff(task.Failures))
	}
	e.failIfExhausted(task)
}

func (e *endTransition) failIfExhausted(task *Task) { e.job.failIfExhausted(task, e.queue) }

// updateBrokenGang marks the stage as broken while members of the gang are outstanding
// though another ended without success: they must be stopped, and the gang starts anew.
func (e *endTransition) updateBrokenGang() {
	outstanding := slices.ContainsFunc(e.job.StageTasks(e.stage), func(task Task) bool { return task.Primary != nil })
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
