// Simulated runs under fixed seeds; the long sweeps are `trial sweep`. Seeds
// that once showed a failure stay here.
package sim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// faultRun is a run short enough for every change.
func faultRun(seed int64, deployment string, count int, faults ...string) Plan {
	return Plan{Seed: seed, Deployment: deployment, Faults: faults, Count: count, Before: 8 * time.Second, FaultsFor: 12 * time.Second,
		After: 22 * time.Second, Settle: 44 * time.Second, Patience: 12 * time.Second}
}

// clocks is what showed work starting before its time.
func clocks(seed int64) Plan {
	return Plan{Seed: seed, Deployment: "kingston", Faults: []string{"jump-clock", "kill-leader", "power-all", "cut-core", "freeze-leader", "weather"},
		Count: 8, Before: 10 * time.Second, FaultsFor: 20 * time.Second, After: 24 * time.Second, Settle: 60 * time.Second, Patience: 30 * time.Second}
}

// sweep is as the command's defaults are; core14 what broke ends and gangs most.
func sweep(seed int64, count int, faults ...string) Plan {
	return Plan{Seed: seed, Deployment: "kingston", Faults: faults, Count: count, Before: 10 * time.Second, FaultsFor: 30 * time.Second,
		After: 24 * time.Second, Settle: 60 * time.Second, Patience: 30 * time.Second, Last: true}
}

var core14 = []string{"kill-leader", "kill-machine", "cut-worker", "cut-agent", "freeze-machine", "cut-zone", "cut-core",
	"freeze-leader", "cut-leader", "weather", "stall-disk", "power-all"}

func clean(t *testing.T, p Plan) Verdict {
	t.Helper()
	r := Build(p).Go()
	v := r.Verdict()
	for _, b := range v.Breaks {
		t.Error(b)
	}
	if t.Failed() {
		t.Log(Timeline(&r.Hist))
	}
	return v
}

func TestCalmRunsAsExpected(t *testing.T) {
	for _, deployment := range []string{"kingston", "romania"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			v := clean(t, faultRun(1, deployment, 0))
			is.Equal(v.Seen.Reruns(), 0)
			is.True(v.Attempts > 700)
			is.True(v.Ratio > 0.8)
		})
	}
}

func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	p := faultRun(5, "kingston", 4, FaultNames()...)
	p.After, p.Settle = time.Second, time.Second
	a, b := Build(p).Go(), Build(p).Go()
	is.Equal(len(a.Hist.List), len(b.Hist.List))
	for i := range a.Hist.List {
		is.Equal(a.Hist.List[i].At, b.Hist.List[i].At)
	}
}

func TestEachFaultAlone(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for i, name := range FaultNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clean(t, faultRun(int64(100+i), []string{"kingston", "romania"}[i%2], 2, name))
		})
	}
}

func TestSeedsThatOnceFailed(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for _, p := range []Plan{
		faultRun(4, "kingston", 3, "power-all"),                       // the cluster's clock fell back after a full stop
		faultRun(16, "kingston", 8, FaultNames()...),                  // a put that was taken was told refused, much later
		faultRun(1006, "kingston", 8, "cut-zone", "cut-core-out"),     // a settled loss hid a good end
		faultRun(1008, "kingston", 8, "freeze-agent", "leave-worker"), // a stale beat ended a doubt
		clocks(701), clocks(706), clocks(714), // the leader's clock and the walls were counted apart
		faultRun(5010, "romania", 10, "cut-agent", "cut-zone", "weather"), // a failure told late was not counted
		sweep(91040, 10, FaultNames()...),                                 // a controller being elected let a report fall
		sweep(91026, 10, FaultNames()...),                                 // a gang waited for a new leader's wait
		sweep(97019, 14, core14...),                                       // a deposed leader alone knew an end
		sweep(97086, 14, core14...),                                       // so did a controller cut off from the others
		sweep(7044, 10, "kill-machine", "kill-leader"),
	} {
		t.Run(fmt.Sprint(p.Seed), func(t *testing.T) {
			t.Parallel()
			clean(t, p)
		})
	}
}
