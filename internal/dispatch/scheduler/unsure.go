package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// maxPendingQueries bounds the queries to a worker whose replies are still awaited; beyond
// it all are given up, and what they asked about is asked again.
const maxPendingQueries = 16

// unsureQueries are the notifyIfTasksNotRunning queries to a worker.
type unsureQueries struct {
	sequence types.Seq // of the latest query; each RunTask carries it
	sentAt   types.MonoTime
	pending  map[types.Seq][]types.AttemptID // what was asked about, until the reply
}

// add notes a query about attempts that is sent now, and returns its sequence number.
func (u *unsureQueries) add(now types.MonoTime, attempts []types.AttemptID) types.Seq {
	u.sentAt = now
	u.sequence++
	if len(u.pending) > maxPendingQueries {
		clear(u.pending)
	}
	u.pending[u.sequence] = attempts
	return u.sequence
}

// resolveUnsure makes attempts unsure whose RunTask got no reply, and asks about unsure
// attempts until none is left (the paper's "Tracking the 'unsure if running' state").
func (sc *Scheduler) resolveUnsure() {
	for _, attempt := range sc.attempts.takeOverdue(sc.now.Add(-sc.timeouts.RetryInterval)) {
		sc.attempts.setPhase(attempt, unsureIfRunning)
	}
	for _, shard := range sortedShards(sc.attempts.unsureShards) {
		worker := sc.Worker(shard)
		if worker == nil || !worker.isAssociated() {
			continue
		}
		if sc.now.Sub(worker.queries.sentAt) < sc.timeouts.RetryInterval {
			continue
		}
		attempts := sc.attempts.unsureOn(shard)
		sequence := worker.queries.add(sc.now, attempts)
		sc.send(worker, wire.NotRunningQuery, protocol.NotRunningQuery{
			Header:   sc.header(worker),
			Sequence: sequence,
			Attempts: attempts,
		})
	}
}

// onNotRunningReply takes the reply to a query: what was asked about runs, unless an
// StatusReport says otherwise.
func (sc *Scheduler) onNotRunningReply(_ types.Addr, reply protocol.NotRunningReply) {
	worker := sc.senderOf(reply.ReplyHeader)
	if worker == nil {
		return
	}
	for _, id := range worker.queries.pending[reply.Sequence] {
		if attempt := sc.attempts.byID[id]; attempt != nil && attempt.phase == unsureIfRunning {
			sc.attempts.setPhase(attempt, confirmedRunning)
		}
	}
	delete(worker.queries.pending, reply.Sequence)
}
