// Faults of workers that are invoked, and those of all deployments that take another
// form there.

package sim

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/deployment"
	"coppercourse/sim/world"
)

// anyInvokedWorker is a worker that is up, or nil.
func (r *Run) anyInvokedWorker() *world.InvokedNode {
	k := pickOne(r.Random, r.InvokedWorkers)
	if k.Worker == nil {
		return nil
	}
	return k
}

// workerFault has a fault of one worker begin and end.
func workerFault(begin, end func(r *Run, k *world.InvokedNode)) Fault {
	return func(r *Run, _ time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil {
			return nil
		}
		r.markAffected(k.Node.Addr)
		gen := k.Incarnation
		begin(r, k)
		return func() {
			if k.Incarnation == gen && k.Worker != nil {
				end(r, k)
			}
		}
	}
}

// crashFault ends a worker's process; it returns, or never does.
func crashFault(refuses, never bool) Fault {
	return func(r *Run, _ time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil {
			return nil
		}
		r.markAffected(k.Node.Addr)
		k.Kill(refuses)
		return func() {
			if k.Worker == nil && !never {
				k.Boot()
			}
		}
	}
}

// departureFault has a worker leave within some time, another come in its place later.
func departureFault(notice func(*Run, time.Duration) time.Duration) Fault {
	return func(r *Run, long time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil || k.DepartsAt != 0 {
			return nil
		}
		r.markAffected(k.Node.Addr)
		k.Leave(notice(r, long))
		return func() {
			r.After(4*time.Second, func() {
				if k.Worker == nil {
					k.Boot()
				}
			})
		}
	}
}

// InvokedFaults is the table.
var InvokedFaults = map[string]Fault{
	"crash-silent":  crashFault(false, false),
	"crash-refuse":  crashFault(true, false),
	"crash-forever": crashFault(false, true),
	"sick-worker": workerFault(func(_ *Run, k *world.InvokedNode) { k.Worker.Unhealthy = true },
		func(_ *Run, k *world.InvokedNode) { k.Worker.Unhealthy = false }),
	"still-worker": workerFault(func(_ *Run, k *world.InvokedNode) { k.Worker.Stalled = true },
		func(_ *Run, k *world.InvokedNode) { k.Worker.Stalled = false }),
	"hang-worker": workerFault(func(_ *Run, k *world.InvokedNode) { k.Hangs = true },
		func(_ *Run, k *world.InvokedNode) { k.Hangs = false }),
	"late-beats": workerFault(func(_ *Run, k *world.InvokedNode) { k.LateHeartbeatRate = 0.5 },
		func(_ *Run, k *world.InvokedNode) { k.LateHeartbeatRate = 0 }),
	"late-orders": func(r *Run, _ time.Duration) func() {
		for _, k := range r.InvokedWorkers {
			k.LateCallRate = 0.055
			r.markAffected(k.Node.Addr)
		}
		return func() {
			for _, k := range r.InvokedWorkers {
				k.LateCallRate = 0
			}
		}
	},
	"late-worker": workerFault(func(_ *Run, k *world.InvokedNode) { k.LateCallRate = 0.4 },
		func(_ *Run, k *world.InvokedNode) { k.LateCallRate = 0 }),
	"notice-worker": departureFault(func(_ *Run, long time.Duration) time.Duration { return 2*time.Second + long }),
	"spot-worker": departureFault(func(r *Run, _ time.Duration) time.Duration {
		return time.Duration(1+r.Random.Intn(2000)) * time.Millisecond
	}),

	"kill-worker": crashFault(true, false),
	"slow-worker": workerFault(func(_ *Run, k *world.InvokedNode) { k.Worker.Slowdown = 6.5 },
		func(_ *Run, k *world.InvokedNode) { k.Worker.Slowdown = max(1, k.Spec.Slowdown) }),
	"failing-worker": workerFault(func(_ *Run, k *world.InvokedNode) { k.Worker.FailureRate = 0.4 },
		func(_ *Run, k *world.InvokedNode) { k.Worker.FailureRate = k.Spec.FailureRate }),
	"cut-worker": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r, pickOne(r.Random, r.InvokedWorkers).Node)
	}),
	"cut-worker-in": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := separatedFromAll(r, pickOne(r.Random, r.InvokedWorkers).Node)
		return b, a
	}),
	"cut-worker-out": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r, pickOne(r.Random, r.InvokedWorkers).Node)
	}),
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.Random.Intn(len(r.InvokedWorkers))
		k, n := r.InvokedWorkers[i], r.agents[i]
		r.markAffected(k.Node.Addr, n.Addr)
		k.Kill(false)
		n.Kill()
		return func() {
			if k.Worker == nil {
				k.Boot()
			}
			if n.Machine == nil {
				n.Boot()
			}
		}
	},
	"restart-agent": func(r *Run, long time.Duration) func() {
		n := pickOne(r.Random, r.agents)
		if n.Machine == nil || n.Frozen {
			return nil
		}
		r.markAffected(n.Addr)
		again := func() {
			n.Kill()
			r.After(time.Duration(50+r.Random.Intn(800))*time.Millisecond, func() {
				if n.Machine == nil {
					n.Boot()
				}
			})
		}
		again()
		r.After(long/2, again)
		return func() {}
	},
	"drain-worker": func(r *Run, _ time.Duration) func() {
		name := "workers/" + string(pickOne(r.Random, r.InvokedWorkers).Spec.Shard)
		if r.drained[name] {
			return nil
		}
		r.drained[name], r.affected = true, []types.Addr{}
		acked, over := false, false
		undo := func() {
			r.Clients.requestAsOperator(wire.VerbCancelDrain, name, nil, 0, func() { delete(r.drained, name) })
		}
		r.Clients.requestAsOperator(wire.VerbStartDrain, name,
			wire.EncodeBody(config.Drain{WithinMillis: r.Random.Intn(3) * 1000}), 0, func() {
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
var pollOnly = map[string]bool{
	"freeze-worker":  true,
	"freeze-machine": true,
	"leave-worker":   true,
	"remove-worker":  true,
	"stall-worker":   true,
}

// FaultsOf lists the faults that a deployment knows.
func FaultsOf(name string) (list []string) {
	called := deployment.Named(name).Invoked()
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
	return list
}
