// The ledger: for every point of what must never happen, a run whose faults
// force the chance of it, and a count that shows that the chance arose. A run
// in which a rule had no chance proves nothing of it. The other half of the
// proof, that each rule catches a bug, is in planted_polling_test.go.

package sim

import (
	"coppercourse/sim/checker"
	"slices"
	"testing"

	"github.com/matryer/is"
)

var coverageCases = []struct {
	rule    string
	faults  []string
	cancel  float64 // part of the jobs that are cancelled; 0 is the usual
	chances []string
}{
	{"twice", []string{"cut-worker", "freeze-worker", "freeze-machine"}, 0,
		[]string{"twice: a frozen attempt found its lease expired", "again: started again after a lost or stopped attempt"}},
	{"again", []string{"cut-zone", "kill-leader", "kill-agent", "cut-core"}, 0,
		[]string{"again: a success acknowledged late or never", "again: a success during a partition, kill or freeze"}},
	{"order", []string{"kill-leader", "power-all", "freeze-leader"}, 0, []string{"order: started a step with dependencies"}},
	{"early", []string{"jump-clock", "kill-leader", "power-all", "cut-core"}, 0,
		[]string{"early: started a step with a time near a clock or leader fault"}},
	{"rack, spread", []string{"kill-worker", "kill-agent", "drain-rack"}, 0,
		[]string{"rack: started under a label", "spread: started at the limit"}},
	{"tries", []string{"failing-worker", "cut-agent", "kill-leader"}, 0,
		[]string{"tries: started again after a failure", "tries: last attempt allowed"}},
	{"room", []string{"kill-agent", "kill-leader", "freeze-agent", "slow-worker"}, 0, []string{"room: started into the last core"}},
	{"cancel", []string{"cut-agent", "freeze-agent", "cut-zone", "cut-worker-in"}, 0.5,
		[]string{"cancel: hit a running attempt", "cancel: hit a running attempt during a partition or freeze"}},
	{"leaving", []string{"leave-worker", "drain-rack", "cut-agent-in", "handover"}, 0,
		[]string{"leaving: started within 2 s of the notice", "leaving: a drain accepted"}},
	{"forgotten", []string{"power-all", "lose-disk", "swap-controller", "kill-leader"}, 0,
		[]string{"forgotten: accepted within 1 s of a kill or lost disk"}},
	{"shown", []string{"kill-machine", "cut-zone", "failing-worker"}, 0.2,
		[]string{"shown: ended done", "shown: ended failed", "shown: ended cancelled"}},
	{"gang", []string{"kill-machine", "kill-worker", "freeze-machine", "kill-leader"}, 0,
		[]string{"gang: a member lost while another ran"}},
	{"table", []string{"cut-core", "kill-leader", "lose-disk", "cut-zone"}, 0,
		[]string{"table: acknowledged within 1 s of a kill, partition or lost disk", "table: refused or losing", "table: started at the running limit"}},
}

// maxSeeds is how many seeds are tried at most until every chance of a rule was seen;
// each is a run that must break nothing.
const maxSeeds = 40

func TestEveryRuleHadItsChance(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	for i, c := range coverageCases {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			seen := checker.Coverage{}
			need := func() bool {
				return slices.ContainsFunc(c.chances, func(name string) bool { return seen[name] == 0 })
			}
			for seed := int64(0); seed < 3 || seed < maxSeeds && need(); seed++ {
				p := faultPlan(500+10*int64(i)+seed, []string{"kingston", "romania", "kingston"}[seed%3], 6, c.faults...)
				r := New(p)
				if c.cancel > 0 {
					r.Clients.CancelRate = c.cancel
				}
				v := r.Execute().Verdict()
				for _, b := range v.Violations {
					t.Error(p.Seed, b)
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
