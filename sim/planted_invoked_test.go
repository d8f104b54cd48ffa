// Each rule on deployments whose workers are invoked is shown to catch a planted bug: the
// machines are the real ones, what lies between them lies. The same run without
// the bug breaks nothing.

package sim

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

func onHeartbeat(f func(*wire.WorkerHeartbeat)) func(*Run) {
	return func(r *Run) {
		r.TamperRequest = func(verb wire.Verb, b *json.RawMessage) {
			if verb == "beat" {
				alter(b, f)
			}
		}
	}
}

// onEnd changes how workers' ends are told.
func onEnd(from, to wire.EndReason) func(*Run) {
	return func(r *Run) {
		r.TamperReply = func(_ wire.WorkerCall, x *wire.WorkerReply) {
			x.Ended = slices.Clone(x.Ended)
			for i := range x.Ended {
				if x.Ended[i].Reason == from {
					x.Ended[i].Reason = to
				}
			}
		}
	}
}

// onStart changes one start in some.
func onStart(some int, f func(*wire.WorkerCall)) func(*Run) {
	return func(r *Run) {
		r.TamperCall = func(c *wire.WorkerCall) {
			if c.Kind == wire.StartAttempt && r.Random.Intn(some) == 0 {
				f(c)
			}
		}
	}
}

// onAnswer changes what callers are answered.
func onAnswer(verb wire.Verb, f func(*wire.Response)) func(*Run) {
	return func(r *Run) {
		r.TamperAnswer = func(v wire.Verb, a *wire.Response) {
			if v == verb {
				f(a)
			}
		}
	}
}

func onSpec(f func(*state.Spec)) func(*Run) {
	return onMessage(wire.ForwardRequest, func(c *wire.ForwardedRequest) {
		if c.Verb == "job.put" {
			alter(&c.Body, f)
		}
	})
}

var plantedInvokedBugs = []struct {
	name   string
	faults []string
	rules  []string
	bare   bool
	plant  func(*Run)
}{
	{"workers run on without a lease", []string{"cut-agent", "freeze-agent"}, []string{"twice"}, false, func(r *Run) {
		for _, k := range r.InvokedWorkers {
			k.IgnoresLease = true
		}
	}},
	{"workers heed no fence", []string{"late-worker", "restart-agent"}, []string{"twice"}, false, func(r *Run) {
		for _, k := range r.InvokedWorkers {
			k.IgnoresFence = true
		}
	}},
	{"good ends told as lapsed", nil, []string{"again"}, false, onEnd(wire.EndSucceeded, wire.EndLeaseExpired)},
	{"failures told as stops", nil, []string{"tries"}, false, onEnd(wire.EndFailed, wire.EndStopped)},
	{"workers say that they are larger", nil, []string{"room"}, true, onHeartbeat(func(b *wire.WorkerHeartbeat) { b.Capacity = b.Capacity.Scale(10) })},
	{"a worker says that it serves what it does not", nil, []string{"service"}, false, func(r *Run) {
		r.InvokedWorkers[3].Spec.Kinds = []types.ServiceKind{"other"}
		onHeartbeat(func(b *wire.WorkerHeartbeat) { b.Kinds = []types.ServiceKind{"work"} })(r)
	}},
	{"workers say that they have all labels", nil, []string{"label"}, false, onHeartbeat(func(b *wire.WorkerHeartbeat) { b.Labels = []string{"a", "b"} })},
	{"spread is forgotten", nil, []string{"spread"}, false, onJob(func(s *state.Step) { s.MaxPerWorker = 0 })},
	{"dependencies are forgotten", nil, []string{"order"}, false, onJob(func(s *state.Step) { s.DependsOn = nil })},
	{"times are forgotten", nil, []string{"early"}, false, onSpec(func(s *state.Spec) {
		if s.Schedule != nil {
			s.Schedule.FirstUnixMillis, s.Schedule.IntervalMillis = 0, 0
		}
	})},
	{"starts get lost, and stops", nil, []string{"alone"}, false, func(r *Run) {
		dropMessages(wire.KillTask)(r)
		onStart(10, func(c *wire.WorkerCall) { c.Addr = "nowhere" })(r)
	}},
	{"other work is started", nil, []string{"unasked"}, false, onStart(20, func(c *wire.WorkerCall) { c.Input = []byte(`{"ms":7}`) })},
	{"work goes on from what another saved", []string{"drain-worker", "notice-worker", "drain-rack"}, []string{"unasked"}, false, func(r *Run) {
		r.Clients.deployment.Streams[1].MeanInterval /= 4 // more of the long jobs, of which some save their progress
		onStart(1, func(c *wire.WorkerCall) {
			if c.Checkpoint != "" {
				c.Checkpoint = "0123456789abcdef"
			}
		})(r)
	}},
	{"what nobody sent is started", nil, []string{"unasked"}, false, onStart(50, func(c *wire.WorkerCall) { c.Attempt.Job = "ghost" })},
	{"cancels are answered and not taken", nil, []string{"cancel-start", "cancel-run"}, false, func(r *Run) {
		for i := range r.Clients.deployment.Streams {
			r.Clients.deployment.Streams[i].CancelRate, r.Clients.deployment.Streams[i].CancelWithin = 0.5, 500*time.Millisecond
		}
		onMessage(wire.ForwardRequest, func(c *wire.ForwardedRequest) {
			if c.Verb == "job.cancel" {
				c.Verb = "job.get"
			}
		})(r)
	}},
	{"what was taken is answered as not taken", nil, []string{"refused"}, false, onAnswer("job.put", func(a *wire.Response) {
		*a = wire.Response{Error: apierror.New(apierror.QueueFull, "queue", "")}
	})},
	{"nobody hears that a worker leaves", []string{"notice-worker"}, []string{"leaving"}, false, onHeartbeat(func(b *wire.WorkerHeartbeat) { b.Draining, b.DepartsInMS = false, 0 })},
	{"open jobs shown done", nil, []string{"shown"}, false, onAnswer("job.get", func(a *wire.Response) {
		if a.Error == nil {
			alter(&a.Body, func(v *map[string]any) { (*v)["state"] = "done" })
		}
	})},
	{"jobs shown failed without a cause", nil, []string{"shown"}, false, onAnswer("job.get", func(a *wire.Response) {
		if a.Error == nil {
			alter(&a.Body, func(v *map[string]any) { (*v)["state"] = "failed" })
		}
	})},
	{"jobs denied after acceptance", nil, []string{"forgotten"}, false, onAnswer("job.get", func(a *wire.Response) {
		*a = wire.Response{Error: apierror.New(apierror.NoSuchJob, "id", "")}
	})},
	{"orders get lost", nil, []string{"idle"}, false, func(r *Run) { r.After(8*time.Second, func() { dropMessages(wire.RunTask)(r) }) }},
	{"doors know no queue that came", nil, []string{"table"}, false, onAnswer("queue.count", func(a *wire.Response) {
		*a = wire.Response{Error: apierror.New(apierror.NoSuchQueue, "queue", "")}
	})},
	{"doors know queues that went", nil, []string{"table"}, false, onAnswer("queue.count", func(a *wire.Response) {
		*a = wire.Response{StatusCode: 200}
	})},
	{"both of a race are acknowledged", nil, []string{"table"}, false, onAnswer("table.put", func(a *wire.Response) {
		if a.Error != nil && a.Error.RetryAfterSeconds == 0 {
			*a = wire.Response{StatusCode: 200}
		}
	})},
	{"old tables read", nil, []string{"table"}, false, onAnswer("table.get", func(a *wire.Response) {
		if a.Error == nil {
			alter(&a.Body, func(t *config.Table) { t.Version-- })
		}
	})},
}

func TestPlantedBugsOfInvokedWorkersAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for _, p := range plantedInvokedBugs {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := map[string]bool{}
			need := func() bool {
				return slices.ContainsFunc(p.rules, func(rule string) bool { return !got[rule] })
			}
			for seed := int64(77); seed < 83 && need(); seed++ {
				plan := Plan{Seed: seed, Deployment: "kingston-called", Unguarded: p.bare, Faults: p.faults, Before: 6 * time.Second, Settle: 12 * time.Second, Patience: 5 * time.Second}
				if p.faults != nil {
					plan.FaultCount, plan.FaultsFor = 6, 10*time.Second
				}
				r := New(plan)
				r.Clients.deployment.Streams = slices.Clone(r.Clients.deployment.Streams)
				p.plant(r)
				for _, b := range r.Execute().Verdict().Violations {
					got[b.Rule] = true
				}
				t.Log(seed, got, history.Summary(&r.History))
			}
			for _, rule := range p.rules {
				is.True(got[rule]) // the rule must be seen broken
			}
		})
	}
}
