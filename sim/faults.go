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
)

// Fault begins a trouble.
type Fault func(r *Run, long time.Duration) func()

func upNodes(list []*node) (ups []*node) {
	for _, n := range list {
		if n.m != nil && !n.frozen {
			ups = append(ups, n)
		}
	}
	return
}

// leader finds who leads, for faults that aim at it.
func (r *Run) leader() *node {
	var best *node
	var term types.Term
	for _, n := range upNodes(r.controllers) {
		if h, ok := n.m.(*controller.Controller); ok {
			if s := h.Status(); s.RaftRole == "leader" && s.Term > term {
				best, term = n, s.Term
			}
		}
	}
	return best
}

func killer(pick func(*Run) []*node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := upNodes(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := pickOne(r.random, list)
		n.kill()
		r.affects(n.addr)
		return func() {
			if n.m == nil {
				n.boot()
			}
		}
	}
}

func freezer(pick func(*Run) []*node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := upNodes(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := pickOne(r.random, list)
		n.freeze()
		r.affects(n.addr)
		return n.thaw
	}
}

func cutter(both bool, groups func(*Run) (a, b []types.Addr)) Fault {
	return func(r *Run, _ time.Duration) func() {
		a, b := groups(r)
		if len(a) == 0 || len(b) == 0 {
			return nil
		}
		r.Split(a, b, both, true)
		if len(a) > len(b) {
			r.affects(b...)
		} else {
			r.affects(a...)
		}
		return func() { r.Split(a, b, both, false) }
	}
}

// affects records whom a trouble touches: everybody, if that is one of the core.
func (r *Run) affects(list ...types.Addr) {
	for _, a := range list {
		if n := r.nodes[a]; n != nil && n.role == "controller" {
			return
		}
	}
	r.affected = append(r.affected, list...)
}

func (r *Run) others(out ...types.Addr) (list []types.Addr) {
	drop := map[types.Addr]bool{}
	for _, a := range out {
		drop[a] = true
	}
	for _, a := range append(r.order, r.Clients.addr) {
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

func isolated(r *Run, n *node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	return []types.Addr{n.addr}, r.others(n.addr)
}

// peers is a controller and the other controllers only: it still reaches agents and gateways.
func peers(r *Run, n *node) (a, b []types.Addr) {
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
	"kill-leader":       killer(leaders),
	"kill-controller":   killer(func(r *Run) []*node { return r.controllers }),
	"kill-gateway":      killer(func(r *Run) []*node { return r.gateways }),
	"kill-agent":        killer(func(r *Run) []*node { return r.agents }),
	"freeze-leader":     freezer(leaders),
	"freeze-controller": freezer(func(r *Run) []*node { return r.controllers }),
	"freeze-gateway":    freezer(func(r *Run) []*node { return r.gateways }),
	"freeze-agent":      freezer(func(r *Run) []*node { return r.agents }),
	"cut-leader":        cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return isolated(r, r.leader()) }),
	"cut-core":          cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return peers(r, r.leader()) }),
	"cut-core-in":       cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { a, b := peers(r, r.leader()); return b, a }),
	"cut-core-out":      cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return peers(r, r.leader()) }),
	"cut-controller":    cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return isolated(r, pickOne(r.random, r.controllers)) }),
	"cut-agent":         cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return isolated(r, pickOne(r.random, r.agents)) }),
	"cut-agent-in": cutter(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := isolated(r, pickOne(r.random, r.agents))
		return b, a
	}),
	"cut-agent-out":  cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return isolated(r, pickOne(r.random, r.agents)) }),
	"cut-worker":     cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return isolated(r, r.anyPollingWorker().node) }),
	"cut-worker-in":  cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { a, b := isolated(r, r.anyPollingWorker().node); return b, a }),
	"cut-worker-out": cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return isolated(r, r.anyPollingWorker().node) }),
	"cut-zone": cutter(true, func(r *Run) ([]types.Addr, []types.Addr) {
		x := r.Clients.deployment.size()
		z := r.zones[x.zone(r.random.Intn(x.Zones))]
		return z, r.others(z...)
	}),
	"kill-worker": func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		h.kill()
		return func() {
			if h.w == nil {
				h.boot()
			}
		}
	},
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.random.Intn(len(r.pollingWorkers))
		r.pollingWorkers[i].kill()
		r.agents[i].kill()
		return func() {
			if r.pollingWorkers[i].w == nil {
				r.pollingWorkers[i].boot()
			}
			if r.agents[i].m == nil {
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
		h.leave(true, 0)
		return func() { h.leave(false, 0) }
	},
	"remove-worker": func(r *Run, long time.Duration) func() {
		h := r.anyPollingWorker()
		if h.w == nil || h.w.Leave {
			return nil
		}
		h.leave(true, long)
		gen := h.gen
		return func() {
			if h.gen == gen && h.w.Leave {
				r.record(HistoryEvent{What: Removed, Who: string(h.w.ID), Shard: h.make.Shard, Text: long.String()})
				h.kill()
				r.at(2*time.Second, func() {
					if h.w == nil {
						h.boot()
					}
				})
			}
		}
	},
	"slow-worker":    degraded(func(m *WorkerSpec) { m.Slow = 5 }),
	"stall-worker":   degraded(func(m *WorkerSpec) { m.Stall = 0.3 }),
	"failing-worker": degraded(func(m *WorkerSpec) { m.Fails = 0.5 }),
	"drain-rack": func(r *Run, long time.Duration) func() {
		rack := fmt.Sprintf("racks/r%d", 1+r.random.Intn(4))
		if r.drains[rack] {
			return nil
		}
		r.drains[rack] = true
		acked, over := false, false
		undo := func() {
			r.Clients.order("drain.drop", rack, nil, 0, func() { delete(r.drains, rack) })
		}
		r.Clients.order("drain.put", rack, wire.EncodeBody(config.Drain{WithinMillis: r.random.Intn(3) * 1000}), 0, func() {
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
		d.slow = time.Duration(20+r.random.Intn(200)) * time.Millisecond
		return func() { d.slow = 0 }
	},
	"stall-disk": func(r *Run, long time.Duration) func() {
		d := pickOne(r.random, r.controllers).disk
		d.stall = r.now + int64(long)
		return func() {}
	},
	"jump-clock": func(r *Run, _ time.Duration) func() {
		n := r.nodes[pickOne(r.random, r.order)]
		n.wall = time.Duration(r.random.Int63n(int64(4*time.Hour))) - 2*time.Hour
		return func() {}
	},
	"weather": func(r *Run, _ time.Duration) func() {
		r.network = NetworkQuality{Loss: 0.03, Twice: 0.05, Late: 0.05}
		return func() { r.network = NetworkQuality{Loss: 0.001, Twice: 0.001, Late: 0.001} }
	},
	"lose-disk":       func(r *Run, _ time.Duration) func() { return r.lose(false) },
	"swap-controller": func(r *Run, _ time.Duration) func() { return r.lose(true) },
	"power-all": func(r *Run, _ time.Duration) func() {
		for _, h := range r.controllers {
			h.kill()
		}
		return func() {
			for _, h := range r.controllers {
				if h.m == nil && !h.closes {
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
		r.Close(n)
		return func() {
			if n.m == nil {
				n.boot()
			}
		}
	},
}

// degraded makes a worker do badly while it looks healthy.
func degraded(how func(*WorkerSpec)) Fault {
	return func(r *Run, _ time.Duration) func() {
		h := r.anyPollingWorker()
		if h.w == nil {
			return nil
		}
		w := h.w
		was := w.WorkerSpec
		how(&w.WorkerSpec)
		return func() { w.WorkerSpec = was }
	}
}

// allAreVoters tells whether all controllers vote, so that one disk may be lost: the others
// must be whole voters.
func (r *Run) allVote() bool {
	for _, h := range r.controllers {
		if h.m == nil || h.frozen {
			return false
		}
		if s := h.m.(*controller.Controller).Status(); s.RaftRole != "leader" && s.RaftRole != "follower" || len(s.Members) != len(r.controllers) {
			return false
		}
	}
	return true
}

// lose wipes the disk of any controller.
func (r *Run) lose(swap bool) func() {
	if !r.allVote() {
		return nil
	}
	r.spare++
	return r.loseDiskOf(pickOne(r.random, r.controllers), swap)
}

// loseDiskOf wipes a controller's disk; it comes back empty, at once, maybe elsewhere.
func (r *Run) loseDiskOf(n *node, swap bool) func() {
	n.kill()
	n.disk.wipe()
	if !swap {
		return func() {
			if n.m == nil {
				n.boot()
			}
		}
	}
	n.closes, n.make = true, nil
	return r.successor(n, "x").boot
}

// successor is a new machine in place of a controller's, at another address.
func (r *Run) successor(n *node, suffix types.Addr) *node {
	fresh := r.World.controller(n.addr+suffix, n.zone)
	r.controllers[slices.Index(r.controllers, n)] = fresh
	r.zones[n.zone] = append(r.zones[n.zone], fresh.addr)
	return fresh
}

// Close warns a node, as the platform does before it kills it.
func (r *Run) Close(n *node) {
	n.closes = true
	n.deliver(func() { n.step(wire.Event{Shutdown: true}) })
	gen := n.gen
	r.at(5*time.Second, func() {
		if n.gen == gen && n.m != nil {
			n.kill()
		}
	})
}
