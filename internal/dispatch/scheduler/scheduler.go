// Scheduler is the scheduler's half. A new one is made with each leadership; what
// runs it learns from the agents alone, and the log only tells it which attempts it
// must hear of before it may give their tasks out again.
package scheduler

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Scheduler is the whole model.
type Scheduler struct {
	timeouts          protocol.Timeouts
	addr              types.Addr
	term              types.Term
	startedAt         types.MonoTime
	priorAuthorityEnd types.MonoTime // when an earlier leader can last have had authority
	now               types.MonoTime
	authorityLeft     time.Duration
	InInitialWait     bool
	InitialWaitReason string
	lastSweepAt       types.MonoTime
	workers           map[types.Shard]*RemoteWorker
	sortedWorkers     []*RemoteWorker // the same, by shard
	replacedInstances map[types.ID]bool
	attempts          attemptIndex
	workerSets        workerSetHistory
	ends              []state.AttemptEnd
	baselines         map[string]*baseline
	stageDurations    map[stageKey]*stageTimes
	lastPruneAt       types.MonoTime
	sends             []wire.OutboundMessage
	cluster           ClusterState
}

// ClusterState is what a Scheduler asks of the replicated state and of the membership.
// It answers as of the present step.
type ClusterState interface {
	// UnresolvedAttempts lists the attempts that were lost on a shard and whose true
	// ends are still awaited.
	UnresolvedAttempts(types.Shard) []types.AttemptID
	// ZonePartitioned reports whether a shard is silent together with its whole zone.
	ZonePartitioned(types.Shard) bool
	// CalledByAgent reports whether a shard's worker is called by its agent rather
	// than polling it.
	CalledByAgent(types.Shard) bool
	// EndRecorded reports whether the log already has an end, or has no use for it.
	EndRecorded(state.AttemptEnd) bool
}

// Config is what a Scheduler starts a leadership with.
type Config struct {
	Timeouts protocol.Timeouts
	Addr     types.Addr
	Term     types.Term
	// PriorAuthorityEnd is when an earlier leader can last have had authority.
	PriorAuthorityEnd types.MonoTime
	// Outstanding are the attempts that the log has as given out and not ended.
	Outstanding []OutstandingAttempt
	Cluster     ClusterState
}

// New starts a leadership.
func New(now types.MonoTime, config Config) *Scheduler {
	sc := &Scheduler{
		timeouts:          config.Timeouts,
		addr:              config.Addr,
		term:              config.Term,
		startedAt:         now,
		priorAuthorityEnd: min(now, config.PriorAuthorityEnd),
		now:               now,
		InInitialWait:     true,
		workers:           map[types.Shard]*RemoteWorker{},
		replacedInstances: map[types.ID]bool{},
		attempts:          newAttemptIndex(),
		workerSets:        workerSetHistory{byIndirectVersion: map[int][]*RemoteWorker{}},
		baselines:         map[string]*baseline{},
		stageDurations:    map[stageKey]*stageTimes{},
		lastSweepAt:       now.Add(-sweepInterval),
		cluster:           config.Cluster,
	}
	for _, o := range config.Outstanding {
		o.Phase, o.OrderedAt = unconfirmed, now
		sc.attempts.add(&o)
	}
	return sc
}

func (sc *Scheduler) send(s *RemoteWorker, kind wire.Kind, body any) {
	sc.sends = append(sc.sends, wire.NewMessage(sc.addr, s.Addr, kind, body))
}

func (sc *Scheduler) header(s *RemoteWorker) protocol.Header {
	return protocol.Header{Term: sc.term, To: s.Instance}
}

// TakeOutput drains the step: what to send, and the ends to commit.
func (sc *Scheduler) TakeOutput() (sends []wire.OutboundMessage, ends []state.AttemptEnd) {
	sends, ends = sc.sends, sc.ends
	sc.sends, sc.ends = nil, nil
	return
}

// sweepInterval is how much time passes before all seats are looked at again.
const sweepInterval = 10 * time.Millisecond

// Tick lets time pass. Grace is how long the leader's own authority lasts.
func (sc *Scheduler) Tick(now types.MonoTime, grace time.Duration) {
	sc.now, sc.authorityLeft = now, grace
	if now.Sub(sc.lastSweepAt) < sweepInterval {
		return
	}
	sc.lastSweepAt = now
	for _, s := range sc.sortedWorkers {
		sc.updateHealth(s)
		if s.State == protocol.WorkerNew {
			sc.askRunningTasks(s)
		}
	}
	sc.resolveUnsure()
	if now.Sub(sc.lastPruneAt) > time.Second {
		sc.lastPruneAt = now
		sc.pruneStages()
	}
	if sc.InInitialWait {
		sc.endInitialWait()
	}
}

var schedulerHandlers = map[wire.Kind]func(*Scheduler, wire.Message){
	wire.Heartbeat:         wire.HandlerFor((*Scheduler).onHeartbeat),
	wire.RunningTasksReply: wire.HandlerFor((*Scheduler).onRunningTasksReply),
	wire.RunTaskReply:      wire.HandlerFor((*Scheduler).onRunTaskReply),
	wire.NotRunningReply:   wire.HandlerFor((*Scheduler).onNotifyReply),
	wire.StatusReport:      wire.HandlerFor((*Scheduler).onUpdateStatus),
}

// HandleMessage handles an agent's note.
func (sc *Scheduler) HandleMessage(now types.MonoTime, grace time.Duration, n wire.Message) {
	sc.now, sc.authorityLeft = now, grace
	if f := schedulerHandlers[n.Kind]; f != nil {
		f(sc, n)
	}
}
