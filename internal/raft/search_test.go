// The systematic part of the explorer: every order of deliveries, losses, repeats, syncs,
// crashes and election timeouts up to a stated number of choices, on three real nodes
// with a small log. Each path is played from the beginning.
package raft

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"coppercourse/internal/types"
)

// faultBudget is what one path may spend of each trouble.
type faultBudget struct{ drops, repeats, crashes, wipes, timeouts, writes int }

// pathSearch plays paths; a path is the list of choices taken.
type pathSearch struct {
	start    func() *world
	budget   faultBudget
	depth    int
	paths    int
	maxPaths int
	failure  string
}

// pathChoice is one thing that can happen next.
type pathChoice struct {
	name      string
	run       func()
	faultFree bool // what goes on when nothing is wrong
}

// manualWorld is three nodes of one cluster whose leader was just elected and has put its
// first entry into its log; nothing of it has been delivered yet.
func manualWorld() *world {
	w := newWorld(1, 3, 3)
	w.manual, w.lossProbability, w.repeatProbability = true, 0, 0
	config := Configuration{}
	for i, m := range w.machines {
		m.clockRate = 1
		config = append(config, Member{ID: types.ID(fmt.Sprint("node-", i+1)), Addr: m.addr, Zone: m.zone, Voter: true})
	}
	for i, m := range w.machines {
		for _, r := range []Record{{Identity: &Identity{ID: config[i].ID, FirstStart: true}}, {Cluster: &InitialCluster{ClusterName: "c", Config: config}}} {
			b, _ := json.Marshal(r)
			m.synced = append(m.synced, b)
		}
		m.start()
	}
	w.now += 2 * time.Second
	w.expireElectionTimer(w.machines[0])
	w.deliverInOrder(func() bool { return w.machines[0].node.IsLeader() })
	w.inFlight = nil
	return w
}

// deliverInOrder delivers and syncs in order until something holds.
func (w *world) deliverInOrder(ok func() bool) {
	for range 200 {
		if ok() {
			return
		}
		for _, m := range w.machines {
			if m.up() && len(m.unsynced) > 0 {
				m.completeSync()
			}
		}
		if len(w.inFlight) > 0 {
			x := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.deliver(x)
		}
	}
}

// expireElectionTimer lets a member's election timer run out.
func (w *world) expireElectionTimer(m *machine) {
	m.step(func() {
		m.node.election.deadline = m.clock().Mono
		m.node.Tick(m.clock())
	})
}

// choices are all that can happen next, at most one message a link.
func (p *pathSearch) choices(w *world, left *faultBudget) (list []pathChoice) {
	seen := map[link]bool{}
	for i, x := range w.inFlight {
		if l := (link{x.from, x.to}); seen[l] {
			continue
		} else {
			seen[l] = true
		}
		name := fmt.Sprintf("%s %s>%s", x.message.Kind, x.from, x.to)
		take := func() { w.inFlight = slices.Delete(w.inFlight, i, i+1) }
		list = append(list, pathChoice{"deliver " + name, func() { take(); w.deliver(x) }, true})
		if left.drops > 0 {
			list = append(list, pathChoice{"lose " + name, func() { left.drops--; take() }, false})
		}
		if left.repeats > 0 {
			list = append(list, pathChoice{"repeat " + name, func() { left.repeats--; w.deliver(x) }, false})
		}
		if len(w.inFlight) > i+1 && left.drops > 0 {
			list = append(list, pathChoice{"overtake " + name, func() { left.drops--; take(); w.inFlight = append(w.inFlight, x) }, false})
		}
	}
	for _, m := range w.machines {
		if !m.up() {
			list = append(list, pathChoice{"start " + string(m.addr), m.start, true})
			continue
		}
		if len(m.unsynced) > 0 {
			list = append(list, pathChoice{"sync " + string(m.addr), m.completeSync, true})
		}
		if left.crashes > 0 {
			list = append(list, pathChoice{"crash " + string(m.addr), func() { left.crashes--; m.unsynced, m.node = nil, nil }, false})
		}
		if left.wipes > 0 {
			list = append(list, pathChoice{"wipe " + string(m.addr), func() { left.wipes--; w.crashAndWipe(m) }, false})
		}
		if left.timeouts > 0 && m.node.role != roleLeader {
			for _, silence := range []time.Duration{0, 300 * time.Millisecond} { // since a leader was heard
				list = append(list, pathChoice{fmt.Sprint("timeout ", silence, " ", m.addr), func() {
					left.timeouts--
					w.now += silence
					w.expireElectionTimer(m)
				}, false})
			}
		}
		if left.writes > 0 && m.node.role == roleLeader {
			list = append(list, pathChoice{"propose " + string(m.addr), func() { left.writes--; w.proposeWithoutLease(m) }, false})
		}
	}
	return
}

// crashAndWipe ends a process and empties its disk: it starts again with another identity.
func (w *world) crashAndWipe(m *machine) {
	m.wipedIdentity, m.wipedCluster = &Identity{ID: m.node.self.ID, FirstStart: true}, &InitialCluster{ClusterName: m.node.clusterName, Config: m.node.log.snapshot.Config}
	m.unsynced, m.node, m.synced, m.first = nil, nil, nil, false
}

// proposeWithoutLease proposes without asking for the lease, as entries that are on their way are.
func (w *world) proposeWithoutLease(m *machine) {
	m.step(func() {
		w.checker.proposals++
		if i, ok := m.node.Propose(json.RawMessage(fmt.Sprint(w.checker.proposals))); ok {
			m.pendingProposals = append(m.pendingProposals, proposal{i, m.node.hardState.Term})
		}
	})
}

// playPath plays a path and tells how many choices there are at its end.
func (p *pathSearch) playPath(path []int) (more int) {
	w, left := p.start(), p.budget
	var names []string
	for _, i := range path {
		list := p.choices(w, &left)
		names = append(names, list[i].name)
		w.now += time.Millisecond
		list[i].run()
		if w.failure != "" {
			p.failure = fmt.Sprint(names) + "\n" + w.report()
			return 0
		}
	}
	if len(path) == p.depth {
		return 0
	}
	return len(p.choices(w, &left))
}

// explore plays all paths of a depth, or as many as it may.
func (p *pathSearch) explore(path []int) {
	if p.failure != "" || p.paths >= p.maxPaths {
		return
	}
	p.paths++
	more := p.playPath(path)
	for i := range more {
		p.explore(append(path[:len(path):len(path)], i))
	}
}

// playRandom plays random paths, longer than those that can all be played.
func (p *pathSearch) playRandom(seed int64, steps int, plant string) {
	rnd := rand.New(rand.NewSource(seed))
	w, left := p.start(), p.budget
	w.plantedBug = plant
	var names []string
	for range steps {
		list := p.choices(w, &left)
		if len(list) == 0 {
			return
		}
		x := list[rnd.Intn(len(list))]
		if usual := slices.DeleteFunc(slices.Clone(list), func(c pathChoice) bool { return !c.faultFree }); len(usual) > 0 && rnd.Intn(8) > 0 {
			x = usual[rnd.Intn(len(usual))]
		}
		names = append(names, x.name)
		w.now += time.Millisecond
		x.run()
		if w.failure != "" {
			p.failure = fmt.Sprint(seed, names) + "\n" + w.report()
			return
		}
	}
}

func TestAllEventOrdersUpToDepth(t *testing.T) {
	s := pathSearch{start: manualWorld, budget: faultBudget{drops: 1, repeats: 1, crashes: 1, wipes: 1, timeouts: 2, writes: 1}, depth: 4, maxPaths: 1 << 20}
	if testing.Short() {
		s.depth = 3
	}
	s.explore(nil)
	t.Logf("%d paths of up to %d choices", s.paths, s.depth)
	if s.failure != "" {
		t.Fatal(s.failure)
	}
}

// randomPathBudget is what one random path may spend.
var randomPathBudget = faultBudget{drops: 8, repeats: 8, crashes: 4, wipes: 1, timeouts: 6, writes: 6}

func TestRandomEventOrders(t *testing.T) {
	paths := 4000
	if testing.Short() {
		paths = 400
	}
	s := pathSearch{start: manualWorld, budget: randomPathBudget}
	for seed := range int64(paths) {
		s.playRandom(seed, 150, "")
		if s.failure != "" {
			t.Fatal(s.failure)
		}
	}
}
