package scheduler

import (
	"slices"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// RunTask orders a worker to run an attempt (runTask). The attempt counts as possibly
// running from before the order is sent until its end is committed. The order is sent once;
// if the worker is not fit for tasks by now, the attempt ends at once as one that never ran.
// expectation is what its duration is compared with.
func (sc *Scheduler) RunTask(
	shard types.Shard, stage types.Stage, expectation Expectation, spec protocol.AttemptSpec,
) {
	sc.attempts.add(&OutstandingAttempt{
		ID:           spec.Attempt,
		Shard:        shard,
		Stage:        stage,
		Resources:    spec.Resources,
		phase:        runTaskSent,
		Expectation:  expectation,
		TimeLimit:    time.Duration(spec.TimeLimitMS) * time.Millisecond,
		DispatchedAt: sc.now,
	})
	worker := sc.Worker(shard)
	canRun := worker != nil && worker.State == protocol.WorkerHealthy && !worker.Departing && sc.authorityRemaining > 0
	if !canRun {
		sc.proposeEnd(spec.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.send(worker, wire.RunTask, protocol.RunTask{
		Header:      sc.header(worker),
		Sequence:    worker.queries.sequence,
		StartBefore: sc.newLeaseEnd(worker),
		Spec:        spec,
	})
}

func (sc *Scheduler) onRunTaskReply(_ types.Addr, reply protocol.RunTaskReply) {
	worker := sc.senderOf(reply.ReplyHeader)
	attempt := sc.attempts.byID[reply.Attempt]
	if worker == nil || attempt == nil || attempt.Shard != worker.Shard || attempt.phase == confirmedRunning {
		return
	}
	if reply.Rejection != "" {
		worker.Healthy = false // until the next heartbeat says otherwise
		sc.proposeEnd(reply.Attempt, state.OutcomeNeverRan)
		return
	}
	sc.attempts.setPhase(attempt, confirmedRunning)
}

// KillTasks has attempts stopped (killTask). The caller repeats it until they have ended;
// each is sent at most every half RetryInterval. Those in overTimeLimit are past the time
// that their queue allows. Attempts unknown to the scheduler are skipped.
func (sc *Scheduler) KillTasks(attempts, overTimeLimit []types.AttemptID) {
	byShard, overByShard := map[types.Shard][]types.AttemptID{}, map[types.Shard][]types.AttemptID{}
	for i, id := range slices.Concat(attempts, overTimeLimit) {
		attempt := sc.attempts.byID[id]
		if attempt == nil || attempt.killSentAt != 0 && sc.now.Sub(attempt.killSentAt) < sc.timeouts.RetryInterval/2 {
			continue
		}
		attempt.killSentAt = sc.now
		byShard[attempt.Shard] = append(byShard[attempt.Shard], id)
		if i >= len(attempts) {
			overByShard[attempt.Shard] = append(overByShard[attempt.Shard], id)
		}
	}
	for _, shard := range sortedShards(byShard) {
		if worker := sc.Worker(shard); worker != nil && worker.isAssociated() {
			sc.send(worker, wire.KillTask, protocol.KillTask{
				Header:        sc.header(worker),
				Attempts:      byShard[shard],
				OverTimeLimit: overByShard[shard],
			})
		}
	}
}
