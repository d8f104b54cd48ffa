package state

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCriticalPath(t *testing.T) {
	is := is.New(t)
	job := submitJob(t, newTestState(t), `{"queue":"q","steps":[
		{"name":"a","kind":"x","estimate_ms":400},
		{"name":"b","kind":"x","estimate_ms":600,"after":["a"]},
		{"name":"c","kind":"x","estimate_ms":100}]}`)
	cost := func(step int) time.Duration { return milliseconds(job.Spec.Steps[step].EstimateMillis) }
	for from, want := range map[int]time.Duration{-1: 1000, 0: 1000, 1: 600, 2: 100} {
		is.Equal(job.Spec.CriticalPath(from, cost), want*time.Millisecond)
	}
}
