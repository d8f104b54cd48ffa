// Faults of workers that are invoked, and those of all deployments that take another
// form there.
package sim

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// anyInvokedWorker is a worker that is up, or nil.
func (r *Run) anyInvokedWorker() *invokedNode {
	k := pickOne(r.random, r.invokedWorkers)
	if k.w == nil {
		return nil
	}
	return k
}

// onWorker has a fault of one worker begin and end.
func onWorker(begin, end func(r *Run, k *invokedNode)) Fault {
	return func(r *Run, _ time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil {
			return nil
		}
		r.affects(k.node.addr)
		gen := k.gen
		begin(r, k)
		return func() {
			if k.gen == gen && k.w != nil {
				end(r, k)
			}
		}
	}
}

// crash ends a worker's process; it returns, or never does.
func crash(refuses, never bool) Fault {
	return func(r *Run, _ time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil {
			return nil
		}
		r.affects(k.node.addr)
		k.kill(refuses)
		return func() {
			if k.w == nil && !never {
				k.boot()
			}
		}
	}
}

// departing has a worker leave within some time, another come in its place later.
func departing(notice func(*Run, time.Duration) time.Duration) Fault {
	return func(r *Run, long time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil || k.goes != 0 {
			return nil
		}
		r.affects(k.node.addr)
		k.leave(notice(r, long))
		return func() {
			r.at(4*time.Second, func() {
				if k.w == nil {
					k.boot()
				}
			})
		}
	}
}

// InvokedFaults is the table.
var InvokedFaults = map[string]Fault{
	"crash-silent":  crash(false, false),
	"crash-refuse":  crash(true, false),
	"crash-forever": crash(false, true),
	"sick-worker":   onWorker(func(r *Run, k *invokedNode) { k.w.Sick = true }, func(_ *Run, k *invokedNode) { k.w.Sick = false }),
	"still-worker":  onWorker(func(r *Run, k *invokedNode) { k.w.Still = true }, func(_ *Run, k *invokedNode) { k.w.Still = false }),
	"hang-worker":   onWorker(func(r *Run, k *invokedNode) { k.hangs = true }, func(_ *Run, k *invokedNode) { k.hangs = false }),
	"late-beats":    onWorker(func(r *Run, k *invokedNode) { k.lag = 0.5 }, func(_ *Run, k *invokedNode) { k.lag = 0 }),
	"late-orders": func(r *Run, _ time.Duration) func() {
		for _, k := range r.invokedWorkers {
			k.lates = 0.055
			r.affects(k.node.addr)
		}
		return func() {
			for _, k := range r.invokedWorkers {
				k.lates = 0
			}
		}
	},
	"late-worker":   onWorker(func(r *Run, k *invokedNode) { k.lates = 0.4 }, func(_ *Run, k *invokedNode) { k.lates = 0 }),
	"notice-worker": departing(func(_ *Run, long time.Duration) time.Duration { return 2*time.Second + long }),
	"spot-worker": departing(func(r *Run, _ time.Duration) time.Duration {
		return time.Duration(1+r.random.Intn(2000)) * time.Millisecond
	}),

	"kill-worker":    crash(true, false),
	"slow-worker":    onWorker(func(_ *Run, k *invokedNode) { k.w.Slow = 6.5 }, func(_ *Run, k *invokedNode) { k.w.Slow = max(1, k.make.Slow) }),
	"failing-worker": onWorker(func(_ *Run, k *invokedNode) { k.w.Fails = 0.4 }, func(_ *Run, k *invokedNode) { k.w.Fails = k.make.Fails }),
	"cut-worker": cutter(true, func(r *Run) ([]types.Addr, []types.Addr) {
		return isolated(r, pickOne(r.random, r.invokedWorkers).node)
	}),
	"cut-worker-in": cutter(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := isolated(r, pickOne(r.random, r.invokedWorkers).node)
		return b, a
	}),
	"cut-worker-out": cutter(false, func(r *Run) ([]types.Addr, []types.Addr) {
		return isolated(r, pickOne(r.random, r.invokedWorkers).node)
	}),
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.random.Intn(len(r.invokedWorkers))
		k, n := r.invokedWorkers[i], r.agents[i]
		r.affects(k.node.addr, n.addr)
		k.kill(false)
		n.kill()
		return func() {
			if k.w == nil {
				k.boot()
			}
			if n.m == nil {
				n.boot()
			}
		}
	},
	"restart-agent": func(r *Run, long time.Duration) func() {
		n := pickOne(r.random, r.agents)
		if n.m == nil || n.frozen {
			return nil
		}
		r.affects(n.addr)
		again := func() {
			n.kill()
			r.at(time.Duration(50+r.random.Intn(800))*time.Millisecond, func() {
				if n.m == nil {
					n.boot()
				}
			})
		}
		again()
		r.at(long/2, again)
		return func() {}
	},
	"drain-worker": func(r *Run, long time.Duration) func() {
		name := "workers/" + string(pickOne(r.random, r.invokedWorkers).make.Shard)
		if r.drains[name] {
			return nil
		}
		r.drains[name], r.affected = true, []types.Addr{}
		acked, over := false, false
		undo := func() {
			r.Clients.order("drain.drop", name, nil, 0, func() { delete(r.drains, name) })
		}
		r.Clients.order("drain.put", name, wire.EncodeBody(config.Drain{WithinMillis: r.random.Intn(3) * 1000}), 0, func() {
			if acked = true; over {
				undo()
			}
		})
		return func() {
			if over = true; acked {
				undo()
			}
		}
	},
}

// only in deployments whose workers call: what an invoked worker can't suffer.
var pollOnly = map[string]bool{"freeze-worker": true, "freeze-machine": true, "leave-worker": true, "remove-worker": true, "stall-worker": true}

// FaultsOf lists the faults that a deployment knows.
func FaultsOf(deployment string) (list []string) {
	called := Deployments[deployment].WorkerRules != nil
	for _, n := range FaultNames() {
		if !called || !pollOnly[n] {
			list = append(list, n)
		}
	}
	for n := range ControlFaults {
		list = append(list, n)
	}
	for n := range InvokedFaults {
		if called && Faults[n] == nil && ControlFaults[n] == nil {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return
}
