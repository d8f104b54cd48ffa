package controller

import (
	"math"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/placement"
	"coppercourse/internal/policy"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	lateTargetFactor = 3  // a job loses its value at this multiple of its latency target
	targetTolerance  = 8  // a job is on target if it is late by less than target/targetTolerance
	maxJobValue      = 4  // upper bound of a job's value, relative to the mean job of its queue
	meanGain         = 16 // a new job has weight 1/meanGain in the means of its queue

	minMeanWork      = 0.001 // core-seconds; keeps the ratio to the mean finite
	minRemainingWork = 0.01  // core-seconds, added to a job's remaining work to keep its tardiness cost finite

	baseValue        = 0.3   // fraction of the mean job's value that is independent of its work
	onTargetFraction = 0.7   // fraction of a job's value that is lost when it is late
	lateFraction     = 0.3   // fraction that is lost when it reaches lateTargetFactor times its target
	missedFraction   = 0.001 // fraction that remains after that

	// slackDecaySeconds is the time constant of the tardiness cost: each additional
	// slackDecaySeconds of slack divide it by e.
	slackDecaySeconds = 1.0

	deferrableSlackPercent    = 40 // of its target: a job with more slack than that is deferrable
	deferrableHeadroomPercent = 92 // of all cores: bound on the headroom that long tasks of deferrable jobs leave
	longTaskHeadroomPercent   = 75 // of all cores: bound on the headroom that long tasks of other jobs leave
)

// jobRanking ranks the jobs of queues with a latency target by apparent tardiness cost
// (Vepsalainen and Morton, 1987): the value at stake per remaining work, which decreases
// exponentially with the slack. Durations of steps are estimates.
type jobRanking struct {
	meanWork        map[types.QueueName]float64 // core-seconds of a queue's mean job
	meanTaskSeconds map[types.QueueName]float64 // of the first steps of a queue's jobs
	policy          policy.Policy
}

// jobRank is the placement rank of a waiting job.
type jobRank struct {
	class           placement.TargetClass // whether the job can still meet its latency target
	sortKey         float64               // within the class; the lowest goes first
	headroomPercent int                   // of all cores; bound on the headroom left to more urgent queues
}

func newJobRanking(p policy.Policy) jobRanking {
	return jobRanking{
		meanWork:        map[types.QueueName]float64{},
		meanTaskSeconds: map[types.QueueName]float64{},
		policy:          p,
	}
}

// recordJob adds a new job to the means of its queue.
func (r *jobRanking) recordJob(v *leaderView, j *state.Job) {
	work := 0.0
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		work += float64(step.Tasks) * taskWork(step, v.expectedDuration(j, i))
	}
	if len(j.Spec.Steps) > 0 && !j.Spec.Steps[0].AlwaysRestart {
		updateMean(r.meanTaskSeconds, j.Queue, v.expectedDuration(j, 0).Seconds())
	}
	updateMean(r.meanWork, j.Queue, work)
}

// updateMean adds a value to a queue's moving average, which starts at the first value.
func updateMean(means map[types.QueueName]float64, queue types.QueueName, value float64) {
	if mean, ok := means[queue]; ok {
		value = mean + (value-mean)/meanGain
	}
	means[queue] = value
}

// taskWork returns the work of one task of a step, in core-seconds.
func taskWork(step *state.Step, duration time.Duration) float64 {
	return duration.Seconds() * float64(step.Resources.Cores) / float64(types.Core)
}

// jobEstimate is what is expected of a job in one round; it is the same for all its stages.
type jobEstimate struct {
	durations     []time.Duration // of a task, by step
	paths         []time.Duration // of the longest chain of steps that starts with a step, by step
	remainingWork float64         // core-seconds
	totalWork     float64         // core-seconds
}

// estimate estimates a job. It returns nil for a queue without a latency target, for which rank
// needs no estimate.
func (r *jobRanking) estimate(v *leaderView, j *state.Job, queue config.Queue, ready *state.ReadyIndex) *jobEstimate {
	if !queue.HasLatencyTarget() {
		return nil
	}
	e := &jobEstimate{durations: make([]time.Duration, len(j.Spec.Steps))}
	for i := range j.Spec.Steps {
		e.durations[i] = v.expectedDuration(j, i)
		work := taskWork(&j.Spec.Steps[i], e.durations[i])
		e.remainingWork += float64(ready.RemainingTasks[i]) * work
		e.totalWork += float64(j.Spec.Steps[i].Tasks) * work
	}
	e.paths = j.StepGraph().LongestPaths(e.durations)
	return e
}

// rank ranks the ready tasks of one stage of a job.
func (r *jobRanking) rank(v *leaderView, j *state.Job, queue config.Queue, estimate *jobEstimate,
	stage state.ReadyStage) jobRank {
	rank := r.rankByTarget(v, j, queue, estimate, stage)
	if j.OverRate {
		return rank.demoted()
	}
	return rank
}

// rankByTarget ranks the ready tasks of one stage of a job by its queue's latency target.
func (r *jobRanking) rankByTarget(v *leaderView, j *state.Job, queue config.Queue, estimate *jobEstimate,
	stage state.ReadyStage) jobRank {
	if !queue.HasLatencyTarget() {
		return jobRank{class: placement.OnTarget}
	}
	value := r.jobValue(j.Queue, estimate.totalWork)
	step := stage.Stage.Step()
	if j.Spec.Steps[step].AlwaysRestart {
		return jobRank{class: placement.OnTarget, sortKey: -value / (1 + estimate.remainingWork)}
	}
	target := latencyTarget(queue, slices.Max(estimate.paths))
	slack := stage.ReadySince.Add(target).Sub(v.clock) - estimate.paths[step]
	class, lostValue, untilLost := r.classify(value, slack, target)
	rank := jobRank{
		class:           class,
		headroomPercent: r.headroom(v.state, j.Queue, queue, estimate.durations[step], slack, target),
	}
	if !r.policy.NoRanking {
		rank.sortKey = -tardinessCost(lostValue, estimate.remainingWork, untilLost)
	}
	return rank
}

// demoted returns the rank of a job over its tenant's rate, behind all jobs within their tenant's
// rate.
func (jr jobRank) demoted() jobRank {
	jr.class = placement.TargetMissed
	jr.sortKey *= missedFraction
	return jr
}

// jobValue returns the value of a job with the given work, relative to the mean job of its queue.
func (r *jobRanking) jobValue(queue types.QueueName, totalWork float64) float64 {
	if r.policy.NoJobValue {
		return 1
	}
	relativeWork := (1 - baseValue) * totalWork / max(r.meanWork[queue], minMeanWork)
	return min(maxJobValue, baseValue+relativeWork)
}

// latencyTarget returns the latency target of a queue's job, given the duration of its critical
// path. It is at most state.MaxPathDuration, of which small multiples do not overflow.
func latencyTarget(queue config.Queue, criticalPath time.Duration) time.Duration {
	margin := float64(queue.TargetMarginMillis) * float64(time.Millisecond)
	target := queue.TargetFactor*float64(criticalPath) + margin
	return time.Duration(min(target, float64(state.MaxPathDuration)))
}

// tardinessCost returns the gain of running a job now: the value that is lost otherwise per
// core-second of its remaining work, decreasing exponentially with the slack until the loss.
func tardinessCost(lostValue, remainingWork float64, slack time.Duration) float64 {
	return lostValue / (remainingWork + minRemainingWork) * math.Exp(-max(0, slack.Seconds())/slackDecaySeconds)
}

// classify returns whether a job can still meet its latency target with its slack, the value that
// is lost if it does not run now, and the slack until the loss.
func (r *jobRanking) classify(
	value float64, slack, target time.Duration,
) (placement.TargetClass, float64, time.Duration) {
	switch tooLate := slack + (lateTargetFactor-1)*target; {
	case slack > -target/targetTolerance || r.policy.NoTargetClasses: // the duration estimates are not more precise
		return placement.OnTarget, onTargetFraction * value, slack
	case tooLate > 0:
		return placement.Late, lateFraction * value, tooLate
	default:
		return placement.TargetMissed, missedFraction * value, 0
	}
}

// headroom returns the bound on the percentage of all cores that tasks leave free for more urgent
// queues: 0 for tasks short enough that these queues can wait for them.
func (r *jobRanking) headroom(s *state.State, name types.QueueName, queue config.Queue,
	task, slack, target time.Duration) int {
	switch {
	case r.policy.NoHeadroom || !r.outlastsUrgentQueues(s, name, queue, task):
		return 0
	case slack > target*deferrableSlackPercent/100:
		return deferrableHeadroomPercent
	default:
		return longTaskHeadroomPercent
	}
}

// outlastsUrgentQueues reports whether tasks take so long that jobs of a more urgent queue would
// lose all their value while waiting for them.
func (r *jobRanking) outlastsUrgentQueues(s *state.State, name types.QueueName, queue config.Queue,
	task time.Duration) bool {
	for _, other := range s.Table.Queues {
		mean, ok := r.meanTaskSeconds[other.Name]
		if !ok || other.Name == name || other.Priority >= queue.Priority {
			continue
		}
		target := other.TargetFactor*mean + float64(other.TargetMarginMillis)/1000
		if task.Seconds() > lateTargetFactor*target {
			return true
		}
	}
	return false
}
