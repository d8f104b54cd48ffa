package controller

import (
	"math"
	"time"

	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

const (
	peakHalfLife = 10 * time.Second // half-life of a queue's peak
	idleJobDelay = time.Second      // after which a job with nothing running gets a task, or its gang, without a limit
)

// coreLimits keeps cores free for more urgent queues: the long tasks of a less urgent queue leave
// free as many cores as the more urgent queues recently needed at their peak.
type coreLimits struct {
	peaks     map[types.QueueName]float64 // recent peak demand, in milli-cores
	updatedAt types.MonoTime              // when the peaks were last updated
}

func newCoreLimits() coreLimits { return coreLimits{peaks: map[types.QueueName]float64{}} }

// apply limits the cores that the queue of each request with long tasks may use. While less than
// half of all cores is in use, a job that has had nothing running for idleJobDelay gets one task,
// or its gang, without a limit.
func (c *coreLimits) apply(now types.MonoTime, in placement.Input) {
	used := c.updatePeaks(now, in)
	for i := range in.Requests {
		request := &in.Requests[i]
		switch {
		case request.HeadroomPercent == 0:
		case request.JobIdle && request.WaitingFor >= idleJobDelay && 2*used < in.TotalCores:
			if !request.Gang {
				request.Tasks = request.Tasks[:1]
			}
		default:
			request.MaxQueueCores = c.limit(in, request)
		}
	}
}

// updatePeaks updates the peaks with the current usage and requests of the queues, and returns
// the cores in use.
func (c *coreLimits) updatePeaks(now types.MonoTime, in placement.Input) types.MilliCores {
	decay := math.Exp2(-now.Sub(c.updatedAt).Seconds() / peakHalfLife.Seconds())
	c.updatedAt = now
	requested := map[types.QueueName]float64{}
	for _, request := range in.Requests {
		requested[request.Queue] += float64(len(request.Tasks)) * float64(request.Resources.Cores)
	}
	used := types.MilliCores(0)
	for name, usage := range in.Usage {
		used += usage.CoresInUse
		needed := min(float64(in.TotalCores), float64(usage.CoresInUse)+requested[name])
		c.peaks[name] = max(needed, c.peaks[name]*decay)
	}
	return used
}

// limit returns how many cores the queue of a request may use: all cores except the peaks of more
// urgent queues, bounded by the request's headroom, and the cores in use by the other queues.
func (c *coreLimits) limit(in placement.Input, request *placement.Request) types.MilliCores {
	own := in.Usage[request.Queue]
	urgent, others := 0.0, types.MilliCores(0)
	for name, usage := range in.Usage {
		switch {
		case usage.Queue.Priority < own.Queue.Priority:
			urgent += c.peaks[name]
		case usage != own:
			others += usage.CoresInUse
		}
	}
	urgent = min(urgent, float64(in.TotalCores)*float64(request.HeadroomPercent)/100)
	return max(1, in.TotalCores-types.MilliCores(urgent)-others)
}
