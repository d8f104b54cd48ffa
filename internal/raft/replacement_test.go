// For each moment of each kind of replacement and repair: whatever may still be lost then
// is lost, disks included, and all that was acknowledged is there, with a leader in time.
package raft

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"coppercourse/internal/types"
)

// repairs are the ways in which a member comes to be another one.
var repairs = []struct {
	name  string
	plans bool
	start func(a *adversary, m *machine)
}{
	{"gone, another at once", false, func(a *adversary, m *machine) { a.goes(m, 50*time.Millisecond) }},
	{"gone, another later", false, func(a *adversary, m *machine) { a.goes(m, 2400*time.Millisecond) }},
	{"disk lost", false, func(a *adversary, m *machine) { a.down(m, 500*time.Millisecond, true) }},
	{"planned", true, func(a *adversary, m *machine) {
		n := a.successor(m)
		n.start()
		a.w.after(testCatchUp, func() { a.tellToGo(m, n) })
	}},
	{"SIGTERM and back", false, (*adversary).restart},
}

// goes has a machine go without warning, and another come so much later.
func (a *adversary) goes(m *machine, later time.Duration) {
	a.kill(m)
	a.leaves(m)
	n := a.successor(m)
	a.w.after(later, func() {
		n.start()
		m.backAt = n.backAt
	})
}

// strikeAll loses all that may be lost now, as the leader and those it holds on to first.
func (a *adversary) strikeAll() {
	list := a.targets()
	if l := a.w.leader(); l != nil && slices.Contains(list, l) {
		list = append([]*machine{l}, slices.DeleteFunc(list, func(m *machine) bool { return m == l })...)
	}
	for _, m := range list {
		if a.w.lost() < a.w.tolerate {
			a.w.lastHurt = a.w.now
			a.down(m, 300*time.Millisecond, true)
		}
	}
}

func TestAnyMomentOfARepairBearsWhatMayBeLost(t *testing.T) {
	every, sizes := 250*time.Millisecond, cores
	if testing.Short() {
		every, sizes = 2900*time.Millisecond, []core{cores[0], cores[2]}
	}
	for _, repair := range repairs {
		for _, c := range sizes {
			if c.plans != repair.plans && c.count%2 == 1 && c.count > 3 {
				continue // an odd core with several voters in a zone, see cores
			}
			t.Run(repair.name+", "+c.String(), func(t *testing.T) {
				t.Parallel()
				for moment := time.Duration(0); moment < 9*time.Second; moment += every {
					w := opened(t, int64(moment)+1, c.count, c.zones)
					w.tolerate = c.tolerate
					w.run(testCatchUp)
					a := &adversary{w: w, rnd: rand.New(rand.NewSource(int64(moment))), plans: true}
					w.after(0, w.traffic)
					repair.start(a, w.machines[w.rnd.Intn(c.count)])
					w.lastHurt = w.now
					w.run(moment)
					a.strikeAll()
					struck, acked := w.now, w.check.acked
					w.run(testAck)
					if w.failure == "" && w.check.ackedAt <= struck {
						w.fail("SERVICE: nothing acknowledged after the losses, %d before", acked)
					}
					if w.failure != "" {
						t.Fatalf("struck after %v\n%s", moment, w.report())
					}
				}
			})
		}
	}
}

// A machine that was replaced while it was cut off comes back as a member, and the one
// that came for it stays.
func TestARemovedMemberIsLetInAgain(t *testing.T) {
	w := opened(t, 5, 6, 3)
	w.run(testCatchUp)
	a := &adversary{w: w, rnd: rand.New(rand.NewSource(5))}
	old := w.machines[3]
	id := old.node.self.ID
	a.successor(old).start()
	for _, m := range w.machines {
		w.cut[link{m.addr, old.addr}], w.cut[link{old.addr, m.addr}] = true, true
	}
	gone := func() bool {
		l := w.leader()
		if l == nil || l.node.commitIndex < l.node.configIndex {
			return false
		}
		_, ok := l.node.config.Find(id)
		return !ok
	}
	if !w.waits(5*time.Second, gone) {
		t.Fatal("it was not replaced\n" + w.report())
	}
	w.cut = map[link]bool{}
	back := func() bool {
		l := w.leader()
		if l == nil {
			return false
		}
		m, ok := l.node.config.Find(id)
		return ok && m.Voter && m.Provisional && old.node.role != removed
	}
	if !w.waits(testCatchUp, back) {
		t.Fatal("it is no member again\n" + w.report())
	}
	if w.failure != "" {
		t.Fatal(w.report())
	}
}

// A leader that was just elected does not know yet who is there: it gives a provisional
// member no vote beside a voter of its zone that may be gone.
func TestANewLeaderPromotesNobodyBesideAVoterItHasNotHeard(t *testing.T) {
	w := manualWorld()
	l := w.machines[0].node
	l.commitIndex = l.lastIndex()
	l.config = append(slices.Clone(l.config), Member{ID: "node-4", Addr: "m4", Zone: w.machines[1].zone, Provisional: true})
	p := l.progressOf("node-4")
	p.match, p.heardAt, p.round = l.lastIndex(), l.now.Mono, l.now.Mono
	if before := l.lastIndex(); l.promoteLearner() || l.lastIndex() != before {
		t.Fatal("promoted beside a voter that never answered this leader")
	}
	heard := l.progressOf(l.config[1].ID)
	heard.round, heard.heardAt = l.now.Mono, l.now.Mono
	if !l.promoteLearner() {
		t.Fatal("not promoted though all of its zone answer")
	}
	if v, _ := l.config.Find("node-4"); !v.Voter {
		t.Fatal(fmt.Sprint("no vote: ", l.config, types.ID("node-4")))
	}
}
