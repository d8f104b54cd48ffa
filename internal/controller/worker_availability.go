package controller

import (
	"time"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// workerWindows finds how long workers may still run something: a worker may be draining
// itself, or have a drain or a maintenance window of its operators ahead.
type workerWindows struct {
	orderDelay time.Duration // longest time between an order and the start of its task at the agent
}

// availability is how long a worker may run something.
type availability struct {
	remaining     time.Duration        // 0 for without end
	drainDeadline types.MonoTime       // when all attempts there must have ended, or 0
	reason        state.WithdrawReason // why they must
}

// unavailable is the least availability, where 0 means without end.
const unavailable = time.Nanosecond

// of returns a worker's availability.
func (w workerWindows) of(v *leaderView, worker *scheduler.RemoteWorker) availability {
	var a availability
	if worker.Departing {
		a.remaining, a.reason = unavailable, state.WorkerDeparting
		if worker.DepartsInMS > 0 {
			a.drainDeadline = worker.DepartsAt
		}
	}
	window, ok := v.state.NextWindow(worker.Shard, worker.Rack, v.clock)
	if !ok {
		return a
	}
	untilStart := max(unavailable, window.From.Sub(v.clock)-w.orderDelay)
	if a.remaining == 0 || untilStart < a.remaining {
		a.remaining = untilStart
	}
	deadline := v.now.Add(window.Deadline.Sub(v.clock))
	if window.Deadline != 0 && (a.drainDeadline == 0 || deadline < a.drainDeadline) {
		a.drainDeadline, a.reason = deadline, window.Reason
	}
	return a
}
