// The stand-in for a worker that is invoked: it starts, stops and holds what it is
// told by its agent alone, under a lease that ends at a reading of its own clock.
// A process, a "life", knows nothing of the one before it: it runs nothing, has
// seen no fence and counts its ends from 1. This file takes the calls; attempt.go
// has what runs, worker_environment.go what the workers of a deployment share.
package sim

import (
	"encoding/json"
	"math/rand"
	"sort"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// InvokedWorker is one process of such a worker.
type InvokedWorker struct {
	WorkerSpec
	ID    types.ID
	Still bool // what runs gets no further, but calls are answered
	Sick  bool // it turns all starts away and says so
	Lax   bool // a start is late only when the lease is over, not when its own time is
	Wild  bool // a planted bug: runs on without a lease
	Rash  bool // a planted bug: heeds no fence

	environment *WorkerEnvironment
	rnd         *rand.Rand
	tell        func(HistoryEvent)
	time        func() types.MonoTime
	born        types.MonoTime
	first       int64   // what its clock read at its birth
	pace        float64 // of its clock
	late        bool    // the call at hand is carried out late
	lease       int64   // when that ends, on its clock; 0 is none
	fence       uint64
	n           uint64
	seen        uint64
	runs        map[types.AttemptID]*attempt
	shut        map[types.TaskID]int
	ends        []invokedEnd
	waits       []waitingHold
}

// invokedEnd is an end not yet settled; it is void once the lease has lapsed.
type invokedEnd struct {
	wire.EndedAttempt
	void bool
}

// waitingHold is a hold that is answered when something ends, or at a time.
type waitingHold struct {
	call  wire.WorkerCall
	until types.MonoTime
	reply func(wire.WorkerReply)
}

// ends that one answer lists at most.
const listed = 500

// NewInvokedWorker starts a worker process. Its clock is up to 2% slow and begins
// anywhere.
func NewInvokedWorker(m WorkerSpec, id types.ID, environment *WorkerEnvironment, rnd *rand.Rand, time func() types.MonoTime, tell func(HistoryEvent)) *InvokedWorker {
	if m.Slow == 0 {
		m.Slow = 1
	}
	return &InvokedWorker{WorkerSpec: m, ID: id, Lax: rnd.Intn(2) == 0, environment: environment, rnd: rnd, tell: tell, time: time, born: time(), first: 1 + rnd.Int63n(1<<40),
		pace: 1 - 0.02*rnd.Float64(), runs: map[types.AttemptID]*attempt{}, shut: map[types.TaskID]int{}}
}

// Clock is what the worker's own clock reads.
func (iw *InvokedWorker) Clock() int64 {
	return iw.first + int64(iw.pace*float64(iw.time().Sub(iw.born).Microseconds())/1000)
}

// over tells whether the lease has ended.
func (iw *InvokedWorker) over() bool { return !iw.Wild && iw.Clock() >= iw.lease }

func (iw *InvokedWorker) say(h HistoryEvent) {
	h.Who, h.Shard = string(iw.ID), iw.Shard
	iw.tell(h)
}

// Tick lets time pass.
func (iw *InvokedWorker) Tick() {
	iw.advance()
	iw.wake()
}

// Do takes a call. Reply is called once, when the call is answered.
func (iw *InvokedWorker) Do(c wire.WorkerCall, reply func(wire.WorkerReply)) {
	iw.advance()
	defer iw.wake()
	r := wire.WorkerReply{Number: c.Number, Result: wire.ResultAccepted, ClockMS: iw.Clock()}
	switch {
	case c.Incarnation != iw.ID:
		reply(wire.WorkerReply{Number: c.Number, Result: wire.ResultOtherIncarnation})
		return
	case c.FencingToken < iw.fence && !iw.Rash:
		if iw.late && c.Kind == wire.StartAttempt {
			iw.say(HistoryEvent{What: Spared, Attempt: c.Attempt, Late: true})
		}
		r.Result = wire.ResultFenced
		reply(r)
		return
	}
	iw.fence = max(iw.fence, c.FencingToken)
	switch c.Kind {
	case wire.StartAttempt:
		r.Result = iw.begin(c)
	case wire.StopAttempt:
		iw.halt(c.Attempt)
	case wire.RenewLease:
		iw.hold(c.LeaseEndMS)
		iw.settle(c.AckedEnds)
		if c.LongPollWait > 0 && len(iw.ends) == 0 {
			iw.waits = append(iw.waits, waitingHold{c, iw.time().Add(min(c.LongPollWait, mostWait)), reply})
			return
		}
		r = iw.list(c)
	}
	reply(r)
}

// hold takes up the end of a lease: never shortened, and not beyond the limit.
func (iw *InvokedWorker) hold(until int64) {
	now := iw.Clock()
	if until = min(until, now+iw.environment.Lease.Milliseconds()); until > now {
		iw.lease = max(iw.lease, until)
	}
}

func (iw *InvokedWorker) begin(c wire.WorkerCall) wire.CallResult {
	if iw.Sick {
		return wire.ResultUnhealthy
	}
	if now := iw.Clock(); c.LeaseEndMS <= now && !(iw.Lax && iw.lease > now) {
		return wire.ResultLeaseExpired
	}
	iw.hold(c.LeaseEndMS)
	switch {
	case iw.runs[c.Attempt] != nil:
		return wire.ResultAccepted
	case c.Attempt.Attempt <= iw.shut[c.Attempt.TaskID]:
		return wire.ResultSuperseded
	}
	step := iw.environment.step(c.Attempt)
	if iw.Guards && step != nil && !iw.free().Contains(step.Resources) {
		iw.say(HistoryEvent{What: Spared, Attempt: c.Attempt})
		return wire.ResultNoCapacity
	}
	iw.start(c, step)
	return wire.ResultAccepted
}

// free is the room that nothing takes; what is being stopped still does.
func (iw *InvokedWorker) free() types.Resources {
	r := iw.Room
	for _, a := range iw.runs {
		r = r.Sub(a.room)
	}
	return r
}

func (iw *InvokedWorker) halt(l types.AttemptID) {
	a := iw.runs[l]
	switch {
	case a == nil:
		iw.shut[l.TaskID] = max(iw.shut[l.TaskID], l.Attempt)
	case a.stops == 0:
		a.stops = iw.time().Add(iw.environment.some(iw.rnd, iw.environment.Stop))
	}
}

// settle forgets ends; those that had not lapsed are thereby noted for good.
func (iw *InvokedWorker) settle(seen uint64) {
	for len(iw.ends) > 0 && iw.ends[0].Number <= seen {
		e := iw.ends[0]
		iw.ends = iw.ends[1:]
		what := Noted
		if e.void {
			what = Void
		}
		iw.say(HistoryEvent{What: what, Attempt: e.Attempt, How: e.Reason})
	}
}

func (iw *InvokedWorker) list(c wire.WorkerCall) wire.WorkerReply {
	r := wire.WorkerReply{Number: c.Number, Result: wire.ResultAccepted, ClockMS: iw.Clock()}
	for _, l := range iw.sorted() {
		a := iw.runs[l]
		r.Running = append(r.Running, wire.RunningAttempt{Attempt: l, Checkpoint: a.ref, Percent: a.percent()})
	}
	for _, e := range iw.ends[:min(len(iw.ends), listed)] {
		r.Ended = append(r.Ended, e.EndedAttempt)
	}
	return r
}

// wake answers the holds that wait, once something has ended or their time is up.
func (iw *InvokedWorker) wake() {
	kept := iw.waits[:0]
	for _, h := range iw.waits {
		if len(iw.ends) > 0 || iw.time() >= h.until {
			h.reply(iw.list(h.call))
		} else {
			kept = append(kept, h)
		}
	}
	iw.waits = kept
}

// end ends an attempt; a gang ends with any of its members.
func (iw *InvokedWorker) end(a *attempt, how wire.EndReason) {
	if iw.runs[a.attempt] != a {
		return
	}
	delete(iw.runs, a.attempt)
	iw.shut[a.attempt.TaskID] = max(iw.shut[a.attempt.TaskID], a.attempt.Attempt)
	iw.n++
	iw.ends = append(iw.ends, invokedEnd{EndedAttempt: wire.EndedAttempt{Number: iw.n, Attempt: a.attempt, Reason: how, Checkpoint: a.ref}})
	iw.say(HistoryEvent{What: Ended, Attempt: a.attempt, Outcome: outcomes[how], How: how})
	a.quit(how)
}

var outcomes = map[wire.EndReason]state.Outcome{wire.EndSucceeded: state.OutcomeOK, wire.EndFailed: state.OutcomeFailed, wire.EndStopped: state.OutcomeStopped,
	wire.EndLeaseExpired: state.OutcomeLeaseExpired, wire.EndGangMemberEnded: state.OutcomeStopped, wire.EndGangStartTimeout: state.OutcomeStopped}

// Die ends the process and all that it runs.
func (iw *InvokedWorker) Die() {
	attempts, runs := iw.sorted(), iw.runs
	iw.waits, iw.runs = nil, nil
	for _, l := range attempts {
		runs[l].quit(wire.EndStopped)
	}
}

func (iw *InvokedWorker) sorted() []types.AttemptID {
	list := make([]types.AttemptID, 0, len(iw.runs))
	for l := range iw.runs {
		list = append(list, l)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Less(list[k]) })
	return list
}

// task reads what an attempt's work says to a stand-in.
func task(b json.RawMessage) (k Work) {
	json.Unmarshal(b, &k)
	return
}
