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
	minVariance        = 1e-6 // keeps the weight finite

	// jobDurationsSlack is how many jobs beyond twice the number of live jobs may be kept before
	// ended jobs are dropped.
	jobDurationsSlack = 64
)

// durationEstimates estimates how long tasks take in the rack of their data, from the committed
// ends of attempts. Every controller maintains the estimates, so that a new leader has the same
// ones as its predecessor. They use logarithms because durations differ by factors.
type durationEstimates struct {
	queues map[types.QueueName]*queueDurations
	jobs   map[types.JobID][]stepDurations // by step, of jobs that have not ended

	locality locality
}

// queueDurations summarizes the task durations of a queue, in which each step of a job counts once.
// A job's own estimate is trusted only as far as earlier estimates in its queue were accurate:
// estimate and mean are weighted by their errors.
type queueDurations struct {
	steps         float64 // number of steps, bounded so that older ones are discounted
	meanLog       float64
	variance      float64 // of the logarithms
	estimateError float64 // mean square error of the jobs' own estimates (of the logarithm)
}

// stepDurations sums up the durations of the ended tasks of one step.
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

// record adds the successful ends in a command. It is called before the command is applied, while
// the state still has the assignment times of the attempts.
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

// recordTask adds the duration of a task of a step.
func (d *durationEstimates) recordTask(j *state.Job, step int, took time.Duration) {
	spec := &j.Spec.Steps[step]
	queue := d.queues[j.Queue]
	if queue == nil {
		queue = &queueDurations{}
		d.queues[j.Queue] = queue
	}
	share := 1 / float64(spec.Tasks)
	if spec.Joint {
		share = 1 // one end covers all tasks
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

// dropEnded drops jobs for which jobEnded was not called, such as jobs of a state that a snapshot
// replaced. It does so only when there are many, see jobDurationsSlack.
func (d *durationEstimates) dropEnded(s *state.State) {
	if len(d.jobs) <= 2*len(s.LiveJobs())+jobDurationsSlack {
		return
	}
	maps.DeleteFunc(d.jobs, func(id types.JobID, _ []stepDurations) bool {
		j := s.Jobs[id]
		return j == nil || j.Ended()
	})
}

// jobEnded drops the durations of a job.
func (d *durationEstimates) jobEnded(id types.JobID) { delete(d.jobs, id) }

// ofStep returns the mean duration of a step's tasks, or false if none has ended.
func (d *durationEstimates) ofStep(j *state.Job, step int) (time.Duration, bool) {
	steps := d.jobs[j.ID]
	if steps == nil || steps[step].count == 0 {
		return 0, false
	}
	return fromLogSeconds(steps[step].sumOfLogs / steps[step].count), true
}

// ofQueue returns the expected duration of a task of a step, from the durations of its queue and
// the step's own estimate; 0 if there is neither.
func (d *durationEstimates) ofQueue(j *state.Job, step int) time.Duration {
	return d.queues[j.Queue].expected(estimateOf(&j.Spec.Steps[step]))
}

// record adds the duration of a task that is the given share of its step (1 for a whole step).
// estimate is the step's own, or 0.
func (q *queueDurations) record(took, estimate time.Duration, share float64) {
	logTook := math.Log(max(took, time.Millisecond).Seconds())
	q.steps = min(maxEvidenceSteps, q.steps+share)
	gain := min(1, share/q.steps)
	deviation := logTook - q.meanLog
	q.meanLog += gain * deviation
	q.variance += gain * (deviation*(logTook-q.meanLog) - q.variance)
	if estimate > 0 {
		logError := logTook - math.Log(estimate.Seconds())
		q.estimateError += gain * (logError*logError - q.estimateError)
	}
}

// expected combines a step's own estimate, 0 if there is none, with the queue's mean.
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
	weight := variance / (variance + estimateError + minVariance)
	return fromLogSeconds(q.meanLog + weight*(math.Log(estimate.Seconds())-q.meanLog))
}

// estimateOf returns a step's own estimate of its tasks' duration, or 0.
func estimateOf(step *state.Step) time.Duration {
	return time.Duration(step.EstimateMillis) * time.Millisecond
}

// fromLogSeconds converts the logarithm of a number of seconds to a duration.
func fromLogSeconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
