package controller

import (
	"time"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	// reviewInterval is the least time between two reviews of all attempts for what depends
	// on time alone: time limits, stalls, maintenance windows.
	reviewInterval = 10 * time.Millisecond

	// departureMargin is how long before its worker must be empty an attempt is withdrawn.
	departureMargin = 1500 * time.Millisecond
)

// attemptReview looks through the outstanding attempts for those to be stopped early: their
// worker must be empty soon, a peer of their gang can't be reached, or they straggle. A
// withdrawn attempt goes through the log: once that is committed it is stopped, and when its
// end is reported its task is ready again.
type attemptReview struct {
	windows workerWindows
	timer   reviewTimer
}

// reviewTimer limits something to once in each reviewInterval.
type reviewTimer struct {
	started bool
	lastAt  types.MonoTime
}

// due reports whether it is time, and if so counts it as done.
func (r *reviewTimer) due(now types.MonoTime) bool {
	if r.started && now.Sub(r.lastAt) < reviewInterval {
		return false
	}
	r.started, r.lastAt = true, now
	return true
}

// review returns the attempts to withdraw now.
func (r *attemptReview) review(v *leaderView) []state.Withdrawal {
	if !r.timer.due(v.now) {
		return nil
	}
	return r.toWithdraw(v, v.scheduler.Attempts())
}

// toWithdraw lists the attempts to withdraw now.
func (r *attemptReview) toWithdraw(v *leaderView, attempts []*scheduler.OutstandingAttempt) []state.Withdrawal {
	var list []state.Withdrawal
	departing, broken := r.departingWorkers(v), brokenGangs(v)
	for _, attempt := range attempts {
		reason := departing[attempt.Shard]
		if reason == "" && broken[attempt.StageID()] {
			reason = state.GangPeerUnreachable
		}
		if reason == "" && isStraggler(v, attempt) {
			reason = state.Straggling
		}
		if reason != "" && canWithdraw(v.state, attempt.ID) {
			list = append(list, state.Withdrawal{ID: attempt.ID, Reason: reason})
		}
	}
	return list
}

// departingWorkers returns the workers that must be empty soon, and why.
func (r *attemptReview) departingWorkers(v *leaderView) map[types.Shard]state.WithdrawReason {
	departing := map[types.Shard]state.WithdrawReason{}
	for _, worker := range v.scheduler.Workers() {
		a := r.windows.of(v, worker)
		if a.drainDeadline != 0 && a.drainDeadline.Sub(v.now) < departureMargin {
			departing[worker.Shard] = a.reason
		}
	}
	return departing
}

// brokenGangs returns the gangs of which a member, assigned under an earlier leader, can't
// be reached.
func brokenGangs(v *leaderView) map[types.StageID]bool {
	broken := map[types.StageID]bool{}
	for _, attempt := range v.scheduler.OverdueAttempts() {
		if j := openJob(v.state, attempt.ID.Job); j != nil && j.Spec.Steps[attempt.Stage.Step()].Gang {
			broken[attempt.StageID()] = true
		}
	}
	return broken
}

// canWithdraw reports whether an attempt is outstanding and not yet being withdrawn.
func canWithdraw(s *state.State, id types.AttemptID) bool {
	j := openJob(s, id.Job)
	if j == nil {
		return false
	}
	task := j.Task(id.TaskNumber)
	if task == nil {
		return false
	}
	attempt := task.FindOutstanding(id.Attempt)
	return attempt != nil && attempt.Withdrawn == ""
}
