package executor

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// View is the account as the agent's own status page shows it.
type View struct {
	Shard     types.Shard     `json:"shard"`
	Instance  types.ID        `json:"instance"`
	Term      types.Term      `json:"term"`
	State     protocol.Health `json:"state"`
	InStateMS int64           `json:"for_ms"`
	protocol.WorkerReport
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

func (ex *Executor) View() View {
	v := View{Shard: ex.shard, Instance: ex.instance, Term: ex.term, State: ex.state, InStateMS: ex.now.Sub(ex.stateSince).Milliseconds(),
		WorkerReport: ex.report, Worker: ex.workerInstance, Lease: ex.WorkerLease(), Attempts: []AttemptView{}}
	v.LeaseLeftMS = max(0, ex.leaseUntil.Sub(ex.now).Milliseconds())
	for _, l := range ex.attemptsInOrder() {
		v.Attempts = append(v.Attempts, AttemptView{l.spec.Attempt, string(l.state), l.outcome})
	}
	return v
}

// WorkerLease is how the worker's lease stands, for the status page.
type WorkerLease struct {
	Incarnation      types.ID     `json:"life"`
	ClockMS          int64        `json:"clock_ms"`
	UntilMS          int64        `json:"until_ms"`
	Fence            uint64       `json:"fence"`
	AcknowledgedEnds uint64       `json:"settled_ends"`
	OpenEnds         int          `json:"unsettled_ends"`
	OpenCalls        int          `json:"calls_under_way"`
	Counters         CallCounters `json:"sums"`
}

// WorkerLease shows it, or nil where the worker calls by itself.
func (ex *Executor) WorkerLease() *WorkerLease {
	c := ex.link
	if c == nil {
		return nil
	}
	return &WorkerLease{c.incarnation, c.clockAtLeast(ex.now), c.maxLeaseSent, c.fence, c.acknowledgedEnd, len(c.openEnds), len(c.openCalls), c.Counters}
}
