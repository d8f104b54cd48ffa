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
	w                   *world
	random              *rand.Rand
	successors          int
	stopped             bool // does nothing more
	plannedReplacements bool // replaces machines by plan too
}

// faultAction is one thing that the adversary can do; it costs that many machines.
type faultAction struct {
	name string
	cost int
	run  func(a *adversary, m *machine)
}

func faultActions() []faultAction {
	return []faultAction{
		{"power", 1, func(a *adversary, m *machine) { a.crash(m, a.randomMillis(3500), false) }},
		{"wipe", 1, func(a *adversary, m *machine) { a.crash(m, a.randomMillis(3500), true) }},
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

func (a *adversary) randomMillis(ms int) time.Duration {
	return time.Duration(1+a.random.Intn(ms)) * time.Millisecond
}

// act does something, and comes again: often just when a machine stops counting.
func (a *adversary) act() {
	w := a.w
	if a.stopped {
		return
	}
	all := faultActions()
	x := all[a.random.Intn(len(all))]
	if x.name == "power of all" && a.random.Intn(3) > 0 {
		x = all[a.random.Intn(2)]
	}
	if targets := a.targets(); w.lostCount()+x.cost <= w.lossTolerance && len(targets) > 0 {
		m := targets[a.random.Intn(len(targets))]
		if l := w.leader(); l != nil && slices.Contains(targets, l) && a.random.Intn(3) == 0 {
			m = l
		}
		a.perform(x, m)
	}
	w.schedule(a.pause(), a.act)
}

func (a *adversary) pause() time.Duration {
	if a.random.Intn(3) == 0 {
		return a.randomMillis(2500)
	}
	for _, m := range a.w.machines {
		if left := m.recoveredAt + testCatchUpTime - a.w.now; m.countsAsLost() && left > 0 && !m.faulty {
			return left + time.Millisecond
		}
	}
	return a.randomMillis(300)
}

func (a *adversary) perform(x faultAction, m *machine) {
	a.w.logf("adversary: %s at %s, %d of %d lost", x.name, m.addr, a.w.lostCount(), a.w.lossTolerance)
	a.w.lastFaultAt = a.w.now
	x.run(a, m)
}

// targets are the machines that nothing is done to now.
func (a *adversary) targets() (list []*machine) {
	for _, m := range a.w.machines {
		if m.up() && !m.faulty && !m.stopping && !m.departed && !m.countsAsLost() {
			list = append(list, m)
		}
	}
	return
}

// endFault ends a fault: from now on the machine has its time to catch up.
func (a *adversary) endFault(m *machine) {
	m.faulty, m.recoveredAt = false, a.w.now
	a.w.lastFaultAt = a.w.now
}

// kill ends the process; of what was not synced a part is kept, up to a torn record.
func (a *adversary) kill(m *machine) {
	for _, b := range m.unsynced {
		kept := a.random.Intn(len(b.list) + 1)
		if b.replaces && kept < len(b.list) || a.random.Intn(2) == 0 {
			break // a file that replaces another is there whole or not at all
		}
		b.list = b.list[:kept]
		m.store(b)
		if a.random.Intn(2) == 0 {
			break
		}
	}
	m.unsynced, m.node, m.frozen, m.backlog = nil, nil, false, nil
	m.incarnation++
	a.w.logf("%s is down", m.addr)
}

func (a *adversary) wipe(m *machine) {
	a.w.logf("%s loses its disk", m.addr)
	for _, b := range m.synced {
		var r Record
		if decodeRecord(b, &r) && r.Identity != nil {
			m.wipedIdentity = r.Identity
		} else if r.Cluster != nil {
			m.wipedCluster = r.Cluster
		}
	}
	m.synced, m.first = nil, false
}

func (a *adversary) crash(m *machine, d time.Duration, wiped bool) {
	m.faulty = true
	a.kill(m)
	if wiped {
		a.wipe(m)
	}
	a.w.schedule(d, func() {
		m.start()
		a.endFault(m)
	})
}

func (a *adversary) freeze(m *machine) {
	m.faulty, m.frozen = true, true
	a.w.schedule(a.randomMillis(5000), func() {
		a.thaw(m)
		a.endFault(m)
	})
}

func (a *adversary) thaw(m *machine) {
	m.frozen = false
	list := m.backlog
	m.backlog = nil
	for _, run := range list {
		m.runOrBuffer(run)
	}
}

// stutter lets the process run for a moment at a time, as one with too little processor.
func (a *adversary) stutter(m *machine) {
	m.faulty = true
	end := a.w.now + a.randomMillis(5000)
	var turn func()
	turn = func() {
		if a.w.now > end || !m.up() {
			a.thaw(m)
			a.endFault(m)
			return
		}
		m.frozen = true
		a.w.schedule(a.randomMillis(400), func() {
			a.thaw(m)
			a.w.schedule(a.randomMillis(60), turn)
		})
	}
	turn()
}

// runCutOff cuts a machine from others: from all, or from some of them.
func (a *adversary) cutOff(m *machine, inwards, outwards bool) {
	m.faulty = true
	all := a.random.Intn(2) == 0
	var links []link
	for _, o := range a.w.machines {
		if o == m || !all && a.random.Intn(3) == 0 {
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
		a.w.cutLinks[l] = true
	}
	a.w.schedule(a.randomMillis(6000), func() {
		for _, l := range links {
			delete(a.w.cutLinks, l)
		}
		a.endFault(m)
	})
}

func (a *adversary) slowDisk(m *machine, times int) {
	m.faulty, m.syncSlowdown = true, times
	a.w.schedule(a.randomMillis(5000), func() {
		m.syncSlowdown = 1
		if m.up() && len(m.unsynced) > 0 {
			m.scheduleSync()
		}
		a.endFault(m)
	})
}

// requestStop sends SIGTERM: the process ends once it may, and at the end of its grace.
func (a *adversary) requestStop(m *machine, ended func()) {
	m.stopping = true
	m.runOrBuffer(func() { m.step(func() { m.node.PrepareStop(m.clock()) }) })
	life, least, most := m.incarnation, a.w.now+testStopGrace*3/8, a.w.now+testStopGrace*3/4
	var look func()
	look = func() {
		switch {
		case m.incarnation != life || !m.up():
			ended()
		case a.w.now >= least && m.node.MayStop() || a.w.now >= most:
			a.kill(m)
			ended()
		default:
			a.w.schedule(testTickInterval, look)
		}
	}
	look()
}

func (a *adversary) restart(m *machine) {
	m.faulty = true
	a.requestStop(m, func() {
		a.w.schedule(a.randomMillis(500), func() {
			m.start()
			a.endFault(m)
		})
	})
}

// successor is an empty machine at another address in the zone of one that goes.
func (a *adversary) successor(m *machine) *machine {
	a.successors++
	n := a.w.addMachine(fmt.Sprint(m.addr, "-", a.successors), 0, false)
	n.zone, n.predecessor = m.zone, m
	return n
}

func (a *adversary) depart(m *machine) {
	m.departed, m.faulty = true, false
	a.w.lastFaultAt = a.w.now
	a.w.logf("%s is gone for good", m.addr)
}

// replace has a machine go for good, and an empty one come in its place.
func (a *adversary) replace(m *machine) {
	if m.replaced {
		return
	}
	m.replaced = true
	if a.random.Intn(2) == 0 {
		a.requestStop(m, func() { a.depart(m) })
		m.faulty = true
	} else {
		a.kill(m)
		a.depart(m)
	}
	n := a.successor(m)
	a.w.schedule(a.randomMillis(3000), func() {
		n.start()
		m.recoveredAt = n.recoveredAt
	})
}

// replacePlanned has the empty machine come first, and the other one told to go.
func (a *adversary) replacePlanned(m *machine) {
	if m.replaced || !a.plannedReplacements {
		return
	}
	m.replaced = true
	n := a.successor(m)
	n.start()
	wait := testCatchUpTime + a.randomMillis(1000)
	if a.random.Intn(3) == 0 {
		wait = a.randomMillis(4000)
	}
	a.w.schedule(wait, func() { a.stopWhenTolerable(m, n) })
}

// stopWhenTolerable sends the planned SIGTERM as soon as what is lost otherwise allows it.
func (a *adversary) stopWhenTolerable(m, n *machine) {
	w := a.w
	if a.stopped {
		return
	}
	if !m.up() || m.faulty || m.stopping || m.countsAsLost() || !n.up() || n.faulty || w.lostCount() > w.lossTolerance {
		w.schedule(100*time.Millisecond, func() { a.stopWhenTolerable(m, n) })
		return
	}
	w.logf("%s is told to go", m.addr)
	w.lastFaultAt = w.now
	a.requestStop(m, func() {
		a.depart(m)
		m.recoveredAt = n.startedAt
	})
	w.schedule(a.randomMillis(4500), a.crashSpareMachines)
}

// crashSpareMachines loses as much more as may be lost, disks included, at once.
func (a *adversary) crashSpareMachines() {
	for _, m := range a.targets() {
		if !a.stopped && a.w.lostCount() < a.w.lossTolerance {
			a.perform(faultActions()[a.random.Intn(2)], m)
		}
	}
}

// powerAll takes the power of all machines; as many as may be lost lose their disks.
func (a *adversary) powerAll(_ *machine) {
	spare := a.w.lossTolerance - a.w.lostCount()
	var back []*machine
	list := slices.Clone(a.w.machines)
	a.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list {
		if !m.up() || m.faulty || m.stopping {
			continue
		}
		a.kill(m)
		back = append(back, m)
		if spare > 0 && !m.countsAsLost() && a.random.Intn(2) == 0 {
			spare--
			a.wipe(m)
		}
		m.faulty = true
	}
	for _, m := range back {
		a.w.schedule(a.randomMillis(1500), func() {
			m.start()
			a.endFault(m)
		})
	}
}

// healAll heals everything.
func (a *adversary) healAll() {
	a.stopped = true
	a.w.cutLinks = map[link]bool{}
	a.w.lastFaultAt = a.w.now
}

func (a *adversary) running() (list []types.Addr) {
	for _, m := range a.w.machines {
		if m.up() && !m.departed {
			list = append(list, m.addr)
		}
	}
	return
}
