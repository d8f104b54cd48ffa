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
	"coppercourse/sim/checker"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

// queueCompletionRate counts a queue's jobs seen done a second.
func queueCompletionRate(h *history.History, q types.QueueName, from, to time.Duration) float64 {
	part := &history.History{}
	for _, x := range h.Events {
		if len(x.Job) > len(q) && string(x.Job[:len(q)]) == string(q) {
			part.Add(x)
		}
	}
	return history.CompletionRate(part, int64(from), int64(to))
}

func TestFloodLeavesOthersTheirs(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	t.Parallel()
	is := is.New(t)
	r := New(Plan{Seed: 3, Deployment: "kingston", Patience: 30 * time.Second})
	r.After(3*time.Second, func() { r.Clients.putTable(r.Clients.deployment.Table(), "g1", 0, func(bool) {}) })
	r.After(6*time.Second, func() {
		for _, f := range r.Clients.deployment.Flows {
			r.Clients.startFlow(f)
		}
	})
	flood := deployment.Flow{Queue: "menus", MeanInterval: 25 * time.Millisecond, NewSpec: func(rnd *rand.Rand) state.Spec {
		return state.Spec{Queue: "menus", Urgency: 9, Steps: []state.Step{{Name: "all", Kind: "menu", Resources: types.Resources{Cores: 2 * types.Core, MemoryMB: 64},
			Tasks: 20, Work: deployment.RandomWork(rnd, 2000, 4000)}}}
	}}
	r.After(18*time.Second, func() { r.Clients.startFlow(flood) })
	r.RunUntil(48 * time.Second)
	calm := queueCompletionRate(&r.History, "quotes", 8*time.Second, 18*time.Second)
	full := queueCompletionRate(&r.History, "quotes", 24*time.Second, 48*time.Second)
	pay := queueCompletionRate(&r.History, "payments", 24*time.Second, 48*time.Second)
	t.Logf("quotes a second: calm %.2f, in the flood %.2f; payments %.2f; refusals %v", calm, full, pay, r.Clients.Refusals)
	is.True(full > 0.85*calm)
	is.True(pay > 0.6)
	is.True(r.Clients.Refusals[apierror.QueueFull] > 100) // told to come back
	v, _ := checker.Check(&r.History, checker.Bounds{StartAfterCancel: checker.DefaultBounds.StartAfterCancel, RunAfterCancel: checker.DefaultBounds.RunAfterCancel, StartEarly: checker.DefaultBounds.StartEarly, StartAfterLeaving: checker.DefaultBounds.StartAfterLeaving, GangIncomplete: checker.DefaultBounds.GangIncomplete, TableLag: checker.DefaultBounds.TableLag},
		r.Now(), 30*time.Second)
	is.Equal(len(v), 0)
	is.True(len(r.controllerStatus(r.leader()).Peers) > 0)
	is.True(r.controllerStatus(r.leader()).UnfinishedJobs <= 400+400+400)
}
