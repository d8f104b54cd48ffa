package controller

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/config"
	"coppercourse/internal/placement"
	"coppercourse/internal/policy"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// rankOf ranks a job of the given age with one step, which is estimated at 1 s, in a queue with a
// latency target of 3 s.
func rankOf(t *testing.T, age time.Duration, alter func(*state.Step, *config.Queue, *jobRanking)) jobRank {
	t.Helper()
	return rankWithRate(t, age, false, alter)
}

// rankWithRate ranks the job of rankOf, optionally over its tenant's rate.
func rankWithRate(
	t *testing.T, age time.Duration, overRate bool, alter func(*state.Step, *config.Queue, *jobRanking),
) jobRank {
	t.Helper()
	const clock = types.ClusterTime(time.Hour)
	step := testStep("s", 1)
	step.EstimateMillis = 1000
	q := testQueue("q")
	q.TargetFactor, q.TargetMarginMillis = 2, 1000
	r := newJobRanking(policy.Policy{})
	r.meanWork["q"] = 1
	alter(&step, &q, &r)
	s := state.New()
	urgent := testQueue("urgent")
	urgent.TargetFactor = 1
	q.Priority = 1
	s.Table.Queues = []config.Queue{urgent, q}
	v := &leaderView{clock: clock, state: s, durations: newDurationEstimates(locality{})}
	spec := &state.Spec{Queue: "q", Steps: []state.Step{step}}
	j := &state.Job{ID: "j", Queue: "q", Status: state.JobOpen, Spec: spec, OverRate: overRate}
	ready := &state.ReadyIndex{RemainingTasks: []int{step.Tasks}}
	return r.rank(v, j, q, r.estimate(v, j, q, ready), state.ReadyStage{ReadySince: clock.Add(-age)})
}

func TestJobsAreClassifiedBySlack(t *testing.T) {
	plain := func(*state.Step, *config.Queue, *jobRanking) {}
	const target = 3 * time.Second // initial slack of 2 s
	for _, c := range []struct {
		name  string
		age   time.Duration
		alter func(*state.Step, *config.Queue, *jobRanking)
		want  placement.TargetClass
	}{
		{"just submitted", 0, plain, placement.OnTarget},
		{"no slack left", 2 * time.Second, plain, placement.OnTarget},
		{"late, within the tolerance", 2*time.Second + target/8 - 1, plain, placement.OnTarget},
		{"late", 2*time.Second + target/8, plain, placement.Late},
		{"late, before its value is lost", 2*time.Second + 2*target - 1, plain, placement.Late},
		{"target missed", 2*time.Second + 2*target, plain, placement.TargetMissed},
		{"queue without a target", time.Hour,
			func(_ *state.Step, q *config.Queue, _ *jobRanking) { q.TargetFactor = 0 }, placement.OnTarget},
		{"step that is always restarted", time.Hour,
			func(p *state.Step, _ *config.Queue, _ *jobRanking) { p.AlwaysRestart = true }, placement.OnTarget},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(rankOf(t, c.age, c.alter).class, c.want)
		})
	}
}

// Guards against a tenant over its rate delaying others with jobs that have no latency target: in
// a queue without a target, and in steps that are always restarted.
func TestJobOverRateRanksBehindOthersWithoutTarget(t *testing.T) {
	for _, c := range []struct {
		name  string
		alter func(*state.Step, *config.Queue, *jobRanking)
	}{
		{"queue with a target", func(*state.Step, *config.Queue, *jobRanking) {}},
		{"queue without a target", func(_ *state.Step, q *config.Queue, _ *jobRanking) { q.TargetFactor = 0 }},
		{"step that is always restarted",
			func(p *state.Step, _ *config.Queue, _ *jobRanking) { p.AlwaysRestart = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(rankWithRate(t, 0, false, c.alter).class, placement.OnTarget)
			is.Equal(rankWithRate(t, 0, true, c.alter).class, placement.TargetMissed)
		})
	}
}

func TestHigherTardinessCostRanksFirst(t *testing.T) {
	plain := func(*state.Step, *config.Queue, *jobRanking) {}
	first := func(a, b jobRank) bool { return a.sortKey < b.sortKey }
	is := is.New(t)
	is.True(first(rankOf(t, time.Second, plain), rankOf(t, 0, plain))) // less slack
	larger := func(p *state.Step, _ *config.Queue, _ *jobRanking) { p.Tasks = 2 }
	is.True(first(rankOf(t, 0, plain), rankOf(t, 0, larger))) // less work at the same value
	valuable := func(_ *state.Step, _ *config.Queue, r *jobRanking) { r.meanWork["q"] = 0.5 }
	is.True(first(rankOf(t, 0, valuable), rankOf(t, 0, plain))) // more work than its queue's mean job
}

func TestLongTasksLeaveHeadroomForUrgentQueues(t *testing.T) {
	long := func(_ *state.Step, _ *config.Queue, r *jobRanking) { r.meanTaskSeconds["urgent"] = 0.3 }
	for _, c := range []struct {
		name  string
		age   time.Duration
		alter func(*state.Step, *config.Queue, *jobRanking)
		want  int
	}{
		{"urgent queue without statistics", 0, func(*state.Step, *config.Queue, *jobRanking) {}, 0},
		{"urgent jobs take as long", 0,
			func(_ *state.Step, _ *config.Queue, r *jobRanking) { r.meanTaskSeconds["urgent"] = 1 }, 0},
		{"long and deferrable", 0, long, deferrableHeadroomPercent},
		{"long and not deferrable", time.Second, long, longTaskHeadroomPercent},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(rankOf(t, c.age, c.alter).headroomPercent, c.want)
		})
	}
}

func TestQueueMeansFollowJobs(t *testing.T) {
	is := is.New(t)
	r := newJobRanking(policy.Policy{})
	v := &leaderView{state: state.New(), durations: newDurationEstimates(locality{})}
	job := func(tasks int, cores types.MilliCores, seconds int) *state.Job {
		step := testStep("s", tasks)
		step.Resources.Cores, step.EstimateMillis = cores, 1000*seconds
		return &state.Job{Queue: "q", Spec: &state.Spec{Steps: []state.Step{step}}}
	}
	r.recordJob(v, job(4, 500, 2))
	is.Equal(r.meanWork["q"], 4.0) // core-seconds
	is.Equal(r.meanTaskSeconds["q"], 2.0)
	r.recordJob(v, job(20, 1000, 18))
	is.True(math.Abs(r.meanWork["q"]-(4+356.0/16)) < 1e-9)
	is.Equal(r.meanTaskSeconds["q"], 3.0)
}

// TestJobWithHugeEstimatesDoesNotHangTheLeader guards against one accepted job that hangs one leader
// after the other: the estimates of its steps overflowed the duration of its longest chain of steps,
// which was then computed again for each of the paths through them.
func TestJobWithHugeEstimatesDoesNotHangTheLeader(t *testing.T) {
	const taskDuration = 200 * time.Millisecond
	for _, estimateMillis := range []int{900_000_000_000, 1 << 40} {
		t.Run(fmt.Sprint(estimateMillis), func(t *testing.T) {
			is := is.New(t)
			w := newWorkloadRig(t, 24*time.Hour)
			spec := state.Spec{Queue: "target"}
			for i := range 40 {
				step := testStep(fmt.Sprint("s", i), 1)
				step.EstimateMillis = estimateMillis
				for _, earlier := range spec.Steps {
					step.DependsOn = append(step.DependsOn, earlier.Name)
				}
				spec.Steps = append(spec.Steps, step)
			}
			huge := w.addSpec("huge", spec, taskDuration)
			sound := state.Spec{Queue: "target", Steps: []state.Step{testStep("s", 1)}}
			w.run(20*time.Second, func(time.Duration) { w.addSpec("sound", sound, taskDuration) })
			longest, _ := w.longestWait("sound")
			is.True(longest < time.Second)
			is.Equal(huge.starts, 40) // one step after the other
		})
	}
}

// Guards against ranks that overflow: estimates, targets and stretches beyond any duration rank like
// the longest ones.
func TestRankOfHugeEstimatesAndTargets(t *testing.T) {
	for _, c := range []struct {
		name  string
		alter func(*state.Step, *config.Queue, *jobRanking)
	}{
		{"estimate", func(p *state.Step, _ *config.Queue, _ *jobRanking) { p.EstimateMillis = 1 << 40 }},
		{"target", func(_ *state.Step, q *config.Queue, _ *jobRanking) { q.TargetMarginMillis = 1 << 40 }},
		{"factor", func(_ *state.Step, q *config.Queue, _ *jobRanking) { q.TargetFactor = 1e9 }},
		{"all of them", func(p *state.Step, q *config.Queue, _ *jobRanking) {
			p.EstimateMillis, q.TargetMarginMillis, q.TargetFactor = 1<<40, 1<<40, 1e9
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rank := rankOf(t, time.Second, c.alter)
			is.Equal(rank.class, placement.OnTarget)
			is.True(rank.sortKey <= 0)
		})
	}
}
