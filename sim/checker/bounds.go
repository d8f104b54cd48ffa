package checker

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/raft"
	"coppercourse/sim/worker"
)

// Bounds are the bounds of the rules, with what the callers' network adds.
type Bounds struct {
	StartAfterCancel       time.Duration // from a cancel to the last start
	RunAfterCancel         time.Duration // from a cancel until nothing runs
	EarlyStartTolerance    time.Duration // by which a start may come before its time
	StartAfterLeaving      time.Duration // from a worker's announcement or drain to the last start there
	GangIncomplete         time.Duration // for which a member of a gang may run without the others
	TableLag               time.Duration // from a table's acknowledgement until it is followed everywhere
	AllJobsEnd             bool          // all accepted jobs must have ended by the end of the history
	ShortUnresolvedTimeout bool          // queues rerun unresolved attempts before a partition can have healed

	// Of deployments whose workers are invoked.
	FaultGracePeriod   time.Duration // for which a fault still excuses the machines that it affected
	JobVisible         time.Duration // from a job's acceptance until every gateway knows it
	MaxIdleTime        time.Duration // for which work may wait that is ready and has capacity
	TableRegression    time.Duration // after which a gateway may not follow an older table
	ClockJumpTolerance time.Duration // added to EarlyStartTolerance if clocks jump in the run
	QuotaExcess        float64       // by what part of its limit a tenant may exceed it
}

// DefaultBounds are the bounds of the first brief.
var DefaultBounds = Bounds{
	StartAfterCancel:    3 * time.Second,
	RunAfterCancel:      4 * time.Second,
	EarlyStartTolerance: 100 * time.Millisecond,
	StartAfterLeaving:   2 * time.Second,
	GangIncomplete:      gangIncompleteBound(protocol.DefaultTimeouts, raft.DefaultTimeouts),
	TableLag:            2 * time.Second,
	AllJobsEnd:          true,
}

// networkSlack is what messages between the machines may add to a chain of timeouts.
const networkSlack = 400 * time.Millisecond

// gangIncompleteBound returns how long a gang's member may run on after another was lost:
// until the loss is known, an election, a commit, and a stop that is sent again until it
// arrives.
func gangIncompleteBound(t protocol.Timeouts, r raft.Timeouts) time.Duration {
	lossKnown := t.LostAfter + t.HeartbeatInterval
	committed := 2*r.MinElectionTimeout + r.StallTimeout
	stopped := t.RetryInterval/2 + protocol.WorkerStopTime
	return lossKnown + committed + stopped + networkSlack
}

// InvokedBounds returns the bounds of a deployment whose workers are invoked.
func InvokedBounds(rules worker.Rules) Bounds {
	return Bounds{
		StartAfterCancel:    3 * time.Second,
		RunAfterCancel:      3*time.Second + rules.MaxStopTime,
		EarlyStartTolerance: 250 * time.Millisecond,
		StartAfterLeaving:   2 * time.Second,
		GangIncomplete:      rules.GangTimeout,
		TableLag:            2 * time.Second,
		AllJobsEnd:          true,
		FaultGracePeriod:    3 * time.Second,
		JobVisible:          3 * time.Second,
		MaxIdleTime:         3 * time.Second,
		TableRegression:     250 * time.Millisecond,
		ClockJumpTolerance:  5 * time.Second,
		QuotaExcess:         rules.QuotaExcess,
	}
}
