// Package executor is the worker half of the dispatcher, which the agent beside each
// worker runs; package dispatch describes both halves.
//
// An Executor is the authority on what runs on its worker. It has a record of each attempt
// from its RunTask until its end is committed to the log and the worker has dropped it. It
// is a state machine: its methods take an event, and TakeOutput and TakeCalls return the
// messages to the scheduler and the calls to the worker. It does no I/O and reads no clock.
//
// Towards the scheduler: scheduler_messages, admission (which RunTask is accepted),
// health (worker state and lease), reports (heartbeats and ends). Towards a worker that
// polls its agent: polling. Towards a worker that its agent calls: the files link*.
// attempts holds the records of attempts, view shows them.
package executor

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/policy"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Executor is the worker half beside one worker.
type Executor struct {
	Policy policy.Policy // set before the first event

	timeouts    protocol.Timeouts
	addr        types.Addr
	shard       types.Shard
	newInstance func() types.ID // draws a new instance id
	startedAt   types.MonoTime
	now         types.MonoTime // of the present step

	leader      types.Addr // as far as known, or empty
	association association
	health      health
	reports     reportTimes

	attempts attemptTable
	worker   workerStatus
	polls    pollSession
	link     *workerLink // nil while the worker polls

	messages []wire.OutboundMessage // to send
}

// association is the agent's identity towards the scheduler, and what it last received from
// it.
type association struct {
	instance types.ID
	// previousInstance is the instance before this one beside the same worker process,
	// until the scheduler has associated this one.
	previousInstance types.ID
	term             types.Term // highest seen
	// querySequence is the highest notifyIfTasksNotRunning sequence number seen in the
	// term. A RunTask with a lower one is rejected.
	querySequence types.Seq
	workerSet     protocol.WorkerSetID // the last one received
}

// workerStatus is what the agent knows of its worker.
type workerStatus struct {
	process       types.ID // id of the worker process, empty before the first is known
	lastContactAt types.MonoTime
	// runningTasksKnown is set once the process itself has reported all that runs there.
	runningTasksKnown bool
	report            protocol.WorkerReport
	departsAt         types.MonoTime // when a departing worker will be gone, if known
}

// New starts an agent that knows nothing of its worker yet. newInstance draws instance
// ids, which must never repeat.
func New(
	now types.MonoTime, timeouts protocol.Timeouts, addr types.Addr, shard types.Shard, newInstance func() types.ID,
) *Executor {
	return &Executor{
		timeouts:    timeouts,
		addr:        addr,
		shard:       shard,
		newInstance: newInstance,
		startedAt:   now,
		now:         now,
		association: association{instance: newInstance()},
		health:      newHealth(now, timeouts.DefaultPace()),
		reports:     reportTimes{heartbeatAt: types.DistantPast, statusAt: types.DistantPast},
		attempts:    newAttemptTable(),
		worker:      workerStatus{lastContactAt: types.DistantPast},
		polls:       pollSession{leaseBase: now},
	}
}

// Tick advances time. leader is the leader's address as far as the agent knows, or
// empty.
func (ex *Executor) Tick(now types.MonoTime, leader types.Addr) {
	if leader != ex.leader {
		ex.reports.requestHeartbeat() // a new leader gets a heartbeat at once
		ex.health.pace = ex.timeouts.DefaultPace()
	}
	ex.now, ex.leader = now, leader
	ex.updateWorkerHealth()
	ex.updateHealth()
	ex.enforceLease()
	for _, attempt := range ex.attempts.inOrder() {
		ex.enforceTimeLimit(attempt)
		ex.endIfWorkerLeaseExpired(attempt)
	}
	ex.attempts.expireSeen(now)
	ex.makeDueCalls()
	ex.sendReports()
}

// enforceLease stops all attempts once the agent's lease has ended: the scheduler may count
// them as lost and assign their tasks elsewhere soon after.
func (ex *Executor) enforceLease() {
	leaseEnded := ex.now >= ex.health.leaseUntil && !ex.awaitsFirstLease()
	if !leaseEnded && ex.health.state != protocol.WorkerMustDie {
		return
	}
	for _, attempt := range ex.attempts.inOrder() {
		ex.stopAttempt(attempt)
	}
}

// awaitsFirstLease reports whether the agent was started lately beside a worker that is
// called, and has had no lease yet. What it finds there runs under a lease of the agent
// before it, and may run on under its own.
func (ex *Executor) awaitsFirstLease() bool {
	isRecent := ex.now.Sub(ex.startedAt) <= ex.timeouts.LostAfter
	return ex.link != nil && ex.health.leaseUntil == types.DistantPast && isRecent
}

func (ex *Executor) enforceTimeLimit(attempt *attemptRecord) {
	limit := time.Duration(attempt.spec.TimeLimitMS) * time.Millisecond
	if attempt.state == attemptRunning && limit > 0 && ex.now.Sub(attempt.startedAt) > limit {
		attempt.overTimeLimit = true
		ex.stopAttempt(attempt)
	}
}

// endIfWorkerLeaseExpired ends an attempt once the worker's lease has surely ended: the
// worker, which can't be reached, has stopped it by itself.
func (ex *Executor) endIfWorkerLeaseExpired(attempt *attemptRecord) {
	switch {
	case attempt.state == attemptEnded || !ex.worker.runningTasksKnown:
	case ex.link == nil && ex.polledLeaseExpired():
		ex.endAttempt(attempt, state.OutcomeLost)
	case ex.link != nil && ex.linkLeaseExpired():
		ex.link.counters.LeasesExpired++
		ex.fenceOffStart(attempt)
		ex.endAttempt(attempt, state.OutcomeLeaseExpired)
	}
}

// fenceOffStart keeps the worker from carrying out the start of an attempt late, under a lease
// that it is given after this one: every later call has a higher fencing token.
func (ex *Executor) fenceOffStart(attempt *attemptRecord) {
	if attempt.sentToWorker && attempt.calls.startFence >= ex.link.fence.token {
		ex.link.fence.raise(ex.link.clock.readingMS)
	}
}

var messageHandlers = map[wire.Kind]func(*Executor, wire.Message){
	wire.HeartbeatReply:    wire.HandlerFor((*Executor).onHeartbeatReply),
	wire.RunningTasksQuery: wire.HandlerFor((*Executor).onRunningTasksQuery),
	wire.RunTask:           wire.HandlerFor((*Executor).onRunTask),
	wire.NotRunningQuery:   wire.HandlerFor((*Executor).onNotRunningQuery),
	wire.StatusAck:         wire.HandlerFor((*Executor).onStatusAck),
	wire.KillTask:          wire.HandlerFor((*Executor).onKillTask),
	wire.ReplaceInstance:   wire.HandlerFor((*Executor).onReplaceInstance),
}

// HandleMessage handles a scheduler's message. One of a kind that is not for an agent is
// dropped.
func (ex *Executor) HandleMessage(now types.MonoTime, message wire.Message) {
	ex.now = now
	if handle := messageHandlers[message.Kind]; handle != nil {
		handle(ex, message)
	}
	ex.makeDueCalls()
}

// TakeOutput returns the messages to send since it was last called.
func (ex *Executor) TakeOutput() []wire.OutboundMessage {
	messages := ex.messages
	ex.messages = nil
	return messages
}

func (ex *Executor) send(to types.Addr, kind wire.Kind, body any) {
	ex.messages = append(ex.messages, wire.NewMessage(ex.addr, to, kind, body))
}
