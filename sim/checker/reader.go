package checker

import (
	"strings"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

// reader fills a checker from the events of its history.
type reader struct {
	*checker
	live        map[string]map[types.AttemptID]*execution // by worker process
	pausedSince map[string]int64                          // by worker process
}

func newReader(c *checker) *reader {
	return &reader{c, map[string]map[types.AttemptID]*execution{}, map[string]int64{}}
}

func (r *reader) readAll() {
	for _, event := range r.history.Events {
		r.readAttempt(event)
		r.readWorker(event)
		r.readJob(event)
		if event.Kind == history.DaemonStopped {
			r.stoppedAt[event.Process] = append(r.stoppedAt[event.Process], event.At)
		}
	}
}

// job returns what is known of a job, which may be nothing yet.
func (r *reader) job(id types.JobID) *jobHistory {
	job := r.jobs[id]
	if job == nil {
		job = &jobHistory{id: id, executions: map[int][]*execution{}}
		r.jobs[id] = job
	}
	return job
}

// executionsOf returns the executions of an attempt: several if it was started twice.
func (r *reader) executionsOf(id types.AttemptID) []*execution {
	var list []*execution
	for _, e := range r.job(id.Job).executions[id.TaskNumber] {
		if e.attempt == id {
			list = append(list, e)
		}
	}
	return list
}

// readAttempt takes the events of attempts and of their ends.
func (r *reader) readAttempt(event history.Event) {
	switch event.Kind {
	case history.AttemptStarted:
		r.startExecution(event)
	case history.AttemptEnded:
		if e := r.live[event.Process][event.Attempt]; e != nil {
			e.endReason = event.EndReason
			r.endExecution(e, event.At, event.Outcome)
		}
	case history.EndSettled:
		for _, e := range r.executionsOf(event.Attempt) {
			if e.process == event.Process {
				e.settledAt = event.At
			}
		}
	case history.EndAcknowledged:
		for _, e := range r.executionsOf(event.Attempt) {
			if e.acknowledgedAt == 0 {
				e.acknowledgedAt = event.At
			}
		}
	case history.EndReported:
		for _, e := range r.executionsOf(event.Attempt) {
			e.reports = append(e.reports, endReport{event.Process, event.At})
		}
	}
}

func (r *reader) startExecution(event history.Event) {
	e := &execution{
		attempt:       event.Attempt,
		process:       event.Process,
		shard:         event.Shard,
		startedAt:     event.At,
		endedAt:       r.end,
		checkpoint:    event.Checkpoint,
		work:          event.Work,
		deliveredLate: event.DeliveredLate,
	}
	if r.live[event.Process] == nil {
		r.live[event.Process] = map[types.AttemptID]*execution{}
	}
	r.live[event.Process][event.Attempt] = e
	r.executions = append(r.executions, e)
	job, task := r.job(event.Attempt.Job), event.Attempt.TaskNumber
	job.executions[task] = append(job.executions[task], e)
}

func (r *reader) endExecution(e *execution, at int64, outcome state.Outcome) {
	e.endedAt, e.outcome = at, outcome
	delete(r.live[e.process], e.attempt)
}

// readWorker takes the events of workers and of their drains.
func (r *reader) readWorker(event history.Event) {
	switch event.Kind {
	case history.WorkerStaying:
		if event.Worker != nil {
			r.workers[event.Shard] = event.Worker
		}
		if list := r.down[event.Shard]; len(list) > 0 && list[len(list)-1].to == r.end {
			list[len(list)-1].to = event.At
		}
		if list := r.leaving[event.Shard]; len(list) > 0 && list[len(list)-1].to == r.end {
			list[len(list)-1].to = event.At
		}
	case history.WorkerLeaving:
		r.leaving[event.Shard] = append(r.leaving[event.Shard], interval{event.At, r.end})
	case history.WorkerRemoved:
		r.countRemoval(event)
	case history.WorkerDied:
		r.down[event.Shard] = append(r.down[event.Shard], interval{event.At, r.end})
		r.endExecutionsOf(event)
	case history.WorkerPaused:
		r.pausedSince[event.Process] = event.At
	case history.WorkerResumed:
		for _, e := range r.live[event.Process] {
			e.pausedDuring = append(e.pausedDuring, interval{r.pausedSince[event.Process], event.At})
		}
		delete(r.pausedSince, event.Process)
	case history.DrainAccepted, history.DrainRemovalStarted:
		r.readDrain(event)
	}
}

// endExecutionsOf ends all that ran on a process.
func (r *reader) endExecutionsOf(event history.Event) {
	for _, e := range r.live[event.Process] {
		if since, ok := r.pausedSince[event.Process]; ok {
			e.pausedDuring = append(e.pausedDuring, interval{since, event.At})
		}
		r.endExecution(e, event.At, state.OutcomeWorkerExited)
	}
	delete(r.pausedSince, event.Process)
	for _, e := range r.executions {
		if e.process == event.Process {
			e.workerDiedAt = event.At
		}
	}
}

// losslessNotice is the notice with which a worker's removal need cost no attempt.
const losslessNotice = 2500 * time.Millisecond

// countRemoval counts the attempts that the removal of a worker cost which had announced
// it in time.
func (r *reader) countRemoval(event history.Event) {
	if notice, err := time.ParseDuration(event.Text); err == nil && notice >= losslessNotice {
		r.coverage["removed: workers removed with notice"]++
		r.coverage["removed: attempts lost by that"] += len(r.live[event.Process])
	}
}

// readDrain begins or ends the drain of a worker or of a rack.
func (r *reader) readDrain(event history.Event) {
	kind, name, _ := strings.Cut(event.Text, "/")
	for shard, worker := range r.workers {
		if kind == "racks" && string(worker.Rack) != name || kind == "workers" && string(shard) != name {
			continue
		}
		list := r.draining[shard]
		if event.Kind == history.DrainAccepted {
			r.coverage["leaving: a drain accepted"]++
			r.draining[shard] = append(list, interval{event.At, r.end})
			continue
		}
		for i := range list {
			list[i].to = min(list[i].to, event.At)
		}
	}
}

// readJob takes what callers did and were answered.
func (r *reader) readJob(event history.Event) {
	switch event.Kind {
	case history.JobSubmitted:
		job := r.job(event.Job)
		job.spec, job.submittedAt = event.Spec, event.At
	case history.JobAccepted:
		if job := r.job(event.Job); job.acceptedAt == 0 {
			job.acceptedAt = event.At
		}
	case history.SubmissionRejected, history.JobRejected:
		r.job(event.Job).rejections++
	case history.SubmissionIndeterminate:
		r.job(event.Job).unresolved++
	case history.CancelSubmitted:
		r.job(event.Job).cancelSentAt = event.At
	case history.CancelAccepted:
		if job := r.job(event.Job); job.cancelledAt == 0 {
			job.cancelledAt = event.At
		}
	case history.JobObserved:
		job := r.job(event.Job)
		job.observations = append(job.observations, event)
	case history.JobNotFound:
		r.job(event.Job).notFoundAt = event.At
	}
}
