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
)

// anyInvokedWorker is a worker that is up, or nil.
func (r *Run) anyInvokedWorker() *invokedNode {
	k := pickOne(r.random, r.invokedWorkers)
	if k.worker == nil {
		return nil
	}
	return k
}

// workerFault has a fault of one worker begin and end.
func workerFault(begin, end func(r *Run, k *invokedNode)) Fault {
	return func(r *Run, _ time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil {
			return nil
		}
		r.markAffected(k.node.addr)
		gen := k.incarnation
		begin(r, k)
		return func() {
			if k.incarnation == gen && k.worker != nil {
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
		r.markAffected(k.node.addr)
		k.kill(refuses)
		return func() {
			if k.worker == nil && !never {
				k.boot()
			}
		}
	}
}

// departureFault has a worker leave within some time, another come in its place later.
func departureFault(notice func(*Run, time.Duration) time.Duration) Fault {
	return func(r *Run, long time.Duration) func() {
		k := r.anyInvokedWorker()
		if k == nil || k.departsAt != 0 {
			return nil
		}
		r.markAffected(k.node.addr)
		k.leave(notice(r, long))
		return func() {
			r.after(4*time.Second, func() {
				if k.worker == nil {
					k.boot()
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
	"sick-worker":   workerFault(func(r *Run, k *invokedNode) { k.worker.Unhealthy = true }, func(_ *Run, k *invokedNode) { k.worker.Unhealthy = false }),
	"still-worker":  workerFault(func(r *Run, k *invokedNode) { k.worker.Stalled = true }, func(_ *Run, k *invokedNode) { k.worker.Stalled = false }),
	"hang-worker":   workerFault(func(r *Run, k *invokedNode) { k.hangs = true }, func(_ *Run, k *invokedNode) { k.hangs = false }),
	"late-beats":    workerFault(func(r *Run, k *invokedNode) { k.lateHeartbeatRate = 0.5 }, func(_ *Run, k *invokedNode) { k.lateHeartbeatRate = 0 }),
	"late-orders": func(r *Run, _ time.Duration) func() {
		for _, k := range r.invokedWorkers {
			k.lateCallRate = 0.055
			r.markAffected(k.node.addr)
		}
		return func() {
			for _, k := range r.invokedWorkers {
				k.lateCallRate = 0
			}
		}
	},
	"late-worker":   workerFault(func(r *Run, k *invokedNode) { k.lateCallRate = 0.4 }, func(_ *Run, k *invokedNode) { k.lateCallRate = 0 }),
	"notice-worker": departureFault(func(_ *Run, long time.Duration) time.Duration { return 2*time.Second + long }),
	"spot-worker": departureFault(func(r *Run, _ time.Duration) time.Duration {
		return time.Duration(1+r.random.Intn(2000)) * time.Millisecond
	}),

	"kill-worker":    crashFault(true, false),
	"slow-worker":    workerFault(func(_ *Run, k *invokedNode) { k.worker.Slowdown = 6.5 }, func(_ *Run, k *invokedNode) { k.worker.Slowdown = max(1, k.spec.Slowdown) }),
	"failing-worker": workerFault(func(_ *Run, k *invokedNode) { k.worker.FailureRate = 0.4 }, func(_ *Run, k *invokedNode) { k.worker.FailureRate = k.spec.FailureRate }),
	"cut-worker": partitionFault(true, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r, pickOne(r.random, r.invokedWorkers).node)
	}),
	"cut-worker-in": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := separatedFromAll(r, pickOne(r.random, r.invokedWorkers).node)
		return b, a
	}),
	"cut-worker-out": partitionFault(false, func(r *Run) ([]types.Addr, []types.Addr) {
		return separatedFromAll(r, pickOne(r.random, r.invokedWorkers).node)
	}),
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.random.Intn(len(r.invokedWorkers))
		k, n := r.invokedWorkers[i], r.agents[i]
		r.markAffected(k.node.addr, n.addr)
		k.kill(false)
		n.kill()
		return func() {
			if k.worker == nil {
				k.boot()
			}
			if n.machine == nil {
				n.boot()
			}
		}
	},
	"restart-agent": func(r *Run, long time.Duration) func() {
		n := pickOne(r.random, r.agents)
		if n.machine == nil || n.frozen {
			return nil
		}
		r.markAffected(n.addr)
		again := func() {
			n.kill()
			r.after(time.Duration(50+r.random.Intn(800))*time.Millisecond, func() {
				if n.machine == nil {
					n.boot()
				}
			})
		}
		again()
		r.after(long/2, again)
		return func() {}
	},
	"drain-worker": func(r *Run, long time.Duration) func() {
		name := "workers/" + string(pickOne(r.random, r.invokedWorkers).spec.Shard)
		if r.drained[name] {
			return nil
		}
		r.drained[name], r.affected = true, []types.Addr{}
		acked, over := false, false
		undo := func() {
			r.Clients.requestAsOperator(wire.VerbCancelDrain, name, nil, 0, func() { delete(r.drained, name) })
		}
		r.Clients.requestAsOperator(wire.VerbStartDrain, name, wire.EncodeBody(config.Drain{WithinMillis: r.random.Intn(3) * 1000}), 0, func() {
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
func FaultsOf(name string) (list []string) {
	called := deployment.ByName[name].Invoked()
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
