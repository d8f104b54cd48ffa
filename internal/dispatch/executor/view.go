package executor

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// View is the executor's part of the agent's status.
type View struct {
	Shard     types.Shard     `json:"shard"`
	Instance  types.ID        `json:"instance"`
	Term      types.Term      `json:"term"`
	State     protocol.Health `json:"state"`
	InStateMS int64           `json:"for_ms"`
	protocol.WorkerReport
	LeaseRemainingMS int64         `json:"grant_left_ms"` // of the agent's lease
	Worker           types.ID      `json:"worker"`        // the worker process
	Lease            *WorkerLease  `json:"lease,omitempty"`
	Attempts         []AttemptView `json:"legs"`
}

// AttemptView is an attempt as the agent reports it. State is waiting, running, stopping
// or ended.
type AttemptView struct {
	Attempt types.AttemptID `json:"leg"`
	State   string          `json:"part"`
	Outcome state.Outcome   `json:"fate,omitempty"`
}

// WorkerLease is the lease of a called worker and the state of the calls to it. Times
// are milliseconds of the worker's clock.
type WorkerLease struct {
	Incarnation      types.ID     `json:"life"`
	ClockMS          int64        `json:"clock_ms"` // what the worker's clock reads at least
	UntilMS          int64        `json:"until_ms"` // highest lease end that was sent
	Fence            uint64       `json:"fence"`    // fencing token of the next call
	AcknowledgedEnds uint64       `json:"settled_ends"`
	PendingEnds      int          `json:"unsettled_ends"`
	InFlightCalls    int          `json:"calls_under_way"`
	Counters         CallCounters `json:"sums"`
}

// CallCounters count calls to the worker since the agent's start.
type CallCounters struct {
	Starts        uint64
	Stops         uint64
	Renewals      uint64 `json:"Holds"` // lease renewals, queries included
	Queries       uint64 // renewals that raised the fencing token to resolve unsure starts
	NoReply       uint64 `json:"Silent"` // calls that got no reply
	LeasesExpired uint64 `json:"Lapsed"` // attempts ended because the worker's lease had
	Incarnations  uint64 `json:"Lives"`  // worker processes adopted
}

// View returns the executor's part of the agent's status.
func (ex *Executor) View() View {
	view := View{
		Shard:            ex.shard,
		Instance:         ex.association.instance,
		Term:             ex.association.term,
		State:            ex.health.state,
		InStateMS:        ex.now.Sub(ex.health.since).Milliseconds(),
		WorkerReport:     ex.worker.report,
		LeaseRemainingMS: max(0, ex.health.leaseUntil.Sub(ex.now).Milliseconds()),
		Worker:           ex.worker.process,
		Lease:            ex.WorkerLease(),
		Attempts:         []AttemptView{},
	}
	for _, attempt := range ex.attempts.sorted {
		view.Attempts = append(view.Attempts, AttemptView{attempt.id(), string(attempt.state), attempt.outcome})
	}
	return view
}

// WorkerLease returns the lease of a called worker, or nil for a worker that polls.
func (ex *Executor) WorkerLease() *WorkerLease {
	link := ex.link
	if link == nil {
		return nil
	}
	return &WorkerLease{
		Incarnation:      link.process.incarnation,
		ClockMS:          link.clock.lowerBound(ex.now),
		UntilMS:          link.maxLeaseEndSent,
		Fence:            link.fence.token,
		AcknowledgedEnds: link.ends.acknowledged,
		PendingEnds:      len(link.ends.pending),
		InFlightCalls:    len(link.calls.inFlight),
		Counters:         link.counters,
	}
}
