package controller

import (
	"time"

	"coppercourse/internal/types"
)

const (
	completionRateGain   = 0.1   // weight of the newest gap between two completions
	minCompletionGap     = 0.001 // seconds that are taken to lie between two completions at least
	maxCompletionRate    = 1000  // completions a second
	minCompletionRate    = 0.01  // completions a second that are assumed where none were seen
	retryAfterDivisor    = 10    // Retry-After is the time in which a tenth of what waits ends
	minRetryAfterSeconds = 1
	maxRetryAfterSeconds = 60
)

// completionRates estimates how fast the jobs of each queue end, for the Retry-After of
// submissions that a full queue rejects.
type completionRates map[types.QueueName]*completionRate

// completionRate is a moving average of the completions of one queue.
type completionRate struct {
	lastAt    types.MonoTime
	perSecond float64
}

// record counts a job of a queue that has ended.
func (c completionRates) record(queue types.QueueName, now types.MonoTime) {
	r := c[queue]
	if r == nil {
		r = &completionRate{}
		c[queue] = r
	}
	if r.lastAt != 0 {
		gap := now.Sub(r.lastAt).Seconds()
		r.perSecond += completionRateGain * (1/max(gap, minCompletionGap) - r.perSecond)
		r.perSecond = min(r.perSecond, maxCompletionRate)
	}
	r.lastAt = now
}

// retryAfter estimates in what time a tenth of the jobs that wait in a queue will have
// ended: at least 1 s, at most a minute.
func (c completionRates) retryAfter(queue types.QueueName, now types.MonoTime, waiting int) time.Duration {
	perSecond := 0.0
	if r := c[queue]; r != nil {
		perSecond = r.perSecond
		if gap := now.Sub(r.lastAt).Seconds(); gap > 1 {
			perSecond = min(perSecond, 1/gap) // it has slowed down since the last completion
		}
	}
	seconds := float64(max(waiting/retryAfterDivisor, 1)) / max(perSecond, minCompletionRate)
	seconds = min(max(seconds, minRetryAfterSeconds), maxRetryAfterSeconds)
	return time.Duration(seconds * float64(time.Second))
}
