package executor

import (
	"time"

	"coppercourse/internal/types"
)

const (
	// minCapacityBackoff is how long, the first time, a worker that rejected a start for lack
	// of capacity gets nothing beyond what runs there.
	minCapacityBackoff = time.Second
	maxCapacityBackoff = 16 * time.Second
)

// capacityLimit keeps tasks from a worker that has less capacity than it reports, for a
// backoff that doubles with each rejection that follows soon.
type capacityLimit struct {
	proven  types.Resources // what ran there at the last rejection, or since
	until   types.MonoTime  // the worker counts as having no more than proven until then
	backoff time.Duration
}

// onRejected notes that the worker rejected a start while running was running there.
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

// onAccepted notes that the worker accepted a start, with which running runs there.
func (c *capacityLimit) onAccepted(running types.Resources) {
	if !c.proven.Contains(running) {
		c.proven = running
	}
}

func (c *capacityLimit) isLimited(now types.MonoTime) bool { return now < c.until }

// capacityShortfall returns how much less capacity the worker is taken to have than it
// reports.
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
