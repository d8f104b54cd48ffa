// What the scheduler's half does as time passes: the health machine, the end
// of the initial wait, unsure attempts asked about until none is left, and stops
// repeated until the end is told.
package dispatch

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

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
		if s.State == New {
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

// updateHealth moves one seat through the health machine.
func (sc *Scheduler) updateHealth(s *RemoteWorker) {
	quiet := sc.now.Sub(s.LastHealthyAt)
	var to Health
	switch {
	case s.State == MustDie:
		return
	case quiet > sc.timeouts.LostAfter:
		to = MustDie
	case s.State == New:
		return
	case quiet > sc.timeouts.UnhealthyAfter:
		to = Unhealthy
	case s.HasBeenHealthy || sc.workerSets.permitsHealthy(s):
		to, s.HasBeenHealthy = Healthy, true
	default:
		to = Unhealthy
	}
	if to != s.State {
		s.State, s.StateSince = to, sc.now
	}
	if to == MustDie {
		sc.markLost(s)
	}
}

// markLost forgets what a lost worker ran; its grants have lapsed by now.
func (sc *Scheduler) markLost(s *RemoteWorker) {
	outcome := sc.lossOutcome(s.Shard)
	for _, o := range sc.attempts.onShard(s.Shard) {
		sc.reportEnd(o.Attempt, outcome)
	}
	sc.workerSets.removeLost(s)
	sc.send(s, wire.ReplaceInstance, RequestSuicide{sc.header(s)})
}

// endInitialWait ends the initial wait: by time, counted from when an earlier leader can
// last have let anybody run anything, when every worker that still did so has had
// to stop; or early, when all agents that came carry the same
// worker set, it is just the set of those that came, and no attempt in the log
// waits to be heard of. The last is more than the paper asks.
func (sc *Scheduler) endInitialWait() {
	late := sc.now.Sub(sc.priorAuthorityEnd) > sc.timeouts.LostAfter+sc.timeouts.HeartbeatInterval
	sc.InitialWaitReason = sc.initialWaitReason()
	if !late && sc.InitialWaitReason != "" {
		return
	}
	sc.InInitialWait, sc.InitialWaitReason = false, ""
	for _, o := range sc.attempts.unconfirmedWithoutWorker(sc.workers) {
		sc.reportEnd(o.Attempt, sc.lossOutcome(o.Shard))
	}
}

// initialWaitReason says why the wait can't be cut short, or nothing.
func (sc *Scheduler) initialWaitReason() string {
	want := sc.currentWorkerSet()
	if want.Size == 0 {
		return "no agent has come yet"
	}
	for _, s := range sc.sortedWorkers {
		if s.State == MustDie {
			continue
		}
		if s.State == New {
			return "agent of " + string(s.Shard) + " has not told what runs"
		}
		if s.initialWorkerSet.Hash != want.Hash || s.initialWorkerSet.Size != want.Size {
			return "the agents do not agree on the worker set"
		}
	}
	if n := sc.attempts.unconfirmed; n > 0 {
		return fmt.Sprintf("%d legs given out before are not heard of", n)
	}
	return ""
}

// resolveUnsure repeats orders' doubts and stops.
func (sc *Scheduler) resolveUnsure() {
	for _, o := range sc.attempts.takeOverdue(sc.now.Add(-sc.timeouts.RetryInterval)) {
		sc.attempts.setPhase(o, unsureIfRunning)
	}
	for _, k := range sortedShards(sc.attempts.unsureShards) {
		s := sc.workers[k]
		if s == nil || s.State == MustDie || s.State == New || sc.now.Sub(s.queriedAt) < sc.timeouts.RetryInterval {
			continue
		}
		var attempts []types.AttemptID
		for _, o := range sc.attempts.onShard(k) {
			if o.Phase == unsureIfRunning {
				attempts = append(attempts, o.Attempt)
			}
		}
		s.queriedAt = sc.now
		s.querySequence++
		if len(s.openQueries) > 16 {
			clear(s.openQueries)
		}
		s.openQueries[s.querySequence] = attempts
		sc.send(s, wire.NotRunningQuery, NotifyIfTasksNotRunning{sc.header(s), s.querySequence, attempts})
	}
}

// KillTasks asks for attempts to be stopped, again and again until they have ended; late
// ones are past the time their queue allows. Attempts of this leadership that were
// never sent are left alone.
func (sc *Scheduler) KillTasks(attempts, late []types.AttemptID) {
	by := map[types.Shard][]types.AttemptID{}
	for _, l := range append(attempts, late...) {
		o := sc.attempts.byID[l]
		if o == nil || o.killSentAt != 0 && sc.now.Sub(o.killSentAt) < sc.timeouts.RetryInterval/2 {
			continue
		}
		o.killSentAt = sc.now
		by[o.Shard] = append(by[o.Shard], l)
	}
	for _, k := range sortedShards(by) {
		if s := sc.workers[k]; s != nil && s.State != MustDie && s.State != New {
			sc.send(s, wire.KillTask, KillTasks{sc.header(s), by[k], late})
		}
	}
}

// UnknownAttempts lists attempts that an agent runs but the log does not have as given out.
func (sc *Scheduler) UnknownAttempts() (list []types.AttemptID) {
	for l, o := range sc.attempts.unknownToLog {
		if o.Phase == confirmedRunning && sc.cluster.EndRecorded(state.AttemptEnd{ID: l, Outcome: state.OutcomeStopped}) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, types.AttemptID.Compare)
	return
}

// OverdueAttempts lists attempts whose agent has still not come to this leadership when a
// sound one would have.
func (sc *Scheduler) OverdueAttempts() (list []*OutstandingAttempt) {
	if !sc.InInitialWait || sc.now.Sub(sc.startedAt) <= sc.timeouts.UnhealthyAfter {
		return nil
	}
	return sc.attempts.unconfirmedWithoutWorker(sc.workers)
}

// Attempts lists the attempts that possibly run, by shard.
func (sc *Scheduler) Attempts() []*OutstandingAttempt { return sc.attempts.all() }

// AttemptsOn lists those of one shard in order, with a number that differs whenever the
// list does; the list is the scheduler's own and holds until its next step.
func (sc *Scheduler) AttemptsOn(shard types.Shard) ([]*OutstandingAttempt, uint64) {
	var list []*OutstandingAttempt
	if x := sc.attempts.byShard[shard]; x != nil {
		list = x.list
	}
	return list, sc.attempts.revisions[shard]
}

// ShardOf is the shard on which an attempt possibly runs, or nothing.
func (sc *Scheduler) ShardOf(attempt types.AttemptID) types.Shard {
	if o := sc.attempts.byID[attempt]; o != nil {
		return o.Shard
	}
	return ""
}

// FreeCapacity is a seat's room less what its agent believes it to lack and all that possibly
// runs on it.
func (sc *Scheduler) FreeCapacity(s *RemoteWorker) types.Resources {
	return s.Capacity.Sub(s.Shortfall).Sub(sc.attempts.reservedOn(s.Shard))
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
