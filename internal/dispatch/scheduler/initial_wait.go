package scheduler

import (
	"fmt"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// initialWait is the paper's initial wait: the time from the start of a leadership in
// which no task may be assigned, because not all that runs may be known.
type initialWait struct {
	active    bool
	startedAt types.MonoTime // when the leadership began
	// countsFrom is the latest time at which an earlier leader can have had a round
	// answered by a quorum, from which the end of its leases is counted.
	countsFrom types.MonoTime
	reason     string // why it couldn't be ended early at the latest sweep
}

func newInitialWait(now, priorAuthorityEnd types.MonoTime) initialWait {
	return initialWait{active: true, startedAt: now, countsFrom: min(now, priorAuthorityEnd)}
}

// InInitialWait reports whether the initial wait still lasts.
func (sc *Scheduler) InInitialWait() bool { return sc.wait.active }

// InitialWaitReason says why the initial wait can't be ended early, for people.
func (sc *Scheduler) InitialWaitReason() string { return sc.wait.reason }

// endInitialWait ends the wait if that is due: when every worker that still ran something
// under an earlier leader has had to stop, or early, when initialWaitReason finds nothing
// against it. Attempts whose agents have not connected by then count as lost.
func (sc *Scheduler) endInitialWait() {
	isOver := sc.now.Sub(sc.wait.countsFrom) > sc.timeouts.LostAfter+sc.timeouts.HeartbeatInterval
	sc.wait.reason = sc.initialWaitReason()
	if !isOver && sc.wait.reason != "" {
		return
	}
	sc.wait.active, sc.wait.reason = false, ""
	for _, attempt := range sc.attempts.unconfirmedWithoutWorker(sc.workers.byShard) {
		sc.proposeEnd(attempt.ID, sc.lossOutcome(attempt.Shard))
	}
}

// initialWaitReason says why the wait can't be ended early, or nothing: all agents that
// connected must report the same worker set, which is just the set of these agents, and
// every attempt in the log must have been confirmed. The last is more than the paper
// asks.
func (sc *Scheduler) initialWaitReason() string {
	latest := sc.workerSets.latest(sc.term)
	if latest.Size == 0 {
		return "no agent has come yet"
	}
	for _, worker := range sc.workers.sorted {
		switch {
		case worker.State == protocol.WorkerMustDie:
			continue
		case worker.State == protocol.WorkerNew:
			return "agent of " + string(worker.Shard) + " has not told what runs"
		case worker.sets.initial.Hash != latest.Hash || worker.sets.initial.Size != latest.Size:
			return "the agents do not agree on the worker set"
		}
	}
	if n := sc.attempts.unconfirmed; n > 0 {
		return fmt.Sprintf("%d legs given out before are not heard of", n)
	}
	return ""
}

// OverdueAttempts lists the attempts whose agent has still not connected to this
// leadership at a time when that of a healthy worker would have.
func (sc *Scheduler) OverdueAttempts() []*OutstandingAttempt {
	if !sc.wait.active || sc.now.Sub(sc.wait.startedAt) <= sc.timeouts.UnhealthyAfter {
		return nil
	}
	return sc.attempts.unconfirmedWithoutWorker(sc.workers.byShard)
}
