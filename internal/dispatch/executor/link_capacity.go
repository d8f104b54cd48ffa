package executor

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// minCapacityBackoff is the initial time for which a worker that rejected a start for
	// lack of capacity is assigned no more than what was running there.
	minCapacityBackoff = time.Second
	maxCapacityBackoff = 16 * time.Second
)

// capacityLimit limits the tasks assigned to a worker that has less capacity than it reports.
// The limit lasts for a backoff that doubles if the next rejection follows soon after.
type capacityLimit struct {
	proven  types.Resources // resources of what ran there at the last rejection, or since
	until   types.MonoTime  // until then, the usable capacity is taken to be proven
	backoff time.Duration
}

// onRejected records that the worker rejected a start while attempts with the given total
// resources were running there.
func (c *capacityLimit) onRejected(now types.MonoTime, running types.Resources) {
	since := now.Sub(c.until)
	switch {
	case since >= c.backoff:
		c.backoff = minCapacityBackoff
	case since >= 0:
		c.backoff = min(2*c.backoff, maxCapacityBackoff)
	}
	c.proven, c.until = running, now.Add(c.backoff)
}

// onAccepted records that the worker accepted a start. running is the total resources
// running there, including that start.
func (c *capacityLimit) onAccepted(running types.Resources) {
	if !c.proven.Contains(running) {
		c.proven = running
	}
}

func (c *capacityLimit) isLimited(now types.MonoTime) bool { return now < c.until }

// capacityShortfall returns the part of the worker's reported capacity that is considered
// unavailable.
func (ex *Executor) capacityShortfall() types.Resources {
	if ex.link == nil || !ex.link.capacity.isLimited(ex.now) {
		return types.Resources{}
	}
	missing := ex.worker.report.Capacity.Sub(ex.link.capacity.proven)
	return types.Resources{
		Cores:        max(0, missing.Cores),
		MemoryMB:     max(0, missing.MemoryMB),
		Accelerators: max(0, missing.Accelerators),
	}
}
