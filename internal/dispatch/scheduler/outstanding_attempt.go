package scheduler

import (
	"time"

	"coppercourse/internal/types"
)

// attemptPhase is what the scheduler knows of whether an attempt runs.
type attemptPhase string

const (
	// unconfirmed: assigned before this leadership, or to an instance that has been
	// replaced, and no agent has reported on it yet.
	unconfirmed attemptPhase = "unknown"
	// runTaskSent: RunTask has been sent, with no reply yet.
	runTaskSent attemptPhase = "sent"
	// confirmedRunning: its agent has said that it runs.
	confirmedRunning attemptPhase = "running"
	// unsureIfRunning: RunTask got no reply (the paper's "unsure if running").
	unsureIfRunning attemptPhase = "unsure"
)

// StageUnknown is the stage of an attempt that the log does not have.
const StageUnknown types.Stage = -1

// Expectation is what the duration of an attempt is compared with.
type Expectation struct {
	// BaselineName names the baseline; empty for none.
	BaselineName string
	// LocalityFactor is how many times as long as beside its data it takes where it runs; 0
	// means as long.
	LocalityFactor float64
}

// dataLocalDuration returns how long an attempt that has taken so long would have taken beside its data.
func (e *Expectation) dataLocalDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / max(1, e.LocalityFactor))
}

// OutstandingAttempt is an attempt that possibly runs.
type OutstandingAttempt struct {
	ID        types.AttemptID
	Shard     types.Shard
	Stage     types.Stage // or StageUnknown
	Resources types.Resources
	phase     attemptPhase
	Expectation
	TimeLimit time.Duration // 0 for none
	// DispatchedAt is when RunTask was sent, or for an attempt of an earlier leadership
	// when this one began.
	DispatchedAt types.MonoTime
	Checkpoint   string // the last one reported
	// StragglerEnd is when it is expected to end, for an attempt that is far slower than
	// the others of its stage, and otherwise 0.
	StragglerEnd types.MonoTime

	killSentAt types.MonoTime
}

// StageID returns the stage of one job that the attempt's task is part of. It is that of
// the task's number, or has StageUnknown.
func (o *OutstandingAttempt) StageID() types.StageID {
	return types.StageID{Job: o.ID.Job, Stage: o.Stage}
}

// Attempts lists the attempts that possibly run, by shard.
func (sc *Scheduler) Attempts() []*OutstandingAttempt { return sc.attempts.all() }

// AttemptsOn lists the attempts that possibly run on a shard, in order, and returns a
// revision that changes whenever the list does. The list is the scheduler's own and is
// valid until its next step.
func (sc *Scheduler) AttemptsOn(shard types.Shard) (list []*OutstandingAttempt, revision uint64) {
	if onShard := sc.attempts.byShard[shard]; onShard != nil {
		list = onShard.list
	}
	return list, sc.attempts.revision(shard)
}

// ShardOf returns the shard on which an attempt possibly runs, or nothing.
func (sc *Scheduler) ShardOf(id types.AttemptID) types.Shard {
	if attempt := sc.attempts.byID[id]; attempt != nil {
		return attempt.Shard
	}
	return ""
}

// JobsRunning returns the jobs of which an attempt runs, as its agent has said.
func (sc *Scheduler) JobsRunning() map[types.JobID]bool {
	running := map[types.JobID]bool{}
	for id, attempt := range sc.attempts.byID {
		if attempt.phase == confirmedRunning {
			running[id.Job] = true
		}
	}
	return running
}
