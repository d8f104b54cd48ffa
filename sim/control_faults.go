// Faults of control as they come on users' machines: cuts of each form with what may
// come beside them, losses right after an acknowledgement, planned replacements, and
// trouble with disks, clocks and connections.
package sim

import (
	"slices"
	"time"

	"coppercourse/internal/types"
)

const (
	ackKillWithin = 4 * time.Millisecond   // after an acknowledgement
	timedLeast    = 5 * time.Millisecond   // after a change was sent
	timedMost     = 400 * time.Millisecond //
	clockStep     = 2 * time.Second
	burstTimes    = 3
	lostAckPart   = 0.7
	herdPart      = 0.6
	restartTakes  = 300 * time.Millisecond
)

// ControlFaults is the table.
var ControlFaults = map[string]Fault{
	"cut-core-near":      cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return r.near(r.leader()) }),
	"cut-core-oldest":    cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return peers(r, r.oldest()) }),
	"cut-core-seeds":     cutSeeds,
	"cut-core-both":      cutBothRestarted,
	"cut-core-meet":      met("cut-core", 1),
	"cut-core-race":      met("cut-core", 2),
	"cut-leader-race":    met("cut-leader", 2),
	"cut-core-out-meet":  met("cut-core-out", 1),
	"freeze-leader-race": met("freeze-leader", 2),
	"kill-leader-meet":   met("kill-leader", 1),
	"cut-from-core":      cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return r.some(0.2), r.addresses(r.controllers) }),
	"cut-from-core-in":   cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return r.addresses(r.controllers), r.some(0.2) }),
	"cut-from-core-out":  cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return r.some(0.2), r.addresses(r.controllers) }),
	"turn-seeds":         turnSeeds,
	"kill-after-ack":     strike(TableAck, 0, ackKillWithin, killLeader),
	"kill-after-send":    strike(TableTry, timedLeast, timedMost, killLeader),
	"kill-after-accept":  strike(Accepted, 0, ackKillWithin, killLeader),
	"wipe-after-ack":     strike(TableAck, 0, ackKillWithin, wipeLeader),
	"wipe-after-send":    strike(TableTry, timedLeast, timedMost, wipeLeader),
	"wipe-oldest":        func(r *Run, _ time.Duration) func() { return r.wipe(r.oldest()) },
	"power-after-accept": strike(Accepted, 0, ackKillWithin, func(r *Run) func() { return r.down(r.controllers) }),
	"power-after-ack":    strike(TableAck, 0, ackKillWithin, func(r *Run) func() { return r.down(r.everyone()) }),
	"kill-herd": func(r *Run, _ time.Duration) func() {
		return r.down(r.part(append(slices.Clone(r.gateways), r.agents...), herdPart))
	},
	"roll-controllers":  func(r *Run, long time.Duration) func() { return r.roll(r.controllers, long) },
	"roll-gateways":     func(r *Run, long time.Duration) func() { return r.roll(r.gateways, long) },
	"replace-planned":   replacePlanned,
	"fill-disk":         func(r *Run, _ time.Duration) func() { return fillDisk(pickOne(r.random, r.controllers)) },
	"fill-leader-disk":  func(r *Run, _ time.Duration) func() { return fillDisk(r.leader()) },
	"jump-clocks":       jumpClocks,
	"reset-connections": resetConnections,
	"lose-acks":         func(r *Run, _ time.Duration) func() { r.lostAcks = lostAckPart; return func() { r.lostAcks = 0 } },
	"burst": func(r *Run, _ time.Duration) func() {
		r.Clients.Burst = burstTimes
		return func() { r.Clients.Burst = 0 }
	},
}

func init() { InvokedFaults["lure-workers"] = lureWorkers }

func (r *Run) addresses(list []*node) (addrs []types.Addr) {
	for _, n := range list {
		addrs = append(addrs, n.addr)
	}
	return
}

func (r *Run) everyone() []*node { return slices.Concat(r.controllers, r.gateways, r.agents) }

// part draws a part of some daemons, one at least.
func (r *Run) part(list []*node, share float64) (drawn []*node) {
	for _, i := range r.random.Perm(len(list))[:max(1, int(share*float64(len(list))))] {
		drawn = append(drawn, list[i])
	}
	return
}

// some draws a part of the gateways and agents.
func (r *Run) some(share float64) []types.Addr {
	list := r.addresses(r.part(append(slices.Clone(r.gateways), r.agents...), share))
	r.affects(list...)
	return list
}

// near is a controller, and the other controllers with all daemons of other zones.
func (r *Run) near(n *node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	_, b = peers(r, n)
	for _, o := range r.everyone() {
		if o.zone != n.zone && !slices.Contains(b, o.addr) {
			b = append(b, o.addr)
		}
	}
	return []types.Addr{n.addr}, b
}

// oldest is the controller whose disk has lasted longest: one that was never wiped, and
// started before those that came in place of others.
func (r *Run) oldest() *node {
	for _, a := range r.order {
		n := r.nodes[a]
		if slices.Contains(r.controllers, n) && !n.disk.wiped && n.m != nil {
			return n
		}
	}
	return nil
}

// restart kills daemons and starts them again.
func (r *Run) restart(list ...*node) {
	for _, n := range list {
		if n.m != nil {
			n.kill()
		}
		r.at(restartTakes, func() { bootIfDown(n) })
	}
}

func bootIfDown(n *node) {
	if n.m == nil && n.make != nil {
		n.boot()
	}
}

// down cuts the power of daemons until the fault ends.
func (r *Run) down(list []*node) func() {
	for _, n := range list {
		if n.m != nil {
			n.kill()
		}
	}
	return func() {
		for _, n := range list {
			bootIfDown(n)
		}
	}
}

// roll warns daemons one after the other, and starts each again.
func (r *Run) roll(list []*node, long time.Duration) func() {
	list = slices.Clone(list)
	for i, n := range list {
		r.at(time.Duration(i)*long/time.Duration(len(list)), func() {
			if n.m != nil && !n.frozen && n.make != nil {
				r.Close(n)
			}
		})
	}
	return func() {
		for _, n := range list {
			r.at(5*time.Second, func() { bootIfDown(n) })
		}
	}
}

// cutSeeds cuts a controller off that the new seeds begin with, and restarts others.
func cutSeeds(r *Run, _ time.Duration) func() {
	n := r.leader()
	if n == nil {
		return nil
	}
	a, b := isolated(r, n)
	r.Split(a, b, true, true)
	_, others := peers(r, n)
	r.seeds = append([]types.Addr{n.addr}, others[:min(2, len(others))]...)
	r.restart(r.part(append(slices.Clone(r.gateways), r.agents...), 0.3)...)
	return func() { r.Split(a, b, true, false) }
}

// cutBothRestarted cuts a controller off from the others, restarts it, then them.
func cutBothRestarted(r *Run, long time.Duration) func() {
	n := r.leader()
	if n == nil {
		return nil
	}
	a, b := peers(r, n)
	r.Split(a, b, true, true)
	r.at(long/4, func() { r.restart(n) })
	for i, addr := range b {
		r.at(long/2+time.Duration(i)*long/8, func() { r.restart(r.nodes[addr]) })
	}
	return func() { r.Split(a, b, true, false) }
}

// met has operators send changes while a fault lasts and as it ends: one, or two on the
// same version.
func met(name string, changes int) Fault {
	return func(r *Run, long time.Duration) func() {
		end := Faults[name](r, long)
		if end == nil {
			return nil
		}
		r.at(long/2, func() { r.Clients.changeNow(changes) })
		return func() {
			end()
			r.Clients.changeNow(changes)
		}
	}
}

// turnSeeds names other seeds to all that start from now on, and restarts some.
func turnSeeds(r *Run, _ time.Duration) func() {
	list := r.addresses(append(slices.Clone(r.controllers), r.gateways...))
	r.random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	r.seeds = list[:3]
	r.restart(r.part(append(slices.Clone(r.gateways), r.agents...), 0.2)...)
	return func() {}
}

// strike has something go wrong soon after the next event of a kind. What it gives back
// ends the trouble when the fault's time is over.
func strike(what EventKind, least, most time.Duration, how func(*Run) func()) Fault {
	return func(r *Run, _ time.Duration) func() {
		var end func()
		over := false
		r.onNext(what, least, most, func() {
			if over {
				return
			}
			end = how(r)
		})
		return func() {
			over = true
			if end != nil {
				end()
			}
		}
	}
}

func killLeader(r *Run) func() {
	if n := r.leader(); n != nil {
		return r.down([]*node{n})
	}
	return nil
}

func wipeLeader(r *Run) func() { return r.wipe(r.leader()) }

// wipe takes a controller's disk, if the others are whole voters.
func (r *Run) wipe(n *node) func() {
	if n == nil || !r.allVote() {
		return nil
	}
	return r.loseDiskOf(n, false)
}

// replacePlanned starts a new controller, and warns the one that it replaces a little later.
func replacePlanned(r *Run, _ time.Duration) func() {
	if !r.allVote() {
		return nil
	}
	n := pickOne(r.random, r.controllers)
	r.successor(n, "p").boot()
	r.at(time.Second, func() {
		n.make = nil
		if n.m != nil {
			r.Close(n)
		}
	})
	return func() {}
}

func fillDisk(n *node) func() {
	if n == nil {
		return nil
	}
	n.disk.full = true
	return func() { n.disk.full = false }
}

// jumpClocks has the time of day step on a part of all machines, and back.
func jumpClocks(r *Run, _ time.Duration) func() {
	list := r.part(r.everyone(), 0.3)
	step := clockStep
	if r.random.Intn(2) == 0 {
		step = -step
	}
	for _, n := range list {
		n.wall += step
	}
	return func() {
		for _, n := range list {
			n.wall -= step
		}
	}
}

// resetConnections resets half of the connections of some daemons, once a second.
func resetConnections(r *Run, long time.Duration) func() {
	for at := time.Duration(0); at < long; at += time.Second {
		r.at(at, func() {
			for _, n := range r.part(r.everyone(), 0.1) {
				r.resets[n.addr] = r.now
			}
		})
	}
	return func() { clear(r.resets) }
}

// lureWorkers cuts the leader off from the other controllers. A third of the agents
// reach just it for a while, and some of their workers leave.
func lureWorkers(r *Run, long time.Duration) func() {
	n := r.leader()
	if n == nil {
		return nil
	}
	a, b := peers(r, n)
	r.Split(a, b, true, true)
	lured := r.part(r.agents, 0.33)
	away := append(slices.Clone(b), r.addresses(r.gateways)...)
	r.Split(r.addresses(lured), away, true, true)
	for _, agent := range lured {
		k := r.invokedWorkers[slices.Index(r.agents, agent)]
		if k.w != nil && k.goes == 0 && r.random.Intn(2) == 0 {
			k.leave(2*time.Second + long)
			r.at(2*time.Second+long+4*time.Second, func() {
				if k.w == nil {
					k.boot()
				}
			})
		}
	}
	r.at(long/2, func() { r.Split(r.addresses(lured), away, true, false) })
	return func() { r.Split(a, b, true, false) }
}
