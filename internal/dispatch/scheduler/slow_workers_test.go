package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxFalseAlarms is the share of equal workers that may count as slow at any moment, on average.
const maxFalseAlarms = 0.01

var (
	shortTasks = taskMix{stagesPerSecond: 60, tasks: 31, duration: 240 * time.Millisecond, deviation: 0.9}
	longTasks  = taskMix{stagesPerSecond: 0.6, tasks: 100, duration: 4800 * time.Millisecond, deviation: 0.9}
	pairs      = taskMix{stagesPerSecond: 200, tasks: 2, duration: 240 * time.Millisecond, deviation: 0.9}
)

// Guards against the loss of most workers to the limit on slow ones: the tasks of a stage differ
// and the shortest end first, so that most attempts took longer than those that had ended before.
func TestEqualWorkersDoNotCountAsSlow(t *testing.T) {
	for _, test := range []struct {
		name  string
		mixes []taskMix
	}{
		{"short tasks", []taskMix{shortTasks}},
		{"long tasks", []taskMix{longTasks}},
		{"short and long tasks", []taskMix{shortTasks, longTasks}},
		{"stages of two tasks", []taskMix{pairs}},
	} {
		t.Run(test.name, func(t *testing.T) {
			const workers, warmUp, observed = 100, 3 * time.Second, 20 * time.Second
			for seed := range int64(5) {
				fleet := newSimulatedFleet(seed, workers, test.mixes...)
				fleet.run(warmUp, nil)
				slow, observations := 0, 0
				fleet.run(observed, func() {
					slow += len(fleet.slow(nil))
					observations++
				})
				share := float64(slow) / float64(workers*observations)
				if share > maxFalseAlarms {
					t.Errorf("seed %d: %.3f of the equal workers count as slow, want at most %.2f", seed, share, maxFalseAlarms)
				}
			}
		})
	}
}

// A worker that turns slow is found within two seconds, and no other worker is taken for slow.
func TestSlowedWorkersAreFound(t *testing.T) {
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
