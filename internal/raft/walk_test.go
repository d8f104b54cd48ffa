// Long random walks, each from one seed: traffic, the adversary, and all checks after
// each step.
package raft

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"coppercourse/internal/types"
)

var (
	walkSeeds = flag.Int("walks", 0, "random walks of each size; 0 is the usual number")
	walkFirst = flag.Int64("walkfrom", 1, "seed of the first walk")
)

func readRecord(b []byte, r *Record) bool { return json.Unmarshal(b, r) == nil }

// opened is a world whose machines all vote.
func opened(t testing.TB, seed int64, count, zones int) *world {
	t.Helper()
	w := newWorld(seed, count, zones)
	for _, m := range w.machines {
		w.after(time.Duration(w.rnd.Intn(300))*time.Millisecond, m.start)
	}
	if !w.waits(8*time.Second, func() bool { return w.allVote(count) }) {
		t.Fatalf("not all %d vote:\n%s", count, w.report())
	}
	return w
}

func (w *world) allVote(count int) bool {
	l := w.leader()
	return l != nil && l.node.config.Voters() == count && l.node.commitIndex >= l.node.configIndex
}

// traffic proposes all the time, and looks at what must hold between steps.
func (w *world) traffic() {
	w.propose()
	w.check.survives(w)
	w.check.leadership(w)
	w.compactSome()
	w.after(time.Duration(10+w.rnd.Intn(40))*time.Millisecond, w.traffic)
}

// compactSome replaces a member's log by a snapshot now and then.
func (w *world) compactSome() {
	m := w.machines[w.rnd.Intn(len(w.machines))]
	if w.rnd.Intn(10) > 0 || !m.up() || m.frozen || m.node.commitIndex < m.node.snapshot.Index+30 {
		return
	}
	m.step(func() {
		m.node.Compact(m.node.commitIndex-types.Index(w.rnd.Intn(10)), [][]byte{[]byte(`{"a":1}`), []byte(`{"b":2}`)})
	})
}

// core is what a walk is played on: so many machines in so many zones, of which some may
// be lost at once, with planned replacements or without.
type core struct {
	count, zones, tolerate int
	plans                  bool
}

// cores are the sizes that are walked. What may be lost is a minority, but for planned
// replacements in an odd core with several voters in a zone: there, which one goes is
// known only at its SIGTERM, and until then there is a voter too many.
var cores = []core{
	{3, 3, 1, true}, {4, 2, 1, true}, {6, 3, 2, true}, {8, 4, 3, true},
	{5, 3, 2, false}, {7, 4, 3, false}, {9, 3, 4, false},
	{5, 3, 1, true}, {7, 4, 2, true}, {9, 3, 3, true},
}

func (c core) String() string {
	return fmt.Sprintf("%d of %d, planned %v", c.tolerate, c.count, c.plans)
}

// walk plays one walk and gives its world when all has calmed down again.
func walk(t testing.TB, seed int64, c core, lasts time.Duration, plant string) *world {
	t.Helper()
	w := opened(t, seed, c.count, c.zones)
	w.tolerate = c.tolerate
	w.run(testCatchUp) // all have had their time
	w.plant = plant
	a := &adversary{w: w, rnd: rand.New(rand.NewSource(seed)), plans: c.plans}
	w.after(0, w.traffic)
	w.after(a.upTo(500), a.next)
	w.run(lasts)
	a.settle()
	w.run(12 * time.Second)
	if w.failure == "" && w.check.ackedAt < w.now-time.Second {
		w.fail("SERVICE: nothing acknowledged since %v", w.check.ackedAt)
	}
	return w
}

func TestRandomWalks(t *testing.T) {
	seeds, lasts := 12, 60*time.Second
	if testing.Short() {
		seeds, lasts = 1, 20*time.Second
	}
	if *walkSeeds > 0 {
		seeds = *walkSeeds
	}
	for k, c := range cores {
		first := *walkFirst + int64(1000*k)
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for i := range int64(seeds) {
				w := walk(t, first+i, c, lasts, "")
				if w.failure != "" {
					t.Errorf("seed %d\n%s", first+i, w.report())
				}
			}
		})
	}
}
