// Faults of workers that are called, and those of all towns that take another
// form there.
package sim

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// patient is a worker that is up, or nil.
func (r *Run) patient() *callee {
	k := one(r.rnd, r.yard)
	if k.w == nil {
		return nil
	}
	return k
}

// ill has a fault of one worker begin and end.
func ill(begin, end func(r *Run, k *callee)) Fault {
	return func(r *Run, _ time.Duration) func() {
		k := r.patient()
		if k == nil {
			return nil
		}
		r.touch(k.node.addr)
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
		k := r.patient()
		if k == nil {
			return nil
		}
		r.touch(k.node.addr)
		k.kill(refuses)
		return func() {
			if k.w == nil && !never {
				k.boot()
			}
		}
	}
}

// going has a worker leave within some time, another come in its place later.
func going(notice func(*Run, time.Duration) time.Duration) Fault {
	return func(r *Run, long time.Duration) func() {
		k := r.patient()
		if k == nil || k.goes != 0 {
			return nil
		}
		r.touch(k.node.addr)
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

// CalledFaults is the table.
var CalledFaults = map[string]Fault{
	"crash-silent":  crash(false, false),
	"crash-refuse":  crash(true, false),
	"crash-forever": crash(false, true),
	"sick-worker":   ill(func(r *Run, k *callee) { k.w.Sick = true }, func(_ *Run, k *callee) { k.w.Sick = false }),
	"still-worker":  ill(func(r *Run, k *callee) { k.w.Still = true }, func(_ *Run, k *callee) { k.w.Still = false }),
	"hang-worker":   ill(func(r *Run, k *callee) { k.hangs = true }, func(_ *Run, k *callee) { k.hangs = false }),
	"late-beats":    ill(func(r *Run, k *callee) { k.lag = 0.5 }, func(_ *Run, k *callee) { k.lag = 0 }),
	"late-orders": func(r *Run, _ time.Duration) func() {
		for _, k := range r.yard {
			k.lates = 0.055
			r.touch(k.node.addr)
		}
		return func() {
			for _, k := range r.yard {
				k.lates = 0
			}
		}
	},
	"late-worker":   ill(func(r *Run, k *callee) { k.lates = 0.4 }, func(_ *Run, k *callee) { k.lates = 0 }),
	"notice-worker": going(func(_ *Run, long time.Duration) time.Duration { return 2*time.Second + long }),
	"spot-worker": going(func(r *Run, _ time.Duration) time.Duration {
		return time.Duration(1+r.rnd.Intn(2000)) * time.Millisecond
	}),

	"kill-worker":    crash(true, false),
	"slow-worker":    ill(func(_ *Run, k *callee) { k.w.Slow = 6.5 }, func(_ *Run, k *callee) { k.w.Slow = max(1, k.make.Slow) }),
	"failing-worker": ill(func(_ *Run, k *callee) { k.w.Fails = 0.4 }, func(_ *Run, k *callee) { k.w.Fails = k.make.Fails }),
	"cut-worker":     cutter(true, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, one(r.rnd, r.yard).node) }),
	"cut-worker-in": cutter(false, func(r *Run) ([]types.Addr, []types.Addr) {
		a, b := apart(r, one(r.rnd, r.yard).node)
		return b, a
	}),
	"cut-worker-out": cutter(false, func(r *Run) ([]types.Addr, []types.Addr) { return apart(r, one(r.rnd, r.yard).node) }),
	"kill-machine": func(r *Run, _ time.Duration) func() {
		i := r.rnd.Intn(len(r.yard))
		k, n := r.yard[i], r.agents[i]
		r.touch(k.node.addr, n.addr)
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
		n := one(r.rnd, r.agents)
		if n.m == nil || n.frozen {
			return nil
		}
		r.touch(n.addr)
		again := func() {
			n.kill()
			r.at(time.Duration(50+r.rnd.Intn(800))*time.Millisecond, func() {
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
		name := "workers/" + string(one(r.rnd, r.yard).make.Shard)
		if r.drains[name] {
			return nil
		}
		r.drains[name], r.hits = true, []types.Addr{}
		acked, over := false, false
		undo := func() {
			r.Crew.order("drain.drop", name, nil, 0, func() { delete(r.drains, name) })
		}
		r.Crew.order("drain.put", name, wire.Body(config.Drain{Within: r.rnd.Intn(3) * 1000}), 0, func() {
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

// only in towns whose workers call: what a called worker can't suffer.
var pollOnly = map[string]bool{"freeze-worker": true, "freeze-machine": true, "leave-worker": true, "remove-worker": true, "stall-worker": true}

// FaultsOf lists the faults that a town knows.
func FaultsOf(town string) (list []string) {
	called := Towns[town].Manner != nil
	for _, n := range FaultNames() {
		if !called || !pollOnly[n] {
			list = append(list, n)
		}
	}
	for n := range CalledFaults {
		if called && Faults[n] == nil {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return
}
