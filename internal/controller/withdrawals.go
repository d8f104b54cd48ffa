// What ends an attempt before its time: a window of its worker (leaving, drained,
// under a maintenance plan), an attempt far beyond what is usual, a gang of which a new
// leader can't reach a member, and work displaced by more urgent work. All of them take the attempt back in the same way: the log
// has it first, then it is stopped, its end is told, and its task goes again.
package controller

import (
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	stopMargin         = 1500 * time.Millisecond // an attempt is stopped so long before it must be gone
	minStallDuration   = 2 * time.Second         // an attempt shorter than this has not stalled
	maxRestartDuration = 1500 * time.Millisecond // work shorter than this is begun anew elsewhere
	restartDelay       = 300 * time.Millisecond  // to stop an attempt and begin it elsewhere
)

// availability tells how long a seat may still run something, 0 for without end, and
// when all there must be gone, if it must.
func (co *Controller) availability(s *dispatch.RemoteWorker) (left time.Duration, by types.MonoTime, why state.WithdrawReason) {
	now := co.raft.Clock()
	if s.Draining {
		left, why = time.Nanosecond, state.WorkerLeaving
		if s.DepartsInMS > 0 {
			by = s.DepartsAt
		}
	}
	if w, ok := co.log.state().NextWindow(s.Shard, s.Rack, now); ok {
		if d := max(time.Nanosecond, w.From.Sub(now)-co.options.DispatchTimeouts.AgentLease); left == 0 || d < left { // an order may lie so long
			left = d
		}
		if at := co.now.Mono.Add(w.Deadline.Sub(now)); w.Deadline != 0 && (by == 0 || at < by) {
			by, why = at, w.Reason
		}
	}
	return
}

// reviewInterval is how often at most all attempts are looked at for what time alone
// brings about: a limit, a stall, a window, a second attempt that is wanted.
const reviewInterval = 10 * time.Millisecond

// reviewTimer is something that is done at most once in each interval.
type reviewTimer struct {
	done   bool
	lastAt types.MonoTime
}

// due tells whether it is time, and if so takes it as done.
func (r *reviewTimer) due(now types.MonoTime) bool {
	if r.done && now.Sub(r.lastAt) < reviewInterval {
		return false
	}
	r.done, r.lastAt = true, now
	return true
}

// reviewAttempts gives the attempts to be taken back now, and the second attempts that are
// wanted.
func (co *Controller) reviewAttempts() (backs []state.Withdrawal, copies []placement.Request) {
	if !co.attemptReview.due(co.now.Mono) {
		return nil, nil
	}
	holds := co.scheduler.Attempts()
	return co.evictions(holds), co.speculationCandidates(holds)
}

// evictions lists the attempts to be taken back now.
func (co *Controller) evictions(holds []*dispatch.OutstandingAttempt) (list []state.Withdrawal) {
	gone := map[types.Shard]state.WithdrawReason{}
	for _, s := range co.scheduler.Workers() {
		if _, by, why := co.availability(s); by != 0 && by.Sub(co.now.Mono) < stopMargin {
			gone[s.Shard] = why
		}
	}
	left := map[placement.TaskGroup]bool{}
	for _, o := range co.scheduler.OverdueAttempts() {
		if j := co.log.state().Jobs[o.Attempt.Job]; j != nil && j.Status == state.JobOpen && j.Spec.Steps[o.Stage.Step()].Gang {
			left[placement.TaskGroup{Job: o.Attempt.Job, Stage: o.Stage}] = true
		}
	}
	for _, o := range holds {
		why := gone[o.Shard]
		if why == "" && left[placement.TaskGroup{Job: o.Attempt.Job, Stage: o.Stage}] {
			why = state.GangPeerUnreachable
		}
		if why == "" && (co.isStalled(o) || co.isWorthRestarting(o)) {
			why = state.Straggling
		}
		if why != "" && co.isEvictable(o.Attempt) {
			list = append(list, state.Withdrawal{ID: o.Attempt, Reason: why})
		}
	}
	return
}

// isEvictable tells whether an attempt is out and not yet being taken back.
func (co *Controller) isEvictable(l types.AttemptID) bool {
	j := co.log.state().Jobs[l.Job]
	if j == nil || j.Status != state.JobOpen {
		return false
	}
	t := j.Task(l.Number)
	if t == nil {
		return false
	}
	o := t.FindOutstanding(l.Attempt)
	return o != nil && o.Withdrawn == ""
}

// isStalled tells an attempt far beyond its step's usual time, once for a task.
func (co *Controller) isStalled(o *dispatch.OutstandingAttempt) bool {
	u, ok := co.scheduler.BaselineDuration(o.BaselineName)
	j := co.log.state().Jobs[o.Attempt.Job]
	if !ok || j == nil {
		return false
	}
	if t := j.Task(o.Attempt.Number); t == nil || t.AvoidWorker != "" || j.Spec.Steps[o.Stage.Step()].AlwaysRestart {
		return false
	}
	row, _ := co.log.state().QueueConfig(j.Queue)
	return row.StragglerFactor > 0 && co.now.Mono.Sub(o.OrderedAt) > max(minStallDuration, time.Duration(row.StragglerFactor)*u)
}

// isWorthRestarting tells an attempt that will take so much longer where it is that it had better
// begin anew elsewhere, once for a task. What takes long anyway is left to its
// worker, which may be quick again before it would be done elsewhere; what may run
// twice gets a copy instead.
func (co *Controller) isWorthRestarting(o *dispatch.OutstandingAttempt) bool {
	j := co.log.state().Jobs[o.Attempt.Job]
	if j == nil || o.StragglerEnd <= co.now.Mono || o.Stage < 0 {
		return false
	}
	p := &j.Spec.Steps[o.Stage.Step()]
	t := j.Task(o.Attempt.Number)
	if t == nil || t.AvoidWorker != "" || p.AlwaysRestart || p.AllowHedge && !p.Gang {
		return false
	}
	usual := co.expectedDuration(j, o.Stage.Step())
	return usual < maxRestartDuration && o.StragglerEnd.Sub(co.now.Mono) > 3*usual/2+restartDelay
}

// beyondTimeLimit lists the attempts that run longer than the table in force allows; each was
// told its limit with its order, but the table may have changed since.
func (co *Controller) beyondTimeLimit() (list []types.AttemptID) {
	if !co.limitReview.due(co.now.Mono) {
		return nil
	}
	for _, o := range co.scheduler.Attempts() {
		j := co.log.state().Jobs[o.Attempt.Job]
		if j == nil || j.Ended() || o.TimeLimit == 0 {
			continue
		}
		if row, ok := co.log.state().QueueConfig(j.Queue); ok && co.now.Mono.Sub(o.OrderedAt) > row.TaskTimeout() && row.TaskTimeout() < o.TimeLimit {
			list = append(list, o.Attempt)
		}
	}
	return
}
