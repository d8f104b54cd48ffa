// Scheduler is the scheduler's half. A new one is made with each leadership; what
// runs it learns from the agents alone, and the log only tells it which attempts it
// must hear of before it may give their tasks out again.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type attemptPhase string

const (
	unconfirmed      attemptPhase = "unknown" // given out before this leadership, not told of yet
	orderSent        attemptPhase = "sent"
	confirmedRunning attemptPhase = "running"
	unsureIfRunning  attemptPhase = "unsure"
)

// RemoteWorker is one shard and the agent instance that has it.
type RemoteWorker struct {
	Shard      types.Shard
	Instance   types.ID
	Addr       types.Addr
	State      Health
	StateSince types.MonoTime
	Report
	DepartsAt           types.MonoTime // when its worker goes, if it said so
	HasBeenHealthy      bool
	LastHealthyAt       types.MonoTime
	lastHeartbeatAt     types.MonoTime
	lastHeartbeatSentAt types.MonoTime
	querySequence       types.Seq
	runningTasksAskedAt types.MonoTime
	queriedAt           types.MonoTime
	openQueries         map[types.Seq][]types.AttemptID
	initialWorkerSet    WorkerSetID
	setVersion          int
	indirectSetVersion  int
	joinedVersion       int // the set that has it first
	leftVersion         int // the first that has it no more, or 0
	Reliability         Reliability
	slowdownLog         float64 // log of how many times the usual its attempts take
	slowdownAt          types.MonoTime
}

// Scheduler is the whole model.
type Scheduler struct {
	timeouts          Timeouts
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

// SchedulerConfig is what a Scheduler starts a leadership with.
type SchedulerConfig struct {
	Timeouts Timeouts
	Addr     types.Addr
	Term     types.Term
	// PriorAuthorityEnd is when an earlier leader can last have had authority.
	PriorAuthorityEnd types.MonoTime
	// Outstanding are the attempts that the log has as given out and not ended.
	Outstanding []OutstandingAttempt
	Cluster     ClusterState
}

// NewScheduler starts a leadership.
func NewScheduler(now types.MonoTime, config SchedulerConfig) *Scheduler {
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

func (sc *Scheduler) header(s *RemoteWorker) Header { return Header{sc.term, s.Instance} }

// TakeOutput drains the step: what to send, and the ends to commit.
func (sc *Scheduler) TakeOutput() (sends []wire.OutboundMessage, ends []state.AttemptEnd) {
	sends, ends = sc.sends, sc.ends
	sc.sends, sc.ends = nil, nil
	return
}

func (sc *Scheduler) onHeartbeat(from types.Addr, b Heartbeat) {
	s := sc.workers[b.Shard]
	switch {
	case s == nil:
		s = sc.register(from, b)
	case s.Instance != b.Instance && sc.replacedInstances[b.Instance]:
		sc.sends = append(sc.sends, wire.NewMessage(sc.addr, from, wire.ReplaceInstance, RequestSuicide{Header{sc.term, b.Instance}}))
		return
	case s.Instance != b.Instance && (s.State == MustDie || b.PreviousInstance == s.Instance || sc.succeedsAtAddress(s, from)):
		sc.replacedInstances[s.Instance] = true
		if s.State != MustDie {
			sc.markUnconfirmed(s)
		}
		s = sc.register(from, b)
	case s.Instance != b.Instance:
		return
	}
	s.lastHeartbeatAt = sc.now
	if s.State == MustDie {
		sc.send(s, wire.ReplaceInstance, RequestSuicide{sc.header(s)})
		return
	}
	if b.SentAt <= s.lastHeartbeatSentAt {
		return
	}
	s.Addr, s.lastHeartbeatSentAt, s.Report = from, b.SentAt, b.Report
	s.DepartsAt = sc.now.Add(time.Duration(b.DepartsInMS)*time.Millisecond - sc.timeouts.HeartbeatInterval)
	if b.Healthy {
		s.LastHealthyAt = sc.now
	}
	if b.WorkerSet.Term == sc.term && b.WorkerSet.Version > s.setVersion && b.WorkerSet.Version <= sc.workerSets.version {
		s.setVersion = b.WorkerSet.Version
		sc.workerSets.propagate(s)
	}
	for _, x := range b.Durations {
		if o := sc.attempts.byID[x.Attempt]; o != nil && o.Shard == b.Shard {
			sc.recordDuration(o, time.Duration(x.MS)*time.Millisecond, false)
		}
	}
	for _, x := range b.Checkpoints {
		if o := sc.attempts.byID[x.Attempt]; o != nil {
			o.Checkpoint = x.Ref
		}
	}
	if s.State == New {
		sc.askRunningTasks(s)
	}
	sc.updateHealth(s)
	sc.replyToHeartbeat(s, b.Healthy)
}

// succeedsAtAddress tells that another agent instance at a seat's own address has come after
// it: one process stands at an address. While the present one beats, the other's
// beat was only late.
func (sc *Scheduler) succeedsAtAddress(s *RemoteWorker, from types.Addr) bool {
	return s.Addr == from && sc.now.Sub(s.lastHeartbeatAt) > 2*sc.timeouts.HeartbeatInterval
}

// replyToHeartbeat renews the agent's grant, but only for a beat that told of a sound
// worker: the time to loss counts from the same beat.
func (sc *Scheduler) replyToHeartbeat(s *RemoteWorker, healthy bool) {
	a := HeartbeatReply{Header: sc.header(s), HeartbeatSentAt: s.lastHeartbeatSentAt, Associated: s.State != New, WorkerSet: sc.currentWorkerSet()}
	if healthy && s.State != New {
		a.LeaseUntil = s.lastHeartbeatSentAt.Add(min(sc.timeouts.AgentLease, sc.authorityLeft))
	}
	sc.send(s, wire.HeartbeatReply, a)
}

func (sc *Scheduler) register(from types.Addr, b Heartbeat) *RemoteWorker {
	s := &RemoteWorker{Shard: b.Shard, Instance: b.Instance, Addr: from, State: New, StateSince: sc.now, LastHealthyAt: sc.now, initialWorkerSet: b.WorkerSet, Reliability: Reliability{RelativeDuration: 1},
		runningTasksAskedAt: -1 << 62, lastHeartbeatSentAt: -1 << 62, openQueries: map[types.Seq][]types.AttemptID{}}
	old := sc.workers[b.Shard]
	i, _ := slices.BinarySearchFunc(sc.sortedWorkers, b.Shard, func(x *RemoteWorker, k types.Shard) int { return cmp.Compare(x.Shard, k) })
	if old != nil {
		sc.sortedWorkers[i] = s
	} else {
		sc.sortedWorkers = slices.Insert(sc.sortedWorkers, i, s)
	}
	sc.workers[b.Shard] = s
	sc.workerSets.add(s, old)
	return s
}

// markUnconfirmed makes a replaced agent's attempts unknown until its successor's account.
func (sc *Scheduler) markUnconfirmed(s *RemoteWorker) {
	for _, o := range sc.attempts.onShard(s.Shard) {
		sc.attempts.setPhase(o, unconfirmed)
	}
}

func (sc *Scheduler) askRunningTasks(s *RemoteWorker) {
	if sc.now.Sub(s.runningTasksAskedAt) >= sc.timeouts.RetryInterval/3 {
		s.runningTasksAskedAt = sc.now
		sc.send(s, wire.RunningTasksQuery, GetRunningTasks{sc.header(s)})
	}
}

// senderOf finds the seat that an agent's message speaks for.
func (sc *Scheduler) senderOf(t types.Term, shard types.Shard, id types.ID) *RemoteWorker {
	if s := sc.workers[shard]; s != nil && s.Instance == id && t == sc.term {
		return s
	}
	return nil
}

func (sc *Scheduler) onRunningTasksReply(_ types.Addr, a RunningTasksReply) {
	s := sc.senderOf(a.Term, a.Shard, a.Instance)
	if s == nil || s.State != New {
		return
	}
	told := map[types.AttemptID]bool{}
	for _, r := range a.Tasks {
		told[r.Attempt] = true
		if o := sc.attempts.byID[r.Attempt]; o != nil && o.Shard == s.Shard {
			sc.attempts.setPhase(o, confirmedRunning)
		} else if o == nil {
			sc.attempts.add(&OutstandingAttempt{Attempt: r.Attempt, Shard: s.Shard, Stage: -1, Resources: r.Resources, Phase: confirmedRunning, OrderedAt: sc.now})
		}
	}
	outcome := state.OutcomeLost
	if sc.cluster.CalledByAgent(s.Shard) {
		outcome = state.OutcomeLeaseExpired
	}
	if a.Complete {
		outcome = state.OutcomeNeverRan
		sc.resolveUnreported(s.Shard, told)
	}
	for _, o := range sc.attempts.onShard(s.Shard) {
		if !told[o.Attempt] {
			sc.reportEnd(o.Attempt, outcome)
		}
	}
	s.State, s.StateSince = Unhealthy, sc.now
	sc.updateHealth(s)
	sc.replyToHeartbeat(s, s.Healthy)
}

// resolveUnreported ends the doubt about attempts that were lost on a shard and are not in its
// worker's own account: they did not end well and never will.
func (sc *Scheduler) resolveUnreported(shard types.Shard, told map[types.AttemptID]bool) {
	for _, l := range sc.cluster.UnresolvedAttempts(shard) {
		if !told[l] {
			sc.reportEnd(l, state.OutcomeNeverRan)
		}
	}
}

// lossOutcome is the outcome of an attempt whose worker is out of reach. One that is called
// has no lease any more by then, and what it did is not settled there.
func (sc *Scheduler) lossOutcome(shard types.Shard) state.Outcome {
	switch {
	case sc.cluster.CalledByAgent(shard):
		return state.OutcomeLeaseExpired
	case sc.cluster.ZonePartitioned(shard):
		return state.OutcomePartitioned
	}
	return state.OutcomeLost
}

// reportEnd says that an attempt has ended; it is held until that is committed.
func (sc *Scheduler) reportEnd(l types.AttemptID, f state.Outcome) {
	e := state.AttemptEnd{ID: l, Outcome: f}
	if o := sc.attempts.byID[l]; o != nil {
		e.Checkpoint = o.Checkpoint
	}
	sc.ends = append(sc.ends, e)
}

// OnEndsCommitted forgets attempts whose end is committed and tells their agents.
func (sc *Scheduler) OnEndsCommitted(list []state.AttemptEnd) {
	by := map[types.Shard][]state.AttemptEnd{}
	for _, e := range list {
		if o := sc.attempts.byID[e.ID]; o != nil {
			sc.recordOutcome(o, e.Outcome)
			by[o.Shard] = append(by[o.Shard], e)
			sc.attempts.remove(e.ID)
		}
	}
	for _, k := range sortedShards(by) {
		if s := sc.workers[k]; s != nil && s.State != MustDie {
			sc.send(s, wire.StatusAck, CommittedEnds{sc.header(s), by[k]})
		}
	}
}

// RunTask marks an attempt running and sends it, once.
func (sc *Scheduler) RunTask(shard types.Shard, at types.Stage, usual string, j AttemptSpec) {
	o := &OutstandingAttempt{Attempt: j.Attempt, Shard: shard, Stage: at, Resources: j.Resources, Phase: orderSent, BaselineName: usual, TimeLimit: time.Duration(j.TimeLimitMS) * time.Millisecond, OrderedAt: sc.now}
	sc.attempts.add(o)
	s := sc.workers[shard]
	if s == nil || s.State != Healthy || s.Draining || sc.authorityLeft <= 0 {
		sc.reportEnd(j.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.send(s, wire.RunTask, RunTask{sc.header(s), s.querySequence, s.lastHeartbeatSentAt.Add(min(sc.timeouts.AgentLease, sc.authorityLeft)), j})
}

func (sc *Scheduler) onRunTaskReply(_ types.Addr, r RunTaskReply) {
	s, o := sc.senderOf(r.Term, r.Shard, r.Instance), sc.attempts.byID[r.Attempt]
	if s == nil || o == nil || o.Shard != s.Shard || o.Phase == confirmedRunning {
		return
	}
	if r.Refusal != "" {
		s.Healthy = false // until the next beat says otherwise
		sc.reportEnd(r.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.attempts.setPhase(o, confirmedRunning)
}

func (sc *Scheduler) onNotifyReply(_ types.Addr, q NotifyIfTasksNotRunningReply) {
	s := sc.senderOf(q.Term, q.Shard, q.Instance)
	if s == nil {
		return
	}
	for _, l := range s.openQueries[q.Sequence] {
		if o := sc.attempts.byID[l]; o != nil && o.Phase == unsureIfRunning {
			sc.attempts.setPhase(o, confirmedRunning)
		}
	}
	delete(s.openQueries, q.Sequence)
}

// onUpdateStatus takes ends. Those already committed are settled at once; an attempt's
// number is used once, so an end counts whoever of the shard's agents tells it.
// Of an agent not known yet only what its worker did is taken, for the agent may
// not live until it is.
func (sc *Scheduler) onUpdateStatus(from types.Addr, u UpdateStatus) {
	s := sc.workers[u.Shard]
	known := s != nil && (s.Instance != u.Instance || s.State != New)
	var done []state.AttemptEnd
	for _, e := range u.Ends {
		if !known && !e.Outcome.ReportedByWorker() {
			continue
		}
		if sc.cluster.EndRecorded(e) {
			sc.attempts.remove(e.ID)
			done = append(done, e)
		} else {
			sc.ends = append(sc.ends, e)
		}
	}
	if done != nil {
		sc.sends = append(sc.sends, wire.NewMessage(sc.addr, from, wire.StatusAck, CommittedEnds{Header{sc.term, u.Instance}, done}))
	}
}

// RemoteWorker finds a shard's, or gives nil.
func (sc *Scheduler) Worker(shard types.Shard) *RemoteWorker { return sc.workers[shard] }

// Workers lists the seats in order; the list is the head's own.
func (sc *Scheduler) Workers() []*RemoteWorker { return sc.sortedWorkers }
