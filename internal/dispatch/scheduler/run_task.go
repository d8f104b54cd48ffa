package scheduler

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// RunTask marks an attempt running and sends it, once.
func (sc *Scheduler) RunTask(shard types.Shard, at types.Stage, usual string, j protocol.AttemptSpec) {
	o := &OutstandingAttempt{Attempt: j.Attempt, Shard: shard, Stage: at, Resources: j.Resources, Phase: orderSent, BaselineName: usual, TimeLimit: time.Duration(j.TimeLimitMS) * time.Millisecond, OrderedAt: sc.now}
	sc.attempts.add(o)
	s := sc.workers[shard]
	if s == nil || s.State != protocol.WorkerHealthy || s.Draining || sc.authorityLeft <= 0 {
		sc.reportEnd(j.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.send(s, wire.RunTask, protocol.RunTask{Header: sc.header(s), Sequence: s.querySequence, StartBefore: s.lastHeartbeatSentAt.Add(min(sc.timeouts.AgentLease, sc.authorityLeft)), Spec: j})
}

func (sc *Scheduler) onRunTaskReply(_ types.Addr, r protocol.RunTaskReply) {
	s, o := sc.senderOf(r.Term, r.Shard, r.Instance), sc.attempts.byID[r.Attempt]
	if s == nil || o == nil || o.Shard != s.Shard || o.Phase == confirmedRunning {
		return
	}
	if r.Refusal != "" {
		s.Healthy = false // until the next beat says otherwise
		sc.reportEnd(r.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.attempts.setPhase(o, confirmedRunning)
}

// KillTasks asks for attempts to be stopped, again and again until they have ended; late
// ones are past the time their queue allows. Attempts of this leadership that were
// never sent are left alone.
func (sc *Scheduler) KillTasks(attempts, late []types.AttemptID) {
	by := map[types.Shard][]types.AttemptID{}
	for _, l := range append(attempts, late...) {
		o := sc.attempts.byID[l]
		if o == nil || o.killSentAt != 0 && sc.now.Sub(o.killSentAt) < sc.timeouts.RetryInterval/2 {
			continue
		}
		o.killSentAt = sc.now
		by[o.Shard] = append(by[o.Shard], l)
	}
	for _, k := range sortedShards(by) {
		if s := sc.workers[k]; s != nil && s.State != protocol.WorkerMustDie && s.State != protocol.WorkerNew {
			sc.send(s, wire.KillTask, protocol.KillTasks{Header: sc.header(s), Attempts: by[k], OverTimeLimit: late})
		}
	}
}
