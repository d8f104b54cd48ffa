// The adversary of the random walks: it does whatever the pages list to the core, at any
// moment, and spends exactly what lossTolerance allows, as the pages count it.
package raft

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/types"
)

type adversary struct {
	w     *world
	rnd   *rand.Rand
	named int
	calm  bool // does nothing more
	plans bool // replaces machines by plan too
}

// action is one thing that the adversary can do; it costs that many machines.
type action struct {
	name string
	cost int
	run  func(a *adversary, m *machine)
}

func actions() []action {
	return []action{
		{"power", 1, func(a *adversary, m *machine) { a.down(m, a.upTo(3500), false) }},
		{"wipe", 1, func(a *adversary, m *machine) { a.down(m, a.upTo(3500), true) }},
		{"freeze", 1, (*adversary).freeze},
		{"stutter", 1, (*adversary).stutter},
		{"cut both ways", 1, func(a *adversary, m *machine) { a.cutOff(m, true, true) }},
		{"cut inwards", 1, func(a *adversary, m *machine) { a.cutOff(m, true, false) }},
		{"cut outwards", 1, func(a *adversary, m *machine) { a.cutOff(m, false, true) }},
		{"slow disk", 1, func(a *adversary, m *machine) { a.slowDisk(m, 30) }},
		{"stalled disk", 1, func(a *adversary, m *machine) { a.slowDisk(m, 2000) }},
		{"restart", 1, (*adversary).restart},
		{"replace", 1, (*adversary).replace},
		{"replace planned", 1, (*adversary).replacePlanned},
		{"power of all", 0, (*adversary).powerAll},
	}
}

func (a *adversary) upTo(ms int) time.Duration {
	return time.Duration(1+a.rnd.Intn(ms)) * time.Millisecond
}

// next does something, and comes again: often just when a machine stops counting.
func (a *adversary) next() {
	w := a.w
	if a.calm {
		return
	}
	all := actions()
	x := all[a.rnd.Intn(len(all))]
	if x.name == "power of all" && a.rnd.Intn(3) > 0 {
		x = all[a.rnd.Intn(2)]
	}
	if targets := a.targets(); w.lost()+x.cost <= w.tolerate && len(targets) > 0 {
		m := targets[a.rnd.Intn(len(targets))]
		if l := w.leader(); l != nil && slices.Contains(targets, l) && a.rnd.Intn(3) == 0 {
			m = l
		}
		a.do(x, m)
	}
	w.after(a.pause(), a.next)
}

func (a *adversary) pause() time.Duration {
	if a.rnd.Intn(3) == 0 {
		return a.upTo(2500)
	}
	for _, m := range a.w.machines {
		if left := m.backAt + testCatchUp - a.w.now; m.counts() && left > 0 && !m.faulty {
			return left + time.Millisecond
		}
	}
	return a.upTo(300)
}

func (a *adversary) do(x action, m *machine) {
	a.w.logf("adversary: %s at %s, %d of %d lost", x.name, m.addr, a.w.lost(), a.w.tolerate)
	a.w.lastHurt = a.w.now
	x.run(a, m)
}

// targets are the machines that nothing is done to now.
func (a *adversary) targets() (list []*machine) {
	for _, m := range a.w.machines {
		if m.up() && !m.faulty && !m.stops && !m.gone && !m.counts() {
			list = append(list, m)
		}
	}
	return
}

// over ends a fault: from now on the machine has its time to catch up.
func (a *adversary) over(m *machine) {
	m.faulty, m.backAt = false, a.w.now
	a.w.lastHurt = a.w.now
}

// kill ends the process; of what was not synced a part is kept, up to a torn record.
func (a *adversary) kill(m *machine) {
	for _, b := range m.pending {
		kept := a.rnd.Intn(len(b.list) + 1)
		if b.replaces && kept < len(b.list) || a.rnd.Intn(2) == 0 {
			break // a file that replaces another is there whole or not at all
		}
		b.list = b.list[:kept]
		m.store(b)
		if a.rnd.Intn(2) == 0 {
			break
		}
	}
	m.pending, m.node, m.frozen, m.backlog = nil, nil, false, nil
	m.life++
	a.w.logf("%s is down", m.addr)
}

func (a *adversary) wipe(m *machine) {
	a.w.logf("%s loses its disk", m.addr)
	for _, b := range m.synced {
		var r Record
		if readRecord(b, &r) && r.Identity != nil {
			m.oldID = r.Identity
		} else if r.Bootstrap != nil {
			m.oldName = r.Bootstrap
		}
	}
	m.synced, m.first = nil, false
}

func (a *adversary) down(m *machine, d time.Duration, wiped bool) {
	m.faulty = true
	a.kill(m)
	if wiped {
		a.wipe(m)
	}
	a.w.after(d, func() {
		m.start()
		a.over(m)
	})
}

func (a *adversary) freeze(m *machine) {
	m.faulty, m.frozen = true, true
	a.w.after(a.upTo(5000), func() {
		a.thaw(m)
		a.over(m)
	})
}

func (a *adversary) thaw(m *machine) {
	m.frozen = false
	list := m.backlog
	m.backlog = nil
	for _, run := range list {
		m.deliver(run)
	}
}

// stutter lets the process run for a moment at a time, as one with too little processor.
func (a *adversary) stutter(m *machine) {
	m.faulty = true
	end := a.w.now + a.upTo(5000)
	var turn func()
	turn = func() {
		if a.w.now > end || !m.up() {
			a.thaw(m)
			a.over(m)
			return
		}
		m.frozen = true
		a.w.after(a.upTo(400), func() {
			a.thaw(m)
			a.w.after(a.upTo(60), turn)
		})
	}
	turn()
}

// cutOff cuts a machine from others: from all, or from some of them.
func (a *adversary) cutOff(m *machine, inwards, outwards bool) {
	m.faulty = true
	all := a.rnd.Intn(2) == 0
	var links []link
	for _, o := range a.w.machines {
		if o == m || !all && a.rnd.Intn(3) == 0 {
			continue
		}
		if inwards {
			links = append(links, link{o.addr, m.addr})
		}
		if outwards {
			links = append(links, link{m.addr, o.addr})
		}
	}
	for _, l := range links {
		a.w.cut[l] = true
	}
	a.w.after(a.upTo(6000), func() {
		for _, l := range links {
			delete(a.w.cut, l)
		}
		a.over(m)
	})
}

func (a *adversary) slowDisk(m *machine, times int) {
	m.faulty, m.slow = true, times
	a.w.after(a.upTo(5000), func() {
		m.slow = 1
		if m.up() && len(m.pending) > 0 {
			m.syncSoon()
		}
		a.over(m)
	})
}

// stop sends SIGTERM: the process ends once it may, and at the end of its grace.
func (a *adversary) stop(m *machine, ended func()) {
	m.stops = true
	m.deliver(func() { m.step(func() { m.node.PrepareStop(m.clock()) }) })
	life, least, most := m.life, a.w.now+testGrace*3/8, a.w.now+testGrace*3/4
	var look func()
	look = func() {
		switch {
		case m.life != life || !m.up():
			ended()
		case a.w.now >= least && m.node.MayStop() || a.w.now >= most:
			a.kill(m)
			ended()
		default:
			a.w.after(testTick, look)
		}
	}
	look()
}

func (a *adversary) restart(m *machine) {
	m.faulty = true
	a.stop(m, func() {
		a.w.after(a.upTo(500), func() {
			m.start()
			a.over(m)
		})
	})
}

// successor is an empty machine at another address in the zone of one that goes.
func (a *adversary) successor(m *machine) *machine {
	a.named++
	n := a.w.addMachine(fmt.Sprint(m.addr, "-", a.named), 0, false)
	n.zone, n.former = m.zone, m
	return n
}

func (a *adversary) leaves(m *machine) {
	m.gone, m.faulty = true, false
	a.w.lastHurt = a.w.now
	a.w.logf("%s is gone for good", m.addr)
}

// replace has a machine go for good, and an empty one come in its place.
func (a *adversary) replace(m *machine) {
	if m.replaced {
		return
	}
	m.replaced = true
	if a.rnd.Intn(2) == 0 {
		a.stop(m, func() { a.leaves(m) })
		m.faulty = true
	} else {
		a.kill(m)
		a.leaves(m)
	}
	n := a.successor(m)
	a.w.after(a.upTo(3000), func() {
		n.start()
		m.backAt = n.backAt
	})
}

// replacePlanned has the empty machine come first, and the other one told to go.
func (a *adversary) replacePlanned(m *machine) {
	if m.replaced || !a.plans {
		return
	}
	m.replaced = true
	n := a.successor(m)
	n.start()
	wait := testCatchUp + a.upTo(1000)
	if a.rnd.Intn(3) == 0 {
		wait = a.upTo(4000)
	}
	a.w.after(wait, func() { a.tellToGo(m, n) })
}

// tellToGo sends the planned SIGTERM as soon as what is lost otherwise allows it.
func (a *adversary) tellToGo(m, n *machine) {
	w := a.w
	if a.calm {
		return
	}
	if !m.up() || m.faulty || m.stops || m.counts() || !n.up() || n.faulty || w.lost() > w.tolerate {
		w.after(100*time.Millisecond, func() { a.tellToGo(m, n) })
		return
	}
	w.logf("%s is told to go", m.addr)
	w.lastHurt = w.now
	a.stop(m, func() {
		a.leaves(m)
		m.backAt = n.starts
	})
	w.after(a.upTo(4500), a.strike)
}

// strike loses as much more as may be lost, disks included, at once.
func (a *adversary) strike() {
	for _, m := range a.targets() {
		if !a.calm && a.w.lost() < a.w.tolerate {
			a.do(actions()[a.rnd.Intn(2)], m)
		}
	}
}

// powerAll takes the power of all machines; as many as may be lost lose their disks.
func (a *adversary) powerAll(_ *machine) {
	spare := a.w.tolerate - a.w.lost()
	var back []*machine
	list := slices.Clone(a.w.machines)
	a.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list {
		if !m.up() || m.faulty || m.stops {
			continue
		}
		a.kill(m)
		back = append(back, m)
		if spare > 0 && !m.counts() && a.rnd.Intn(2) == 0 {
			spare--
			a.wipe(m)
		}
		m.faulty = true
	}
	for _, m := range back {
		a.w.after(a.upTo(1500), func() {
			m.start()
			a.over(m)
		})
	}
}

// settle heals everything.
func (a *adversary) settle() {
	a.calm = true
	a.w.cut = map[link]bool{}
	a.w.lastHurt = a.w.now
}

func (a *adversary) running() (list []types.Addr) {
	for _, m := range a.w.machines {
		if m.up() && !m.gone {
			list = append(list, m.addr)
		}
	}
	return
}
