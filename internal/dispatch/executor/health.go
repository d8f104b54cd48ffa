package executor

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
)

// health is the worker's state as the agent itself tracks it, and the agent's lease. Both
// follow from the heartbeats whose replies renewed the lease.
type health struct {
	state protocol.Health
	since types.MonoTime
	// lastRenewalSentAt is when the latest heartbeat was sent whose reply renewed the lease.
	// The scheduler received it later, so the state goes down here before it does there.
	lastRenewalSentAt types.MonoTime
	leaseUntil        types.MonoTime // types.DistantPast for none yet
	// pace is what the scheduler has last asked for; a leader that is new to this instance
	// is sent heartbeats at the default one until it replies.
	pace protocol.HeartbeatPace
}

func newHealth(now types.MonoTime, pace protocol.HeartbeatPace) health {
	return health{
		state:             protocol.WorkerNew,
		since:             now,
		lastRenewalSentAt: now,
		leaseUntil:        types.DistantPast,
		pace:              pace,
	}
}

func (h *health) set(now types.MonoTime, state protocol.Health) {
	if h.state != state {
		h.state, h.since = state, now
	}
}

// renewLease extends the lease by a heartbeat's reply, if that renews it.
func (h *health) renewLease(reply protocol.HeartbeatReply) {
	if reply.LeaseUntil > reply.HeartbeatSentAt {
		h.leaseUntil = max(h.leaseUntil, reply.LeaseUntil)
		h.lastRenewalSentAt = max(h.lastRenewalSentAt, reply.HeartbeatSentAt)
	}
}

// updateHealth moves the worker to the state that the latest renewal of the lease gives it.
// NEW is only left by a HeartbeatReply, MUST_DIE only as a new instance.
func (ex *Executor) updateHealth() {
	sinceRenewal := ex.now.Sub(ex.health.lastRenewalSentAt)
	switch {
	case ex.health.state == protocol.WorkerMustDie:
		ex.restartAsNewInstance()
	case ex.health.state == protocol.WorkerNew:
	case sinceRenewal > ex.timeouts.LostAfter:
		ex.health.set(ex.now, protocol.WorkerMustDie)
	case sinceRenewal > ex.health.pace.UnhealthyAfter:
		ex.health.set(ex.now, protocol.WorkerUnhealthy)
	default:
		ex.health.set(ex.now, protocol.WorkerHealthy)
	}
}

// restartAsNewInstance makes the agent a new instance, NEW to the scheduler, once nothing
// can be running any more.
func (ex *Executor) restartAsNewInstance() {
	if !ex.attempts.allEnded() {
		return
	}
	ex.association.instance = ex.newInstance()
	ex.association.previousInstance = ""
	ex.association.workerSet = protocol.WorkerSetID{}
	ex.association.querySequence = 0
	ex.health.lastRenewalSentAt, ex.health.leaseUntil = ex.now, types.DistantPast
	ex.health.pace = ex.timeouts.DefaultPace()
	ex.reports.requestHeartbeat()
	ex.health.set(ex.now, protocol.WorkerNew)
}

// updateWorkerHealth updates whether the worker itself is healthy, as heartbeats report
// it. A change is reported at once.
func (ex *Executor) updateWorkerHealth() {
	report := &ex.worker.report
	before := report.Healthy
	if ex.link != nil {
		report.Healthy = ex.worker.runningTasksKnown && !ex.linkUnhealthy()
	} else {
		report.Healthy = ex.worker.runningTasksKnown && !ex.pollOverdue()
	}
	if report.Healthy != before {
		ex.reports.requestHeartbeat()
	}
}
