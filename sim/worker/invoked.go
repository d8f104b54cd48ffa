package worker

import (
	"math/rand"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

const (
	// maxRenewalWait is how long the renewal of a lease may wait for an end to report.
	maxRenewalWait = 2 * time.Second
	// maxReportedEnds is how many ends one reply lists.
	maxReportedEnds = 500
	// maxClockDrift is the greatest part by which a worker's clock is slow.
	maxClockDrift = 0.02
)

// Invoked is one process of a worker that its agent calls. It starts and stops
// attempts as that agent alone orders, under a lease that ends at a reading of its own
// clock. A new process knows nothing of the one before it: it runs nothing, has seen no
// fencing token and numbers its ends from 1.
type Invoked struct {
	history.WorkerSpec
	ID                            types.ID
	Stalled                       bool // what runs makes no progress, but calls are answered
	Unhealthy                     bool // it rejects every start with wire.ResultUnhealthy
	AcceptsStartUnderCurrentLease bool // accepts a start whose own lease has ended while another is in force

	// Planted bugs.
	IgnoresLease bool // runs on when the lease has ended
	IgnoresFence bool // accepts any fencing token

	environment        *Environment
	random             *rand.Rand
	recordEvent        func(history.Event)
	now                func() types.MonoTime
	startedAt          types.MonoTime
	clockStart         int64   // reading of its clock at startedAt, in ms
	clockRate          float64 // of its clock, beside that of now
	deliveredLate      bool    // the caller has given up on the call at hand
	leaseEnd           int64   // reading of its clock at which the lease ends; 0 means none
	fencingToken       uint64  // the greatest seen
	lastEndNumber      uint64
	running            map[types.AttemptID]*attempt
	lastClosedAttempt  map[types.TaskID]int // the greatest attempt number that ended or may not start
	unacknowledgedEnds []unacknowledgedEnd  // by number
	pendingRenewals    []pendingRenewal
}

// unacknowledgedEnd is an end that the agent has not acknowledged. It counts for nothing
// once the lease has expired.
type unacknowledgedEnd struct {
	wire.EndedAttempt
	expired bool
}

// pendingRenewal is the renewal of a lease that is answered when an attempt ends, or
// at its deadline.
type pendingRenewal struct {
	call     wire.WorkerCall
	deadline types.MonoTime
	reply    func(wire.WorkerReply)
}

// NewInvoked starts a worker process. Its clock is slow by up to 2%, and begins at any
// reading. What happens on it goes to record.
func NewInvoked(
	spec history.WorkerSpec, id types.ID, environment *Environment, random *rand.Rand,
	now func() types.MonoTime, record func(history.Event),
) *Invoked {
	if spec.Slowdown == 0 {
		spec.Slowdown = 1
	}
	return &Invoked{
		WorkerSpec:                    spec,
		ID:                            id,
		AcceptsStartUnderCurrentLease: random.Intn(2) == 0,
		environment:                   environment,
		random:                        random,
		recordEvent:                   record,
		now:                           now,
		startedAt:                     now(),
		clockStart:                    1 + random.Int63n(1<<40),
		clockRate:                     1 - maxClockDrift*random.Float64(),
		running:                       map[types.AttemptID]*attempt{},
		lastClosedAttempt:             map[types.TaskID]int{},
	}
}

// Clock returns the reading of the worker's own clock, in milliseconds.
func (i *Invoked) Clock() int64 {
	elapsedMicros := float64(i.now().Sub(i.startedAt).Microseconds())
	return i.clockStart + int64(i.clockRate*elapsedMicros/1000)
}

// Tick lets what runs progress until now, and answers what that completes.
func (i *Invoked) Tick() {
	i.advance()
	i.replyToRenewals()
}

// Kill ends the process and all that it runs, without a record of their ends.
func (i *Invoked) Kill() {
	ids, attempts := sortedAttempts(i.running), i.running
	i.pendingRenewals, i.running = nil, nil
	for _, id := range ids {
		attempts[id].endGang()
	}
}

func (i *Invoked) record(event history.Event) {
	event.Process, event.Shard = string(i.ID), i.Shard
	i.recordEvent(event)
}

// HandleCall carries out a call. It calls reply once, when the call is answered.
func (i *Invoked) HandleCall(call wire.WorkerCall, reply func(wire.WorkerReply)) {
	i.advance()
	defer i.replyToRenewals()
	if call.Incarnation != i.ID {
		reply(wire.WorkerReply{Number: call.Number, Result: wire.ResultOtherIncarnation})
		return
	}
	if call.FencingToken < i.fencingToken && !i.IgnoresFence {
		if i.deliveredLate && call.Kind == wire.StartAttempt {
			i.record(history.Event{Kind: history.AttemptRejected, Attempt: call.Attempt, DeliveredLate: true})
		}
		reply(i.newReply(call, wire.ResultFenced))
		return
	}
	i.fencingToken = max(i.fencingToken, call.FencingToken)
	switch call.Kind {
	case wire.StartAttempt:
		reply(i.newReply(call, i.acceptStart(call)))
	case wire.StopAttempt:
		i.stopAttempt(call.Attempt)
		reply(i.newReply(call, wire.ResultAccepted))
	case wire.RenewLease:
		i.renewLease(call, reply)
	default:
		reply(i.newReply(call, wire.ResultAccepted))
	}
}

// HandleLateCall carries out a call whose caller has given up on it; its reply is lost.
func (i *Invoked) HandleLateCall(call wire.WorkerCall) {
	i.deliveredLate = true
	i.HandleCall(call, func(wire.WorkerReply) {})
	i.deliveredLate = false
}

func (i *Invoked) newReply(call wire.WorkerCall, result wire.CallResult) wire.WorkerReply {
	return wire.WorkerReply{Number: call.Number, Result: result, ClockMS: i.Clock()}
}

// acceptStart starts an attempt, or says why not.
func (i *Invoked) acceptStart(call wire.WorkerCall) wire.CallResult {
	if i.Unhealthy {
		return wire.ResultUnhealthy
	}
	if now := i.Clock(); call.LeaseEndMS <= now && !(i.AcceptsStartUnderCurrentLease && i.leaseEnd > now) {
		return wire.ResultLeaseExpired
	}
	i.extendLease(call.LeaseEndMS)
	switch {
	case i.running[call.Attempt] != nil:
		return wire.ResultAccepted
	case call.Attempt.Attempt <= i.lastClosedAttempt[call.Attempt.TaskID]:
		return wire.ResultSuperseded
	}
	step := i.environment.stepOf(call.Attempt)
	if i.RejectsOverload && step != nil && !i.freeCapacity().Contains(step.Resources) {
		i.record(history.Event{Kind: history.AttemptRejected, Attempt: call.Attempt})
		return wire.ResultNoCapacity
	}
	i.startAttempt(call, step)
	return wire.ResultAccepted
}

// freeCapacity returns what no attempt takes; what is being stopped still does.
func (i *Invoked) freeCapacity() types.Resources {
	free := i.Capacity
	for _, a := range i.running {
		free = free.Sub(a.resources)
	}
	return free
}

// stopAttempt begins to stop an attempt. One that does not run may not start any more.
func (i *Invoked) stopAttempt(id types.AttemptID) {
	a := i.running[id]
	switch {
	case a == nil:
		i.lastClosedAttempt[id.TaskID] = max(i.lastClosedAttempt[id.TaskID], id.Attempt)
	case a.stopDeadline == 0:
		a.stopDeadline = i.now().Add(randomUpTo(i.random, i.environment.MaxStopTime))
	}
}

// renewLease extends the lease, takes the agent's acknowledgements and reports: at
// once, or for a long poll without an end to report when there is one.
func (i *Invoked) renewLease(call wire.WorkerCall, reply func(wire.WorkerReply)) {
	i.extendLease(call.LeaseEndMS)
	i.removeAcknowledgedEnds(call.AckedEnds)
	if call.LongPollWait > 0 && len(i.unacknowledgedEnds) == 0 {
		deadline := i.now().Add(min(call.LongPollWait, maxRenewalWait))
		i.pendingRenewals = append(i.pendingRenewals, pendingRenewal{call, deadline, reply})
		return
	}
	reply(i.report(call))
}

// extendLease takes the end of a lease: never an earlier one, and not beyond MaxLease.
func (i *Invoked) extendLease(end int64) {
	now := i.Clock()
	end = min(end, now+i.environment.MaxLease.Milliseconds())
	if end > now {
		i.leaseEnd = max(i.leaseEnd, end)
	}
}

func (i *Invoked) leaseExpired() bool { return !i.IgnoresLease && i.Clock() >= i.leaseEnd }

// expireLease ends all that runs. Ends that are not settled by now count for nothing.
func (i *Invoked) expireLease() {
	for k := range i.unacknowledgedEnds {
		i.unacknowledgedEnds[k].expired = true
	}
	for _, id := range sortedAttempts(i.running) {
		if a := i.running[id]; a != nil { // else it ended with another of its gang
			i.endAttempt(a, wire.EndLeaseExpired)
		}
	}
}

// removeAcknowledgedEnds forgets the ends up to a number, which the agent has acknowledged.
func (i *Invoked) removeAcknowledgedEnds(acknowledged uint64) {
	for len(i.unacknowledgedEnds) > 0 && i.unacknowledgedEnds[0].Number <= acknowledged {
		end := i.unacknowledgedEnds[0]
		i.unacknowledgedEnds = i.unacknowledgedEnds[1:]
		kind := history.EndSettled
		if end.expired {
			kind = history.EndVoided
		}
		i.record(history.Event{Kind: kind, Attempt: end.Attempt, EndReason: end.Reason})
	}
}

// report lists what runs and the ends to settle.
func (i *Invoked) report(call wire.WorkerCall) wire.WorkerReply {
	reply := i.newReply(call, wire.ResultAccepted)
	for _, id := range sortedAttempts(i.running) {
		a := i.running[id]
		reply.Running = append(reply.Running,
			wire.RunningAttempt{Attempt: id, Checkpoint: a.checkpoint, Percent: a.percentDone()})
	}
	for _, end := range i.unacknowledgedEnds[:min(len(i.unacknowledgedEnds), maxReportedEnds)] {
		reply.Ended = append(reply.Ended, end.EndedAttempt)
	}
	return reply
}

// replyToRenewals answers the renewals that wait, once there is an end to report or
// their deadline has passed.
func (i *Invoked) replyToRenewals() {
	waiting := i.pendingRenewals[:0]
	for _, renewal := range i.pendingRenewals {
		if len(i.unacknowledgedEnds) > 0 || i.now() >= renewal.deadline {
			renewal.reply(i.report(renewal.call))
		} else {
			waiting = append(waiting, renewal)
		}
	}
	i.pendingRenewals = waiting
}

// outcomes are the outcomes that the daemons derive from why an attempt ended.
var outcomesByEndReason = map[wire.EndReason]state.Outcome{
	wire.EndSucceeded:        state.OutcomeOK,
	wire.EndFailed:           state.OutcomeFailed,
	wire.EndStopped:          state.OutcomeStopped,
	wire.EndLeaseExpired:     state.OutcomeLeaseExpired,
	wire.EndGangMemberEnded:  state.OutcomeStopped,
	wire.EndGangStartTimeout: state.OutcomeStopped,
}

// endAttempt ends an attempt, and with it its gang.
func (i *Invoked) endAttempt(a *attempt, reason wire.EndReason) {
	if i.running[a.id] != a {
		return
	}
	delete(i.running, a.id)
	i.lastClosedAttempt[a.id.TaskID] = max(i.lastClosedAttempt[a.id.TaskID], a.id.Attempt)
	i.lastEndNumber++
	i.unacknowledgedEnds = append(i.unacknowledgedEnds, unacknowledgedEnd{EndedAttempt: wire.EndedAttempt{
		Number:     i.lastEndNumber,
		Attempt:    a.id,
		Reason:     reason,
		Checkpoint: a.checkpoint,
	}})
	i.record(history.Event{Kind: history.AttemptEnded, Attempt: a.id, Outcome: outcomesByEndReason[reason], EndReason: reason})
	a.endGang()
}
