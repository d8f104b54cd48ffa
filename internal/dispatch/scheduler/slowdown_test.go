package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

func isNear(got, want float64) bool { return math.Abs(got-want) < 1e-9 }

func TestSlowdownIsAMovingAverageThatFades(t *testing.T) {
	is := is.New(t)
	var s slowdown
	s.add(testStart, math.E)
	is.True(isNear(s.log, slowdownWeight))
	s.add(testStart, math.E)
	is.True(isNear(s.log, slowdownWeight+(1-slowdownWeight)*slowdownWeight))
	before := s.log
	s.fade(testStart.Add(slowdownHalfLife))
	is.True(isNear(s.log, before/2))
}

func TestSlowdownOfOneEstimateIsBounded(t *testing.T) {
	is := is.New(t)
	var slow, fast slowdown
	slow.add(testStart, 1e6)
	fast.add(testStart, 1e-6)
	is.True(isNear(slow.log, slowdownWeight*math.Log(maxSlowdown)))
	is.True(isNear(fast.log, -slow.log))
}

// sampleStage gives the durations of a stage's attempts on other workers than s.
func sampleStage(sc *Scheduler, durations ...time.Duration) {
	for i, duration := range durations {
		id := types.AttemptID{TaskID: types.TaskID{Job: "j", TaskNumber: 1 + i}, Attempt: 1}
		shard := types.Shard(fmt.Sprint("other", i))
		sc.recordDuration(&OutstandingAttempt{ID: id, Shard: shard}, duration, false)
	}
}

// An estimate is compared with the median of the stage on other workers, if there are
// enough.
func TestStragglers(t *testing.T) {
	for _, test := range []struct {
		name          string
		elsewhere     []time.Duration
		duration      time.Duration
		hasEnded      bool
		wantStraggler bool
		wantSlow      bool
	}{
		{"too few elsewhere", []time.Duration{time.Second}, 9 * time.Second, false, false, false},
		{"as elsewhere", []time.Duration{1e9, 1e9, 1e9}, time.Second, false, false, false},
		{"behind, but not far", []time.Duration{1e9, 1e9, 1e9}, 2200 * time.Millisecond, false, false, false},
		{"far behind", []time.Duration{1e9, 1e9, 1e9}, 9 * time.Second, false, true, true},
		{"far behind, but at its end", []time.Duration{1e9, 1e9, 1e9}, 9 * time.Second, true, false, true},
		{"one of the others is too", []time.Duration{1e9, 1e9, 9e9}, 9 * time.Second, false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sc, worker := newTestScheduler()
			sampleStage(sc, test.elsewhere...)
			id := types.AttemptID{TaskID: types.TaskID{Job: "j"}, Attempt: 1}
			attempt := &OutstandingAttempt{ID: id, Shard: "s", OrderedAt: testStart}
			sc.recordDuration(attempt, test.duration, test.hasEnded)
			want := types.MonoTime(0)
			if test.wantStraggler {
				want = testStart.Add(test.duration)
			}
			is.Equal(attempt.StragglerEnd, want)
			is.Equal(sc.Slowdown(worker) > 0, test.wantSlow)
		})
	}
}

func TestStageDurationIsTheMedian(t *testing.T) {
	is := is.New(t)
	sc, _ := newTestScheduler()
	_, ok := sc.StageDuration("j", 0)
	is.True(!ok)
	sampleStage(sc, 3e9, 1e9, 2e9)
	median, ok := sc.StageDuration("j", 0)
	is.True(ok)
	is.Equal(median, 2*time.Second)
	sampleStage(sc, 3e9, 5e9) // newer estimates of the first two
	median, _ = sc.StageDuration("j", 0)
	is.Equal(median, 3*time.Second)

	sc.stages.prune(testStart.Add(stageRetention))
	is.Equal(len(sc.stages.byStage), 1)
	sc.stages.prune(testStart.Add(stageRetention + pruneInterval + 1))
	is.Equal(len(sc.stages.byStage), 0)
}

func TestBaselines(t *testing.T) {
	is := is.New(t)
	sc, _ := newTestScheduler()
	b := sc.baselines
	is.True(isNear(b.record("n", time.Second), 1)) // the first is the baseline
	is.True(isNear(b.record("n", 2*time.Second), 2))
	is.True(isNear(b["n"].duration, 1.1e9))
	is.True(isNear(b.record("n", 110*time.Second), 100))
	is.True(isNear(b["n"].duration, 1.1e9+reliabilityWeight*(maxBaselineRatio-1)*1.1e9)) // bounded
	_, ok := sc.BaselineDuration("n")
	is.True(!ok) // too few
	for range minBaselineCount - 3 {
		b.record("n", time.Second)
	}
	_, ok = sc.BaselineDuration("n")
	is.True(ok)
}

// Only ends that say something of the worker count for its reliability.
func TestReliability(t *testing.T) {
	for _, test := range []struct {
		outcome state.Outcome
		want    float64
	}{
		{state.OutcomeOK, 0.5 * (1 - reliabilityWeight)},
		{state.OutcomeFailed, 0.5 + 0.5*reliabilityWeight},
		{state.OutcomeLost, 0.5 + 0.5*reliabilityWeight},
		{state.OutcomeNeverRan, 0.5},
		{state.OutcomeStopped, 0.5},
		{state.OutcomePartitioned, 0.5},
	} {
		t.Run(string(test.outcome), func(t *testing.T) {
			is := is.New(t)
			sc, worker := newTestScheduler()
			worker.Reliability.FailureRate = 0.5
			sc.recordOutcome(&OutstandingAttempt{Shard: "s"}, test.outcome)
			is.True(isNear(worker.Reliability.FailureRate, test.want))
		})
	}
}

// How long an attempt took is compared with its baseline, if it has one and ended well.
func TestRelativeDuration(t *testing.T) {
	is := is.New(t)
	sc, worker := newTestScheduler()
	sc.baselines["n"] = &baseline{duration: 1e9, count: 1}
	sc.now = testStart.Add(3 * time.Second)
	attempt := &OutstandingAttempt{Shard: "s", Stage: StageUnknown, BaselineName: "n", OrderedAt: testStart}
	sc.recordOutcome(attempt, state.OutcomeFailed)
	is.True(isNear(worker.Reliability.RelativeDuration, 1))
	sc.recordOutcome(attempt, state.OutcomeOK)
	is.True(isNear(worker.Reliability.RelativeDuration, 1+2*reliabilityWeight))
	attempt.BaselineName = ""
	sc.recordOutcome(attempt, state.OutcomeOK)
	is.True(isNear(worker.Reliability.RelativeDuration, 1+2*reliabilityWeight))
}
