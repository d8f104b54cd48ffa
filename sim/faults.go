// The table of faults. Each begins one and gives back how it ends; nil means
// that it could not be begun now.

package sim

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// Fault begins a trouble.
type Fault func(r *Run, long time.Duration) func()

func running(list []*world.Node) (ups []*world.Node) {
	for _, n := range list {
		if n.Machine != nil && !n.Frozen {
			ups = append(ups, n)
		}
	}
	return ups
}

// leader finds who leads, for faults that aim at it.
func (r *Run) leader() *world.Node {
	var best *world.Node
	var term types.Term
	for _, n := range running(r.controllers) {
		if h, ok := n.Machine.(*controller.Controller); ok {
			if s := h.Status(); s.RaftRole == "leader" && s.Term > term {
				best, term = n, s.Term
			}
		}
	}
	return best
}

func killFault(pick func(*Run) []*world.Node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := running(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := pickOne(r.Random, list)
		n.Kill()
		r.markAffected(n.Addr)
		return func() {
			if n.Machine == nil {
				n.Boot()
			}
		}
	}
}

func freezeFault(pick func(*Run) []*world.Node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := running(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := pickOne(r.Random, list)
		n.Freeze()
		r.markAffected(n.Addr)
		return n.Thaw
	}
}

func partitionFault(both bool, groups func(*Run) (a, b []types.Addr)) Fault {
	return func(r *Run, _ time.Duration) func() {
		a, b := groups(r)
		if len(a) == 0 || len(b) == 0 {
			return nil
		}
		r.Network.SetPartition(a, b, both, true)
		if len(a) > len(b) {
			r.markAffected(b...)
		} else {
			r.markAffected(a...)
		}
		return func() { r.Network.SetPartition(a, b, both, false) }
	}
}

// markAffected records whom a trouble touches: everybody, if that is one of the core.
func (r *Run) markAffected(list ...types.Addr) {
	for _, a := range list {
		if n := r.Nodes[a]; n != nil && n.Role == "controller" {
			return
		}
	}
	r.affected = append(r.affected, list...)
}

func (r *Run) allExcept(out ...types.Addr) (list []types.Addr) {
	drop := map[types.Addr]bool{}
	for _, a := range out {
		drop[a] = true
	}
	for _, a := range append(r.NodeOrder, r.Clients.address) {
		if !drop[a] {
			list = append(list, a)
		}
	}
	return list
}

func leaders(r *Run) []*world.Node {
	if n := r.leader(); n != nil {
		return []*world.Node{n}
	}
	return nil
}

func separatedFromAll(r *Run, n *world.Node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	return []types.Addr{n.Addr}, r.allExcept(n.Addr)
}

// separatedFromPeers is a controller and the other controllers only: it still reaches agents and gateways.
func separatedFromPeers(r *Run, n *world.Node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	for _, h := range r.controllers {
		if h != n {
			b = append(b, h.Addr)
		}
	}
	return []types.Addr{n.Addr}, b
}

func (r *Run) anyPollingWorker() *world.PollingNode { return pickOne(r.Random, r.PollingWorkers) }

// Faults is the table.
var Faults = map[string]Fault{
	"kill-leader":       killFault(leaders),
	"kill-controller":   killFault(func(r *Run) []*world.Node { return r.controllers }),
	"kill-gateway":      killFault(func(r *Run) []*world.Node { return r.gateways }),
	"kill-agent":        killFault(func(r *Run) []*world.Node { return r.agents }),
	"freeze-leader":     freezeFault(leaders),
	"freeze-controller": freezeFault(func(r *Run) []*world.Node { return r.controllers }),
	"freeze-gateway":    freezeFault(func(r *Run) []*world.Node { return r.gateways }),
	"freeze-agent":      freezeFault(func(r *Run) []*world.Node { return r.agents }),
	"cut-leader": partitionFault(true,
		func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, r.leader()) }),
	"cut-core": partitionFault(true,
		func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromPeers(r, r.leader()) }),
	"cut-core-in": partitionFault(false,
		func(r *Run) ([]types.Addr, []types.Addr) { a, b := separatedFromPeers(r, r.leader()); return b, a }),
	"cut-core-out": partitionFault(false,
		func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromPeers(r, r.leader()) }),
	"cut-controller": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r, pickOne(r.Random, r.controllers))
	}),
	"cut-agent": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r,
			pickOne(r.Random, r.agents))
	}),
	"cut-agent-in": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := separatedFromAll(r, pickOne(r.Random, r.agents))
		return b, a
	}),
	"cut-agent-out": partitionFault(false,
		func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, pickOne(r.Random, r.agents)) }),
	"cut-worker": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r,
			r.anyPollingWorker().Node)
	}),
	"cut-worker-in": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := separatedFromAll(r, r.anyPollingWorker().Node)
		return b, a
	}),
	"cut-worker-out": partitionFault(false,
		func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, r.anyPollingWorker().Node) }),
	"cut-zone": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		x := r.Clients.deployment.Size
		z := r.zones[x.Zone(r.Random.Intn(x.Zones))]
		return z, r.allExcept(z...)
	}),
	"kill-worker": func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		h.Kill()
		return func() {
			if h.Worker == nil {
				h.Boot()
			}
		}
	},
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.Random.Intn(len(r.PollingWorkers))
		r.PollingWorkers[i].Kill()
		r.agents[i].Kill()
		return func() {
			if r.PollingWorkers[i].Worker == nil {
				r.PollingWorkers[i].Boot()
			}
			if r.agents[i].Machine == nil {
				r.agents[i].Boot()
			}
		}
	},
	"freeze-worker": func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		h.Freeze()
		return h.Thaw
	},
	"freeze-machine": func(r *Run, _ time.Duration) func() {
		i := r.Random.Intn(len(r.PollingWorkers))
		r.PollingWorkers[i].Freeze()
		r.agents[i].Freeze()
		return func() {
			r.PollingWorkers[i].Thaw()
			r.agents[i].Thaw()
		}
	},
	"leave-worker": func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		h.SetLeaving(true, 0)
		return func() { h.SetLeaving(false, 0) }
	},
	"remove-worker": func(r *Run, long time.Duration) func() {
		h := r.anyPollingWorker()
		if h.Worker == nil || h.Worker.Leaving {
			return nil
		}
		h.SetLeaving(true, long)
		gen := h.Incarnation
		return func() {
			if h.Incarnation == gen && h.Worker.Leaving {
				r.Record(history.Event{
					Kind:    history.WorkerRemoved,
					Process: string(h.Worker.ID),
					Shard:   h.Spec.Shard,
					Text:    long.String(),
				})
				h.Kill()
				r.After(2*time.Second, func() {
					if h.Worker == nil {
						h.Boot()
					}
				})
			}
		}
	},
	"slow-worker":    degradeFault(func(m *history.WorkerSpec) { m.Slowdown = 5 }),
	"stall-worker":   degradeFault(func(m *history.WorkerSpec) { m.StallRate = 0.3 }),
	"failing-worker": degradeFault(func(m *history.WorkerSpec) { m.FailureRate = 0.5 }),
	"drain-rack": func(r *Run, _ time.Duration) func() {
		rack := fmt.Sprintf("racks/r%d", 1+r.Random.Intn(4))
		if r.drained[rack] {
			return nil
		}
		r.drained[rack] = true
		acked, over := false, false
		undo := func() {
			r.Clients.requestAsOperator(wire.VerbCancelDrain, rack, nil, 0, func() { delete(r.drained, rack) })
		}
		r.Clients.requestAsOperator(wire.VerbStartDrain, rack,
			wire.EncodeBody(config.Drain{WithinMillis: r.Random.Intn(3) * 1000}), 0, func() {
				if acked = true; over {
					undo()
				}
			})
		return func() { // only once it is known to be taken, so that the two can't overtake each other
			if over = true; acked {
				undo()
			}
		}
	},
	"slow-disk": func(r *Run, _ time.Duration) func() {
		d := pickOne(r.Random, r.controllers).Disk
		d.ExtraLatency = time.Duration(20+r.Random.Intn(200)) * time.Millisecond
		return func() { d.ExtraLatency = 0 }
	},
	"stall-disk": func(r *Run, long time.Duration) func() {
		d := pickOne(r.Random, r.controllers).Disk
		d.StalledUntil = r.Now() + int64(long)
		return func() {}
	},
	"jump-clock": func(r *Run, _ time.Duration) func() {
		n := r.Nodes[pickOne(r.Random, r.NodeOrder)]
		n.WallOffset = time.Duration(r.Random.Int63n(int64(4*time.Hour))) - 2*time.Hour
		return func() {}
	},
	"weather": func(r *Run, _ time.Duration) func() {
		r.Network.Quality = world.NetworkQuality{LossRate: 0.03, DuplicateRate: 0.05, DelayRate: 0.05}
		return func() {
			r.Network.Quality = usualQuality
		}
	},
	"lose-disk":       func(r *Run, _ time.Duration) func() { return r.loseAnyDisk(false) },
	"swap-controller": func(r *Run, _ time.Duration) func() { return r.loseAnyDisk(true) },
	"power-all": func(r *Run, _ time.Duration) func() {
		for _, h := range r.controllers {
			h.Kill()
		}
		return func() {
			for _, h := range r.controllers {
				if h.Machine == nil && !h.Stopping {
					h.Boot()
				}
			}
		}
	},
	"handover": func(r *Run, _ time.Duration) func() {
		n := r.leader()
		if n == nil {
			return nil
		}
		r.Shutdown(n)
		return func() {
			if n.Machine == nil {
				n.Boot()
			}
		}
	},
}

// degradeFault makes a worker do badly while it looks healthy.
func degradeFault(how func(*history.WorkerSpec)) Fault {
	return func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		if h.Worker == nil {
			return nil
		}
		w := h.Worker
		was := w.WorkerSpec
		how(&w.WorkerSpec)
		return func() { w.WorkerSpec = was }
	}
}

// allAreVoters tells whether all controllers vote, so that one disk may be lost: the others
// must be whole voters.
func (r *Run) allControllersVote() bool {
	for _, h := range r.controllers {
		if h.Machine == nil || h.Frozen {
			return false
		}
		if s := h.Machine.(*controller.Controller).Status(); s.RaftRole != "leader" && s.RaftRole != "follower" ||
			len(s.Members) != len(r.controllers) {
			return false
		}
	}
	return true
}

// loseAnyDisk wipes the disk of any controller.
func (r *Run) loseAnyDisk(swap bool) func() {
	if !r.allControllersVote() {
		return nil
	}
	return r.loseDiskOf(pickOne(r.Random, r.controllers), swap)
}

// loseDiskOf wipes a controller's disk; it comes back empty, at once, maybe elsewhere.
func (r *Run) loseDiskOf(n *world.Node, swap bool) func() {
	n.Kill()
	n.Disk.Wipe()
	if !swap {
		return func() {
			if n.Machine == nil {
				n.Boot()
			}
		}
	}
	n.Stopping, n.NewMachine = true, nil
	return r.addReplacement(n, "x").Boot
}

// addReplacement is a new machine in place of a controller's, at another address.
func (r *Run) addReplacement(n *world.Node, suffix types.Addr) *world.Node {
	fresh := r.World.AddController(n.Addr+suffix, n.Zone)
	r.controllers[slices.Index(r.controllers, n)] = fresh
	r.zones[n.Zone] = append(r.zones[n.Zone], fresh.Addr)
	return fresh
}

// Shutdown warns a node, as the platform does before it kills it.
func (r *Run) Shutdown(n *world.Node) {
	n.Stopping = true
	n.Deliver(func() { n.Step(wire.Event{Shutdown: true}) })
	gen := n.Incarnation
	r.After(5*time.Second, func() {
		if n.Incarnation == gen && n.Machine != nil {
			n.Kill()
		}
	})
}

// slowProcessor makes a node's processor so many times slower for a while.
func (r *Run) slowProcessor(n *world.Node, factor float64, duration time.Duration) {
	n.Slowness = factor
	r.Record(history.Event{
		Kind:     history.FaultStarted,
		Text:     "slow-processor for " + duration.String(),
		Affected: []types.Addr{n.Addr},
	})
	r.After(duration, func() { n.Slowness = 1 })
}
