package executor

import "coppercourse/internal/dispatch/protocol"

func (ex *Executor) setState(s protocol.Health) {
	if ex.state != s {
		ex.state, ex.stateSince = s, ex.now
	}
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
	ex.instance, ex.previousInstance, ex.workerSet, ex.querySequence = ex.newInstance(), "", protocol.WorkerSetID{}, 0
	ex.lastGrantSentAt, ex.leaseUntil, ex.lastHeartbeatAt = ex.now, never, never
	ex.setState(protocol.WorkerNew)
}
