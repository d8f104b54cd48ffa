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
	walkCount     = flag.Int("walks", 0, "random walks of each size; 0 is the usual number")
	firstWalkSeed = flag.Int64("walkfrom", 1, "seed of the first walk")
)

func decodeRecord(b []byte, r *Record) bool { return json.Unmarshal(b, r) == nil }

// newRunningWorld is a world whose machines all vote.
func newRunningWorld(t testing.TB, seed int64, count, zones int) *world {
	t.Helper()
	w := newWorld(seed, count, zones)
	for _, m := range w.machines {
		w.schedule(time.Duration(w.random.Intn(300))*time.Millisecond, m.start)
	}
	if !w.waitUntil(8*time.Second, func() bool { return w.allAreVoters(count) }) {
		t.Fatalf("not all %d vote:\n%s", count, w.report())
	}
	return w
}

func (w *world) allAreVoters(count int) bool {
	l := w.leader()
	return l != nil && l.node.log.config.Voters() == count && l.node.log.commitIndex >= l.node.log.configIndex
}

// proposeForever proposes all the time, and looks at what must hold between steps.
func (w *world) proposeForever() {
	w.propose()
	w.checker.quorumSurvivesFurtherLosses(w)
	w.checker.leaderWithinBound(w)
	w.compactSome()
	w.schedule(time.Duration(10+w.random.Intn(40))*time.Millisecond, w.proposeForever)
}

// compactSome replaces a member's log by a snapshot now and then.
func (w *world) compactSome() {
	m := w.machines[w.random.Intn(len(w.machines))]
	if w.random.Intn(10) > 0 || !m.up() || m.frozen || m.node.log.commitIndex < m.node.log.snapshot.Index+30 {
		return
	}
	m.step(func() {
		m.node.Compact(m.node.log.commitIndex-types.Index(w.random.Intn(10)), [][]byte{[]byte(`{"a":1}`), []byte(`{"b":2}`)})
	})
}

// scenario is what a walk is played on: so many machines in so many zones, of which some may
// be lost at once, with planned replacements or without.
type scenario struct {
	machines, zones, lossTolerance int
	plannedReplacements            bool
}

// scenarios are the sizes that are walked. What may be lost is a minority, but for planned
// replacements in an odd core with several voters in a zone: there, which one goes is
// known only at its SIGTERM, and until then there is a voter too many.
var scenarios = []scenario{
	{3, 3, 1, true}, {4, 2, 1, true}, {6, 3, 2, true}, {8, 4, 3, true},
	{5, 3, 2, false}, {7, 4, 3, false}, {9, 3, 4, false},
	{5, 3, 1, true}, {7, 4, 2, true}, {9, 3, 3, true},
}

func (s scenario) String() string {
	return fmt.Sprintf("%d of %d, planned %v", s.lossTolerance, s.machines, s.plannedReplacements)
}

// randomWalk plays one walk and gives its world when all has calmed down again.
func randomWalk(t testing.TB, seed int64, c scenario, lasts time.Duration, plant string) *world {
	t.Helper()
	w := newRunningWorld(t, seed, c.machines, c.zones)
	w.lossTolerance = c.lossTolerance
	w.run(testCatchUpTime) // all have had their time
	w.plantedBug = plant
	a := &adversary{w: w, random: rand.New(rand.NewSource(seed)), plannedReplacements: c.plannedReplacements}
	w.schedule(0, w.proposeForever)
	w.schedule(a.randomMillis(500), a.act)
	w.run(lasts)
	a.healAll()
	w.run(12 * time.Second)
	if w.failure == "" && w.checker.acknowledgedAt < w.now-time.Second {
		w.fail("SERVICE: nothing acknowledged since %v", w.checker.acknowledgedAt)
	}
	return w
}

func TestRandomWalks(t *testing.T) {
	seeds, lasts := 12, 60*time.Second
	if testing.Short() {
		seeds, lasts = 1, 20*time.Second
	}
	if *walkCount > 0 {
		seeds = *walkCount
	}
	for k, c := range scenarios {
		first := *firstWalkSeed + int64(1000*k)
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for i := range int64(seeds) {
				w := randomWalk(t, first+i, c, lasts, "")
				if w.failure != "" {
					t.Errorf("seed %d\n%s", first+i, w.report())
				}
			}
		})
	}
}
