package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

const (
	// minRunTime is how long an attempt must have run for an estimate.
	minRunTime = 60 * time.Millisecond
	// stallTime is after how long without progress an attempt counts as stalled.
	stallTime = 300 * time.Millisecond
	// stalledFactor is how many times its time so far a stalled attempt is estimated to
	// take.
	stalledFactor = 10
	// reestimateRatio is the change from which an estimate is reported again.
	reestimateRatio = 1.3
)

// progress is how far an attempt is, as its worker reports.
type progress struct {
	percent   float64
	updatedAt types.MonoTime // when the worker last reported, 0 if never
	changedAt types.MonoTime // when percent last changed
	// reported is the estimate of the attempt's duration that was last reported.
	lastEstimate time.Duration
}

func (p *progress) update(now types.MonoTime, percent float64) {
	if percent != p.percent || p.updatedAt == 0 {
		p.percent, p.changedAt = percent, now
	}
	p.updatedAt = now
}

// estimateDuration returns how long an attempt will take from start to end, or 0 if
// that is unknown.
func (ar *attemptRecord) estimateDuration(now types.MonoTime) time.Duration {
	p := ar.progress
	ran := p.updatedAt.Sub(ar.startedAt)
	switch {
	case ar.state != attemptRunning || p.updatedAt == 0 || ran < minRunTime:
		return 0
	case p.percent <= 0 && now.Sub(p.changedAt) < 2*stallTime:
		return 0 // it may wait for the other members of its gang
	case now.Sub(p.changedAt) > stallTime && p.updatedAt.Sub(p.changedAt) > stallTime:
		return stalledFactor * ran
	case p.percent <= 0:
		return 0
	}
	return time.Duration(float64(ran) * 100 / p.percent)
}

// durationEstimates lists the estimates that are new or have changed much since they
// were last reported.
func (ex *Executor) durationEstimates() []protocol.DurationEstimate {
	var list []protocol.DurationEstimate
	for _, attempt := range ex.attempts.sorted {
		estimate := attempt.estimateDuration(ex.now)
		if estimate == 0 || attempt.progress.lastEstimate > 0 && isSimilar(estimate, attempt.progress.lastEstimate) {
			continue
		}
		attempt.progress.lastEstimate = estimate
		list = append(list, protocol.DurationEstimate{Attempt: attempt.id(), MS: estimate.Milliseconds()})
	}
	return list
}

func isSimilar(a, b time.Duration) bool {
	return float64(a) < reestimateRatio*float64(b) && float64(b) < reestimateRatio*float64(a)
}
