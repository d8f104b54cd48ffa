package controller

import (
	"maps"
	"math"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	maxEvidenceSteps   = 64   // window of the moving averages, in steps
	priorEstimateError = 0.25 // prior variance of a job's own estimate (of the logarithm)
	priorVariance      = 1.0  // prior variance of the durations (of the logarithm)
	priorSteps         = 4    // weight of both priors, in steps
	minVariance        = 1e-6 // keeps the weights finite

	// jobDurationsSlack is how many jobs beyond twice the live ones may be kept before
	// those that have ended are dropped.
	jobDurationsSlack = 64
)

// durationEstimates is how long tasks take beside their data, learned from the committed ends
// of attempts.
// Every controller keeps it, so that a new leader knows what the last one did. All is in
// logarithms: durations differ by factors.
type durationEstimates struct {
	queues map[types.QueueName]*queueDurations
	jobs   map[types.JobID][]stepDurations // by step, of jobs that have not ended

	locality locality
}

// queueDurations describes the tasks of a queue, each step of a job counting once. A job's
// own estimates are only as good as those of its queue have been: estimate and mean are
// weighted by how far each was off.
type queueDurations struct {
	steps         float64 // steps counted, with the older ones discounted
	meanLog       float64
	variance      float64 // of the logarithms
	estimateError float64 // mean square of how far the jobs' own estimates were off
}

// stepDurations sums up the tasks of one step that have ended.
type stepDurations struct {
	sumOfLogs float64
	count     float64
}

func newDurationEstimates(l locality) *durationEstimates {
	return &durationEstimates{
		locality: l,
		queues:   map[types.QueueName]*queueDurations{},
		jobs:     map[types.JobID][]stepDurations{},
	}
}

// record learns from the successful ends in a command that is about to be applied to a
// state, which still knows when the attempts began.
func (d *durationEstimates) record(s *state.State, command state.Command) {
	d.dropEnded(s)
	for _, end := range command.Ends {
		j := s.Jobs[end.ID.Job]
		if end.Outcome != state.OutcomeOK || j == nil || j.Ended() {
			continue
		}
		task := j.Task(end.ID.TaskNumber)
		if task == nil || task.Done {
			continue
		}
		attempt := task.FindOutstanding(end.ID.Attempt)
		if attempt == nil {
			continue
		}
		step := types.StageOf(end.ID.TaskNumber).Step()
		factor := d.locality.factor(s, &j.Spec.Steps[step], attempt.Shard)
		took := time.Duration(float64(command.Time.Sub(attempt.AssignedAt)) / factor)
		d.recordTask(j, step, max(time.Millisecond, took))
	}
}

// recordTask learns how long a task of a step took.
func (d *durationEstimates) recordTask(j *state.Job, step int, took time.Duration) {
	spec := &j.Spec.Steps[step]
	queue := d.queues[j.Queue]
	if queue == nil {
		queue = &queueDurations{}
		d.queues[j.Queue] = queue
	}
	share := 1 / float64(spec.Tasks)
	if spec.Joint {
		share = 1 // one end stands for all tasks
	}
	queue.record(took, estimateOf(spec), share)

	steps := d.jobs[j.ID]
	if steps == nil {
		steps = make([]stepDurations, len(j.Spec.Steps))
		d.jobs[j.ID] = steps
	}
	steps[step].sumOfLogs += math.Log(took.Seconds())
	steps[step].count++
}

// dropEnded forgets jobs that have ended unnoticed, as those of a state that a snapshot
// replaced, once they are many.
func (d *durationEstimates) dropEnded(s *state.State) {
	if len(d.jobs) <= 2*len(s.LiveJobs())+jobDurationsSlack {
		return
	}
	maps.DeleteFunc(d.jobs, func(id types.JobID, _ []stepDurations) bool {
		j := s.Jobs[id]
		return j == nil || j.Ended()
	})
}

// jobEnded forgets the steps of a job.
func (d *durationEstimates) jobEnded(id types.JobID) { delete(d.jobs, id) }

// ofStep returns the mean duration of a step's tasks, or false if none has ended.
func (d *durationEstimates) ofStep(j *state.Job, step int) (time.Duration, bool) {
	steps := d.jobs[j.ID]
	if steps == nil || steps[step].count == 0 {
		return 0, false
	}
	return fromLogSeconds(steps[step].sumOfLogs / steps[step].count), true
}

// ofQueue returns how long a task of a step is expected to take by what is known of its
// queue and by the step's own estimate; 0 if there is neither.
func (d *durationEstimates) ofQueue(j *state.Job, step int) time.Duration {
	return d.queues[j.Queue].expected(estimateOf(&j.Spec.Steps[step]))
}

// record learns from a task that took so long and is a share of its step (1 for a whole
// step). estimate is the step's own, or 0.
func (q *queueDurations) record(took, estimate time.Duration, share float64) {
	logTook := math.Log(max(took, time.Millisecond).Seconds())
	q.steps = min(maxEvidenceSteps, q.steps+share)
	gain := min(1, share/q.steps)
	deviation := logTook - q.meanLog
	q.meanLog += gain * deviation
	q.variance += gain * (deviation*(logTook-q.meanLog) - q.variance)
	if estimate > 0 {
		off := logTook - math.Log(estimate.Seconds())
		q.estimateError += gain * (off*off - q.estimateError)
	}
}

// expected weighs a step's own estimate, or 0, against the queue's mean.
func (q *queueDurations) expected(estimate time.Duration) time.Duration {
	switch {
	case q == nil || q.steps < 1:
		return estimate
	case estimate <= 0:
		return fromLogSeconds(q.meanLog)
	}
	evidence := q.steps / (q.steps + priorSteps)
	variance := priorVariance + evidence*(q.variance-priorVariance)
	estimateError := priorEstimateError + evidence*(q.estimateError-priorEstimateError)
	trust := variance / (variance + estimateError + minVariance)
	return fromLogSeconds(q.meanLog + trust*(math.Log(estimate.Seconds())-q.meanLog))
}

// estimateOf returns a step's own estimate of its tasks' duration, or 0.
func estimateOf(step *state.Step) time.Duration {
	return time.Duration(step.EstimateMillis) * time.Millisecond
}

// fromLogSeconds returns the duration whose seconds have a logarithm.
func fromLogSeconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
