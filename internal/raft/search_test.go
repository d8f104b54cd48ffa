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

// budget is what one path may spend of each trouble.
type budget struct{ drops, repeats, crashes, wipes, timeouts, writes int }

// search plays paths; a path is the list of choices taken.
type search struct {
	start   func() *world
	budget  budget
	depth   int
	paths   int
	most    int
	failure string
}

// choice is one thing that can happen next.
type choice struct {
	name  string
	run   func()
	usual bool // what goes on when nothing is wrong
}

// manualWorld is three nodes of one cluster whose leader was just elected and has put its
// first entry into its log; nothing of it has been delivered yet.
func manualWorld() *world {
	w := newWorld(1, 3, 3)
	w.manual, w.loss, w.repeat = true, 0, 0
	config := Configuration{}
	for i, m := range w.machines {
		m.drift = 1
		config = append(config, Member{ID: types.ID(fmt.Sprint("node-", i+1)), Addr: m.addr, Zone: m.zone, Voter: true})
	}
	for i, m := range w.machines {
		for _, r := range []Record{{Identity: &Identity{ID: config[i].ID, First: true}}, {Bootstrap: &BootstrapConfig{Name: "c", Config: config}}} {
			b, _ := json.Marshal(r)
			m.synced = append(m.synced, b)
		}
		m.start()
	}
	w.now += 2 * time.Second
	w.expire(w.machines[0])
	w.settleMail(func() bool { return w.machines[0].node.IsLeader() })
	w.mail = nil
	return w
}

// settleMail delivers and syncs in order until something holds.
func (w *world) settleMail(ok func() bool) {
	for range 200 {
		if ok() {
			return
		}
		for _, m := range w.machines {
			if m.up() && len(m.pending) > 0 {
				m.sync()
			}
		}
		if len(w.mail) > 0 {
			x := w.mail[0]
			w.mail = w.mail[1:]
			w.hand(x)
		}
	}
}

// expire lets a member's election timer run out.
func (w *world) expire(m *machine) {
	m.step(func() {
		m.node.electionDeadline = m.clock().Mono
		m.node.Tick(m.clock())
	})
}

// choices are all that can happen next, at most one message a link.
func (s *search) choices(w *world, left *budget) (list []choice) {
	seen := map[link]bool{}
	for i, x := range w.mail {
		if l := (link{x.from, x.to}); seen[l] {
			continue
		} else {
			seen[l] = true
		}
		name := fmt.Sprintf("%s %s>%s", x.message.Kind, x.from, x.to)
		take := func() { w.mail = slices.Delete(w.mail, i, i+1) }
		list = append(list, choice{"deliver " + name, func() { take(); w.hand(x) }, true})
		if left.drops > 0 {
			list = append(list, choice{"lose " + name, func() { left.drops--; take() }, false})
		}
		if left.repeats > 0 {
			list = append(list, choice{"repeat " + name, func() { left.repeats--; w.hand(x) }, false})
		}
		if len(w.mail) > i+1 && left.drops > 0 {
			list = append(list, choice{"overtake " + name, func() { left.drops--; take(); w.mail = append(w.mail, x) }, false})
		}
	}
	for _, m := range w.machines {
		if !m.up() {
			list = append(list, choice{"start " + string(m.addr), m.start, true})
			continue
		}
		if len(m.pending) > 0 {
			list = append(list, choice{"sync " + string(m.addr), m.sync, true})
		}
		if left.crashes > 0 {
			list = append(list, choice{"crash " + string(m.addr), func() { left.crashes--; m.pending, m.node = nil, nil }, false})
		}
		if left.wipes > 0 {
			list = append(list, choice{"wipe " + string(m.addr), func() { left.wipes--; w.wipe(m) }, false})
		}
		if left.timeouts > 0 && m.node.role != leader {
			for _, silence := range []time.Duration{0, 300 * time.Millisecond} { // since a leader was heard
				list = append(list, choice{fmt.Sprint("timeout ", silence, " ", m.addr), func() {
					left.timeouts--
					w.now += silence
					w.expire(m)
				}, false})
			}
		}
		if left.writes > 0 && m.node.role == leader {
			list = append(list, choice{"propose " + string(m.addr), func() { left.writes--; w.force(m) }, false})
		}
	}
	return
}

// wipe ends a process and empties its disk: it starts again with another identity.
func (w *world) wipe(m *machine) {
	m.oldID, m.oldName = &Identity{ID: m.node.self.ID, First: true}, &BootstrapConfig{Name: m.node.name, Config: m.node.snapshot.Config}
	m.pending, m.node, m.synced, m.first = nil, nil, nil, false
}

// force proposes without asking for the lease, as entries that are on their way are.
func (w *world) force(m *machine) {
	m.step(func() {
		w.check.counter++
		if i, ok := m.node.Propose(json.RawMessage(fmt.Sprint(w.check.counter))); ok {
			m.waits = append(m.waits, proposal{i, m.node.voteRecord.Term})
		}
	})
}

// play plays a path and tells how many choices there are at its end.
func (s *search) play(path []int) (more int) {
	w, left := s.start(), s.budget
	var names []string
	for _, i := range path {
		list := s.choices(w, &left)
		names = append(names, list[i].name)
		w.now += time.Millisecond
		list[i].run()
		if w.failure != "" {
			s.failure = fmt.Sprint(names) + "\n" + w.report()
			return 0
		}
	}
	if len(path) == s.depth {
		return 0
	}
	return len(s.choices(w, &left))
}

// explore plays all paths of a depth, or as many as it may.
func (s *search) explore(path []int) {
	if s.failure != "" || s.paths >= s.most {
		return
	}
	s.paths++
	more := s.play(path)
	for i := range more {
		s.explore(append(path[:len(path):len(path)], i))
	}
}

// wander plays random paths, longer than those that can all be played.
func (s *search) wander(seed int64, steps int, plant string) {
	rnd := rand.New(rand.NewSource(seed))
	w, left := s.start(), s.budget
	w.plant = plant
	var names []string
	for range steps {
		list := s.choices(w, &left)
		if len(list) == 0 {
			return
		}
		x := list[rnd.Intn(len(list))]
		if usual := slices.DeleteFunc(slices.Clone(list), func(c choice) bool { return !c.usual }); len(usual) > 0 && rnd.Intn(8) > 0 {
			x = usual[rnd.Intn(len(usual))]
		}
		names = append(names, x.name)
		w.now += time.Millisecond
		x.run()
		if w.failure != "" {
			s.failure = fmt.Sprint(seed, names) + "\n" + w.report()
			return
		}
	}
}

func TestEveryOrderUpToADepth(t *testing.T) {
	s := search{start: manualWorld, budget: budget{drops: 1, repeats: 1, crashes: 1, wipes: 1, timeouts: 2, writes: 1}, depth: 4, most: 1 << 20}
	if testing.Short() {
		s.depth = 3
	}
	s.explore(nil)
	t.Logf("%d paths of up to %d choices", s.paths, s.depth)
	if s.failure != "" {
		t.Fatal(s.failure)
	}
}

// wandering is what one random path may spend.
var wandering = budget{drops: 8, repeats: 8, crashes: 4, wipes: 1, timeouts: 6, writes: 6}

func TestRandomOrders(t *testing.T) {
	paths := 4000
	if testing.Short() {
		paths = 400
	}
	s := search{start: manualWorld, budget: wandering}
	for seed := range int64(paths) {
		s.wander(seed, 150, "")
		if s.failure != "" {
			t.Fatal(s.failure)
		}
	}
}
