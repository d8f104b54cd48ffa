// Executor is the half beside each worker. It holds the one true account of what
// runs there: an attempt is in it from its order until its end is settled.
package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Executor is one agent's half.
type Executor struct {
	timeouts         protocol.Timeouts
	addr             types.Addr
	shard            types.Shard
	instance         types.ID
	newInstance      func() types.ID
	previousInstance types.ID

	now               types.MonoTime
	startedAt         types.MonoTime
	term              types.Term
	leader            types.Addr
	state             protocol.Health
	stateSince        types.MonoTime
	lastGrantSentAt   types.MonoTime
	leaseUntil        types.MonoTime
	querySequence     types.Seq
	workerSet         protocol.WorkerSetID
	lastHeartbeatAt   types.MonoTime
	lastStatusAt      types.MonoTime
	attempts          map[types.AttemptID]*attempt
	sortedAttempts    []*attempt // the same, in order
	seenAttempts      map[types.AttemptID]types.MonoTime
	workerInstance    types.ID
	runningTasksKnown bool
	lastCall          uint64
	workerHeardAt     types.MonoTime
	workerSentAt      types.MonoTime
	workerLeaseBase   types.MonoTime
	workerDepartsAt   types.MonoTime // when the worker goes, if it said so
	report            protocol.WorkerReport
	hasUpdate         bool
	link              *WorkerLink // of a worker that is called
	sends             []wire.OutboundMessage
}

const never = types.MonoTime(-1 << 61)

// NewHand starts an agent that knows nothing of its worker yet.
func New(now types.MonoTime, pace protocol.Timeouts, me types.Addr, shard types.Shard, mint func() types.ID) *Executor {
	return &Executor{timeouts: pace, addr: me, shard: shard, instance: mint(), newInstance: mint, now: now, startedAt: now, state: protocol.WorkerNew, stateSince: now,
		lastGrantSentAt: now, leaseUntil: never, lastHeartbeatAt: never, lastStatusAt: never, workerHeardAt: never, workerLeaseBase: now,
		attempts: map[types.AttemptID]*attempt{}, seenAttempts: map[types.AttemptID]types.MonoTime{}}
}

func (ex *Executor) send(to types.Addr, kind wire.Kind, body any) {
	ex.sends = append(ex.sends, wire.NewMessage(ex.addr, to, kind, body))
}

// Tick lets time pass; lead is whom the roster holds for the leader.
func (ex *Executor) Tick(now types.MonoTime, lead types.Addr) {
	if lead != ex.leader {
		ex.lastHeartbeatAt = never // it is told at once who is here
	}
	ex.now, ex.leader = now, lead
	was := ex.report.Healthy
	if ex.link != nil {
		ex.report.Healthy = ex.runningTasksKnown && !ex.workerSilent()
	} else {
		ex.report.Healthy = ex.runningTasksKnown && now.Sub(ex.workerHeardAt) < ex.timeouts.UnhealthyAfter*6/10
	}
	if was != ex.report.Healthy {
		ex.lastHeartbeatAt = never
	}
	quiet := now.Sub(ex.lastGrantSentAt)
	switch {
	case ex.state == protocol.WorkerMustDie:
		ex.restartAsNewInstance()
	case ex.state == protocol.WorkerNew:
	case quiet > ex.timeouts.LostAfter:
		ex.setState(protocol.WorkerMustDie)
	case quiet > ex.timeouts.UnhealthyAfter:
		ex.setState(protocol.WorkerUnhealthy)
	default:
		ex.setState(protocol.WorkerHealthy)
	}
	if now >= ex.leaseUntil && !ex.awaitsFirstLease() || ex.state == protocol.WorkerMustDie {
		for _, l := range ex.attemptsInOrder() {
			ex.stopAttempt(l)
		}
	}
	for _, l := range ex.attemptsInOrder() {
		if l.state == attemptRunning && l.spec.TimeLimitMS > 0 && now.Sub(l.startedAt) > time.Duration(l.spec.TimeLimitMS)*time.Millisecond {
			l.overTimeLimit = true
			ex.stopAttempt(l)
		}
		if l.state == attemptEnded || !ex.runningTasksKnown {
			continue
		}
		switch {
		case ex.link == nil && ex.workerLeaseExpired():
			ex.endAttempt(l, state.OutcomeLost)
		case ex.link != nil && ex.linkLeaseExpired():
			ex.link.Counters.Lapsed++
			ex.endAttempt(l, state.OutcomeLeaseExpired)
		}
	}
	for l, by := range ex.seenAttempts {
		if now > by {
			delete(ex.seenAttempts, l)
		}
	}
	ex.makeDueCalls()
	ex.sendReports()
}

// TakeOutput drains what there is to send.
func (ex *Executor) TakeOutput() []wire.OutboundMessage {
	s := ex.sends
	ex.sends = nil
	return s
}

var executorHandlers = map[wire.Kind]func(*Executor, wire.Message){
	wire.HeartbeatReply:    wire.HandlerFor((*Executor).onHeartbeatReply),
	wire.RunningTasksQuery: wire.HandlerFor((*Executor).onGetRunningTasks),
	wire.RunTask:           wire.HandlerFor((*Executor).onRunTask),
	wire.NotRunningQuery:   wire.HandlerFor((*Executor).onNotifyIfTasksNotRunning),
	wire.StatusAck:         wire.HandlerFor((*Executor).onCommittedEnds),
	wire.KillTask:          wire.HandlerFor((*Executor).onKillTasks),
	wire.ReplaceInstance:   wire.HandlerFor((*Executor).onRequestSuicide),
}

// HandleMessage handles a scheduler's note.
func (ex *Executor) HandleMessage(now types.MonoTime, n wire.Message) {
	ex.now = now
	if f := executorHandlers[n.Kind]; f != nil {
		f(ex, n)
	}
	ex.makeDueCalls()
}
