package controller

import (
	"time"

	"coppercourse/internal/policy"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// maxAdmissionLag is how far the loop may be behind before new work is shed.
	maxAdmissionLag = 400 * time.Millisecond
	// maxRequestAge is how old a request may be before it is shed: the gateway that sent it
	// asks elsewhere by then.
	maxRequestAge = 700 * time.Millisecond
	// overloadDelay is how long a leader must have been behind to count as overloaded.
	overloadDelay = time.Second
)

// overload decides what a controller does when its daemon's event loop falls behind: what to
// shed, and when to transfer leadership. It knows only what the loop reports with each
// event: how long that event and the oldest others have waited. While nothing waits, none of
// its bounds matters.
type overload struct {
	load         wire.Load
	laggingSince types.MonoTime // since when the lag is more than a leader may have; 0 if it isn't
	overloaded   bool           // that has been so for overloadDelay
	leaderSince  types.MonoTime // when this controller last did not lead
	policy       policy.Policy
}

// measure takes the load reported with an event.
func (o *overload) setLoad(load wire.Load) { o.load = load }

// lag returns how long the oldest control event or caller's request has waited.
func (o *overload) lag() time.Duration { return max(o.load.ControlAge, o.load.CallerAge) }

// controlLag returns how long the oldest control event (raft, leases, ends) has waited.
func (o *overload) controlLag() time.Duration { return o.load.ControlAge }

// isOverloaded reports whether the loop has been behind with control events for
// overloadDelay.
func (o *overload) isOverloaded() bool { return o.overloaded }

// shouldShed reports whether the request of the present step must be shed if it brings new
// work: the loop is too far behind, or the request has waited too long.
func (o *overload) shouldShed() bool {
	if o.policy.NoLoadShedding {
		return false
	}
	return o.lag() > maxAdmissionLag || o.load.EventAge > maxRequestAge
}

// retryAfter returns the Retry-After of a request that was shed.
func (o *overload) retryAfter() time.Duration { return 2 * o.lag() }

// update finds whether the loop has been behind by more than a tolerance for long. It is
// caught up once the lag is within half of that.
func (o *overload) update(now types.MonoTime, tolerance time.Duration) {
	switch lag := o.controlLag(); {
	case lag <= tolerance/2:
		o.laggingSince, o.overloaded = 0, false
	case lag > tolerance && o.laggingSince == 0:
		o.laggingSince = now
	case lag > tolerance && now.Sub(o.laggingSince) >= overloadDelay:
		o.overloaded = true
	}
}

// transferLeadership has a leader that is overloaded transfer its leadership, if another
// voter would do better. It reports whether a transfer was begun.
func (o *overload) transferLeadership(now types.Now, node *raft.Node) bool {
	node.SetLoopLag(o.controlLag())
	o.update(now.Mono, node.MaxLoopLag())
	if !node.IsLeader() {
		o.leaderSince = now.Mono
		return false
	}
	if o.policy.NoOverloadTransfer {
		return false
	}
	return o.overloaded && node.HoldsReadLease() && node.TransferWhenOverloaded(now, now.Mono.Sub(o.leaderSince))
}
