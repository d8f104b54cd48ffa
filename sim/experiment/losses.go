package experiment

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// Cause is a reason for lost worth.
type Cause string

// Causes of lost worth. The loss of a late job is attributed to the delays on its longest chain of
// tasks, in proportion to their lengths.
const (
	CauseNotAccepted  Cause = "not accepted"
	CauseNotFinished  Cause = "not finished"
	CauseSubmission   Cause = "handing in"    // from the first submission to the acceptance
	CauseWaiting      Cause = "waiting"       // for the scheduler to learn of a task's end, and for capacity
	CauseLostAttempts Cause = "lost attempts" // earlier attempts of the task that did not succeed
	CauseSlowWorker   Cause = "slow worker"   // excess of the run time over the nominal duration
	CauseRemoteData   Cause = "remote data"   // the same, on a rack without the task's data
)

// taskRun summarizes the attempts of one task.
type taskRun struct {
	startedAt, endedAt int64         // of the first successful attempt
	shard              types.Shard   // shard of that attempt's worker
	unsuccessfulTime   time.Duration // total duration of the attempts before it
}

// losses sums lost worth by cause.
type losses map[Cause]float64

// add attributes the lost worth of a job to its causes.
func (l losses) add(job *jobRecord, lost float64, racks map[types.Shard]types.Rack) {
	switch {
	case lost <= 0:
	case !job.accepted:
		l[CauseNotAccepted] += lost
	case len(job.unfinished) > 0:
		l[CauseNotFinished] += lost
	default:
		l.addLateJob(job, lost, racks)
	}
}

// addLateJob divides the lost worth of a late job among the delays on its longest chain of tasks.
func (l losses) addLateJob(job *jobRecord, lost float64, racks map[types.Shard]types.Rack) {
	delays := job.delays(racks)
	total := time.Duration(0)
	for _, delay := range delays {
		total += delay
	}
	for cause, delay := range delays {
		l[cause] += lost * float64(delay) / float64(max(1, total))
	}
}

// delays returns the delay of a job by cause. It follows the longest chain of tasks backwards, from
// the task that ended last to the submission.
func (j *jobRecord) delays(racks map[types.Shard]types.Rack) map[Cause]time.Duration {
	delays := map[Cause]time.Duration{}
	step, last := j.lastEnded(j.spec.Steps)
	for last != nil {
		j.addRunDelays(delays, step, last, racks)
		var dependencies []state.Step
		for _, other := range j.spec.Steps {
			if slices.Contains(step.DependsOn, other.Name) {
				dependencies = append(dependencies, other)
			}
		}
		readyAt := j.acceptedAt
		nextStep, next := j.lastEnded(dependencies)
		if next != nil {
			readyAt = max(readyAt, next.endedAt)
		}
		delays[CauseWaiting] += max(0, time.Duration(last.startedAt-readyAt)-last.unsuccessfulTime)
		step, last = nextStep, next
	}
	delays[CauseSubmission] += time.Duration(j.acceptedAt - j.submittedAt)
	return delays
}

// addRunDelays adds the excess of a task's run time over its nominal duration, which holds for a
// worker of usual speed on the rack of the data, and the duration of its earlier attempts.
func (j *jobRecord) addRunDelays(
	delays map[Cause]time.Duration, step state.Step, run *taskRun, racks map[types.Shard]types.Rack,
) {
	delays[CauseLostAttempts] += run.unsuccessfulTime
	usual := time.Duration(workOf(&step).DurationMS) * time.Millisecond
	cause := CauseSlowWorker
	if step.DataRack != "" && racks[run.shard] != step.DataRack {
		cause = CauseRemoteData
	}
	delays[cause] += max(0, time.Duration(run.endedAt-run.startedAt)-usual)
}

// lastEnded returns the task of the given steps that ended last and its step, or nil if none has ended.
func (j *jobRecord) lastEnded(steps []state.Step) (state.Step, *taskRun) {
	var lastStep state.Step
	var last *taskRun
	for i := range steps {
		index := slices.IndexFunc(j.spec.Steps, func(s state.Step) bool { return s.Name == steps[i].Name })
		for task := range requiredTaskEnds(&steps[i]) {
			run := j.runs[types.TaskNumber(0, index, task)]
			if run != nil && (last == nil || run.endedAt > last.endedAt) {
				lastStep, last = steps[i], run
			}
		}
	}
	return lastStep, last
}

// recordRun adds an ended attempt to the runs that delays evaluates.
func (j *jobRecord) recordRun(start, end history.Event, taskNumber int) {
	run := j.runs[taskNumber]
	if run == nil {
		run = &taskRun{}
		j.runs[taskNumber] = run
	}
	switch {
	case run.endedAt > 0 || start.Kind == "":
	case end.EndReason == wire.EndSucceeded:
		run.startedAt, run.endedAt, run.shard = start.At, end.At, end.Shard
	default:
		run.unsuccessfulTime += time.Duration(end.At - start.At)
	}
}

// Loss is the fraction of the attainable worth that was lost to one cause.
type Loss struct {
	Cause    Cause   `json:"cause"`
	Fraction float64 `json:"part"`
}

// sorted returns the losses as fractions of the attainable worth, largest first.
func (l losses) sorted(attainable float64) []Loss {
	var list []Loss
	for cause, lost := range l {
		list = append(list, Loss{cause, lost / max(attainable, 1e-9)})
	}
	slices.SortFunc(list, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Fraction, a.Fraction), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}
