// Executor is the half beside each worker. It holds the one true account of what
// runs there: an attempt is in it from its order until its end is settled.
package dispatch

import (
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type attemptState string

const (
	attemptWaiting  attemptState = "waiting" // ordered, not yet taken up by the worker
	attemptRunning  attemptState = "running"
	attemptStopping attemptState = "stopping"
	attemptEnded    attemptState = "ended"
)

type attempt struct {
	spec          AttemptSpec
	state         attemptState
	startBefore   types.MonoTime
	startedAt     types.MonoTime
	outcome       state.Outcome
	overTimeLimit bool // past its time limit: however it is stopped, it failed
	sentToWorker  bool
	committed     bool
	runsAfterEnd  bool // the worker runs it although it has ended here

	// of a worker that is called
	startFence        uint64         // under which it was started
	killAskedAt       types.MonoTime // when its stop was last asked for
	seenRunningAt     types.MonoTime // when the worker last said that it runs
	killAcceptedAt    types.MonoTime // when the worker took its stop
	startUnsure       bool           // its start had no clear answer
	endNumber         uint64         // the number of its end
	checkpoint        string         // what it has saved
	checkpointAt      types.MonoTime // when that last changed
	percentDone       float64        // how far it is, in percent
	progressReadAt    types.MonoTime // when that was told
	progressChangedAt types.MonoTime // when it last changed
	reportedDuration  time.Duration  // how long it takes in all, as was told last
}

// Executor is one agent's half.
type Executor struct {
	timeouts         Timeouts
	addr             types.Addr
	shard            types.Shard
	instance         types.ID
	newInstance      func() types.ID
	previousInstance types.ID

	now               types.MonoTime
	startedAt         types.MonoTime
	term              types.Term
	leader            types.Addr
	state             Health
	stateSince        types.MonoTime
	lastGrantSentAt   types.MonoTime
	leaseUntil        types.MonoTime
	querySequence     types.Seq
	workerSet         WorkerSetID
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
	report            Report
	hasUpdate         bool
	link              *WorkerLink // of a worker that is called
	sends             []wire.OutboundMessage
}

const never = types.MonoTime(-1 << 61)

// NewHand starts an agent that knows nothing of its worker yet.
func NewExecutor(now types.MonoTime, pace Timeouts, me types.Addr, shard types.Shard, mint func() types.ID) *Executor {
	return &Executor{timeouts: pace, addr: me, shard: shard, instance: mint(), newInstance: mint, now: now, startedAt: now, state: New, stateSince: now,
		lastGrantSentAt: now, leaseUntil: never, lastHeartbeatAt: never, lastStatusAt: never, workerHeardAt: never, workerLeaseBase: now,
		attempts: map[types.AttemptID]*attempt{}, seenAttempts: map[types.AttemptID]types.MonoTime{}}
}

// add takes an attempt into the account, forget out of it.
func (ex *Executor) add(l *attempt) {
	if ex.attempts[l.spec.Attempt] == nil {
		i, _ := slices.BinarySearchFunc(ex.sortedAttempts, l, compareAttempts)
		ex.sortedAttempts = slices.Insert(ex.sortedAttempts, i, l)
	}
	ex.attempts[l.spec.Attempt] = l
}

func (ex *Executor) remove(k types.AttemptID) {
	if l := ex.attempts[k]; l != nil {
		i, _ := slices.BinarySearchFunc(ex.sortedAttempts, l, compareAttempts)
		ex.sortedAttempts = slices.Delete(ex.sortedAttempts, i, i+1)
		delete(ex.attempts, k)
	}
}

func compareAttempts(a, b *attempt) int { return a.spec.Attempt.Compare(b.spec.Attempt) }

// attemptsInOrder lists the attempts in order; the list is a copy.
func (ex *Executor) attemptsInOrder() []*attempt { return slices.Clone(ex.sortedAttempts) }

func (ex *Executor) send(to types.Addr, kind wire.Kind, body any) {
	ex.sends = append(ex.sends, wire.NewMessage(ex.addr, to, kind, body))
}

func (ex *Executor) setState(s Health) {
	if ex.state != s {
		ex.state, ex.stateSince = s, ex.now
	}
}

// endAttempt ends an attempt in the account and has it told. Lost is not the last word:
// the attempt stays until the worker is heard again and says what became of it.
func (ex *Executor) endAttempt(l *attempt, f state.Outcome) {
	if l.overTimeLimit && f != state.OutcomeOK {
		f = state.OutcomeFailed
	}
	l.state, l.outcome, l.committed, l.startUnsure, ex.lastStatusAt = attemptEnded, f, false, false, never
}

// stopAttempt has an attempt stopped. One that the worker was never shown ends at once.
func (ex *Executor) stopAttempt(l *attempt) {
	switch {
	case l.state == attemptWaiting && !l.sentToWorker:
		ex.endAttempt(l, state.OutcomeNeverRan)
	case l.state == attemptWaiting || l.state == attemptRunning:
		l.state, ex.hasUpdate = attemptStopping, true
	}
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
	case ex.state == MustDie:
		ex.restartAsNewInstance()
	case ex.state == New:
	case quiet > ex.timeouts.LostAfter:
		ex.setState(MustDie)
	case quiet > ex.timeouts.UnhealthyAfter:
		ex.setState(Unhealthy)
	default:
		ex.setState(Healthy)
	}
	if now >= ex.leaseUntil && !ex.awaitsFirstLease() || ex.state == MustDie {
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

// awaitsFirstLease is true for an agent that starts anew beside a worker that is called, until
// its first grant: what it finds there runs under a lease of the one before it,
// and may run on under its own.
func (ex *Executor) awaitsFirstLease() bool {
	return ex.link != nil && ex.leaseUntil == never && ex.now.Sub(ex.startedAt) <= ex.timeouts.LostAfter
}

// restartAsNewInstance comes back as a new instance once nothing can be running any more.
func (ex *Executor) restartAsNewInstance() {
	for _, l := range ex.attempts {
		if l.state != attemptEnded {
			return
		}
	}
	ex.instance, ex.previousInstance, ex.workerSet, ex.querySequence = ex.newInstance(), "", WorkerSetID{}, 0
	ex.lastGrantSentAt, ex.leaseUntil, ex.lastHeartbeatAt = ex.now, never, never
	ex.setState(New)
}

func (ex *Executor) sendReports() {
	if ex.leader == "" {
		return
	}
	if l := ex.capacityShortfall(); l != ex.report.Shortfall {
		ex.report.Shortfall, ex.lastHeartbeatAt = l, never
	}
	if ex.now.Sub(ex.lastHeartbeatAt) >= ex.timeouts.HeartbeatInterval && ex.canReportRunningTasks() {
		ex.lastHeartbeatAt = ex.now
		if ex.report.DepartsInMS > 0 {
			ex.report.DepartsInMS = max(1, ex.workerDepartsAt.Sub(ex.now).Milliseconds())
		}
		ex.send(ex.leader, wire.Heartbeat, Heartbeat{ex.shard, ex.instance, ex.previousInstance, ex.now, ex.workerSet, ex.report, ex.recentCheckpoints(), ex.durationEstimates()})
	}
	if ex.now.Sub(ex.lastStatusAt) < ex.timeouts.RetryInterval {
		return
	}
	var list []state.AttemptEnd
	for _, l := range ex.attemptsInOrder() {
		if l.state == attemptEnded && !l.committed && len(list) < 500 {
			list = append(list, state.AttemptEnd{ID: l.spec.Attempt, Outcome: l.outcome, Checkpoint: l.checkpoint})
		}
	}
	if list != nil {
		ex.lastStatusAt = ex.now
		ex.send(ex.leader, wire.StatusReport, UpdateStatus{ex.shard, ex.instance, list})
	}
}

// canReportRunningTasks is false while the agent can't tell what runs: its worker has not
// called yet and could still hold a grant of an earlier agent.
func (ex *Executor) canReportRunningTasks() bool {
	return ex.runningTasksKnown || ex.now.Sub(ex.startedAt) > ex.timeouts.LostAfter
}

// TakeOutput drains what there is to send.
func (ex *Executor) TakeOutput() []wire.OutboundMessage {
	s := ex.sends
	ex.sends = nil
	return s
}

// ExecutorView is the account as the agent's own status page shows it.
type ExecutorView struct {
	Shard     types.Shard `json:"shard"`
	Instance  types.ID    `json:"instance"`
	Term      types.Term  `json:"term"`
	State     Health      `json:"state"`
	InStateMS int64       `json:"for_ms"`
	Report
	LeaseLeftMS int64         `json:"grant_left_ms"`
	Worker      types.ID      `json:"worker"`
	Lease       *WorkerLease  `json:"lease,omitempty"`
	Attempts    []AttemptView `json:"legs"`
}

type AttemptView struct {
	Attempt types.AttemptID `json:"leg"`
	State   string          `json:"part"`
	Outcome state.Outcome   `json:"fate,omitempty"`
}

func (ex *Executor) View() ExecutorView {
	v := ExecutorView{Shard: ex.shard, Instance: ex.instance, Term: ex.term, State: ex.state, InStateMS: ex.now.Sub(ex.stateSince).Milliseconds(),
		Report: ex.report, Worker: ex.workerInstance, Lease: ex.WorkerLease(), Attempts: []AttemptView{}}
	v.LeaseLeftMS = max(0, ex.leaseUntil.Sub(ex.now).Milliseconds())
	for _, l := range ex.attemptsInOrder() {
		v.Attempts = append(v.Attempts, AttemptView{l.spec.Attempt, string(l.state), l.outcome})
	}
	return v
}
