package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// resolveUnsure repeats orders' doubts and stops.
func (sc *Scheduler) resolveUnsure() {
	for _, o := range sc.attempts.takeOverdue(sc.now.Add(-sc.timeouts.RetryInterval)) {
		sc.attempts.setPhase(o, unsureIfRunning)
	}
	for _, k := range sortedShards(sc.attempts.unsureShards) {
		s := sc.workers[k]
		if s == nil || s.State == protocol.WorkerMustDie || s.State == protocol.WorkerNew || sc.now.Sub(s.queriedAt) < sc.timeouts.RetryInterval {
			continue
		}
		var attempts []types.AttemptID
		for _, o := range sc.attempts.onShard(k) {
			if o.Phase == unsureIfRunning {
				attempts = append(attempts, o.Attempt)
			}
		}
		s.queriedAt = sc.now
		s.querySequence++
		if len(s.openQueries) > 16 {
			clear(s.openQueries)
		}
		s.openQueries[s.querySequence] = attempts
		sc.send(s, wire.NotRunningQuery, protocol.NotifyIfTasksNotRunning{Header: sc.header(s), Sequence: s.querySequence, Attempts: attempts})
	}
}

func (sc *Scheduler) onNotifyReply(_ types.Addr, q protocol.NotifyIfTasksNotRunningReply) {
	s := sc.senderOf(q.Term, q.Shard, q.Instance)
	if s == nil {
		return
	}
	for _, l := range s.openQueries[q.Sequence] {
		if o := sc.attempts.byID[l]; o != nil && o.Phase == unsureIfRunning {
			sc.attempts.setPhase(o, confirmedRunning)
		}
	}
	delete(s.openQueries, q.Sequence)
}
