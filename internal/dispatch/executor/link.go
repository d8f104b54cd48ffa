// Caller is the agent's side towards a worker that is called rather than calling.
// The worker's processes are told apart by their ids, its "lives". It runs
// attempts only under a lease that ends at a reading of its own clock; the lease
// is never longer than what the leader granted to the agent, counted from a
// reading that the worker itself told, by a clock that may run slow. This file
// keeps lives, clock and lease; line.go makes the calls and reads the replies.
package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	minClockRate         = 0.975                  // of our clock's pace, at which a worker's clock runs at least
	leaseMargin          = 20 * time.Millisecond  // a lease ends so much before the agent's own
	maxHoldWait          = time.Second            // how long a hold waits for an end at most
	holdOverdueAfter     = 100 * time.Millisecond // past its time, a hold is not waited for any more: another goes
	replyTimeout         = 250 * time.Millisecond // how long any call's reply is waited for, past its own wait
	commitTime           = 60 * time.Millisecond  // how long an end may be on its way into the log before the next hold
	holdRetryInterval    = 100 * time.Millisecond // between holds that brought nothing
	maxEndsPerReply      = 500                    // ends that one reply holds at most
	fencesPerMillisecond = 1024                   // fences for each millisecond of the worker's clock
	maxEndedIncarnations = 64

	minShortBackoff = time.Second // how long a worker that turned a start away for want of room is believed
	maxShortBackoff = 16 * time.Second
)

// openCall is a call that has no reply yet.
type openCall struct {
	wire.WorkerCall
	sentAt types.MonoTime
}

// openEnd is an end that the worker still lists.
type openEnd struct {
	attempt   types.AttemptID
	committed bool
}

// WorkerLink calls one worker.
type WorkerLink struct {
	incarnation       types.ID
	addr              types.Addr
	heartbeatSequence uint64
	endedIncarnations map[types.ID]bool
	successor         *wire.WorkerHeartbeat // another process, until this one is known to be over, or to live
	successorSeenAt   types.MonoTime        // when that one beat
	clock             int64                 // the worker's, as of got or a little before
	clockReadAt       types.MonoTime
	maxLeaseSent      int64 // the highest end of a lease that was sent
	fence             uint64
	fenceConfirmed    bool // the fence is above all that an earlier agent sent
	lastCallNumber    uint64
	openCalls         map[uint64]*openCall
	openHold          uint64 // the hold that waits for an end, or 0
	openQuery         uint64 // the hold that settles what is unsure, or 0
	nextHoldAt        types.MonoTime
	newestListClock   int64 // the clock of the newest list of runs heeded
	acknowledgedEnd   uint64
	unhealthyUntil    types.MonoTime // until then it is not given work
	silent            bool           // it has said nothing since a call that got no reply
	openEnds          map[uint64]*openEnd
	outCalls          []wire.WorkerCall
	Counters          CallCounters

	deregistered bool // it deregistered without a drain, and runs on for a while

	provenCapacity types.Resources // what ran there when it last turned a start away for want of room, or since
	shortUntil     types.MonoTime  // until then it is believed to hold no more than that,
	shortBackoff   time.Duration   // for so long after each such refusal
}

// CallCounters are counters since start.
type CallCounters struct {
	Starts, Stops, Holds, Queries, Silent, Lapsed, Lives uint64
}

// Invoked tells whether the worker is one that is called.
func (ex *Executor) Invoked() bool { return ex.link != nil }

// TakeCalls drains the calls to make.
func (ex *Executor) TakeCalls() []wire.WorkerCall {
	if ex.link == nil {
		return nil
	}
	c := ex.link.outCalls
	ex.link.outCalls = nil
	return c
}

// HandleWorkerHeartbeat takes what the worker tells of itself. A process that is over is not
// heard; another one waits until the present one is known to be over. If that
// still answers, the beat was late, of a process before it.
func (ex *Executor) HandleWorkerHeartbeat(now types.MonoTime, b wire.WorkerHeartbeat) {
	ex.now = now
	if ex.link == nil {
		ex.link = &WorkerLink{endedIncarnations: map[types.ID]bool{}, openCalls: map[uint64]*openCall{}, openEnds: map[uint64]*openEnd{}}
	}
	c := ex.link
	switch {
	case c.endedIncarnations[b.Incarnation]:
	case c.incarnation == "":
		ex.adoptIncarnation(b)
	case c.incarnation != b.Incarnation:
		c.successor, c.successorSeenAt = &b, now
		ex.makeDueCalls()
	case b.Seq > c.heartbeatSequence:
		c.heartbeatSequence, c.addr, ex.workerHeardAt = b.Seq, b.Addr, now
		ex.readClock(b.ClockMS)
		ex.updateReport(b)
	}
}

// HandleDeregistration takes it that a worker process goes. One that said before that it is
// draining ends now, all that it ran with it. Any other runs on for a while: it is
// draining from now on, whatever late beats of it say, and is over only when its
// lease has run out or another process answers in its place.
func (ex *Executor) HandleDeregistration(now types.MonoTime, life types.ID) {
	ex.now = now
	if ex.link == nil || ex.link.incarnation != life {
		return
	}
	if ex.report.Draining && !ex.link.deregistered {
		ex.endIncarnation(true)
		return
	}
	if ex.link.deregistered {
		return
	}
	ex.link.deregistered = true
	ex.lastHeartbeatAt = never
	ex.setDraining(ex.timeouts.DrainTime)
}

// setDraining notes that the worker goes, and how long it surely runs on; 0 is not known.
func (ex *Executor) setDraining(in time.Duration) {
	ex.report.Draining, ex.report.DepartsInMS = true, in.Milliseconds()
	ex.workerDepartsAt = ex.now.Add(in)
}

func (ex *Executor) updateReport(b wire.WorkerHeartbeat) {
	before := ex.report
	ex.report = protocol.WorkerReport{Rack: b.Rack, Kinds: b.Kinds, Capacity: b.Capacity, Labels: b.Labels, Shortfall: before.Shortfall, Healthy: before.Healthy, CalledByAgent: true}
	switch {
	case b.Draining:
		ex.setDraining(time.Duration(b.DepartsInMS) * time.Millisecond)
	case ex.link.deregistered: // a late beat, or one of a worker that never says that it drains
		ex.report.Draining, ex.report.DepartsInMS = true, before.DepartsInMS
	}
	if ex.report.Draining != before.Draining || !before.Healthy {
		ex.lastHeartbeatAt = never
	}
}

// adoptIncarnation takes up a worker process. What it runs is asked before anything else.
func (ex *Executor) adoptIncarnation(b wire.WorkerHeartbeat) {
	c := ex.link
	c.incarnation, c.addr, c.heartbeatSequence, c.successor, c.deregistered = b.Incarnation, b.Addr, b.Seq, nil, false
	c.clock, c.clockReadAt, c.maxLeaseSent, c.newestListClock, c.acknowledgedEnd, c.unhealthyUntil, c.silent = b.ClockMS, ex.now, 0, 0, 0, never, false
	c.shortUntil, c.shortBackoff = never, 0
	c.fence, c.fenceConfirmed = uint64(max(b.ClockMS, 0))*fencesPerMillisecond, false
	c.openHold, c.openQuery, c.nextHoldAt = 0, 0, never
	clear(c.openEnds)
	c.Counters.Lives++
	ex.workerInstance, ex.workerHeardAt, ex.runningTasksKnown = b.Incarnation, ex.now, false
	ex.updateReport(b)
	ex.makeDueCalls()
}

// endIncarnation gives up the worker's present process: nothing of it runs any more. If it
// is gone, rather than out of reach for longer than its lease, it is not heard
// again.
func (ex *Executor) endIncarnation(gone bool) {
	c := ex.link
	if len(c.endedIncarnations) >= maxEndedIncarnations {
		clear(c.endedIncarnations)
	}
	if gone {
		c.endedIncarnations[c.incarnation] = true
	}
	c.incarnation, c.openHold, c.openQuery = "", 0, 0
	clear(c.openCalls)
	clear(c.openEnds)
	for _, l := range ex.attemptsInOrder() {
		if l.state != attemptEnded {
			ex.endAttempt(l, state.OutcomeWorkerExited)
		}
		if l.committed {
			ex.remove(l.spec.Attempt)
		}
	}
	ex.report.Healthy, ex.lastHeartbeatAt = false, never
	if c.successor != nil {
		ex.adoptIncarnation(*c.successor)
	}
}

// workerSilent tells whether a worker that is called is sick, or has said nothing since a
// call that got no reply.
func (ex *Executor) workerSilent() bool {
	c := ex.link
	return ex.now < c.unhealthyUntil || c.incarnation == "" || c.silent || ex.now.Sub(ex.workerHeardAt) > ex.longPollWait()+replyTimeout+ex.timeouts.UnhealthyAfter
}
