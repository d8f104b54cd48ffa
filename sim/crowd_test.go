// Crowds: a flood in one queue leaves the others what is theirs, what can't be
// taken is refused at once with when to come back, and nothing grows unbounded.
package sim

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// rateOf counts a queue's jobs seen done a second.
func rateOf(h *History, q types.QueueName, from, to time.Duration) float64 {
	part := &History{}
	for _, x := range h.List {
		if len(x.Job) > len(q) && string(x.Job[:len(q)]) == string(q) {
			part.Add(x)
		}
	}
	return Rate(part, int64(from), int64(to))
}

func TestFloodLeavesOthersTheirs(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	t.Parallel()
	is := is.New(t)
	r := Build(Plan{Seed: 3, Deployment: "kingston", Patience: 30 * time.Second})
	r.at(3*time.Second, func() { r.Clients.put(r.Clients.deployment.Table(), "g1", 0, func(bool) {}) })
	r.at(6*time.Second, func() {
		for _, f := range r.Clients.deployment.Flows {
			r.Clients.flow(f)
		}
	})
	flood := Flow{"menus", 25 * time.Millisecond, func(rnd *rand.Rand) state.Spec {
		return state.Spec{Queue: "menus", Urgency: 9, Steps: []state.Step{{Name: "all", Kind: "menu", Resources: types.Resources{Cores: 2 * types.Core, MemoryMB: 64},
			Tasks: 20, Work: work(rnd, 2000, 4000)}}}
	}}
	r.at(18*time.Second, func() { r.Clients.flow(flood) })
	r.Run(48 * time.Second)
	calm := rateOf(&r.Hist, "quotes", 8*time.Second, 18*time.Second)
	full := rateOf(&r.Hist, "quotes", 24*time.Second, 48*time.Second)
	pay := rateOf(&r.Hist, "payments", 24*time.Second, 48*time.Second)
	t.Logf("quotes a second: calm %.2f, in the flood %.2f; payments %.2f; refusals %v", calm, full, pay, r.Clients.Count)
	is.True(full > 0.85*calm)
	is.True(pay > 0.6)
	is.True(r.Clients.Count[apierror.QueueFull] > 100) // told to come back
	v, _ := Check(&r.Hist, Bounds{Start: Rules.Start, Run: Rules.Run, Early: Rules.Early, Leave: Rules.Leave, Alone: Rules.Alone, Table: Rules.Table},
		r.now, 30*time.Second)
	is.Equal(len(v), 0)
	is.True(len(r.status(r.leader()).Peers) > 0)
	is.True(r.status(r.leader()).UnfinishedJobs <= 400+400+400)
}
