package executor

import (
	"coppercourse/internal/types"
)

// limitCapacity takes it that the worker turned a start away for want of room: for a while it
// holds no more than what runs there now, for twice as long if it does so again soon.
func (ex *Executor) limitCapacity() {
	c := ex.link
	switch since := ex.now.Sub(c.shortUntil); {
	case since >= c.shortBackoff:
		c.shortBackoff = minShortBackoff
	case since >= 0:
		c.shortBackoff = min(2*c.shortBackoff, maxShortBackoff)
	}
	c.provenCapacity, c.shortUntil = ex.runningResources(), ex.now.Add(c.shortBackoff)
}

// runningResources is the room that what runs there takes.
func (ex *Executor) runningResources() (r types.Resources) {
	for _, l := range ex.attempts {
		if l.state == attemptRunning || l.state == attemptStopping {
			r = r.Add(l.spec.Resources)
		}
	}
	return
}

// capacityShortfall is how much less room the worker is believed to have than it tells.
func (ex *Executor) capacityShortfall() (r types.Resources) {
	if c := ex.link; c != nil && ex.now < c.shortUntil {
		r = ex.report.Capacity.Sub(c.provenCapacity)
		r = types.Resources{Cores: max(0, r.Cores), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators)}
	}
	return
}
