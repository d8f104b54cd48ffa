// Deployments whose workers are invoked: calm days, each fault alone, and seeds that once
// failed. Long sweeps are `coppersim sweep --deployment kingston-called`.

package sim

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/checker"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

// calmPlan is a day without faults in a deployment whose workers are invoked.
func calmPlan(seed int64, deployment string, bare bool) Plan {
	return Plan{Seed: seed, Deployment: deployment, Unguarded: bare, Before: 14 * time.Second, After: 4 * time.Second, Settle: 40 * time.Second, Patience: 5 * time.Second}
}

// briefPlan is a few faults of some kinds, and no more time after them than all needs to end.
func briefPlan(seed int64, deployment string, count int, faults ...string) Plan {
	return Plan{Seed: seed, Deployment: deployment, Unguarded: seed%2 == 0, Faults: faults, FaultCount: count, Before: 3 * time.Second, FaultsFor: 9 * time.Second, After: 3 * time.Second,
		Settle: 45 * time.Second, Patience: 5 * time.Second}
}

func TestInvokedDeploymentsServeACalmDay(t *testing.T) {
	for i, deployment := range []string{"kingston-called", "romania-called"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := New(calmPlan(int64(1+i), deployment, i == 1)).Execute()
			for _, b := range r.Verdict().Violations {
				t.Error(b)
			}
			n, hows, last := map[history.Kind]int{}, map[wire.EndReason]int{}, map[string]state.JobStatus{}
			for _, h := range r.History.Events {
				n[h.Kind]++
				switch h.Kind {
				case history.AttemptEnded:
					hows[h.How]++
				case history.JobObserved:
					last[string(h.Job)] = h.Stage
				}
			}
			t.Log(history.Summary(&r.History), hows)
			is.True(n[history.AttemptStarted] > 1000) // enough to tell; which jobs are drawn shifts with every message
			is.Equal(n[history.JobDenied], 0)
			is.Equal(n[history.EndSettled], n[history.AttemptStarted]) // every end is settled, and in time
			is.Equal(hows[wire.EndLeaseExpired]+hows[wire.EndGangStartTimeout], 0)
			is.True(n[history.GangAssembled] > 0)
			for id, s := range last {
				if s == state.JobOpen || s == state.JobEnding {
					t.Error(id, s)
				}
			}
			for _, w := range r.agents {
				is.Equal(w.Machine.(*agent.Agent).Status().Executor.Lease.Counters.Incarnations, uint64(1))
			}
		})
	}
}

func TestEachFaultOfInvokedDeploymentsAlone(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for i, name := range FaultsOf("romania-called") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithoutViolations(t, briefPlan(int64(300+i), []string{"kingston-called", "romania-called"}[i/2%2], 3, name))
		})
	}
}

var invokedCoverageCases = []struct {
	rule    string
	faults  []string
	tries   int // how often callers send a job again; -1 is never, 0 the usual
	long    bool
	chances []string
}{
	{"twice", []string{"cut-agent", "freeze-agent", "crash-silent", "kill-machine"}, 0, false, []string{"twice: started again after an expired lease or a crash"}},
	{"again", []string{"cut-agent", "cut-agent-in", "kill-machine", "freeze-leader"}, 0, false,
		[]string{"again: a success whose lease had expired when it was settled", "again: started after a success that was never settled"}},
	{"late orders", []string{"late-worker", "late-orders", "restart-agent"}, 0, false, []string{"late: a start was rejected by a later fencing token"}},
	{"room", []string{"kill-leader", "restart-agent", "slow-worker"}, 0, false, []string{"room: started where no other like it would fit"}},
	{"order, early", []string{"jump-clock", "kill-leader", "power-all", "cut-core"}, 0, false,
		[]string{"order: started a step with dependencies", "early: started a step with a time"}},
	{"label, spread", []string{"crash-refuse", "kill-agent", "drain-worker"}, 0, false, []string{"label: started under one", "spread: started at the limit"}},
	{"tries", []string{"failing-worker", "cut-agent", "kill-leader"}, 0, false, []string{"tries: started again after a failure", "tries: last attempt allowed"}},
	{"alone", []string{"cut-leader", "sick-worker", "cut-zone", "hang-worker"}, 0, false,
		[]string{"alone: a member's gang was complete", "ended: broken"}},
	{"unasked", []string{"drain-worker", "notice-worker", "drain-rack"}, 0, true, []string{"unasked: started from a checkpoint"}},
	{"cancel", []string{"cut-agent", "freeze-agent", "hang-worker"}, 0, true, []string{"cancel: hit a running attempt", "cancel: near a fault"}},
	{"refused", []string{"cut-core", "power-all", "freeze-leader", "stall-disk"}, -1, false, []string{"refused: jobs that were rejected for good"}},
	{"leaving", []string{"notice-worker", "spot-worker", "drain-rack", "late-beats"}, 0, false, []string{"leaving: started elsewhere while a worker was leaving", "leaving: a drain accepted"}},
	{"forgotten", []string{"power-all", "lose-disk", "swap-controller", "kill-leader"}, 0, false, []string{"forgotten: accepted near a kill or lost disk"}},
	{"shown", []string{"kill-machine", "cut-zone", "failing-worker"}, 0, false, []string{"shown: ended done", "shown: ended failed", "shown: ended cancelled"}},
	{"idle", []string{"sick-worker", "drain-worker"}, 0, false, []string{"idle: samples of a job with nothing running, and capacity"}},
	{"table", []string{"cut-core", "kill-leader", "lose-disk", "cut-zone"}, 0, false,
		[]string{"table: acknowledged near a fault", "table: refused or losing", "table: a gateway was asked for a queue that was added or removed"}},
}

func TestEveryRuleOfInvokedDeploymentsHadItsChance(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for i, c := range invokedCoverageCases {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			seen := checker.Coverage{}
			need := func() bool {
				return slices.ContainsFunc(c.chances, func(name string) bool { return seen[name] == 0 })
			}
			for seed := int64(0); seed < maxSeeds && need(); seed++ {
				r := New(briefPlan(700+10*int64(i)+seed, []string{"kingston-called", "romania-called"}[seed%2], 6, c.faults...))
				if c.long { // more of the long jobs, of which some save their progress and more are cancelled
					r.Clients.deployment.Streams[1].MeanInterval /= 4
					r.Clients.deployment.Streams[1].CancelRate = 0.4
				}
				if c.tries != 0 {
					r.Clients.MaxRetries = max(0, c.tries)
				}
				v := r.Execute().Verdict()
				for _, b := range v.Violations {
					t.Error(r.Plan.Seed, b)
				}
				seen.Add(v.Coverage)
			}
			for _, name := range c.chances {
				t.Log(seen[name], name)
				is.True(seen[name] > 0)
			}
		})
	}
}

// newGangRun is a deployment of nothing but gangs, in which something goes wrong from 5 s on.
func newGangRun(seed int64, how func(*Run)) *Run {
	r := New(calmPlan(seed, "kingston-called", false))
	r.Clients.deployment.Streams = slices.Clone(r.Clients.deployment.Streams[:1])
	x := deployment.JobShape{Queue: "quotes", Steps: 1, Tasks: 6, TaskMS: 900, Cores: 3, MemoryMB: 900, GangRate: 1}
	r.Clients.deployment.Streams[0].MeanInterval = 120 * time.Millisecond
	r.Clients.deployment.Streams[0].NewSpec = func(rnd *rand.Rand, now int64) state.Spec { return x.NewSpec(rnd, now, 16) }
	r.After(5*time.Second, func() { how(r) })
	return r
}

// exaggerateCapacity has one worker tell three times the room that it has.
func exaggerateCapacity(r *Run) {
	onHeartbeat(func(b *wire.WorkerHeartbeat) {
		if b.Addr == r.InvokedWorkers[4].Node.Addr {
			b.Capacity = b.Capacity.Scale(3)
		}
	})(r)
}

// A worker that turns starts away for want of room is believed by its agent and by
// the leader: few orders are lost to it.
func TestAWorkerThatBoastsCostsFewOrders(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for seed := int64(40); seed < 44; seed++ {
		is := is.New(t)
		r := newGangRun(seed, exaggerateCapacity).Execute()
		full, started, orders := 0, 0, uint64(0)
		for _, h := range r.History.Events {
			switch h.Kind {
			case history.AttemptRejected:
				full++
			case history.AttemptStarted:
				started++
			}
		}
		for _, n := range r.controllers {
			orders += n.Machine.(*controller.Controller).Counters.Orders
		}
		t.Logf("%d: %d orders, %d starts, %d turned away; %s", seed, orders, started, full, history.Summary(&r.History))
		is.True(full > 0)
		is.True(int(orders)-started < 50)
		for _, b := range r.Verdict().Violations {
			t.Error(seed, b)
		}
	}
}

// A gang of which one member is turned away, or gets no answer, does not wait in
// vain: the others are stopped long before, and it goes again as one.
func TestAGangWithAMemberTurnedAwayNeverWaitsInVain(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for name, how := range map[string]func(*Run){
		"sick":      func(r *Run) { r.InvokedWorkers[2].Worker.Unhealthy = true },
		"too small": exaggerateCapacity,
		"no answers": func(r *Run) {
			for _, k := range r.InvokedWorkers {
				k.LateCallRate = 0.1
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newGangRun(40, how).Execute()
			waits, again, longest := map[types.AttemptID]int64{}, 0, int64(0)
			for _, h := range r.History.Events {
				switch h.Kind {
				case history.AttemptStarted:
					waits[h.Attempt] = h.At
				case history.GangAssembled:
					delete(waits, h.Attempt)
				case history.AttemptEnded:
					is.True(h.How != wire.EndGangStartTimeout)
					if at, ok := waits[h.Attempt]; ok {
						again++
						longest = max(longest, h.At-at)
					}
				}
			}
			t.Logf("%d members were stopped before their gang was whole, after %.3f s at most; %s", again, float64(longest)/1e9, history.Summary(&r.History))
			is.True(again > 0)
			for _, b := range r.Verdict().Violations {
				t.Error(b)
			}
		})
	}
}
