package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// readClock takes a reading of the worker's clock, if it says more than is known.
func (ex *Executor) readClock(clock int64) {
	if c := ex.link; clock > c.clockAtLeast(ex.now) {
		c.clock, c.clockReadAt = clock, ex.now
	}
}

// clockAtLeast is what the worker's clock reads at a time, at the least.
func (w *WorkerLink) clockAtLeast(now types.MonoTime) int64 {
	return w.clock + int64(minClockRate*float64(now.Sub(w.clockReadAt).Milliseconds()))
}

// nextLeaseEnd is the end of the lease that the worker may have now, on its own clock,
// or 0 for none.
func (ex *Executor) nextLeaseEnd() int64 {
	c := ex.link
	if ex.state == protocol.WorkerMustDie || ex.leaseUntil <= ex.now {
		return 0
	}
	end := c.clock + int64(minClockRate*float64((ex.leaseUntil.Sub(c.clockReadAt)-leaseMargin).Milliseconds()))
	if end <= c.clockAtLeast(ex.now) {
		return 0
	}
	return end
}

// linkLeaseExpired is true when the worker's lease has surely ended, and with it all
// that ran there. An earlier agent may have given a longer one.
func (ex *Executor) linkLeaseExpired() bool {
	c := ex.link
	return c.clockAtLeast(ex.now) > c.maxLeaseSent && ex.now.Sub(ex.startedAt) > ex.timeouts.LostAfter
}

// longPollWait is how long a hold waits for an end. Each renews the lease, which must
// outlast two that get no reply.
func (ex *Executor) longPollWait() time.Duration { return min(maxHoldWait, ex.timeouts.AgentLease/3) }
