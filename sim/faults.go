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
)

// Fault begins a trouble.
type Fault func(r *Run, long time.Duration) func()

func running(list []*node) (ups []*node) {
	for _, n := range list {
		if n.machine != nil && !n.frozen {
			ups = append(ups, n)
		}
	}
	return
}

// leader finds who leads, for faults that aim at it.
func (r *Run) leader() *node {
	var best *node
	var term types.Term
	for _, n := range running(r.controllers) {
		if h, ok := n.machine.(*controller.Controller); ok {
			if s := h.Status(); s.RaftRole == "leader" && s.Term > term {
				best, term = n, s.Term
			}
		}
	}
	return best
}

func killFault(pick func(*Run) []*node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := running(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := pickOne(r.random, list)
		n.kill()
		r.markAffected(n.addr)
		return func() {
			if n.machine == nil {
				n.boot()
			}
		}
	}
}

func freezeFault(pick func(*Run) []*node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := running(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := pickOne(r.random, list)
		n.freeze()
		r.markAffected(n.addr)
		return n.thaw
	}
}

func partitionFault(both bool, groups func(*Run) (a, b []types.Addr)) Fault {
	return func(r *Run, _ time.Duration) func() {
		a, b := groups(r)
		if len(a) == 0 || len(b) == 0 {
			return nil
		}
		r.SetPartition(a, b, both, true)
		if len(a) > len(b) {
			r.markAffected(b...)
		} else {
			r.markAffected(a...)
		}
		return func() { r.SetPartition(a, b, both, false) }
	}
}

// markAffected records whom a trouble touches: everybody, if that is one of the core.
func (r *Run) markAffected(list ...types.Addr) {
	for _, a := range list {
		if n := r.nodes[a]; n != nil && n.role == "controller" {
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
	for _, a := range append(r.nodeOrder, r.Clients.address) {
		if !drop[a] {
			list = append(list, a)
		}
	}
	return
}

func leaders(r *Run) []*node {
	if n := r.leader(); n != nil {
		return []*node{n}
	}
	return nil
}

func separatedFromAll(r *Run, n *node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	return []types.Addr{n.addr}, r.allExcept(n.addr)
}

// separatedFromPeers is a controller and the other controllers only: it still reaches agents and gateways.
func separatedFromPeers(r *Run, n *node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	for _, h := range r.controllers {
		if h != n {
			b = append(b, h.addr)
		}
	}
	return []types.Addr{n.addr}, b
}

func (r *Run) anyPollingWorker() *pollingNode { return pickOne(r.random, r.pollingWorkers) }

// Faults is the table.
var Faults = map[string]Fault{
	"kill-leader":       killFault(leaders),
	"kill-controller":   killFault(func(r *Run) []*node { return r.controllers }),
	"kill-gateway":      killFault(func(r *Run) []*node { return r.gateways }),
	"kill-agent":        killFault(func(r *Run) []*node { return r.agents }),
	"freeze-leader":     freezeFault(leaders),
	"freeze-controller": freezeFault(func(r *Run) []*node { return r.controllers }),
	"freeze-gateway":    freezeFault(func(r *Run) []*node { return r.gateways }),
	"freeze-agent":      freezeFault(func(r *Run) []*node { return r.agents }),
	"cut-leader":        partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, r.leader()) }),
	"cut-core":          partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromPeers(r, r.leader()) }),
	"cut-core-in":       partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) { a, b := separatedFromPeers(r, r.leader()); return b, a }),
	"cut-core-out":      partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromPeers(r, r.leader()) }),
	"cut-controller": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r, pickOne(r.random, r.controllers))
	}),
	"cut-agent": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, pickOne(r.random, r.agents)) }),
	"cut-agent-in": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := separatedFromAll(r, pickOne(r.random, r.agents))
		return b, a
	}),
	"cut-agent-out": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, pickOne(r.random, r.agents)) }),
	"cut-worker":    partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, r.anyPollingWorker().node) }),
	"cut-worker-in": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := separatedFromAll(r, r.anyPollingWorker().node)
		return b, a
	}),
	"cut-worker-out": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) { return separatedFromAll(r, r.anyPollingWorker().node) }),
	"cut-zone": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		x := r.Clients.deployment.Size
		z := r.zones[x.Zone(r.random.Intn(x.Zones))]
		return z, r.allExcept(z...)
	}),
	"kill-worker": func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		h.kill()
		return func() {
			if h.worker == nil {
				h.boot()
			}
		}
	},
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.random.Intn(len(r.pollingWorkers))
		r.pollingWorkers[i].kill()
		r.agents[i].kill()
		return func() {
			if r.pollingWorkers[i].worker == nil {
				r.pollingWorkers[i].boot()
			}
			if r.agents[i].machine == nil {
				r.agents[i].boot()
			}
		}
	},
	"freeze-worker": func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		h.freeze()
		return h.thaw
	},
	"freeze-machine": func(r *Run, _ time.Duration) func() {
		i := r.random.Intn(len(r.pollingWorkers))
		r.pollingWorkers[i].freeze()
		r.agents[i].freeze()
		return func() {
			r.pollingWorkers[i].thaw()
			r.agents[i].thaw()
		}
	},
	"leave-worker": func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		h.setLeaving(true, 0)
		return func() { h.setLeaving(false, 0) }
	},
	"remove-worker": func(r *Run, long time.Duration) func() {
		h := r.anyPollingWorker()
		if h.worker == nil || h.worker.Leaving {
			return nil
		}
		h.setLeaving(true, long)
		gen := h.incarnation
		return func() {
			if h.incarnation == gen && h.worker.Leaving {
				r.record(history.Event{Kind: history.WorkerRemoved, Process: string(h.worker.ID), Shard: h.spec.Shard, Text: long.String()})
				h.kill()
				r.after(2*time.Second, func() {
					if h.worker == nil {
						h.boot()
					}
				})
			}
		}
	},
	"slow-worker":    degradeFault(func(m *history.WorkerSpec) { m.Slowdown = 5 }),
	"stall-worker":   degradeFault(func(m *history.WorkerSpec) { m.StallRate = 0.3 }),
	"failing-worker": degradeFault(func(m *history.WorkerSpec) { m.FailureRate = 0.5 }),
	"drain-rack": func(r *Run, long time.Duration) func() {
		rack := fmt.Sprintf("racks/r%d", 1+r.random.Intn(4))
		if r.drained[rack] {
			return nil
		}
		r.drained[rack] = true
		acked, over := false, false
		undo := func() {
			r.Clients.requestAsOperator(wire.VerbCancelDrain, rack, nil, 0, func() { delete(r.drained, rack) })
		}
		r.Clients.requestAsOperator(wire.VerbStartDrain, rack, wire.EncodeBody(config.Drain{WithinMillis: r.random.Intn(3) * 1000}), 0, func() {
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
		d := pickOne(r.random, r.controllers).disk
		d.extraLatency = time.Duration(20+r.random.Intn(200)) * time.Millisecond
		return func() { d.extraLatency = 0 }
	},
	"stall-disk": func(r *Run, long time.Duration) func() {
		d := pickOne(r.random, r.controllers).disk
		d.stalledUntil = r.now + int64(long)
		return func() {}
	},
	"jump-clock": func(r *Run, _ time.Duration) func() {
		n := r.nodes[pickOne(r.random, r.nodeOrder)]
		n.wallOffset = time.Duration(r.random.Int63n(int64(4*time.Hour))) - 2*time.Hour
		return func() {}
	},
	"weather": func(r *Run, _ time.Duration) func() {
		r.network = NetworkQuality{LossRate: 0.03, DuplicateRate: 0.05, DelayRate: 0.05}
		return func() { r.network = NetworkQuality{LossRate: 0.001, DuplicateRate: 0.001, DelayRate: 0.001} }
	},
	"lose-disk":       func(r *Run, _ time.Duration) func() { return r.loseAnyDisk(false) },
	"swap-controller": func(r *Run, _ time.Duration) func() { return r.loseAnyDisk(true) },
	"power-all": func(r *Run, _ time.Duration) func() {
		for _, h := range r.controllers {
			h.kill()
		}
		return func() {
			for _, h := range r.controllers {
				if h.machine == nil && !h.stopping {
					h.boot()
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
			if n.machine == nil {
				n.boot()
			}
		}
	},
}

// degradeFault makes a worker do badly while it looks healthy.
func degradeFault(how func(*history.WorkerSpec)) Fault {
	return func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		if h.worker == nil {
			return nil
		}
		w := h.worker
		was := w.WorkerSpec
		how(&w.WorkerSpec)
		return func() { w.WorkerSpec = was }
	}
}

// allAreVoters tells whether all controllers vote, so that one disk may be lost: the others
// must be whole voters.
func (r *Run) allControllersVote() bool {
	for _, h := range r.controllers {
		if h.machine == nil || h.frozen {
			return false
		}
		if s := h.machine.(*controller.Controller).Status(); s.RaftRole != "leader" && s.RaftRole != "follower" || len(s.Members) != len(r.controllers) {
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
	return r.loseDiskOf(pickOne(r.random, r.controllers), swap)
}

// loseDiskOf wipes a controller's disk; it comes back empty, at once, maybe elsewhere.
func (r *Run) loseDiskOf(n *node, swap bool) func() {
	n.kill()
	n.disk.wipe()
	if !swap {
		return func() {
			if n.machine == nil {
				n.boot()
			}
		}
	}
	n.stopping, n.newMachine = true, nil
	return r.addReplacement(n, "x").boot
}

// addReplacement is a new machine in place of a controller's, at another address.
func (r *Run) addReplacement(n *node, suffix types.Addr) *node {
	fresh := r.World.addController(n.addr+suffix, n.zone)
	r.controllers[slices.Index(r.controllers, n)] = fresh
	r.zones[n.zone] = append(r.zones[n.zone], fresh.addr)
	return fresh
}

// Shutdown warns a node, as the platform does before it kills it.
func (r *Run) Shutdown(n *node) {
	n.stopping = true
	n.deliver(func() { n.step(wire.Event{Shutdown: true}) })
	gen := n.incarnation
	r.after(5*time.Second, func() {
		if n.incarnation == gen && n.machine != nil {
			n.kill()
		}
	})
}
