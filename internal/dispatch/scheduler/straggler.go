package scheduler

import (
	"time"
)

const (
	// stragglerRatio is how many times the median duration of its stage on other shards an attempt
	// must take to count as a straggler. Durations of tasks of one stage differ by half and more,
	// and so do workers; an attempt that takes ten times as long is stalled.
	stragglerRatio = 10
	// overdueRatio is how many times the same median a straggler must have been running already:
	// the first estimates for a member of a gang include the wait for the other members.
	overdueRatio = 2
)

// recordDuration records the duration of an attempt, which is an estimate unless the attempt has
// ended, as evidence on its worker and updates whether the attempt is a straggler. Agents derive
// the estimates from the attempts' progress. Durations are corrected for the attempt's distance
// from its data.
func (sc *Scheduler) recordDuration(attempt *OutstandingAttempt, duration time.Duration, hasEnded bool) {
	if attempt.Stage == StageUnknown || duration <= 0 {
		return
	}
	localDuration := attempt.dataLocalDuration(duration)
	samples := sc.stages.record(sc.now, attempt, localDuration)
	if worker := sc.Worker(attempt.Shard); worker != nil {
		worker.slowness.record(newEvidence(sc.now, attempt, samples, localDuration))
	}
	attempt.StragglerEnd = 0
	if !hasEnded && sc.isStraggler(attempt, samples, localDuration) {
		attempt.StragglerEnd = attempt.DispatchedAt.Add(duration)
	}
}

// isStraggler reports whether a running attempt with an estimated duration is a straggler.
func (sc *Scheduler) isStraggler(attempt *OutstandingAttempt, samples *stageSamples, estimate time.Duration) bool {
	otherMedian, ok := samples.medianOnOtherShards(attempt.Shard)
	if !ok {
		return false
	}
	isOverdue := sc.now.Sub(attempt.DispatchedAt) > overdueRatio*otherMedian
	return isOverdue && float64(estimate) > stragglerRatio*float64(otherMedian)
}
