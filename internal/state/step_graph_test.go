package state

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

func TestLongestPaths(t *testing.T) {
	is := is.New(t)
	job := submitJob(t, newTestState(t), `{"queue":"q","steps":[
		{"name":"b","kind":"x","after":["a","a"]},
		{"name":"a","kind":"x"},
		{"name":"c","kind":"x"},
		{"name":"d","kind":"x","after":["b","c"]}]}`)
	paths := job.StepGraph().LongestPaths([]time.Duration{600, 400, 1500, 100})
	is.Equal(paths, []time.Duration{700, 1100, 1600, 100})
}

// chainSpec returns steps of which each depends on all earlier ones.
func chainSpec(steps int) *Spec {
	spec := &Spec{}
	for i := range steps {
		step := Step{Name: fmt.Sprint("s", i)}
		for _, earlier := range spec.Steps {
			step.DependsOn = append(step.DependsOn, earlier.Name)
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// TestLongestPathsOfHugeDurations guards against one job that hangs each leader: the durations of its
// steps overflowed their sum, and a negative sum was computed again for each path through the steps.
func TestLongestPathsOfHugeDurations(t *testing.T) {
	const maxEstimate = 1 << 40 * time.Millisecond
	for _, duration := range []time.Duration{math.MaxInt64, math.MaxInt64 / types.MaxSteps, maxEstimate} {
		t.Run(duration.String(), func(t *testing.T) {
			is := is.New(t)
			durations := make([]time.Duration, types.MaxSteps)
			for i := range durations {
				durations[i] = duration
			}
			for _, path := range chainSpec(types.MaxSteps).StepGraph().LongestPaths(durations) {
				is.Equal(path, MaxPathDuration)
			}
		})
	}
}

// Steps without a duration, or with a negative one, count as done at once.
func TestLongestPathsWithoutDurations(t *testing.T) {
	is := is.New(t)
	durations := make([]time.Duration, types.MaxSteps)
	durations[3], durations[5] = 7, -7
	paths := chainSpec(types.MaxSteps).StepGraph().LongestPaths(durations)
	is.Equal(paths[0], time.Duration(7))
	is.Equal(paths[4], time.Duration(0))
}

func TestFirstInCycle(t *testing.T) {
	is := is.New(t)
	spec := chainSpec(5)
	is.Equal(spec.StepGraph().firstInCycle(), -1)
	spec.Steps[1].DependsOn = append(spec.Steps[1].DependsOn, "s3")
	is.Equal(spec.StepGraph().firstInCycle(), 1)
}
