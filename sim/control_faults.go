// Faults of control as they come on users' machines: cuts of each form with what may
// come beside them, losses right after an acknowledgement, planned replacements, and
// trouble with disks, clocks and connections.

package sim

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

const (
	maxKillDelay = 4 * time.Millisecond   // after an acknowledgement
	minSendDelay = 5 * time.Millisecond   // after a change was sent
	maxSendDelay = 400 * time.Millisecond //
	clockStep    = 2 * time.Second
	burstFactor  = 3
	ackLossRate  = 0.7
	herdShare    = 0.6
	restartTime  = 300 * time.Millisecond
)

// ControlFaults is the table.
var ControlFaults = map[string]Fault{
	"cut-core-near": partitionFault(true,
		func(r *Run) ([]types.Addr, []types.Addr) { return r.separatedWithinZone(r.leader()) }),
	"cut-core-oldest": partitionFault(true,
		func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromPeers(r, r.oldestController()) }),
	"cut-core-seeds":     cutSeeds,
	"cut-core-both":      cutBothRestarted,
	"cut-core-meet":      faultWithChanges("cut-core", 1),
	"cut-core-race":      faultWithChanges("cut-core", 2),
	"cut-leader-race":    faultWithChanges("cut-leader", 2),
	"cut-core-out-meet":  faultWithChanges("cut-core-out", 1),
	"freeze-leader-race": faultWithChanges("freeze-leader", 2),
	"kill-leader-meet":   faultWithChanges("kill-leader", 1),
	"cut-from-core": partitionFault(true,
		func(r *Run) ([]types.Addr, []types.Addr) { return r.someAddresses(0.2), r.addressesOf(r.controllers) }),
	"cut-from-core-in": partitionFault(false,
		func(r *Run) ([]types.Addr, []types.Addr) { return r.addressesOf(r.controllers), r.someAddresses(0.2) }),
	"cut-from-core-out": partitionFault(false,
		func(r *Run) ([]types.Addr, []types.Addr) { return r.someAddresses(0.2), r.addressesOf(r.controllers) }),
	"turn-seeds":        changeSeeds,
	"kill-after-ack":    faultAfterEvent(history.TableAcknowledged, 0, maxKillDelay, killLeader),
	"kill-after-send":   faultAfterEvent(history.TableSubmitted, minSendDelay, maxSendDelay, killLeader),
	"kill-after-accept": faultAfterEvent(history.JobAccepted, 0, maxKillDelay, killLeader),
	"wipe-after-ack":    faultAfterEvent(history.TableAcknowledged, 0, maxKillDelay, wipeLeader),
	"wipe-after-send":   faultAfterEvent(history.TableSubmitted, minSendDelay, maxSendDelay, wipeLeader),
	"wipe-oldest":       func(r *Run, _ time.Duration) func() { return r.loseDiskIfSafe(r.oldestController()) },
	"power-after-accept": faultAfterEvent(history.JobAccepted, 0, maxKillDelay,
		func(r *Run) func() { return r.cutPower(r.controllers) }),
	"power-after-ack": faultAfterEvent(history.TableAcknowledged, 0, maxKillDelay,
		func(r *Run) func() { return r.cutPower(r.daemons()) }),
	"kill-herd": func(r *Run, _ time.Duration) func() {
		return r.cutPower(r.sample(append(slices.Clone(r.gateways), r.agents...), herdShare))
	},
	"roll-controllers":  func(r *Run, long time.Duration) func() { return r.rollingRestart(r.controllers, long) },
	"roll-gateways":     func(r *Run, long time.Duration) func() { return r.rollingRestart(r.gateways, long) },
	"replace-planned":   replacePlanned,
	"fill-disk":         func(r *Run, _ time.Duration) func() { return fillDisk(pickOne(r.Random, r.controllers)) },
	"fill-leader-disk":  func(r *Run, _ time.Duration) func() { return fillDisk(r.leader()) },
	"jump-clocks":       jumpClocks,
	"reset-connections": resetConnections,
	"lose-acks": func(r *Run, _ time.Duration) func() {
		r.Network.AckLossRate = ackLossRate
		return func() { r.Network.AckLossRate = 0 }
	},
	"burst": func(r *Run, _ time.Duration) func() {
		r.Clients.BurstFactor = burstFactor
		return func() { r.Clients.BurstFactor = 0 }
	},
}

func init() { InvokedFaults["lure-workers"] = lureWorkers }

func (r *Run) addressesOf(list []*world.Node) (addrs []types.Addr) {
	for _, n := range list {
		addrs = append(addrs, n.Addr)
	}
	return addrs
}

func (r *Run) daemons() []*world.Node { return slices.Concat(r.controllers, r.gateways, r.agents) }

// sample draws a part of some daemons, one at least.
func (r *Run) sample(list []*world.Node, share float64) (drawn []*world.Node) {
	for _, i := range r.Random.Perm(len(list))[:max(1, int(share*float64(len(list))))] {
		drawn = append(drawn, list[i])
	}
	return drawn
}

// someAddresses draws a part of the gateways and agents.
func (r *Run) someAddresses(share float64) []types.Addr {
	list := r.addressesOf(r.sample(append(slices.Clone(r.gateways), r.agents...), share))
	r.markAffected(list...)
	return list
}

// separatedWithinZone is a controller, and the other controllers with all daemons of other zones.
func (r *Run) separatedWithinZone(n *world.Node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	_, b = separatedFromPeers(r, n)
	for _, o := range r.daemons() {
		if o.Zone != n.Zone && !slices.Contains(b, o.Addr) {
			b = append(b, o.Addr)
		}
	}
	return []types.Addr{n.Addr}, b
}

// oldestController is the controller whose disk has lasted longest: one that was never wiped, and
// started before those that came in place of others.
func (r *Run) oldestController() *world.Node {
	for _, a := range r.NodeOrder {
		n := r.Nodes[a]
		if slices.Contains(r.controllers, n) && !n.Disk.Wiped && n.Machine != nil {
			return n
		}
	}
	return nil
}

// restart kills daemons and starts them again.
func (r *Run) restart(list ...*world.Node) {
	for _, n := range list {
		if n.Machine != nil {
			n.Kill()
		}
		r.After(restartTime, func() { bootIfDown(n) })
	}
}

func bootIfDown(n *world.Node) {
	if n.Machine == nil && n.NewMachine != nil {
		n.Boot()
	}
}

// cutPower cuts the power of daemons until the fault ends.
func (r *Run) cutPower(list []*world.Node) func() {
	for _, n := range list {
		if n.Machine != nil {
			n.Kill()
		}
	}
	return func() {
		for _, n := range list {
			bootIfDown(n)
		}
	}
}

// rollingRestart warns daemons one after the other, and starts each again.
func (r *Run) rollingRestart(list []*world.Node, duration time.Duration) func() {
	list = slices.Clone(list)
	for i, n := range list {
		r.After(time.Duration(i)*duration/time.Duration(len(list)), func() {
			if n.Machine != nil && !n.Frozen && n.NewMachine != nil {
				r.Shutdown(n)
			}
		})
	}
	return func() {
		for _, n := range list {
			r.After(5*time.Second, func() { bootIfDown(n) })
		}
	}
}

// cutSeeds cuts a controller off that the new seeds begin with, and restarts others.
func cutSeeds(r *Run, _ time.Duration) func() {
	n := r.leader()
	if n == nil {
		return nil
	}
	a, b := separatedFromAll(r, n)
	r.Network.SetPartition(a, b, true, true)
	_, others := separatedFromPeers(r, n)
	r.Seeds = append([]types.Addr{n.Addr}, others[:min(2, len(others))]...)
	r.restart(r.sample(append(slices.Clone(r.gateways), r.agents...), 0.3)...)
	return func() { r.Network.SetPartition(a, b, true, false) }
}

// cutBothRestarted cuts a controller off from the others, restarts it, then them.
func cutBothRestarted(r *Run, long time.Duration) func() {
	n := r.leader()
	if n == nil {
		return nil
	}
	a, b := separatedFromPeers(r, n)
	r.Network.SetPartition(a, b, true, true)
	r.After(long/4, func() { r.restart(n) })
	for i, addr := range b {
		r.After(long/2+time.Duration(i)*long/8, func() { r.restart(r.Nodes[addr]) })
	}
	return func() { r.Network.SetPartition(a, b, true, false) }
}

// faultWithChanges has operators send changes while a fault lasts and as it ends: one, or two on the
// same version.
func faultWithChanges(name string, changes int) Fault {
	return func(r *Run, long time.Duration) func() {
		end := Faults[name](r, long)
		if end == nil {
			return nil
		}
		r.After(long/2, func() { r.Clients.putChanges(changes) })
		return func() {
			end()
			r.Clients.putChanges(changes)
		}
	}
}

// changeSeeds names other seeds to all that start from now on, and restarts some.
func changeSeeds(r *Run, _ time.Duration) func() {
	list := r.addressesOf(append(slices.Clone(r.controllers), r.gateways...))
	r.Random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	r.Seeds = list[:3]
	r.restart(r.sample(append(slices.Clone(r.gateways), r.agents...), 0.2)...)
	return func() {}
}

// faultAfterEvent has something go wrong soon after the next event of a kind. What it gives back
// ends the trouble when the fault's time is over.
func faultAfterEvent(kind history.Kind, shortest, longest time.Duration, how func(*Run) func()) Fault {
	return func(r *Run, _ time.Duration) func() {
		var end func()
		healed := false
		r.OnNextEvent(kind, shortest, longest, func() {
			if healed {
				return
			}
			end = how(r)
		})
		return func() {
			healed = true
			if end != nil {
				end()
			}
		}
	}
}

func killLeader(r *Run) func() {
	if n := r.leader(); n != nil {
		return r.cutPower([]*world.Node{n})
	}
	return nil
}

func wipeLeader(r *Run) func() { return r.loseDiskIfSafe(r.leader()) }

// loseDiskIfSafe takes a controller's disk, if the others are whole voters.
func (r *Run) loseDiskIfSafe(n *world.Node) func() {
	if n == nil || !r.allControllersVote() {
		return nil
	}
	return r.loseDiskOf(n, false)
}

// replacePlanned starts a new controller, and warns the one that it replaces a little later.
func replacePlanned(r *Run, _ time.Duration) func() {
	if !r.allControllersVote() {
		return nil
	}
	n := pickOne(r.Random, r.controllers)
	r.addReplacement(n, "p").Boot()
	r.After(time.Second, func() {
		n.NewMachine = nil
		if n.Machine != nil {
			r.Shutdown(n)
		}
	})
	return func() {}
}

func fillDisk(n *world.Node) func() {
	if n == nil {
		return nil
	}
	n.Disk.Full = true
	return func() { n.Disk.Full = false }
}

// jumpClocks has the time of day step on a part of all machines, and back.
func jumpClocks(r *Run, _ time.Duration) func() {
	list := r.sample(r.daemons(), 0.3)
	step := clockStep
	if r.Random.Intn(2) == 0 {
		step = -step
	}
	for _, n := range list {
		n.WallOffset += step
	}
	return func() {
		for _, n := range list {
			n.WallOffset -= step
		}
	}
}

// resetConnections resets half of the connections of some daemons, once a second.
func resetConnections(r *Run, long time.Duration) func() {
	for at := time.Duration(0); at < long; at += time.Second {
		r.After(at, func() {
			for _, n := range r.sample(r.daemons(), 0.1) {
				r.Network.ResetConnections(n.Addr, r.Now())
			}
		})
	}
	return func() { r.Network.ClearResets() }
}

// lureWorkers cuts the leader off from the other controllers. A third of the agents
// reach just it for a while, and some of their workers leave.
func lureWorkers(r *Run, long time.Duration) func() {
	n := r.leader()
	if n == nil {
		return nil
	}
	a, b := separatedFromPeers(r, n)
	r.Network.SetPartition(a, b, true, true)
	lured := r.sample(r.agents, 0.33)
	away := append(slices.Clone(b), r.addressesOf(r.gateways)...)
	r.Network.SetPartition(r.addressesOf(lured), away, true, true)
	for _, agent := range lured {
		k := r.InvokedWorkers[slices.Index(r.agents, agent)]
		if k.Worker != nil && k.DepartsAt == 0 && r.Random.Intn(2) == 0 {
			k.Leave(2*time.Second + long)
			r.After(2*time.Second+long+4*time.Second, func() {
				if k.Worker == nil {
					k.Boot()
				}
			})
		}
	}
	r.After(long/2, func() { r.Network.SetPartition(r.addressesOf(lured), away, true, false) })
	return func() { r.Network.SetPartition(a, b, true, false) }
}
