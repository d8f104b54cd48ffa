// The table of faults. Each begins one and gives back how it ends; nil means
// that it could not be begun now.
package sim

import (
	"fmt"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Fault begins a trouble.
type Fault func(r *Run, long time.Duration) func()

func up(list []*node) (ups []*node) {
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
	for _, n := range up(r.controllers) {
		if h, ok := n.m.(*controller.Controller); ok {
			if s := h.Status(); s.Part == "leader" && s.Term > term {
				best, term = n, s.Term
			}
		}
	}
	return best
}

func killer(pick func(*Run) []*node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := up(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := one(r.rnd, list)
		n.kill()
		r.touch(n.addr)
		return func() {
			if n.m == nil {
				n.boot()
			}
		}
	}
}

func freezer(pick func(*Run) []*node) Fault {
	return func(r *Run, _ time.Duration) func() {
		list := up(pick(r))
		if len(list) == 0 {
			return nil
		}
		n := one(r.rnd, list)
		n.freeze()
		r.touch(n.addr)
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
			r.touch(b...)
		} else {
			r.touch(a...)
		}
		return func() { r.Split(a, b, both, false) }
	}
}

// touch says whom a trouble touches: everybody, if that is one of the core.
func (r *Run) touch(list ...types.Addr) {
	for _, a := range list {
		if n := r.nodes[a]; n != nil && n.role == "controller" {
			return
		}
	}
	r.hits = append(r.hits, list...)
}

func (r *Run) rest(out ...types.Addr) (list []types.Addr) {
	drop := map[types.Addr]bool{}
	for _, a := range out {
		drop[a] = true
	}
	for _, a := range append(r.order, r.Crew.me) {
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

func apart(r *Run, n *node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	return []types.Addr{n.addr}, r.rest(n.addr)
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

func (r *Run) hand() *hand { return one(r.rnd, r.hands) }

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
	"cut-leader":        cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, r.leader()) }),
	"cut-core":          cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return peers(r, r.leader()) }),
	"cut-core-in":       cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { a, b := peers(r, r.leader()); return b, a }),
	"cut-core-out":      cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return peers(r, r.leader()) }),
	"cut-controller":    cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, one(r.rnd, r.controllers)) }),
	"cut-agent":         cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, one(r.rnd, r.agents)) }),
	"cut-agent-in":      cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { a, b := apart(r, one(r.rnd, r.agents)); return b, a }),
	"cut-agent-out":     cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, one(r.rnd, r.agents)) }),
	"cut-worker":        cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, r.hand().node) }),
	"cut-worker-in":     cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { a, b := apart(r, r.hand().node); return b, a }),
	"cut-worker-out":    cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, r.hand().node) }),
	"cut-zone": cutter(true, func(r *Run) ([]types.Addr, []types.Addr) {
		x := r.Crew.town.size()
		z := r.zones[x.zone(r.rnd.Intn(x.Zones))]
		return z, r.rest(z...)
	}),
	"kill-worker": func(r *Run, _ time.Duration) func() {
		h := r.hand()
		h.kill()
		return func() {
			if h.w == nil {
				h.boot()
			}
		}
	},
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.rnd.Intn(len(r.hands))
		r.hands[i].kill()
		r.agents[i].kill()
		return func() {
			if r.hands[i].w == nil {
				r.hands[i].boot()
			}
			if r.agents[i].m == nil {
				r.agents[i].boot()
			}
		}
	},
	"freeze-worker": func(r *Run, _ time.Duration) func() {
		h := r.hand()
		h.freeze()
		return h.thaw
	},
	"freeze-machine": func(r *Run, _ time.Duration) func() {
		i := r.rnd.Intn(len(r.hands))
		r.hands[i].freeze()
		r.agents[i].freeze()
		return func() {
			r.hands[i].thaw()
			r.agents[i].thaw()
		}
	},
	"leave-worker": func(r *Run, _ time.Duration) func() {
		h := r.hand()
		h.leave(true, 0)
		return func() { h.leave(false, 0) }
	},
	"remove-worker": func(r *Run, long time.Duration) func() {
		h := r.hand()
		if h.w == nil || h.w.Leave {
			return nil
		}
		h.leave(true, long)
		gen := h.gen
		return func() {
			if h.gen == gen && h.w.Leave {
				r.tell(Happening{What: Removed, Who: string(h.w.ID), Shard: h.make.Shard, Text: long.String()})
				h.kill()
				r.at(2*time.Second, func() {
					if h.w == nil {
						h.boot()
					}
				})
			}
		}
	},
	"slow-worker":    sick(func(m *Make) { m.Slow = 5 }),
	"stall-worker":   sick(func(m *Make) { m.Stall = 0.3 }),
	"failing-worker": sick(func(m *Make) { m.Fails = 0.5 }),
	"drain-rack": func(r *Run, long time.Duration) func() {
		rack := fmt.Sprintf("racks/r%d", 1+r.rnd.Intn(4))
		if r.drains[rack] {
			return nil
		}
		r.drains[rack] = true
		acked, over := false, false
		undo := func() {
			r.Crew.order("drain.drop", rack, nil, 0, func() { delete(r.drains, rack) })
		}
		r.Crew.order("drain.put", rack, wire.Body(config.Drain{Within: r.rnd.Intn(3) * 1000}), 0, func() {
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
		d := one(r.rnd, r.controllers).disk
		d.slow = time.Duration(20+r.rnd.Intn(200)) * time.Millisecond
		return func() { d.slow = 0 }
	},
	"stall-disk": func(r *Run, long time.Duration) func() {
		d := one(r.rnd, r.controllers).disk
		d.stall = r.now + int64(long)
		return func() {}
	},
	"jump-clock": func(r *Run, _ time.Duration) func() {
		n := r.nodes[one(r.rnd, r.order)]
		n.wall = time.Duration(r.rnd.Int63n(int64(4*time.Hour))) - 2*time.Hour
		return func() {}
	},
	"weather": func(r *Run, _ time.Duration) func() {
		r.sky = Weather{Loss: 0.03, Twice: 0.05, Late: 0.05}
		return func() { r.sky = Weather{Loss: 0.001, Twice: 0.001, Late: 0.001} }
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

// sick makes a worker do badly while it looks healthy.
func sick(how func(*Make)) Fault {
	return func(r *Run, _ time.Duration) func() {
		h := r.hand()
		if h.w == nil {
			return nil
		}
		w := h.w
		was := w.Make
		how(&w.Make)
		return func() { w.Make = was }
	}
}

// lose wipes a controller's disk; it comes back empty, at once, maybe elsewhere. Only
// one disk may be lost at a time: the others must be whole voters.
func (r *Run) lose(swap bool) func() {
	for _, h := range r.controllers {
		if h.m == nil || h.frozen {
			return nil
		}
		if s := h.m.(*controller.Controller).Status(); s.Part != "leader" && s.Part != "follower" || len(s.Roll) != len(r.controllers) {
			return nil
		}
	}
	r.spare++
	i := r.rnd.Intn(len(r.controllers))
	n := r.controllers[i]
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
	fresh := r.World.controller(types.Addr(string(n.addr)+"x"), n.zone)
	r.controllers[i] = fresh
	r.zones[n.zone] = append(r.zones[n.zone], fresh.addr)
	return fresh.boot
}

// Close warns a node, as the platform does before it kills it.
func (r *Run) Close(n *node) {
	n.closes = true
	n.deliver(func() { n.step(wire.Event{Close: true}) })
	gen := n.gen
	r.at(5*time.Second, func() {
		if n.gen == gen && n.m != nil {
			n.kill()
		}
	})
}
