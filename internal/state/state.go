package state

// The state that the log makes. Apply is the only way to change it; it looks
// at nothing but the fact and the state, so every controller comes to the same.

import (
	"maps"
	"slices"
	"sort"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Command is what one log entry says; one of its fields is set.
type Command struct {
	Time         types.ClusterTime `json:"tick"`
	WallOffset   *types.WallTime   `json:"off,omitempty"`
	Table        *config.Table     `json:"table,omitempty"`
	Job          *Submission       `json:"job,omitempty"`
	Cancel       types.JobID       `json:"cancel,omitempty"`
	Assignments  []Assignment      `json:"legs,omitempty"`
	Ends         []AttemptEnd      `json:"ends,omitempty"`
	WorkerShapes []WorkerShape     `json:"shapes,omitempty"`
	Withdrawals  []Withdrawal      `json:"backs,omitempty"`
	Drain        *Drain            `json:"drain,omitempty"`
	Calendar     *Calendar         `json:"plan,omitempty"`
	ExitedWorker types.Shard       `json:"gone,omitempty"`
}

// Submission is a job handed in under an id.
type Submission struct {
	ID   types.JobID `json:"id"`
	Spec Spec        `json:"spec"`
}

// Assignment is an attempt number given out, and for which worker.
type Assignment struct {
	ID    types.AttemptID `json:"leg"`
	Shard types.Shard     `json:"shard"`
	Hedge bool            `json:"copy,omitempty"` // beside another that is out
}

// AttemptEnd is how an attempt ended; Ref is what it saved, if it saves anything.
type AttemptEnd struct {
	ID         types.AttemptID `json:"leg"`
	Outcome    Outcome         `json:"fate"`
	Checkpoint string          `json:"ref,omitempty"`
}

// WorkerShape is what a worker is made of, kept so that a job that no worker could
// ever hold is told apart from one whose workers are away.
type WorkerShape struct {
	Shard     types.Shard         `json:"shard"`
	Rack      types.Rack          `json:"rack"`
	Kinds     []types.ServiceKind `json:"kinds"`
	Resources types.Resources     `json:"room"`

	Labels        []string `json:"labels,omitempty"`
	CalledByAgent bool     `json:"invoked,omitempty"` // it is called, rather than calling its agent
}

// Bounds on what is remembered in full of ended jobs.
const (
	EndedJobAge   = 30 * time.Minute
	EndedJobLimit = 20_000
)

// State is all of it: the head, the jobs and the marks of ended ones.
type State struct {
	header
	Jobs           map[types.JobID]*Job
	tombstones     tombstones
	liveJobs       map[types.JobID]*Job           // not over
	jobsInOrder    []*Job                         // the same, oldest first, some over
	usage          map[types.QueueName]queueUsage // what live jobs hold, a queue
	endedJobs      []*Job                         // over, oldest first
	snapshot       *snapshotWriter
	snapshotNumber uint64
}

// QueueCounts are a queue's sums since its first job.
type QueueCounts struct {
	Accepted          uint64 `json:"accepted"`
	Done              uint64 `json:"done"`
	Failed            uint64 `json:"failed"`
	Cancelled         uint64 `json:"cancelled"`
	FailedAttempts    uint64 `json:"legs_failed"`
	LostAttempts      uint64 `json:"legs_lost"`
	WithdrawnAttempts uint64 `json:"legs_taken_back"`
}

// New is the state before the first command.
func New() *State {
	s := &State{header: header{WorkerShapes: map[types.Shard]WorkerShape{}, QueueCounts: map[types.QueueName]*QueueCounts{}}, Jobs: map[types.JobID]*Job{}, tombstones: newTombstones()}
	s.buildIndexes()
	return s
}

func (s *State) buildIndexes() {
	s.liveJobs, s.usage, s.endedJobs, s.jobsInOrder = map[types.JobID]*Job{}, map[types.QueueName]queueUsage{}, nil, nil
	for id, j := range s.Jobs {
		if j.Ended() {
			s.endedJobs = append(s.endedJobs, j)
		} else {
			s.liveJobs[id], s.jobsInOrder = j, append(s.jobsInOrder, j)
			s.addUsage(j, 1)
		}
	}
	sort.Slice(s.endedJobs, func(i, k int) bool {
		a, b := s.endedJobs[i], s.endedJobs[k]
		return a.EndedAt < b.EndedAt || a.EndedAt == b.EndedAt && a.Seq < b.Seq
	})
	sort.Slice(s.jobsInOrder, func(i, k int) bool { return s.jobsInOrder[i].Seq < s.jobsInOrder[k].Seq })
}

// LiveJobs lists the jobs that are not over, oldest first.
func (s *State) LiveJobs() []*Job {
	live := s.jobsInOrder[:0]
	for _, j := range s.jobsInOrder {
		if !j.Ended() {
			live = append(live, j)
		}
	}
	s.jobsInOrder = live
	return live
}

// UnresolvedAttempts lists the attempts lost on a shard whose true ends are still awaited.
func (s *State) UnresolvedAttempts(shard types.Shard) (list []types.AttemptID) {
	for _, j := range s.LiveJobs() {
		for n, t := range j.Tasks {
			if t.UnresolvedOn == shard && t.Primary == nil {
				list = append(list, types.AttemptID{TaskID: types.TaskID{Job: j.ID, Number: j.Spec.TaskNumber(n)}, Attempt: t.LastAttempt})
			}
		}
	}
	return
}

// Apply takes a fact. The fault is the answer to whoever proposed it; attempts are
// those that were really given out.
func (s *State) Apply(command Command) (assigned []Assignment, refusal *apierror.Error) {
	s.Time = max(s.Time, command.Time)
	if command.WallOffset != nil {
		s.WallOffset = *command.WallOffset
	}
	switch {
	case command.Table != nil:
		refusal = s.CheckTable(*command.Table)
		if refusal == nil && !s.IsRepeat(*command.Table) {
			s.keepRemovedQueues(s.Table, *command.Table)
			s.Table = command.Table.Accepted()
			s.History.add(changeOf(*command.Table))
			s.failExhaustedTasks()
		}
	case command.Job != nil:
		refusal = s.accept(*command.Job)
	case command.Cancel != "":
		refusal = s.cancel(command.Cancel)
	case command.Drain != nil:
		refusal = s.applyDrain(*command.Drain)
	case command.Calendar != nil:
		refusal = s.applyCalendar(*command.Calendar)
	case command.ExitedWorker != "":
		for _, id := range s.UnresolvedAttempts(command.ExitedWorker) {
			s.applyEnd(AttemptEnd{ID: id, Outcome: OutcomeWorkerExited})
		}
	}
	for _, withdrawal := range command.Withdrawals {
		s.withdraw(withdrawal)
	}
	assigned = s.assign(command.Assignments)
	for _, end := range command.Ends {
		s.applyEnd(end)
	}
	for _, shape := range command.WorkerShapes {
		s.WorkerShapes[shape.Shard] = shape
	}
	s.expireEndedJobs()
	return
}

// assign hands out attempts; a gang of a joint step is given whole or not at all.
func (s *State) assign(list []Assignment) (assigned []Assignment) {
	type jobStage struct {
		job types.JobID
		at  types.Stage
	}
	assignable := map[jobStage]int{}
	for _, assignment := range list {
		if j := s.liveJobs[assignment.ID.Job]; j != nil && j.canAssign(j.Task(assignment.ID.Number), s.effectiveQueueConfig(j.Queue), s.Time) {
			assignable[jobStage{j.ID, types.StageOf(assignment.ID.Number)}]++
		}
	}
	for _, assignment := range list {
		j := s.liveJobs[assignment.ID.Job]
		if j == nil || j.Task(assignment.ID.Number) == nil {
			continue
		}
		stage := types.StageOf(assignment.ID.Number)
		if step := j.Spec.Steps[stage.Step()]; step.Joint && assignable[jobStage{j.ID, stage}] < step.Tasks {
			continue
		}
		s.beforeChange(j)
		queue, ok := s.effectiveQueueConfig(j.Queue), false
		if assignment.Hedge {
			ok = j.assignHedge(assignment.ID.Number, assignment.Shard, queue, s.Time)
		} else {
			ok = j.assign(assignment.ID.Number, assignment.ID.Attempt, assignment.Shard, queue, s.Time)
		}
		if ok {
			assignment.ID.Attempt = j.Task(assignment.ID.Number).LastAttempt
			assigned = append(assigned, assignment)
		}
	}
	return
}

func (s *State) accept(submission Submission) *apierror.Error {
	known, refusal := s.CheckJob(submission.ID, submission.Spec)
	if known != nil || refusal != nil {
		return refusal
	}
	s.LastSeq++
	j := &Job{ID: submission.ID, Seq: s.LastSeq, Hash: submission.Spec.Hash(), Queue: submission.Spec.Queue, AcceptedAt: s.Time, AcceptedWallTime: types.WallTime(s.Time) + s.WallOffset,
		Status: JobOpen, Spec: &submission.Spec, TaskCount: submission.Spec.TotalTasks(), ApproxBytes: submission.Spec.ApproxBytes()}
	j.Tasks = make([]Task, j.TaskCount)
	s.Jobs[submission.ID], s.liveJobs[submission.ID], s.jobsInOrder = j, j, append(s.jobsInOrder, j)
	j.snapshotNumber = s.snapshotNumber // what began before it does not have it
	s.addUsage(j, 1)
	s.queueCounts(j.Queue).Accepted++
	return nil
}

func (s *State) queueCounts(queue types.QueueName) *QueueCounts {
	c := s.QueueCounts[queue]
	if c == nil {
		c = &QueueCounts{}
		s.QueueCounts[queue] = c
	}
	return c
}

func (s *State) cancel(id types.JobID) *apierror.Error {
	repeat, refusal := s.CheckCancel(id)
	if repeat || refusal != nil {
		return refusal
	}
	j := s.Jobs[id]
	s.beforeChange(j)
	j.CancelRequested, j.Reason = true, "cancelled"
	j.updateStatus(s.Time)
	s.closeIfEnded(j)
	return nil
}

func (s *State) applyEnd(e AttemptEnd) {
	j := s.liveJobs[e.ID.Job]
	if j == nil {
		return
	}
	switch c := s.queueCounts(j.Queue); {
	case e.Outcome == OutcomeFailed:
		c.FailedAttempts++
	case e.Outcome.unresolved() || e.Outcome == OutcomeWorkerExited:
		c.LostAttempts++
	}
	s.beforeChange(j)
	j.applyEnd(e, s.effectiveQueueConfig(j.Queue), s.Time)
	s.closeIfEnded(j)
}

// QueueConfig is the row that a queue's jobs go by: the table's, or the last one of a
// queue that was left out while it had unfinished jobs.
func (s *State) QueueConfig(name types.QueueName) (queue config.Queue, ok bool) {
	if queue, ok = s.Table.FindQueue(name); !ok {
		queue, ok = s.RemovedQueues[name]
	}
	return
}

func (s *State) effectiveQueueConfig(name types.QueueName) config.Queue {
	queue, ok := s.QueueConfig(name)
	if !ok {
		queue.MaxFailures = 1
	}
	return queue
}

// keepRemovedQueues keeps the rows of queues that have unfinished jobs and are not in the
// new table.
func (s *State) keepRemovedQueues(old, next config.Table) {
	removed := maps.Clone(s.RemovedQueues)
	if removed == nil {
		removed = map[types.QueueName]config.Queue{}
	}
	for _, queue := range old.Queues {
		removed[queue.Name] = queue
	}
	for name := range removed {
		if _, ok := next.FindQueue(name); ok || s.usage[name].jobs == 0 {
			delete(removed, name)
		}
	}
	s.RemovedQueues = removed
}

// failExhaustedTasks ends what a new table leaves no try.
func (s *State) failExhaustedTasks() {
	for _, j := range s.LiveJobs() {
		if j.Status != JobOpen {
			continue
		}
		s.beforeChange(j)
		for n := range j.Tasks {
			j.failIfExhausted(&j.Tasks[n], s.effectiveQueueConfig(j.Queue))
		}
		j.updateStatus(s.Time)
		s.closeIfEnded(j)
	}
}

// closeIfEnded moves a job that is over from the live ones to the remembered.
func (s *State) closeIfEnded(j *Job) {
	if !j.Ended() || s.liveJobs[j.ID] == nil {
		return
	}
	delete(s.liveJobs, j.ID)
	s.addUsage(j, -1)
	s.endedJobs = append(s.endedJobs, j)
	c := s.queueCounts(j.Queue)
	switch j.Status {
	case JobDone:
		c.Done++
	case JobFailed:
		c.Failed++
	case JobCancelled:
		c.Cancelled++
	}
}

func (s *State) expireEndedJobs() {
	for len(s.endedJobs) > 0 && (len(s.endedJobs) > EndedJobLimit || s.Time.Sub(s.endedJobs[0].EndedAt) > EndedJobAge) {
		delete(s.Jobs, s.endedJobs[0].ID)
		s.tombstones.add(s.endedJobs[0])
		s.endedJobs = s.endedJobs[1:]
	}
	s.tombstones.expire(s.Time)
	if len(s.jobsInOrder) > 2*len(s.liveJobs)+1024 {
		s.LiveJobs()
	}
}

// Matches tells whether a worker has the kind of a step, and its rack and labels.
func (w WorkerShape) Matches(step Step) (kind, place bool) {
	place = step.Rack == "" || step.Rack == w.Rack
	for _, l := range step.Labels {
		place = place && slices.Contains(w.Labels, l)
	}
	return slices.Contains(w.Kinds, step.Kind), place
}
