package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"fmt"
)

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
		if s.State == protocol.WorkerMustDie {
			continue
		}
		if s.State == protocol.WorkerNew {
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

// OverdueAttempts lists attempts whose agent has still not come to this leadership when a
// sound one would have.
func (sc *Scheduler) OverdueAttempts() (list []*OutstandingAttempt) {
	if !sc.InInitialWait || sc.now.Sub(sc.startedAt) <= sc.timeouts.UnhealthyAfter {
		return nil
	}
	return sc.attempts.unconfirmedWithoutWorker(sc.workers)
}
