// How long tasks take, learned from the log by every controller, so that a new leader
// knows what the last one did. A job's own estimate is only as good as those of its
// queue have been: it and the queue's mean are weighed by how far each was off.
package controller

import (
	"maps"
	"math"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// queueDurations is what is known of the steps of a queue: the mean of the logarithms of
// their tasks' times, how far the times lie from it, and how far the estimates do.
type queueDurations struct {
	weight        float64 // steps, with those long past left out
	meanLog       float64
	variance      float64
	estimateError float64
}

const (
	maxStepWeight      = 64   // steps that count
	priorEstimateError = 0.25 // how far estimates are taken to be off before anything is known
	priorVariance      = 1.0  // and how far times are from their mean
	priorWeight        = 4    // steps that this counts for
)

// record takes what a task took, as a part of its step.
func (q *queueDurations) record(took, estimate time.Duration, share float64) {
	x := math.Log(max(took, time.Millisecond).Seconds())
	q.weight = min(maxStepWeight, q.weight+share)
	gain := min(1, share/q.weight)
	deviation := x - q.meanLog
	q.meanLog += gain * deviation
	q.variance += gain * (deviation*(x-q.meanLog) - q.variance)
	if estimate > 0 {
		off := x - math.Log(estimate.Seconds())
		q.estimateError += gain * (off*off - q.estimateError)
	}
}

// expected weighs a step's own estimate, or 0, against the mean.
func (q *queueDurations) expected(estimate time.Duration) time.Duration {
	switch {
	case q == nil || q.weight < 1:
		return estimate
	case estimate <= 0:
		return time.Duration(math.Exp(q.meanLog) * float64(time.Second))
	}
	evidence := q.weight / (q.weight + priorWeight)
	variance, estimateError := priorVariance+evidence*(q.variance-priorVariance), priorEstimateError+evidence*(q.estimateError-priorEstimateError)
	trust := variance / (variance + estimateError + 1e-6)
	return time.Duration(math.Exp(q.meanLog+trust*(math.Log(estimate.Seconds())-q.meanLog)) * float64(time.Second))
}

// stepDurations is what the tasks of a step have taken so far.
type stepDurations struct {
	sumOfLogs float64
	count     float64
}

// recordDurations takes the good ends of a fact that is about to be applied.
func (co *Controller) recordDurations(f state.Command) {
	if len(co.jobDurations) > 2*len(co.log.state().LiveJobs())+64 {
		maps.DeleteFunc(co.jobDurations, func(id types.JobID, _ []stepDurations) bool {
			j := co.log.state().Jobs[id]
			return j == nil || j.Ended()
		})
	}
	for _, e := range f.Ends {
		j := co.log.state().Jobs[e.ID.Job]
		if e.Outcome != state.OutcomeOK || j == nil || j.Ended() {
			continue
		}
		t := j.Task(e.ID.Number)
		if t == nil || t.Done || t.FindOutstanding(e.ID.Attempt) == nil {
			continue
		}
		step := types.StageOf(e.ID.Number).Step()
		p := &j.Spec.Steps[step]
		took := max(time.Millisecond, f.Time.Sub(t.FindOutstanding(e.ID.Attempt).AssignedAt))
		durations := co.queueDurations[j.Queue]
		if durations == nil {
			durations = &queueDurations{}
			co.queueDurations[j.Queue] = durations
		}
		share := 1 / float64(p.Tasks)
		if p.Joint {
			share = 1 // one end stands for all
		}
		durations.record(took, time.Duration(p.EstimateMillis)*time.Millisecond, share)
		c := co.jobDurations[j.ID]
		if c == nil {
			c = make([]stepDurations, len(j.Spec.Steps))
			co.jobDurations[j.ID] = c
		}
		c[step].sumOfLogs += math.Log(took.Seconds())
		c[step].count++
	}
}

// expectedDuration is how long a task of a step is expected to take.
func (co *Controller) expectedDuration(j *state.Job, step int) time.Duration {
	if c := co.jobDurations[j.ID]; c != nil && c[step].count > 0 {
		return time.Duration(math.Exp(c[step].sumOfLogs/c[step].count) * float64(time.Second))
	}
	if co.scheduler != nil {
		if d, ok := co.scheduler.StageDuration(j.ID, step); ok {
			return d
		}
	}
	return co.queueDurations[j.Queue].expected(time.Duration(j.Spec.Steps[step].EstimateMillis) * time.Millisecond)
}
