package scheduler

import (
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// onUpdateStatus takes ends. Those already committed are settled at once; an attempt's
// number is used once, so an end counts whoever of the shard's agents tells it.
// Of an agent not known yet only what its worker did is taken, for the agent may
// not live until it is.
func (sc *Scheduler) onUpdateStatus(from types.Addr, u protocol.UpdateStatus) {
	s := sc.workers[u.Shard]
	known := s != nil && (s.Instance != u.Instance || s.State != protocol.WorkerNew)
	var done []state.AttemptEnd
	for _, e := range u.Ends {
		if !known && !e.Outcome.ReportedByWorker() {
			continue
		}
		if sc.cluster.EndRecorded(e) {
			sc.attempts.remove(e.ID)
			done = append(done, e)
		} else {
			sc.ends = append(sc.ends, e)
		}
	}
	if done != nil {
		sc.sends = append(sc.sends, wire.NewMessage(sc.addr, from, wire.StatusAck, protocol.CommittedEnds{Header: protocol.Header{Term: sc.term, To: u.Instance}, Ends: done}))
	}
}

// reportEnd says that an attempt has ended; it is held until that is committed.
func (sc *Scheduler) reportEnd(l types.AttemptID, f state.Outcome) {
	e := state.AttemptEnd{ID: l, Outcome: f}
	if o := sc.attempts.byID[l]; o != nil {
		e.Checkpoint = o.Checkpoint
	}
	sc.ends = append(sc.ends, e)
}

// OnEndsCommitted forgets attempts whose end is committed and tells their agents.
func (sc *Scheduler) OnEndsCommitted(list []state.AttemptEnd) {
	by := map[types.Shard][]state.AttemptEnd{}
	for _, e := range list {
		if o := sc.attempts.byID[e.ID]; o != nil {
			sc.recordOutcome(o, e.Outcome)
			by[o.Shard] = append(by[o.Shard], e)
			sc.attempts.remove(e.ID)
		}
	}
	for _, k := range sortedShards(by) {
		if s := sc.workers[k]; s != nil && s.State != protocol.WorkerMustDie {
			sc.send(s, wire.StatusAck, protocol.CommittedEnds{Header: sc.header(s), Ends: by[k]})
		}
	}
}
