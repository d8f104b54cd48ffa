package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

const (
	// minClockRate is the rate of a worker's clock, relative to the agent's, at the least.
	minClockRate = 0.975
	// leaseMargin is how long before the agent's own lease the worker's ends.
	leaseMargin = 20 * time.Millisecond
	// tokensPerMillisecond is how many fencing tokens there are for each millisecond of
	// the worker's clock. Tokens follow the clock so that an agent that is started anew
	// begins above those of the agent before it.
	tokensPerMillisecond = 1024
	// maxRenewalWait bounds how long a lease renewal waits at the worker for an end.
	maxRenewalWait = time.Second
	// idlePollWait is how long a renewal waits at a worker that runs nothing. It only shows
	// that the worker answers: heartbeats and rejected starts show that too.
	idlePollWait = 1900 * time.Millisecond
)

// workerClock is what is known of a worker's clock: it read readingMS, in milliseconds,
// at updatedAt or a little before.
type workerClock struct {
	readingMS int64
	readAt    types.MonoTime
}

// read takes a reading that has just arrived, unless more is known already.
func (c *workerClock) update(now types.MonoTime, readingMS int64) {
	if readingMS > c.lowerBound(now) {
		c.readingMS, c.readAt = readingMS, now
	}
}

// lowerBound returns what the worker's clock reads at a time, or a little less.
func (c *workerClock) lowerBound(at types.MonoTime) int64 {
	return c.readingMS + int64(minClockRate*float64(at.Sub(c.readAt).Milliseconds()))
}

// fence is the fencing token of the calls to a worker process.
type fence struct {
	token uint64
	// confirmed is set once the token is above all that an earlier agent sent. A token
	// made from a heartbeat's clock reading may not be, since the heartbeat may be old;
	// one from a reply's reading is.
	confirmed bool
}

func tokenAt(clockMS int64) uint64 { return uint64(clockMS) * tokensPerMillisecond }

// raise makes the next call's token higher than all before, as high as the clock gives.
func (f *fence) raise(clockMS int64) { f.token = max(f.token+1, tokenAt(clockMS)) }

// raiseTo makes the token as high as the clock gives.
func (f *fence) raiseTo(clockMS int64) { f.token = max(f.token, tokenAt(clockMS)) }

// nextLeaseEnd returns the end of the lease that the worker may have now, in milliseconds
// of its clock, or 0 for none. The lease lies within the agent's own, even if the
// worker's clock is as slow as it may be.
func (ex *Executor) nextLeaseEnd() int64 {
	clock := &ex.link.clock
	if ex.health.state == protocol.WorkerMustDie || ex.health.leaseUntil <= ex.now {
		return 0
	}
	end := clock.lowerBound(ex.health.leaseUntil.Add(-leaseMargin))
	if end <= clock.lowerBound(ex.now) {
		return 0
	}
	return end
}

// linkLeaseExpired reports whether the worker's lease has surely ended, and with it all
// that ran there. An agent before this one may have granted a longer lease than this one
// has.
func (ex *Executor) linkLeaseExpired() bool {
	isOwnOver := ex.link.clock.lowerBound(ex.now) > ex.link.maxLeaseEndSent
	return isOwnOver && ex.now.Sub(ex.startedAt) > ex.timeouts.LostAfter
}

// longPollWait returns how long a lease renewal waits at the worker for an end. The lease
// must outlast two renewals that get no reply.
func (ex *Executor) longPollWait() time.Duration {
	return min(maxRenewalWait, ex.timeouts.AgentLease/3)
}
