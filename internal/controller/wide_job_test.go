package controller

import (
	"fmt"
	"math/rand"
	"testing"

	"coppercourse/internal/state"
)

// BenchmarkRoundOfWideJob measures a placement round with a job of 312 occurrences of 64 steps, each of
// which depends on all earlier ones, while the job does not change.
func BenchmarkRoundOfWideJob(b *testing.B) {
	t := &testing.T{}
	l := newLeaderRig(rand.New(rand.NewSource(1)))
	l.endInitialWait(t)
	queue := testQueue("q")
	queue.TargetFactor, queue.TargetMarginMillis = 2, 1000
	l.setTable(t, queue)
	spec := state.Spec{Queue: "q", Schedule: &state.Schedule{Count: 312}}
	for i := range 64 {
		step := testStep(fmt.Sprint("s", i), 1)
		step.Resources.Cores = 100
		for _, earlier := range spec.Steps {
			step.DependsOn = append(step.DependsOn, earlier.Name)
		}
		spec.Steps = append(spec.Steps, step)
	}
	l.submit(t, "wide", spec)
	for b.Loop() {
		l.plan(0)
	}
}
