package scheduler

import (
	"time"

	"coppercourse/internal/state"
)

// Reliability says how a worker's attempts have ended lately. Both numbers are moving
// averages over ended attempts.
type Reliability struct {
	// FailureRate is the share of attempts that did not end well, from 0 to 1.
	FailureRate float64
	// RelativeDuration is how long attempts took, as a multiple of what is usual for
	// the same step of their queue; 1 is as usual.
	RelativeDuration float64
}

const (
	// reliabilityWeight is the weight of the latest attempt in the moving averages.
	reliabilityWeight = 0.1
	// maxBaselineRatio bounds how far one attempt moves a baseline.
	maxBaselineRatio = 4
	// minBaselineCount is how many attempts a baseline needs before it is used.
	minBaselineCount = 10
)

// recordOutcome takes an attempt's end into its worker's reliability, unless the end says
// nothing of the worker.
func (sc *Scheduler) recordOutcome(attempt *OutstandingAttempt, outcome state.Outcome) {
	worker := sc.Worker(attempt.Shard)
	if worker == nil {
		return
	}
	switch outcome {
	case state.OutcomeNeverRan, state.OutcomeStopped, state.OutcomePartitioned:
		return
	case state.OutcomeOK:
		worker.Reliability.recordFailure(0)
	default:
		worker.Reliability.recordFailure(1)
		return
	}
	if attempt.BaselineName == "" {
		return
	}
	duration := sc.now.Sub(attempt.DispatchedAt)
	if worker.CalledByAgent {
		sc.recordDuration(attempt, duration, true)
	}
	if duration > 0 {
		ratio := sc.baselines.record(attempt.BaselineName, attempt.dataLocalDuration(duration))
		worker.Reliability.recordDuration(ratio)
	}
}

func (r *Reliability) recordFailure(failure float64) {
	r.FailureRate += reliabilityWeight * (failure - r.FailureRate)
}

func (r *Reliability) recordDuration(ratio float64) {
	r.RelativeDuration += reliabilityWeight * (ratio - r.RelativeDuration)
}

// baseline is how long attempts of one step of a queue usually take.
type baseline struct {
	duration float64 // moving average, in nanoseconds
	count    int     // attempts that ended well
}

type baselines map[string]*baseline

// record takes the duration of an attempt, which must not be 0, and returns its ratio to
// the baseline before it.
func (b baselines) record(name string, duration time.Duration) float64 {
	nanoseconds := float64(duration)
	usual := b[name]
	if usual == nil {
		usual = &baseline{duration: nanoseconds}
		b[name] = usual
	}
	usual.count++
	ratio := nanoseconds / usual.duration
	usual.duration += reliabilityWeight * (min(nanoseconds, maxBaselineRatio*usual.duration) - usual.duration)
	return ratio
}

// BaselineDuration returns how long attempts under a baseline's name usually take, or
// false while too few have ended well.
func (sc *Scheduler) BaselineDuration(name string) (time.Duration, bool) {
	usual := sc.baselines[name]
	if usual == nil || usual.count < minBaselineCount {
		return 0, false
	}
	return time.Duration(usual.duration), true
}
