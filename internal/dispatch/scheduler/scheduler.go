// Package scheduler is the scheduler half of the dispatcher, which runs on the leader of the
// cluster; package dispatch describes both halves.
//
// A new Scheduler is created for each leadership. It learns only from the agents which attempts are
// running; the replicated log provides only the attempts that must be confirmed, or counted as
// lost, before their tasks may be assigned again. It is a state machine: its methods take an event
// and return nothing, and TakeOutput returns the messages to send and the ends to commit. It does
// no I/O and reads no clock.
//
// Each file covers one concern: the workers and their association (remote_worker, association,
// running_tasks), worker health (health_check, initial_wait, worker_set), the attempts that may be
// running (outstanding_attempt, attempt_index, run_task, unsure, ends), and the performance of
// workers derived from the ends and durations of attempts (reliability, stage_durations, straggler,
// slow_workers).
package scheduler

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/policy"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// sweepInterval is the minimum time between two sweeps over all workers.
	sweepInterval = 10 * time.Millisecond
	// pruneInterval is the minimum time between two removals of old stage durations.
	pruneInterval = time.Second
)

// ClusterState is the scheduler's read access to the replicated state and the cluster membership.
// Its answers are valid for the current step.
type ClusterState interface {
	// UnresolvedAttempts lists the attempts that were counted as lost on a shard and whose actual
	// ends are still awaited.
	UnresolvedAttempts(types.Shard) []types.AttemptID
	// ZonePartitioned reports whether a shard is unreachable together with its whole zone.
	ZonePartitioned(types.Shard) bool
	// CalledByAgent reports whether a shard's worker is called by its agent rather
	// than polling it.
	CalledByAgent(types.Shard) bool
	// EndRecorded reports whether the log already has an end or has no use for it.
	EndRecorded(state.AttemptEnd) bool
}

// Config holds the settings and the initial state of a Scheduler.
type Config struct {
	Timeouts protocol.Timeouts
	Addr     types.Addr
	Term     types.Term
	// PriorLeaderHeardAt is the latest time at which an earlier leader can have had a round
	// answered by a quorum (raft.Node.PriorLeaderHeardAt). All leases that it granted have
	// expired LostAfter later.
	PriorLeaderHeardAt types.MonoTime
	// Outstanding are the attempts that the log has as assigned and not ended.
	Outstanding []OutstandingAttempt
	Cluster     ClusterState
	Policy      policy.Policy
}

// Scheduler is the scheduler half for one leadership.
type Scheduler struct {
	timeouts protocol.Timeouts
	addr     types.Addr
	term     types.Term
	cluster  ClusterState
	policy   policy.Policy

	now                types.MonoTime // time of the current step
	authorityRemaining time.Duration  // see Tick

	pace       protocol.HeartbeatPace
	wait       initialWait
	workers    workerTable
	workerSets workerSetHistory
	attempts   attemptIndex
	baselines  baselines
	stages     stageDurations

	slowReviewedAt types.MonoTime
	means          []workerMean // of the last review; the memory is reused

	lastSweepAt types.MonoTime
	messages    []wire.OutboundMessage // to send
	ends        []state.AttemptEnd     // to commit
}

// New returns the Scheduler of a new leadership.
func New(now types.MonoTime, config Config) *Scheduler {
	sc := &Scheduler{
		timeouts:    config.Timeouts,
		addr:        config.Addr,
		term:        config.Term,
		cluster:     config.Cluster,
		policy:      config.Policy,
		now:         now,
		pace:        config.Timeouts.DefaultPace(),
		wait:        newInitialWait(now, config.PriorLeaderHeardAt),
		workers:     newWorkerTable(),
		workerSets:  newWorkerSetHistory(),
		attempts:    newAttemptIndex(),
		baselines:   baselines{},
		stages:      newStageDurations(),
		lastSweepAt: now.Add(-sweepInterval),
	}
	for _, attempt := range config.Outstanding {
		attempt.phase, attempt.DispatchedAt = unconfirmed, now
		sc.attempts.add(&attempt)
	}
	return sc
}

// Tick advances time, and sweeps over the workers if sweepInterval has passed. authorityRemaining
// is how long the leader's own authority lasts from now: no lease that the scheduler grants
// outlasts it.
func (sc *Scheduler) Tick(now types.MonoTime, authorityRemaining time.Duration) {
	sc.now, sc.authorityRemaining = now, authorityRemaining
	if now.Sub(sc.lastSweepAt) < sweepInterval {
		return
	}
	sc.lastSweepAt = now
	for _, worker := range sc.workers.sorted {
		sc.updateHealth(worker)
		if worker.State == protocol.WorkerNew {
			sc.queryRunningTasks(worker)
		}
	}
	sc.resolveUnsure()
	sc.stages.prune(now)
	sc.reviewSlowWorkers()
	if !sc.wait.leasesExpired {
		sc.advanceInitialWait()
	}
}

var messageHandlers = map[wire.Kind]func(*Scheduler, wire.Message){
	wire.Heartbeat:         wire.HandlerFor((*Scheduler).onHeartbeat),
	wire.RunningTasksReply: wire.HandlerFor((*Scheduler).onRunningTasksReply),
	wire.RunTaskReply:      wire.HandlerFor((*Scheduler).onRunTaskReply),
	wire.NotRunningReply:   wire.HandlerFor((*Scheduler).onNotRunningReply),
	wire.StatusReport:      wire.HandlerFor((*Scheduler).onStatusReport),
}

// HandleMessage handles a message of an agent. Messages of a kind that is not for a scheduler are
// dropped. For authorityRemaining see Tick.
func (sc *Scheduler) HandleMessage(now types.MonoTime, authorityRemaining time.Duration, message wire.Message) {
	sc.now, sc.authorityRemaining = now, authorityRemaining
	if handle := messageHandlers[message.Kind]; handle != nil {
		handle(sc, message)
	}
}

// TakeOutput returns the messages to send and the ends to commit that were added since the last
// call. The same end may be returned repeatedly until OnEndsCommitted.
func (sc *Scheduler) TakeOutput() (messages []wire.OutboundMessage, ends []state.AttemptEnd) {
	messages, ends = sc.messages, sc.ends
	sc.messages, sc.ends = nil, nil
	return messages, ends
}

func (sc *Scheduler) send(to *RemoteWorker, kind wire.Kind, body any) {
	sc.messages = append(sc.messages, wire.NewMessage(sc.addr, to.Addr, kind, body))
}

func (sc *Scheduler) header(to *RemoteWorker) protocol.Header {
	return protocol.Header{Term: sc.term, To: to.Instance}
}

// newLeaseEnd returns the expiry of a lease that is granted to a worker's agent now. It is counted
// from the agent's latest heartbeat, on the agent's own clock.
func (sc *Scheduler) newLeaseEnd(worker *RemoteWorker) types.MonoTime {
	return worker.lastHeartbeat.sentAt.Add(min(sc.timeouts.AgentLease, sc.authorityRemaining))
}
