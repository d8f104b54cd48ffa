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
	// placeLag is how far the loop may be behind for work to be placed at any step.
	placeLag = 25 * time.Millisecond
	// placeEvery is how often work is placed at least while the loop is further behind.
	placeEvery = 100 * time.Millisecond
	// placeShare is how many times as long as a round of placing took, with it, is
	// between its start and that of the next then, up to placeLongest.
	placeShare   = 4
	placeLongest = 500 * time.Millisecond
	// entryLag is how far the loop may be behind before new work is turned away.
	entryLag = 400 * time.Millisecond
	// staleCall is how old a request may be before it is turned away: the gateway
	// that sent it asks elsewhere by then.
	staleCall = 700 * time.Millisecond
	// behindFor is how long a leader must have been behind to be so called.
	behindFor = time.Second
)

// overload is what a controller knows of its loop.
type overload struct {
	load     wire.Load
	placing  bool           // the last step placed work
	placed   types.MonoTime // when work was placed last
	cost     time.Duration  // of that, as the event after it saw
	lagging  types.MonoTime // since when the lag is beyond what a leader may have
	isBehind bool
	ledSince types.MonoTime
}

// measure takes the load of an event.
func (o *overload) measure(now types.MonoTime, load wire.Load) {
	if o.placing {
		o.cost = min(load.Age, now.Sub(o.placed))
	}
	o.load, o.placing = load, false
}

// mayPlace tells whether work may be placed in this step.
func (o *overload) mayPlace(now types.MonoTime) bool {
	return o.lag() <= placeLag || now.Sub(o.placed) >= min(placeLongest, max(placeEvery, placeShare*o.cost))
}

func (o *overload) place(now types.MonoTime) { o.placing, o.placed = true, now }

// watch finds whether the loop has been behind a tolerance for long. It is no more
// so once the lag is within half of that.
func (o *overload) watch(now types.MonoTime, tolerance time.Duration) {
	switch lag := o.load.Control; {
	case lag <= tolerance/2:
		o.lagging, o.isBehind = 0, false
	case lag > tolerance && o.lagging == 0:
		o.lagging = now
	case lag > tolerance && now.Sub(o.lagging) >= behindFor:
		o.isBehind = true
	}
}

// refuses is the answer to a request for which there is no time, or nil. What is
// known already is answered, and so are reads, cancels and operators.
func (co *Controller) refuses(c wire.CallBody) *apierror.Error {
	lag := co.overload.lag()
	switch {
	case !wire.Enters(c.Verb), c.Verb == "job.put" && co.state.Find(types.JobID(c.Arg)) != nil:
		return nil
	case lag <= entryLag && co.overload.load.Age <= staleCall:
		return nil
	}
	return co.tooBusy()
}

func (o *overload) lag() time.Duration { return max(o.load.Control, o.load.Callers) }

// tooBusy is the refusal of a request that was not taken, with when to come back.
func (co *Controller) tooBusy() *apierror.Error {
	co.Sums.TurnedAway++
	return apierror.New(apierror.TooBusy, "", "the controller is behind with its work; the request was not taken").WithRetryAfter(2 * co.overload.lag())
}

// refuseExpired answers all requests at once that waited too long for a step.
func (co *Controller) refuseExpired(calls []wire.Message) {
	for _, n := range calls {
		if c, ok := wire.Read[wire.CallBody](n); ok {
			co.Sums.Calls++
			co.bad(waiter{from: n.From, id: c.ID}, co.tooBusy())
		}
	}
}

// relieve lets a leader that has been behind for long hand over.
func (co *Controller) relieve() {
	co.raft.SetLoopLag(co.overload.load.Control)
	co.overload.watch(co.now.Mono, co.raft.MaxLoopLag())
	switch {
	case !co.raft.IsLeader():
		co.overload.ledSince = co.now.Mono
	case co.overload.isBehind && co.raft.HoldsReadLease() && co.raft.TransferWhenOverloaded(co.now, co.now.Mono.Sub(co.overload.ledSince)):
		co.Sums.Relieved++
	}
}
