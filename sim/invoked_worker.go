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
	"coppercourse/sim/history"
)

// InvokedWorker is one process of such a worker.
type InvokedWorker struct {
	history.WorkerSpec
	ID               types.ID
	Stalled          bool // what runs gets no further, but calls are answered
	Unhealthy        bool // it turns all starts away and says so
	StartsUnderLease bool // a start is late only when the lease is over, not when its own time is
	IgnoresLease     bool // a planted bug: runs on without a lease
	IgnoresFence     bool // a planted bug: heeds no fence

	environment     *WorkerEnvironment
	random          *rand.Rand
	recordEvent     func(history.Event)
	now             func() types.MonoTime
	startedAt       types.MonoTime
	clockStart      int64   // what its clock read at its birth
	clockRate       float64 // of its clock
	deliveredLate   bool    // the call at hand is carried out late
	leaseEnd        int64   // when that ends, on its clock; 0 is none
	fencingToken    uint64
	lastEndNumber   uint64
	running         map[types.AttemptID]*attempt
	lastClosed      map[types.TaskID]int
	unsettledEnds   []invokedEnd
	pendingRenewals []pendingRenewal
}

// invokedEnd is an end not yet settled; it is void once the lease has lapsed.
type invokedEnd struct {
	wire.EndedAttempt
	lapsed bool
}

// pendingRenewal is a hold that is answered when something ends, or at a time.
type pendingRenewal struct {
	call     wire.WorkerCall
	deadline types.MonoTime
	reply    func(wire.WorkerReply)
}

// ends that one answer lists at most.
const maxListedEnds = 500

// NewInvokedWorker starts a worker process. Its clock is up to 2% slow and begins
// anywhere.
func NewInvokedWorker(spec history.WorkerSpec, id types.ID, environment *WorkerEnvironment, random *rand.Rand, now func() types.MonoTime, record func(history.Event)) *InvokedWorker {
	if spec.Slowdown == 0 {
		spec.Slowdown = 1
	}
	return &InvokedWorker{WorkerSpec: spec, ID: id, StartsUnderLease: random.Intn(2) == 0, environment: environment, random: random, recordEvent: record, now: now, startedAt: now(), clockStart: 1 + random.Int63n(1<<40),
		clockRate: 1 - 0.02*random.Float64(), running: map[types.AttemptID]*attempt{}, lastClosed: map[types.TaskID]int{}}
}

// Clock is what the worker's own clock reads.
func (iw *InvokedWorker) Clock() int64 {
	return iw.clockStart + int64(iw.clockRate*float64(iw.now().Sub(iw.startedAt).Microseconds())/1000)
}

// leaseExpired tells whether the lease has ended.
func (iw *InvokedWorker) leaseExpired() bool { return !iw.IgnoresLease && iw.Clock() >= iw.leaseEnd }

func (iw *InvokedWorker) record(h history.Event) {
	h.Process, h.Shard = string(iw.ID), iw.Shard
	iw.recordEvent(h)
}

// Tick lets time pass.
func (iw *InvokedWorker) Tick() {
	iw.advance()
	iw.answerRenewals()
}

// HandleCall takes a call. Reply is called once, when the call is answered.
func (iw *InvokedWorker) HandleCall(c wire.WorkerCall, reply func(wire.WorkerReply)) {
	iw.advance()
	defer iw.answerRenewals()
	r := wire.WorkerReply{Number: c.Number, Result: wire.ResultAccepted, ClockMS: iw.Clock()}
	switch {
	case c.Incarnation != iw.ID:
		reply(wire.WorkerReply{Number: c.Number, Result: wire.ResultOtherIncarnation})
		return
	case c.FencingToken < iw.fencingToken && !iw.IgnoresFence:
		if iw.deliveredLate && c.Kind == wire.StartAttempt {
			iw.record(history.Event{Kind: history.AttemptRejected, Attempt: c.Attempt, DeliveredLate: true})
		}
		r.Result = wire.ResultFenced
		reply(r)
		return
	}
	iw.fencingToken = max(iw.fencingToken, c.FencingToken)
	switch c.Kind {
	case wire.StartAttempt:
		r.Result = iw.acceptStart(c)
	case wire.StopAttempt:
		iw.stopAttempt(c.Attempt)
	case wire.RenewLease:
		iw.extendLease(c.LeaseEndMS)
		iw.settleEnds(c.AckedEnds)
		if c.LongPollWait > 0 && len(iw.unsettledEnds) == 0 {
			iw.pendingRenewals = append(iw.pendingRenewals, pendingRenewal{c, iw.now().Add(min(c.LongPollWait, maxRenewalWait)), reply})
			return
		}
		r = iw.report(c)
	}
	reply(r)
}

// extendLease takes up the end of a lease: never shortened, and not beyond the limit.
func (iw *InvokedWorker) extendLease(until int64) {
	now := iw.Clock()
	if until = min(until, now+iw.environment.MaxLease.Milliseconds()); until > now {
		iw.leaseEnd = max(iw.leaseEnd, until)
	}
}

func (iw *InvokedWorker) acceptStart(c wire.WorkerCall) wire.CallResult {
	if iw.Unhealthy {
		return wire.ResultUnhealthy
	}
	if now := iw.Clock(); c.LeaseEndMS <= now && !(iw.StartsUnderLease && iw.leaseEnd > now) {
		return wire.ResultLeaseExpired
	}
	iw.extendLease(c.LeaseEndMS)
	switch {
	case iw.running[c.Attempt] != nil:
		return wire.ResultAccepted
	case c.Attempt.Attempt <= iw.lastClosed[c.Attempt.TaskID]:
		return wire.ResultSuperseded
	}
	step := iw.environment.stepOf(c.Attempt)
	if iw.RejectsOverload && step != nil && !iw.freeCapacity().Contains(step.Resources) {
		iw.record(history.Event{Kind: history.AttemptRejected, Attempt: c.Attempt})
		return wire.ResultNoCapacity
	}
	iw.startAttempt(c, step)
	return wire.ResultAccepted
}

// freeCapacity is the room that nothing takes; what is being stopped still does.
func (iw *InvokedWorker) freeCapacity() types.Resources {
	r := iw.Capacity
	for _, a := range iw.running {
		r = r.Sub(a.capacity)
	}
	return r
}

func (iw *InvokedWorker) stopAttempt(l types.AttemptID) {
	a := iw.running[l]
	switch {
	case a == nil:
		iw.lastClosed[l.TaskID] = max(iw.lastClosed[l.TaskID], l.Attempt)
	case a.stopDeadline == 0:
		a.stopDeadline = iw.now().Add(iw.environment.randomUpTo(iw.random, iw.environment.MaxStopTime))
	}
}

// settleEnds forgets ends; those that had not lapsed are thereby noted for good.
func (iw *InvokedWorker) settleEnds(seen uint64) {
	for len(iw.unsettledEnds) > 0 && iw.unsettledEnds[0].Number <= seen {
		e := iw.unsettledEnds[0]
		iw.unsettledEnds = iw.unsettledEnds[1:]
		what := history.EndSettled
		if e.lapsed {
			what = history.EndVoided
		}
		iw.record(history.Event{Kind: what, Attempt: e.Attempt, How: e.Reason})
	}
}

func (iw *InvokedWorker) report(c wire.WorkerCall) wire.WorkerReply {
	r := wire.WorkerReply{Number: c.Number, Result: wire.ResultAccepted, ClockMS: iw.Clock()}
	for _, l := range iw.runningAttempts() {
		a := iw.running[l]
		r.Running = append(r.Running, wire.RunningAttempt{Attempt: l, Checkpoint: a.checkpoint, Percent: a.percent()})
	}
	for _, e := range iw.unsettledEnds[:min(len(iw.unsettledEnds), maxListedEnds)] {
		r.Ended = append(r.Ended, e.EndedAttempt)
	}
	return r
}

// answerRenewals answers the holds that wait, once something has ended or their time is up.
func (iw *InvokedWorker) answerRenewals() {
	kept := iw.pendingRenewals[:0]
	for _, h := range iw.pendingRenewals {
		if len(iw.unsettledEnds) > 0 || iw.now() >= h.deadline {
			h.reply(iw.report(h.call))
		} else {
			kept = append(kept, h)
		}
	}
	iw.pendingRenewals = kept
}

// endAttempt ends an attempt; a gang ends with any of its members.
func (iw *InvokedWorker) endAttempt(a *attempt, how wire.EndReason) {
	if iw.running[a.id] != a {
		return
	}
	delete(iw.running, a.id)
	iw.lastClosed[a.id.TaskID] = max(iw.lastClosed[a.id.TaskID], a.id.Attempt)
	iw.lastEndNumber++
	iw.unsettledEnds = append(iw.unsettledEnds, invokedEnd{EndedAttempt: wire.EndedAttempt{Number: iw.lastEndNumber, Attempt: a.id, Reason: how, Checkpoint: a.checkpoint}})
	iw.record(history.Event{Kind: history.AttemptEnded, Attempt: a.id, Outcome: outcomes[how], How: how})
	a.leaveGang(how)
}

var outcomes = map[wire.EndReason]state.Outcome{wire.EndSucceeded: state.OutcomeOK, wire.EndFailed: state.OutcomeFailed, wire.EndStopped: state.OutcomeStopped,
	wire.EndLeaseExpired: state.OutcomeLeaseExpired, wire.EndGangMemberEnded: state.OutcomeStopped, wire.EndGangStartTimeout: state.OutcomeStopped}

// Kill ends the process and all that it runs.
func (iw *InvokedWorker) Kill() {
	attempts, runs := iw.runningAttempts(), iw.running
	iw.pendingRenewals, iw.running = nil, nil
	for _, l := range attempts {
		runs[l].leaveGang(wire.EndStopped)
	}
}

func (iw *InvokedWorker) runningAttempts() []types.AttemptID {
	list := make([]types.AttemptID, 0, len(iw.running))
	for l := range iw.running {
		list = append(list, l)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Less(list[k]) })
	return list
}

// parseWork reads what an attempt's work says to a stand-in.
func parseWork(b json.RawMessage) (k Work) {
	json.Unmarshal(b, &k)
	return
}
