package scheduler

import (
	"fmt"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// initialWait is the paper's initial wait: the time from the start of a leadership in
// which no task may be assigned, because not all that runs may be known.
//
// It has two parts. Until the connected agents agree on the worker set, nothing is assigned.
// Until the leases of earlier leaders have ended, attempts of agents that have not connected
// may run on. The log has all of these, for an attempt is in the log before its order goes
// out, so their tasks wait that long and no longer hold up the others.
type initialWait struct {
	active    bool           // nothing may be assigned
	startedAt types.MonoTime // when the leadership began
	// priorLeaderHeardAt is the latest time at which an earlier leader can have had a round
	// answered by a quorum, from which the end of its leases is counted.
	priorLeaderHeardAt types.MonoTime
	leasesExpired      bool   // the leases of earlier leaders have ended
	reason             string // why it couldn't be ended early at the latest sweep
}

func newInitialWait(now, priorAuthorityEnd types.MonoTime) initialWait {
	return initialWait{active: true, startedAt: now, priorLeaderHeardAt: min(now, priorAuthorityEnd)}
}

// InInitialWait reports whether the initial wait still lasts.
func (sc *Scheduler) InInitialWait() bool { return sc.wait.active }

// InitialWaitReason says why the initial wait can't be ended early, for people.
func (sc *Scheduler) InitialWaitReason() string { return sc.wait.reason }

// advanceInitialWait ends the parts of the wait that are over. Once every worker that still
// ran something under an earlier leader has had to stop, both are, and attempts whose agents
// have not connected count as lost. The first part ends early when initialWaitReason finds
// nothing against it.
func (sc *Scheduler) advanceInitialWait() {
	if sc.now.Sub(sc.wait.priorLeaderHeardAt) > sc.timeouts.LostAfter+sc.timeouts.HeartbeatInterval {
		sc.wait.active, sc.wait.reason, sc.wait.leasesExpired = false, "", true
		for _, attempt := range sc.attempts.unconfirmedWithoutWorker(sc.workers.byShard) {
			sc.proposeEnd(attempt.ID, sc.lossOutcome(attempt.Shard))
		}
		return
	}
	if sc.wait.active && !sc.policy.NoEarlyInitialWait {
		sc.wait.reason = sc.initialWaitReason()
		sc.wait.active = sc.wait.reason != ""
	}
}

// initialWaitReason says why the wait can't be ended early, or nothing. Of the agents that
// an earlier leader had, more than half must have connected; all that connected must have
// told what runs and agree transitively on the worker set (the paper's consensus, by which
// a worker becomes healthy).
func (sc *Scheduler) initialWaitReason() string {
	connected, before := 0, 0
	for _, worker := range sc.workers.sorted {
		before = max(before, worker.sets.initial.Size)
		switch {
		case worker.State == protocol.WorkerMustDie:
			continue
		case worker.State == protocol.WorkerNew:
			return "agent of " + string(worker.Shard) + " has not told what runs"
		case !worker.sets.hasBeenHealthy && !sc.workerSets.permitsHealthy(worker):
			return "the agents do not agree on the worker set"
		}
		connected++
	}
	switch {
	case connected == 0:
		return "no agent has come yet"
	case 2*connected <= before:
		return fmt.Sprintf("%d of %d agents have come", connected, before)
	}
	return ""
}

// OverdueAttempts lists the attempts whose agent has still not connected to this
// leadership at a time when that of a healthy worker would have.
func (sc *Scheduler) OverdueAttempts() []*OutstandingAttempt {
	if sc.wait.leasesExpired || sc.now.Sub(sc.wait.startedAt) <= sc.timeouts.UnhealthyAfter {
		return nil
	}
	return sc.attempts.unconfirmedWithoutWorker(sc.workers.byShard)
}
