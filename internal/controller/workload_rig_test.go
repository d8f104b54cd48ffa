package controller

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// workloadRoundInterval is the time between two placement rounds of a workloadRig.
const workloadRoundInterval = 100 * time.Millisecond

// workloadRig runs jobs on the six workers of a leaderRig in virtual time: it starts what the
// planner places and ends each attempt after the duration of its job.
type workloadRig struct {
	*leaderRig
	t         *testing.T
	jobs      map[types.JobID]*workloadJob
	submitted []types.JobID // in order
	running   []workloadAttempt
}

// workloadAttempt is a running attempt of a workloadRig.
type workloadAttempt struct {
	id        types.AttemptID
	startedAt types.MonoTime
}

// workloadJob is a job of a workloadRig.
type workloadJob struct {
	duration    time.Duration // of its tasks; 0 for tasks that run until the job is cancelled
	submittedAt types.MonoTime
	startedAt   types.MonoTime // of its first attempt; 0 if none has started
	starts      int
}

// newWorkloadRig returns a rig with two queues that have the given time limit on attempts: q, and
// target, which has a latency target.
func newWorkloadRig(t *testing.T, timeLimit time.Duration) *workloadRig {
	t.Helper()
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.endInitialWait(t)
	queue := testQueue("q")
	queue.TaskTimeoutMillis = int(timeLimit.Milliseconds())
	withTarget := queue
	withTarget.Name, withTarget.TargetFactor, withTarget.TargetMarginMillis = "target", 2, 1000
	l.setTable(t, queue, withTarget)
	return &workloadRig{leaderRig: l, t: t, jobs: map[types.JobID]*workloadJob{}}
}

// workloadStep returns a step of tasks that use the given cores.
func workloadStep(tasks int, cores types.MilliCores) state.Step {
	step := testStep("s", tasks)
	step.Resources.Cores = cores * types.Core
	return step
}

// add submits a job of one step whose tasks have the given duration.
func (w *workloadRig) add(name string, step state.Step, duration time.Duration) *workloadJob {
	w.t.Helper()
	step.AlwaysRestart = duration == 0
	step.EstimateMillis = int(duration.Milliseconds())
	return w.addSpec(name, state.Spec{Queue: "q", Steps: []state.Step{step}}, duration)
}

// addSpec submits a job whose tasks have the given duration.
func (w *workloadRig) addSpec(name string, spec state.Spec, duration time.Duration) *workloadJob {
	w.t.Helper()
	id := types.JobID(fmt.Sprint(name, len(w.submitted)))
	w.submit(w.t, id, spec)
	j := &workloadJob{duration: duration, submittedAt: w.now}
	w.jobs[id], w.submitted = j, append(w.submitted, id)
	return j
}

// run makes placement rounds for some time; before each it calls beforeRound with the time since
// the start.
func (w *workloadRig) run(duration time.Duration, beforeRound func(elapsed time.Duration)) {
	w.t.Helper()
	for start := w.now; w.now.Sub(start) < duration; {
		next := w.now.Add(workloadRoundInterval)
		w.heartbeatAll()
		w.advance(next.Sub(w.now))
		w.clock = types.ClusterTime(w.now)
		w.endDueAttempts()
		if beforeRound != nil {
			beforeRound(w.now.Sub(start))
		}
		w.start(w.planner.plan(w.view(), 0).assignments)
	}
}

// view returns the view of the leader, whose cluster clock runs with its own.
func (w *workloadRig) view() *leaderView {
	v := w.leaderRig.view(w.now)
	v.clock = types.ClusterTime(w.now)
	return v
}

// endDueAttempts ends the attempts that have run for their duration.
func (w *workloadRig) endDueAttempts() {
	w.t.Helper()
	w.running = slices.DeleteFunc(w.running, func(attempt workloadAttempt) bool {
		duration := w.jobs[attempt.id.Job].duration
		due := duration > 0 && w.now.Sub(attempt.startedAt) >= duration
		if due {
			w.endAttempt(w.t, attempt.id, state.OutcomeOK)
		}
		return due
	})
}

// start starts attempts, which their workers accept.
func (w *workloadRig) start(assignments []state.Assignment) {
	w.t.Helper()
	for _, a := range assignments {
		w.runAttempt(w.t, a.ID, a.Shard)
		header := protocol.ReplyHeader{Term: 1, Shard: a.Shard, Instance: types.ID("agent-" + a.Shard)}
		w.deliver(wire.RunTaskReply, protocol.RunTaskReply{ReplyHeader: header, Attempt: a.ID})
		w.running = append(w.running, workloadAttempt{a.ID, w.now})
		j := w.jobs[a.ID.Job]
		j.starts++
		if j.startedAt == 0 {
			j.startedAt = w.now
		}
	}
	w.scheduler.TakeOutput()
}

// cancel cancels a job and ends its attempts.
func (w *workloadRig) cancel(id types.JobID) {
	w.t.Helper()
	w.apply(w.t, state.Command{Cancel: id})
	w.running = slices.DeleteFunc(w.running, func(attempt workloadAttempt) bool {
		if attempt.id.Job == id {
			w.endAttempt(w.t, attempt.id, state.OutcomeStopped)
		}
		return attempt.id.Job == id
	})
}

// longestWait returns the longest time that a job of the given name waited for its first start, and
// how many jobs of that name there are.
func (w *workloadRig) longestWait(name string) (longest time.Duration, count int) {
	for i, id := range w.submitted {
		if string(id) != fmt.Sprint(name, i) {
			continue
		}
		j, end := w.jobs[id], w.now
		if j.startedAt > 0 {
			end = j.startedAt
		}
		longest, count = max(longest, end.Sub(j.submittedAt)), count+1
	}
	return longest, count
}
