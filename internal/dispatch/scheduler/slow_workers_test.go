package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

func isNear(got, want float64) bool { return math.Abs(got-want) < 1e-9 }

const (
	// maxFalseAlarms is the share of equal workers that may count as slow at any moment, on average.
	maxFalseAlarms = 0.01
	// maxSlowShare is the share of all workers that may count as slow at any moment.
	maxSlowShare = 0.25
)

var (
	shortTasks = taskMix{stagesPerSecond: 60, tasks: 31, duration: 240 * time.Millisecond, deviation: 0.9}
	longTasks  = taskMix{stagesPerSecond: 0.6, tasks: 100, duration: 4800 * time.Millisecond, deviation: 0.9}
	pairs      = taskMix{stagesPerSecond: 200, tasks: 2, duration: 240 * time.Millisecond, deviation: 0.9}
	fours      = taskMix{stagesPerSecond: 200, tasks: 4, duration: 240 * time.Millisecond, deviation: 0.9}
)

// Guards against the loss of most workers to the limit on slow ones: the tasks of a stage differ
// and the shortest end first, so that most attempts took longer than those that had ended before.
func TestEqualWorkersDoNotCountAsSlow(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		mixes []taskMix
	}{
		{"short tasks", []taskMix{shortTasks}},
		{"long tasks", []taskMix{longTasks}},
		{"short and long tasks", []taskMix{shortTasks, longTasks}},
		{"stages of two tasks", []taskMix{pairs}},
		{"stages of four tasks", []taskMix{fours}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const workers, warmUp, observed = 100, 3 * time.Second, 20 * time.Second
			for seed := range int64(5) {
				fleet := newSimulatedFleet(seed, workers, test.mixes...)
				fleet.run(warmUp, nil)
				slow, observations := 0, 0
				fleet.run(observed, func() {
					slow += len(fleet.slow(nil))
					observations++
				})
				if share := float64(slow) / float64(workers*observations); share > maxFalseAlarms {
					t.Errorf("seed %d: %.3f of the workers are slow, want at most %.2f", seed, share, maxFalseAlarms)
				}
			}
		})
	}
}

// A worker that turns slow is found within two seconds, and no other worker is taken for slow.
func TestSlowedWorkersAreFound(t *testing.T) {
	t.Parallel()
	const workers, slowed, factor, minFound = 240, 27, 6.5, 0.9
	for seed := range int64(5) {
		fleet := newSimulatedFleet(seed, workers, scaledMix(shortTasks, 2.4), scaledMix(longTasks, 2.4))
		fleet.run(5*time.Second, nil)
		fleet.slowDown(slowed, factor)
		fleet.run(2*time.Second, nil)
		others := fleet.slow(fleet.slowness)
		found := len(fleet.slow(nil)) - len(others)
		if float64(found) < minFound*slowed {
			t.Errorf("seed %d: %d of %d slowed workers count as slow, want at least nine in ten", seed, found, slowed)
		}
		if float64(len(others)) > maxFalseAlarms*workers {
			t.Errorf("seed %d: %d of the other workers count as slow", seed, len(others))
		}
	}
}

// scaledMix returns a mix with more stages, for a larger fleet.
func scaledMix(mix taskMix, factor float64) taskMix {
	mix.stagesPerSecond *= factor
	return mix
}

// A worker that is no longer slow stops counting as slow once its newer attempts show it.
func TestRecoveredWorkersDoNotCountAsSlow(t *testing.T) {
	is := is.New(t)
	fleet := newSimulatedFleet(1, 100, shortTasks)
	fleet.slowDown(10, 6.5)
	fleet.run(5*time.Second, nil)
	is.True(len(fleet.slow(nil)) >= 9)
	clear(fleet.slowness)
	fleet.run(5*time.Second, nil)
	is.True(len(fleet.slow(nil)) <= 1)
}

// However many workers are slow, most of them keep getting work.
func TestSlowWorkersAreAMinority(t *testing.T) {
	is := is.New(t)
	const workers = 100
	for _, slowed := range []int{30, 45} {
		fleet := newSimulatedFleet(1, workers, shortTasks)
		fleet.run(3*time.Second, nil)
		fleet.slowDown(slowed, 6.5)
		most := 0
		fleet.run(5*time.Second, func() { most = max(most, len(fleet.slow(nil))) })
		is.True(most > 0)
		is.True(float64(most) <= maxSlowShare*workers)
	}
}

// newEvidenceRig returns a scheduler with eight workers, s and w0 to w6, and a function that records
// the duration of a new attempt of a worker in a stage in which all other attempts took a second.
func newEvidenceRig() (*Scheduler, func(shard types.Shard, duration time.Duration, localityFactor float64)) {
	fleet := newSimulatedFleet(1, 7)
	sc := fleet.scheduler
	stages := 0
	record := func(shard types.Shard, duration time.Duration, localityFactor float64) {
		stages++
		job := types.JobID("job" + string(rune('a'+stages)))
		attempt := func(task int, on types.Shard) *OutstandingAttempt {
			id := types.AttemptID{TaskID: types.TaskID{Job: job, TaskNumber: task}, Attempt: 1}
			return &OutstandingAttempt{ID: id, Shard: on, DispatchedAt: sc.now}
		}
		for task, other := range fleet.shards {
			sc.recordDuration(attempt(task, other), time.Second, true)
		}
		own := attempt(len(fleet.shards), shard)
		own.LocalityFactor = localityFactor
		sc.recordDuration(own, duration, true)
	}
	return sc, record
}

// reviewNow makes a review after the shortest time.
func reviewNow(sc *Scheduler) {
	sc.now = sc.now.Add(slowReviewInterval)
	sc.reviewSlowWorkers()
}

// A single attempt is no evidence, however long it takes; the ratio of one attempt is bounded.
func TestSlowWorkerNeedsSeveralAttempts(t *testing.T) {
	is := is.New(t)
	sc, record := newEvidenceRig()
	record("s", 1e6*time.Second, 1)
	reviewNow(sc)
	is.Equal(sc.Slowdown(sc.Worker("s")), 0.0)
	record("s", 1e6*time.Second, 1)
	reviewNow(sc)
	is.True(isNear(sc.Slowdown(sc.Worker("s")), maxDurationRatio))
}

// An attempt counts once, with its latest duration, however often it is estimated.
func TestAttemptCountsOnceAsEvidence(t *testing.T) {
	is := is.New(t)
	sc, record := newEvidenceRig()
	record("s", 9*time.Second, 1)
	worker := sc.Worker("s")
	latest := worker.slowness.evidence[0]
	for range 20 {
		worker.slowness.record(latest)
	}
	is.Equal(len(worker.slowness.evidence), 1)
	reviewNow(sc)
	is.Equal(sc.Slowdown(worker), 0.0)
}

// An attempt that takes longer because it is away from its data is no evidence of a slow worker.
func TestRemoteDataDoesNotCountAsSlowness(t *testing.T) {
	for _, test := range []struct {
		name           string
		localityFactor float64
		want           bool
	}{{"away from its data", 6, false}, {"beside its data", 1, true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sc, record := newEvidenceRig()
			for range maxEvidence {
				record("s", 6*time.Second, test.localityFactor)
			}
			reviewNow(sc)
			is.Equal(sc.Slowdown(sc.Worker("s")) > 0, test.want)
		})
	}
}

// Only the latest attempts are evidence, in the order of their dispatch, and only for a while.
func TestEvidenceIsReplacedAndExpires(t *testing.T) {
	is := is.New(t)
	sc, record := newEvidenceRig()
	worker := sc.Worker("s")
	for range maxEvidence {
		record("s", 6*time.Second, 1)
		sc.now++
	}
	oldest := worker.slowness.evidence[0]
	record("s", time.Second, 1)
	is.Equal(len(worker.slowness.evidence), maxEvidence)
	is.True(worker.slowness.evidence[0].attempt != oldest.attempt)
	worker.slowness.record(oldest) // an estimate of an attempt that is not among the latest
	is.True(worker.slowness.evidence[0].attempt != oldest.attempt)
	reviewNow(sc)
	is.True(sc.Slowdown(worker) > 0)
	sc.now = sc.now.Add(evidenceRetention)
	reviewNow(sc)
	is.Equal(sc.Slowdown(worker), 0.0)
}

// A slow worker gets a task to try only after it has reported nothing for probeInterval.
func TestProbeIsDueAfterSilence(t *testing.T) {
	is := is.New(t)
	sc, record := newEvidenceRig()
	record("s", 6*time.Second, 1)
	sc.now = sc.now.Add(probeInterval - 1)
	is.True(!sc.ProbeDue(sc.Worker("s")))
	sc.now++
	is.True(sc.ProbeDue(sc.Worker("s")))
}

// BenchmarkSlowWorkerReview measures one review of a fleet of the size to design for, in which every
// stage has a new duration since the review before.
func BenchmarkSlowWorkerReview(b *testing.B) {
	const workers, tasksPerStage = 5300, 31
	fleet := newSimulatedFleet(1, workers)
	mix := taskMix{tasks: tasksPerStage, duration: time.Second, deviation: 0.9}
	for range workers * maxTasksPerWorker / tasksPerStage {
		fleet.startStage(mix)
	}
	for range 10 {
		fleet.scheduler.Tick(fleet.scheduler.now.Add(fleetStep), time.Minute)
		for _, shard := range fleet.shards {
			fleet.advance(shard)
		}
	}
	sc := fleet.scheduler
	for b.Loop() {
		b.StopTimer()
		for _, samples := range sc.stages.byStage {
			samples.median = 0
		}
		sc.now = sc.now.Add(slowReviewInterval)
		b.StartTimer()
		sc.reviewSlowWorkers()
	}
}
