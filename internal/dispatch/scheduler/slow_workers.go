package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// A worker counts as slow if its latest attempts take longer than others of their stages by more
// than tasks of a stage differ by chance. Each attempt counts once, with its latest duration, and is
// compared with the median of its stage as it is known at the review. The attempts of a stage that
// end first are its shortest, so a comparison with the earlier ends alone would make most attempts
// appear slow. What remains of this effect is common to all workers: a worker's mean is compared
// with the median of the workers' means.

const (
	// slowReviewInterval is the time between two reviews of the workers.
	slowReviewInterval = 250 * time.Millisecond
	// maxEvidence is how many of a worker's latest attempts are evidence.
	maxEvidence = 8
	// minEvidence is how many attempts a worker must have for a comparison.
	minEvidence = 2
	// evidenceRetention is how long the duration of an attempt is evidence.
	evidenceRetention = 10 * time.Second
	// minStageSamples is how many attempts of a stage are needed for a comparison with its median.
	minStageSamples = 3
	// maxDurationRatio bounds the ratio that one attempt contributes, and 1/maxDurationRatio is the
	// lower bound.
	maxDurationRatio = 10
	// slowThreshold is the ratio that a slow worker's durations must exceed with confidence.
	slowThreshold = 1.4
	// confidenceDeviations is how many standard errors a worker's mean must lie above the
	// threshold: of a normal distribution, one value in a hundred lies that far above the mean.
	confidenceDeviations = 2.33
	// priorVariance is the prior variance of the durations in a stage (of the logarithm).
	priorVariance = 0.5
	// priorEvidence is the weight of priorVariance, in attempts.
	priorEvidence = 10
	// maxSlowDivisor bounds the slow workers to one in maxSlowDivisor of all, the slowest ones.
	maxSlowDivisor = 4
	// probeInterval is how long a slow worker must have reported no duration before it may get a
	// task that shows whether it is still slow.
	probeInterval = 2 * time.Second
)

var (
	maxLogRatio      = math.Log(maxDurationRatio)
	slowLogThreshold = math.Log(slowThreshold)
)

// evidence is the duration of an attempt, or the latest estimate.
type evidence struct {
	attempt      types.AttemptID
	dispatchedAt types.MonoTime
	recordedAt   types.MonoTime
	samples      *stageSamples // of the attempt's stage
	logDuration  float64
}

func newEvidence(
	now types.MonoTime, attempt *OutstandingAttempt, samples *stageSamples, duration time.Duration,
) evidence {
	return evidence{
		attempt:      attempt.ID,
		dispatchedAt: attempt.DispatchedAt,
		recordedAt:   now,
		samples:      samples,
		logDuration:  math.Log(float64(duration)),
	}
}

// logRatio returns the logarithm of the ratio of the duration to the median of its stage, or false
// if there is not enough to compare it with.
func (e *evidence) logRatio(now types.MonoTime) (float64, bool) {
	if now.Sub(e.recordedAt) > evidenceRetention || len(e.samples.list) < minStageSamples {
		return 0, false
	}
	ratio := e.logDuration - math.Log(float64(e.samples.currentMedian()))
	return max(-maxLogRatio, min(maxLogRatio, ratio)), true
}

// slowness is what is known of the current speed of a worker.
type slowness struct {
	evidence   []evidence // of the latest attempts, by the time of their dispatch
	recordedAt types.MonoTime
	factor     float64 // ratio of its durations to those of other workers, or 0 if it is not slow
}

// record adds the evidence of an attempt or replaces the earlier one.
func (s *slowness) record(e evidence) {
	s.recordedAt = e.recordedAt
	for i := range s.evidence {
		if s.evidence[i].attempt == e.attempt {
			s.evidence[i] = e
			return
		}
	}
	position, _ := slices.BinarySearchFunc(s.evidence, e.dispatchedAt, func(other evidence, at types.MonoTime) int {
		if other.dispatchedAt <= at {
			return -1
		}
		return 1
	})
	s.evidence = slices.Insert(s.evidence, position, e)
	if len(s.evidence) > maxEvidence {
		s.evidence = slices.Delete(s.evidence, 0, 1)
	}
}

// workerMean summarizes the evidence on one worker.
type workerMean struct {
	worker       *RemoteWorker
	count        int
	mean         float64 // of the logarithms of the ratios
	squaredError float64 // sum of the squared deviations from mean
}

func newWorkerMean(now types.MonoTime, worker *RemoteWorker) workerMean {
	var ratios [maxEvidence]float64
	result := workerMean{worker: worker}
	for i := range worker.slowness.evidence {
		if ratio, ok := worker.slowness.evidence[i].logRatio(now); ok {
			ratios[result.count] = ratio
			result.mean += ratio
			result.count++
		}
	}
	result.mean /= float64(max(1, result.count))
	for _, ratio := range ratios[:result.count] {
		result.squaredError += (ratio - result.mean) * (ratio - result.mean)
	}
	return result
}

// isSlow reports whether the mean exceeds a center by more than the threshold, with confidence;
// deviation is the standard deviation of the attempts on one worker.
func (m *workerMean) isSlow(center, deviation float64) bool {
	standardError := deviation / math.Sqrt(float64(m.count))
	return m.mean-center-confidenceDeviations*standardError > slowLogThreshold
}

// reviewSlowWorkers decides which workers count as slow, if a review is due.
func (sc *Scheduler) reviewSlowWorkers() {
	if sc.policy.NoSlowdown || sc.now.Sub(sc.slowReviewedAt) < slowReviewInterval {
		return
	}
	sc.slowReviewedAt = sc.now
	sc.means = sc.means[:0]
	for _, worker := range sc.workers.sorted {
		worker.slowness.factor = 0
		if mean := newWorkerMean(sc.now, worker); mean.count >= minEvidence {
			sc.means = append(sc.means, mean)
		}
	}
	markSlow(sc.means, len(sc.workers.sorted)/maxSlowDivisor)
}

// markSlow sets the factors of the workers that count as slow, at most limit. It sorts the means.
func markSlow(means []workerMean, limit int) {
	if len(means) == 0 {
		return
	}
	slices.SortFunc(means, func(a, b workerMean) int { return cmp.Compare(a.mean, b.mean) })
	center, deviation := means[len(means)/2].mean, standardDeviation(means)
	for i := len(means) - 1; i >= 0 && limit > 0 && means[i].mean > center; i-- {
		if means[i].isSlow(center, deviation) {
			means[i].worker.slowness.factor = math.Exp(means[i].mean - center)
			limit--
		}
	}
}

// standardDeviation returns the standard deviation of the attempts on one worker, over all workers.
// Differences between the workers are not part of it.
func standardDeviation(means []workerMean) float64 {
	squaredError, degreesOfFreedom := priorEvidence*priorVariance, float64(priorEvidence)
	for i := range means {
		squaredError += means[i].squaredError
		degreesOfFreedom += float64(means[i].count - 1)
	}
	return math.Sqrt(squaredError / degreesOfFreedom)
}

// Slowdown returns the current ratio of the durations of a worker's attempts to those on other
// workers, or 0 if the worker does not count as slow.
func (sc *Scheduler) Slowdown(worker *RemoteWorker) float64 { return worker.slowness.factor }

// ProbeDue reports whether a slow worker may get a task that shows whether it is still slow.
func (sc *Scheduler) ProbeDue(worker *RemoteWorker) bool {
	return sc.now.Sub(worker.slowness.recordedAt) >= probeInterval
}
