// Deployments whose workers are invoked: calm days, each fault alone, and seeds that once
// failed. Long sweeps are `trial sweep --deployment kingston-called`.
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
)

// calm is a day without faults in a deployment whose workers are invoked.
func calm(seed int64, deployment string, bare bool) Plan {
	return Plan{Seed: seed, Deployment: deployment, Unguarded: bare, Before: 14 * time.Second, After: 4 * time.Second, Settle: 40 * time.Second, Patience: 5 * time.Second}
}

// brief is a few faults of some kinds, and no more time after them than all needs to end.
func brief(seed int64, deployment string, count int, faults ...string) Plan {
	return Plan{Seed: seed, Deployment: deployment, Unguarded: seed%2 == 0, Faults: faults, Count: count, Before: 3 * time.Second, FaultsFor: 9 * time.Second, After: 3 * time.Second,
		Settle: 45 * time.Second, Patience: 5 * time.Second}
}

func TestInvokedDeploymentsServeACalmDay(t *testing.T) {
	for i, deployment := range []string{"kingston-called", "romania-called"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := Build(calm(int64(1+i), deployment, i == 1)).Go()
			for _, b := range r.Verdict().Breaks {
				t.Error(b)
			}
			n, hows, last := map[EventKind]int{}, map[wire.EndReason]int{}, map[string]state.JobStatus{}
			for _, h := range r.Hist.List {
				n[h.What]++
				switch h.What {
				case Ended:
					hows[h.How]++
				case Saw:
					last[string(h.Job)] = h.Stage
				}
			}
			t.Log(Summary(&r.Hist), hows)
			is.True(n[Started] > 1000) // enough to tell; which jobs are drawn shifts with every message
			is.Equal(n[Denied], 0)
			is.Equal(n[Noted], n[Started]) // every end is settled, and in time
			is.Equal(hows[wire.EndLeaseExpired]+hows[wire.EndGangStartTimeout], 0)
			is.True(n[Working] > 0)
			for id, s := range last {
				if s == state.JobOpen || s == state.JobEnding {
					t.Error(id, s)
				}
			}
			for _, w := range r.agents {
				is.Equal(w.m.(*agent.Agent).Status().Account.Lease.Counters.Lives, uint64(1))
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
			clean(t, brief(int64(300+i), []string{"kingston-called", "romania-called"}[i/2%2], 3, name))
		})
	}
}

var ledgerCalled = []struct {
	rule    string
	faults  []string
	tries   int // how often callers send a job again; -1 is never, 0 the usual
	long    bool
	chances []string
}{
	{"twice", []string{"cut-agent", "freeze-agent", "crash-silent", "kill-machine"}, 0, false, []string{"twice: started again after a lapse or a crash"}},
	{"again", []string{"cut-agent", "cut-agent-in", "kill-machine", "freeze-leader"}, 0, false,
		[]string{"again: a good end that had lapsed when settled", "again: started after a good end that was never noted"}},
	{"late orders", []string{"late-worker", "late-orders", "restart-agent"}, 0, false, []string{"late: a start was turned away by a later fence"}},
	{"room", []string{"kill-leader", "restart-agent", "slow-worker"}, 0, false, []string{"room: started where no other like it would fit"}},
	{"order, early", []string{"jump-clock", "kill-leader", "power-all", "cut-core"}, 0, false,
		[]string{"order: started a step with dependencies", "early: started a step with a time"}},
	{"label, spread", []string{"crash-refuse", "kill-agent", "drain-worker"}, 0, false, []string{"label: started under one", "spread: started at the limit"}},
	{"tries", []string{"failing-worker", "cut-agent", "kill-leader"}, 0, false, []string{"tries: started again after a failure", "tries: last try allowed"}},
	{"alone", []string{"cut-leader", "sick-worker", "cut-zone", "hang-worker"}, 0, false,
		[]string{"alone: a member's gang was whole", "ended: broken"}},
	{"unasked", []string{"drain-worker", "notice-worker", "drain-rack"}, 0, true, []string{"unasked: started from what was saved"}},
	{"cancel", []string{"cut-agent", "freeze-agent", "hang-worker"}, 0, true, []string{"cancel: hit a running attempt", "cancel: near a trouble"}},
	{"refused", []string{"cut-core", "power-all", "freeze-leader", "stall-disk"}, -1, false, []string{"refused: jobs that were turned away for good"}},
	{"leaving", []string{"notice-worker", "spot-worker", "drain-rack", "late-beats"}, 0, false, []string{"leaving: started elsewhere while a worker was leaving", "leaving: a drain taken"}},
	{"forgotten", []string{"power-all", "lose-disk", "swap-controller", "kill-leader"}, 0, false, []string{"forgotten: accepted near a kill or lost disk"}},
	{"shown", []string{"kill-machine", "cut-zone", "failing-worker"}, 0, false, []string{"shown: ended done", "shown: ended failed", "shown: ended cancelled"}},
	{"idle", []string{"sick-worker", "drain-worker"}, 0, false, []string{"idle: looks at a job with nothing running, and room"}},
	{"table", []string{"cut-core", "kill-leader", "lose-disk", "cut-zone"}, 0, false,
		[]string{"table: acknowledged near a trouble", "table: refused or losing", "table: a door was asked for a queue that came or went"}},
}

func TestEveryRuleOfInvokedDeploymentsHadItsChance(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for i, c := range ledgerCalled {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			seen := Tally{}
			need := func() bool {
				return slices.ContainsFunc(c.chances, func(name string) bool { return seen[name] == 0 })
			}
			for seed := int64(0); seed < enough && need(); seed++ {
				r := Build(brief(700+10*int64(i)+seed, []string{"kingston-called", "romania-called"}[seed%2], 6, c.faults...))
				if c.long { // more of the long jobs, of which some save their progress and more are cancelled
					r.Clients.deployment.Streams = slices.Clone(r.Clients.deployment.Streams)
					r.Clients.deployment.Streams[1].Every /= 4
					r.Clients.deployment.Streams[1].Cancel = 0.4
				}
				if c.tries != 0 {
					r.Clients.Tries = max(0, c.tries)
				}
				v := r.Go().Verdict()
				for _, b := range v.Breaks {
					t.Error(r.Plan.Seed, b)
				}
				seen.Add(v.Seen)
			}
			for _, name := range c.chances {
				t.Log(seen[name], name)
				is.True(seen[name] > 0)
			}
		})
	}
}

// ofGangs is a deployment of nothing but gangs, in which something goes wrong from 5 s on.
func ofGangs(seed int64, how func(*Run)) *Run {
	r := Build(calm(seed, "kingston-called", false))
	r.Clients.deployment.Streams = slices.Clone(r.Clients.deployment.Streams[:1])
	x := shape{queue: "quotes", steps: 1, width: 6, ms: 900, cores: 3, memory: 900, gangs: 1}
	r.Clients.deployment.Streams[0].Every = 120 * time.Millisecond
	r.Clients.deployment.Streams[0].Spec = func(rnd *rand.Rand, now int64) state.Spec { return x.spec(rnd, now, 16) }
	r.at(5*time.Second, func() { how(r) })
	return r
}

// boasts has one worker tell three times the room that it has.
func boasts(r *Run) {
	onBeat(func(b *wire.WorkerHeartbeat) {
		if b.Addr == r.invokedWorkers[4].node.addr {
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
		r := ofGangs(seed, boasts).Go()
		full, started, orders := 0, 0, uint64(0)
		for _, h := range r.Hist.List {
			switch h.What {
			case Spared:
				full++
			case Started:
				started++
			}
		}
		for _, n := range r.controllers {
			orders += n.m.(*controller.Controller).Counters.Orders
		}
		t.Logf("%d: %d orders, %d starts, %d turned away; %s", seed, orders, started, full, Summary(&r.Hist))
		is.True(full > 0)
		is.True(int(orders)-started < 50)
		for _, b := range r.Verdict().Breaks {
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
		"sick":      func(r *Run) { r.invokedWorkers[2].w.Sick = true },
		"too small": boasts,
		"no answers": func(r *Run) {
			for _, k := range r.invokedWorkers {
				k.lates = 0.1
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := ofGangs(40, how).Go()
			waits, again, longest := map[types.AttemptID]int64{}, 0, int64(0)
			for _, h := range r.Hist.List {
				switch h.What {
				case Started:
					waits[h.Attempt] = h.At
				case Working:
					delete(waits, h.Attempt)
				case Ended:
					is.True(h.How != wire.EndGangStartTimeout)
					if at, ok := waits[h.Attempt]; ok {
						again++
						longest = max(longest, h.At-at)
					}
				}
			}
			t.Logf("%d members were stopped before their gang was whole, after %.3f s at most; %s", again, float64(longest)/1e9, Summary(&r.Hist))
			is.True(again > 0)
			for _, b := range r.Verdict().Breaks {
				t.Error(b)
			}
		})
	}
}
