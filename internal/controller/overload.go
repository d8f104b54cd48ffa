// What a controller does when its daemon's loop falls behind. The loop tells with
// each event how long it and the oldest others have waited; from that alone the
// machine decides when to place work, whom to turn away and when to hand the lead
// over. With nothing waiting it behaves as if there were no such bounds.
package controller

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// maxPlacementLag is how far the loop may be behind for work to be placed at any step.
	maxPlacementLag = 25 * time.Millisecond
	// minPlacementInterval is how often work is placed at least while the loop is further behind.
	minPlacementInterval = 100 * time.Millisecond
	// placementIntervalFactor is how many times as long as a round of placing took, with it, is
	// between its start and that of the next then, up to maxPlacementInterval.
	placementIntervalFactor = 4
	maxPlacementInterval    = 500 * time.Millisecond
	// maxAdmissionLag is how far the loop may be behind before new work is turned away.
	maxAdmissionLag = 400 * time.Millisecond
	// maxRequestAge is how old a request may be before it is turned away: the gateway
	// that sent it asks elsewhere by then.
	maxRequestAge = 700 * time.Millisecond
	// overloadDelay is how long a leader must have been behind to be so called.
	overloadDelay = time.Second
)

// overload is what a controller knows of its loop.
type overload struct {
	load           wire.Load
	placedLastStep bool           // the last step placed work
	placedAt       types.MonoTime // when work was placed last
	placementCost  time.Duration  // of that, as the event after it saw
	laggingSince   types.MonoTime // since when the lag is beyond what a leader may have
	isBehind       bool
	leaderSince    types.MonoTime
}

// measure takes the load of an event.
func (o *overload) measure(now types.MonoTime, load wire.Load) {
	if o.placedLastStep {
		o.placementCost = min(load.EventAge, now.Sub(o.placedAt))
	}
	o.load, o.placedLastStep = load, false
}

// mayPlace tells whether work may be placed in this step.
func (o *overload) mayPlace(now types.MonoTime) bool {
	return o.lag() <= maxPlacementLag || now.Sub(o.placedAt) >= min(maxPlacementInterval, max(minPlacementInterval, placementIntervalFactor*o.placementCost))
}

func (o *overload) startPlacement(now types.MonoTime) { o.placedLastStep, o.placedAt = true, now }

// update finds whether the loop has been behind a tolerance for long. It is no more
// so once the lag is within half of that.
func (o *overload) update(now types.MonoTime, tolerance time.Duration) {
	switch lag := o.load.ControlAge; {
	case lag <= tolerance/2:
		o.laggingSince, o.isBehind = 0, false
	case lag > tolerance && o.laggingSince == 0:
		o.laggingSince = now
	case lag > tolerance && now.Sub(o.laggingSince) >= overloadDelay:
		o.isBehind = true
	}
}

// checkOverload is the answer to a request for which there is no time, or nil. What is
// known already is answered, and so are reads, cancels and operators.
func (co *Controller) checkOverload(c wire.ForwardedRequest) *apierror.Error {
	lag := co.overload.lag()
	switch {
	case !wire.SubmitsWork(c.Verb), c.Verb == "job.put" && co.log.state().Find(types.JobID(c.Arg)) != nil:
		return nil
	case lag <= maxAdmissionLag && co.overload.load.EventAge <= maxRequestAge:
		return nil
	}
	return co.tooBusy()
}

func (o *overload) lag() time.Duration { return max(o.load.ControlAge, o.load.CallerAge) }

// overloadError is the refusal of a request that was not taken, with when to come back.
func (co *Controller) tooBusy() *apierror.Error {
	co.Counters.TurnedAway++
	return apierror.New(apierror.TooBusy, "", "the controller is behind with its work; the request was not taken").WithRetryAfter(2 * co.overload.lag())
}

// rejectExpired answers all requests at once that waited too long for a step.
func (co *Controller) rejectExpired(calls []wire.Message) {
	for _, n := range calls {
		if c, ok := wire.DecodeBody[wire.ForwardedRequest](n); ok {
			co.Counters.Calls++
			co.outbox.replyError(caller{gateway: n.From, requestID: c.ID}, co.tooBusy())
		}
	}
}

// transferIfOverloaded lets a leader that has been behind for long hand over.
func (co *Controller) transferIfOverloaded() {
	co.raft.SetLoopLag(co.overload.load.ControlAge)
	co.overload.update(co.now.Mono, co.raft.MaxLoopLag())
	switch {
	case !co.raft.IsLeader():
		co.overload.leaderSince = co.now.Mono
	case co.overload.isBehind && co.raft.HoldsReadLease() && co.raft.TransferWhenOverloaded(co.now, co.now.Mono.Sub(co.overload.leaderSince)):
		co.Counters.Relieved++
	}
}
