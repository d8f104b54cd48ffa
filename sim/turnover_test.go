package sim

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// The room of an end that is on its way into the log is given out at once: the end
// and what takes its place go into the log together, not one after the other.
func TestRoomIsGivenOutWhileItsEndIsOnItsWayIntoTheLog(t *testing.T) {
	is := is.New(t)
	r := Build(Plan{Seed: 5, Deployment: "kingston-called", Unguarded: true, Patience: 5 * time.Second})
	r.Clients.Races, r.Clients.Cancel = false, 0
	const sync = 40 * time.Millisecond
	for _, n := range r.controllers {
		n.disk.slow = sync
	}
	r.at(3*time.Second, func() { r.Clients.put(r.Clients.deployment.Table(), "g1", 0, func(bool) {}) })
	r.Run(8 * time.Second)
	r.put("wide", state.Spec{Queue: "menus", Steps: []state.Step{{Name: "s0", Kind: "work", Resources: types.Resources{Cores: 9 * types.Core, MemoryMB: 64}, Tasks: 200,
		Work: Work{MS: 300}.raw(), EstimateMillis: 300}}})
	r.Run(20 * time.Second)
	last, gaps := map[string]int64{}, []time.Duration{}
	for _, h := range r.Hist.List {
		switch {
		case h.What == Ended:
			last[h.Who] = h.At
		case h.What == Started && last[h.Who] > 0:
			gaps = append(gaps, time.Duration(h.At-last[h.Who]))
			last[h.Who] = 0
		}
	}
	is.True(len(gaps) > 100)
	slices.Sort(gaps)
	t.Log(len(gaps), gaps[len(gaps)/2], gaps[len(gaps)*9/10])
	is.True(gaps[len(gaps)/2] < 3*sync) // one after the other they take more than four
}
