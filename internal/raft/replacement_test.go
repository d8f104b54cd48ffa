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

// repairCases are the ways in which a member comes to be another one.
var repairCases = []struct {
	name  string
	plans bool
	start func(a *adversary, m *machine)
}{
	{"gone, another at once", false, func(a *adversary, m *machine) { a.departAndReplace(m, 50*time.Millisecond) }},
	{"gone, another later", false, func(a *adversary, m *machine) { a.departAndReplace(m, 2400*time.Millisecond) }},
	{"disk lost", false, func(a *adversary, m *machine) { a.crash(m, 500*time.Millisecond, true) }},
	{"planned", true, func(a *adversary, m *machine) {
		n := a.successor(m)
		n.start()
		a.w.schedule(testCatchUpTime, func() { a.stopWhenTolerable(m, n) })
	}},
	{"SIGTERM and back", false, (*adversary).restart},
}

// departAndReplace has a machine go without warning, and another come so much later.
func (a *adversary) departAndReplace(m *machine, later time.Duration) {
	a.kill(m)
	a.depart(m)
	n := a.successor(m)
	a.w.schedule(later, func() {
		n.start()
		m.recoveredAt = n.recoveredAt
	})
}

// crashAllSpareMachines loses all that may be lost now, as the leader and those it holds on to first.
func (a *adversary) crashAllSpareMachines() {
	list := a.targets()
	if l := a.w.leader(); l != nil && slices.Contains(list, l) {
		list = append([]*machine{l}, slices.DeleteFunc(list, func(m *machine) bool { return m == l })...)
	}
	for _, m := range list {
		if a.w.lostCount() < a.w.lossTolerance {
			a.w.lastFaultAt = a.w.now
			a.crash(m, 300*time.Millisecond, true)
		}
	}
}

func TestRepairToleratesLossesAtAnyMoment(t *testing.T) {
	every, sizes := 250*time.Millisecond, scenarios
	if testing.Short() {
		every, sizes = 2900*time.Millisecond, []scenario{scenarios[0], scenarios[2]}
	}
	for _, repair := range repairCases {
		for _, c := range sizes {
			if c.plannedReplacements != repair.plans && c.machines%2 == 1 && c.machines > 3 {
				continue // an odd core with several voters in a zone, see cores
			}
			t.Run(repair.name+", "+c.String(), func(t *testing.T) {
				t.Parallel()
				for moment := time.Duration(0); moment < 9*time.Second; moment += every {
					w := newRunningWorld(t, int64(moment)+1, c.machines, c.zones)
					w.lossTolerance = c.lossTolerance
					w.run(testCatchUpTime)
					a := &adversary{w: w, random: rand.New(rand.NewSource(int64(moment))), plannedReplacements: true}
					w.schedule(0, w.proposeForever)
					repair.start(a, w.machines[w.random.Intn(c.machines)])
					w.lastFaultAt = w.now
					w.run(moment)
					a.crashAllSpareMachines()
					struck, acked := w.now, w.checker.acknowledged
					w.run(testServiceBound)
					if w.failure == "" && w.checker.acknowledgedAt <= struck {
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
func TestRemovedMemberRejoins(t *testing.T) {
	w := newRunningWorld(t, 5, 6, 3)
	w.run(testCatchUpTime)
	a := &adversary{w: w, random: rand.New(rand.NewSource(5))}
	old := w.machines[3]
	id := old.node.self.ID
	a.successor(old).start()
	for _, m := range w.machines {
		w.cutLinks[link{m.addr, old.addr}], w.cutLinks[link{old.addr, m.addr}] = true, true
	}
	gone := func() bool {
		l := w.leader()
		if l == nil || l.node.log.commitIndex < l.node.log.configIndex {
			return false
		}
		_, ok := l.node.log.config.Find(id)
		return !ok
	}
	if !w.waitUntil(5*time.Second, gone) {
		t.Fatal("it was not replaced\n" + w.report())
	}
	w.cutLinks = map[link]bool{}
	back := func() bool {
		l := w.leader()
		if l == nil {
			return false
		}
		m, ok := l.node.log.config.Find(id)
		return ok && m.Voter && m.Provisional && old.node.role != roleRemoved
	}
	if !w.waitUntil(testCatchUpTime, back) {
		t.Fatal("it is no member again\n" + w.report())
	}
	if w.failure != "" {
		t.Fatal(w.report())
	}
}

// A leader that was just elected does not know yet who is there: it gives a provisional
// member no vote beside a voter of its zone that may be gone.
func TestNewLeaderDelaysPromotionBesideUnheardVoter(t *testing.T) {
	w := manualWorld()
	l := w.machines[0].node
	l.log.commitIndex = l.log.lastIndex()
	l.log.config = append(slices.Clone(l.log.config), Member{ID: "node-4", Addr: "m4", Zone: w.machines[1].zone, Provisional: true})
	p := l.progressOf("node-4")
	p.match, p.lastHeardAt, p.ackedRound = l.log.lastIndex(), l.now.Mono, l.now.Mono
	if before := l.log.lastIndex(); l.promoteLearner() || l.log.lastIndex() != before {
		t.Fatal("promoted beside a voter that never answered this leader")
	}
	heard := l.progressOf(l.log.config[1].ID)
	heard.ackedRound, heard.lastHeardAt = l.now.Mono, l.now.Mono
	if !l.promoteLearner() {
		t.Fatal("not promoted though all of its zone answer")
	}
	if v, _ := l.log.config.Find("node-4"); !v.Voter {
		t.Fatal(fmt.Sprint("no vote: ", l.log.config, types.ID("node-4")))
	}
}
