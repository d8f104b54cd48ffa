package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// onStatusReport handles the ends of attempts that an agent reports (the paper's updateStatus).
// Ends that the log already has are acknowledged immediately; the others are queued to be
// committed. Attempt numbers are never reused, so an end is accepted from any instance of the
// shard. From an instance that is still NEW, only outcomes reported by its worker are accepted,
// because the agent may have stopped before it is associated; outcomes that the agent itself
// concluded wait until it is associated.
func (sc *Scheduler) onStatusReport(from types.Addr, update protocol.StatusReport) {
	worker := sc.Worker(update.Shard)
	isAssociated := worker != nil && (worker.Instance != update.Instance || worker.State != protocol.WorkerNew)
	var recorded []state.AttemptEnd
	for _, end := range update.Ends {
		switch {
		case !isAssociated && !end.Outcome.ReportedByWorker():
			continue
		case sc.cluster.EndRecorded(end):
			sc.attempts.remove(end.ID)
			recorded = append(recorded, end)
		default:
			sc.ends = append(sc.ends, end)
		}
	}
	if recorded != nil {
		header := protocol.Header{Term: sc.term, To: update.Instance}
		ack := protocol.StatusAck{Header: header, Ends: recorded}
		sc.messages = append(sc.messages, wire.NewMessage(sc.addr, from, wire.StatusAck, ack))
	}
}

// proposeEnd queues the end of an attempt to be committed. The attempt still counts as possibly
// running until OnEndsCommitted.
func (sc *Scheduler) proposeEnd(id types.AttemptID, outcome state.Outcome) {
	end := state.AttemptEnd{ID: id, Outcome: outcome}
	if attempt := sc.attempts.byID[id]; attempt != nil {
		end.Checkpoint = attempt.Checkpoint
	}
	sc.ends = append(sc.ends, end)
}

// OnEndsCommitted removes attempts whose ends have been committed, and acknowledges the ends to
// their agents.
func (sc *Scheduler) OnEndsCommitted(ends []state.AttemptEnd) {
	byShard := map[types.Shard][]state.AttemptEnd{}
	for _, end := range ends {
		attempt := sc.attempts.byID[end.ID]
		if attempt == nil {
			continue
		}
		sc.recordOutcome(attempt, end.Outcome)
		byShard[attempt.Shard] = append(byShard[attempt.Shard], end)
		sc.attempts.remove(end.ID)
	}
	for _, shard := range sortedShards(byShard) {
		if worker := sc.Worker(shard); worker != nil && worker.State != protocol.WorkerMustDie {
			ack := protocol.StatusAck{Header: sc.header(worker), Ends: byShard[shard]}
			sc.send(worker, wire.StatusAck, ack)
		}
	}
}
