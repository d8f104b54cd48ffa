// Every rule of the checker is shown to catch a planted bug: the machines are
// the real ones, and what lies between them lies. The same run without the bug
// breaks nothing.

package sim

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

// alter reads a body, changes it and writes it back.
func alter[T any](b *json.RawMessage, f func(*T)) {
	var t T
	if json.Unmarshal(*b, &t) == nil {
		f(&t)
		*b = wire.EncodeBody(t)
	}
}

func onMessage[T any](kind wire.Kind, f func(*T)) func(*Run) {
	return func(r *Run) {
		r.TamperMessage = func(s *wire.OutboundMessage) bool {
			if s.Message.Kind == kind {
				alter(&s.Message.Body, f)
			}
			return true
		}
	}
}

// onJob changes jobs on their way from the gateways to the leader.
func onJob(f func(*state.Step)) func(*Run) {
	return onMessage(wire.ForwardRequest, func(c *wire.ForwardedRequest) {
		if c.Verb == "job.put" {
			alter(&c.Body, func(s *state.Spec) {
				for i := range s.Steps {
					f(&s.Steps[i])
				}
			})
		}
	})
}

func onPoll(f func(*protocol.Poll)) func(*Run) {
	return func(r *Run) {
		r.TamperRequest = func(verb wire.Verb, b *json.RawMessage) {
			if verb == "poll" {
				alter(b, f)
			}
		}
		for _, h := range r.PollingWorkers {
			h.IgnoresCapacity = true
		}
	}
}

func dropMessages(kind wire.Kind) func(*Run) {
	return func(r *Run) { r.TamperMessage = func(s *wire.OutboundMessage) bool { return s.Message.Kind != kind } }
}

var plantedBugs = []struct {
	name     string
	faults   []string
	rules    []string
	patience time.Duration
	short    bool // the bug piles work up; a few seconds show it
	plant    func(*Run)
}{
	{"workers heed no grant", []string{"cut-worker"}, []string{"twice"}, time.Millisecond, false, func(r *Run) {
		for _, h := range r.PollingWorkers {
			h.IgnoresLease = true
		}
	}},
	{"accounts hide what runs", []string{"handover"}, []string{"again"}, 30 * time.Second, false, onMessage(wire.RunningTasksReply, func(a *protocol.RunningTasksReply) { a.Tasks = nil })},
	{"good ends told as stops", nil, []string{"again"}, 30 * time.Second, true, onPoll(func(p *protocol.Poll) {
		for i := range p.Ended {
			p.Ended[i].Outcome = state.OutcomeStopped
		}
	})},
	{"failures told as stops", nil, []string{"tries"}, 30 * time.Second, false, onPoll(func(p *protocol.Poll) {
		for i := range p.Ended {
			if p.Ended[i].Outcome == state.OutcomeFailed {
				p.Ended[i].Outcome = state.OutcomeStopped
			}
		}
	})},
	{"workers report what they are not", nil, []string{"service", "rack", "room"}, 30 * time.Second, false, onPoll(func(p *protocol.Poll) {
		p.Kinds, p.Capacity, p.Rack = []types.ServiceKind{"quote", "menu", "pay"}, types.Resources{Cores: 4000 * types.Core, MemoryMB: 4_000_000}, "r1"
	})},
	{"nobody hears that a worker leaves", []string{"leave-worker"}, []string{"leaving"}, 30 * time.Second, false, onPoll(func(p *protocol.Poll) { p.Departing = false })},
	{"spread is forgotten", nil, []string{"spread"}, 30 * time.Second, false, onJob(func(s *state.Step) { s.MaxPerWorker = 0 })},
	{"times are forgotten", nil, []string{"early"}, 30 * time.Second, false, onJob(func(s *state.Step) { s.DelayMillis, s.NotBefore = 0, "" })},
	{"dependencies are forgotten", nil, []string{"order"}, 30 * time.Second, false, onJob(func(s *state.Step) { s.DependsOn = nil })},
	{"stops get lost", []string{"kill-machine"}, []string{"cancel-run", "gang"}, 30 * time.Second, false, func(r *Run) { dropMessages(wire.KillTask)(r); r.Clients.CancelRate = 0.5 }},
	{"open jobs shown done", nil, []string{"shown"}, 30 * time.Second, false, func(r *Run) {
		r.TamperAnswer = func(verb wire.Verb, a *wire.Response) {
			if verb == "job.get" && a.Error == nil {
				alter(&a.Body, func(v *map[string]any) { (*v)["state"] = "done" })
			}
		}
	}},
	{"jobs denied after acceptance", nil, []string{"forgotten"}, 30 * time.Second, false, func(r *Run) {
		r.TamperAnswer = func(verb wire.Verb, a *wire.Response) {
			if verb == "job.get" {
				*a = wire.Response{Error: apierror.New(apierror.NoSuchJob, "id", "")}
			}
		}
	}},
	{"old tables read", nil, []string{"table"}, 30 * time.Second, false, func(r *Run) {
		r.TamperAnswer = func(verb wire.Verb, a *wire.Response) {
			if verb == "table.get" && a.Error == nil {
				alter(&a.Body, func(t *config.Table) { t.Version-- })
			}
		}
	}},
	{"placement goes by a table of its own", nil, []string{"table", "tries"}, 30 * time.Second, false, func(r *Run) {
		told := map[types.Version]config.Table{}
		swap := func(b *json.RawMessage) {
			alter(b, func(t *config.Table) {
				if o, ok := told[t.Version]; ok && len(t.Queues) > 0 {
					t.Queues = o.Queues
				}
			})
		}
		r.TamperMessage = func(s *wire.OutboundMessage) bool {
			if s.Message.Kind == wire.ForwardRequest {
				alter(&s.Message.Body, func(c *wire.ForwardedRequest) {
					if c.Verb == "table.put" {
						alter(&c.Body, func(t *config.Table) {
							told[t.Version+1] = config.Table{Queues: slices.Clone(t.Queues)}
							t.Queues[1].MaxRunning, t.Queues[2].MaxFailures = 1000, 9
						})
					}
				})
			}
			return true
		}
		r.TamperAnswer = func(verb wire.Verb, a *wire.Response) {
			if verb == "table.get" && a.Error == nil {
				swap(&a.Body)
			}
		}
		r.Clients.RacingOperators = false
		r.After(7*time.Second, func() {
			r.Clients.readTable(func(t config.Table) {
				t.Queues = slices.Clone(t.Queues)
				t.Queues[1].MaxRunning = 8
				r.Clients.putTable(t, "g1", 0, func(bool) {})
			})
		})
	}},
	{"disks say synced and are not", []string{"power-all"}, []string{"forgotten"}, 30 * time.Second, false, func(r *Run) {
		r.After(10*time.Second, func() {
			for _, h := range r.controllers {
				h.Disk.FalseSync = true
			}
		})
	}},
	{"orders end with the faults", []string{"kill-gateway"}, []string{"recovery"}, 30 * time.Second, false, func(r *Run) {
		r.After(26*time.Second, func() { dropMessages(wire.RunTask)(r) })
		r.After(52*time.Second, func() { r.TamperMessage = nil })
	}},
}

func TestPlantedBugsAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for _, p := range plantedBugs {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := map[string]bool{}
			need := func() bool {
				return slices.ContainsFunc(p.rules, func(rule string) bool { return !got[rule] })
			}
			for seed := int64(77); seed < 117 && need(); seed++ { // ends with the first that shows it
				plan := Plan{Seed: seed, Deployment: "kingston", Faults: p.faults, Before: 6 * time.Second, FaultsFor: 12 * time.Second,
					After: 24 * time.Second, Settle: 40 * time.Second, Patience: p.patience}
				if p.faults != nil {
					plan.FaultCount = 6
				}
				if p.short {
					plan.Before, plan.FaultsFor, plan.After, plan.Settle = time.Second, 0, 0, time.Second
				}
				r := New(plan)
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
