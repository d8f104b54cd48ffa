// A worker process in the simulated world, and its calls to its agent.
package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/dispatch"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// pollingNode is a worker process in the world, and its calls.
type pollingNode struct {
	node          *node // its clocks; it carries no machine
	agent         types.Addr
	make          WorkerSpec
	w             *Worker
	gen           int
	deaf, willing bool
	told          map[types.Attempt]int // which of the agent's processes was told of an end
}

func (w *World) worker(addr, agent types.Addr, zone types.Zone, m WorkerSpec) *pollingNode {
	h := &pollingNode{agent: agent, make: m}
	h.node = w.add(addr, "worker", zone, nil)
	w.pollingWorkers = append(w.pollingWorkers, h)
	return h
}

func (h *pollingNode) boot() {
	n := h.node
	h.gen++
	n.frozen, n.queue = false, nil
	h.w = NewWorker(h.make, types.ID(fmt.Sprintf("%s.%d", n.addr, h.gen)), n.w.chance(), n.w.record)
	h.w.Deaf, h.w.Willing = h.deaf, h.willing
	h.told = map[types.Attempt]int{}
	n.w.record(HistoryEvent{What: Staying, Who: string(h.w.ID), Shard: h.make.Shard, Make: &h.make})
	gen := h.gen
	var beat func()
	beat = func() {
		if h.gen != gen || h.w == nil {
			return
		}
		if !n.frozen {
			if h.w.Tick(n.mono()); h.w.Crashed {
				h.crash()
				return
			}
			if h.w.News {
				h.call()
			}
		}
		n.w.at(10*time.Millisecond, beat)
	}
	beat()
	h.call()
}

func (h *pollingNode) kill() {
	if h.w == nil {
		return
	}
	h.node.w.record(HistoryEvent{What: Died, Who: string(h.w.ID), Shard: h.make.Shard})
	h.gen++
	h.w = nil
	h.node.frozen, h.node.queue = false, nil
}

func (h *pollingNode) freeze() {
	if h.w != nil && !h.node.frozen {
		h.node.frozen = true
		h.node.w.record(HistoryEvent{What: Froze, Who: string(h.w.ID), Shard: h.make.Shard})
	}
}

func (h *pollingNode) thaw() {
	if h.w == nil || !h.node.frozen {
		return
	}
	h.node.w.record(HistoryEvent{What: Thawed, Who: string(h.w.ID), Shard: h.make.Shard})
	h.node.frozen = false
	h.w.Tick(h.node.mono())
	list := h.node.queue
	h.node.queue = nil
	for _, run := range list {
		run()
	}
	h.call()
}

// crash ends the process, and the platform starts another.
func (h *pollingNode) crash() {
	h.kill()
	h.node.w.at(time.Second, func() {
		if h.w == nil {
			h.boot()
		}
	})
}

// call makes a call and waits for its answer, or calls again after a while.
func (h *pollingNode) call() {
	if h.w == nil || h.node.frozen {
		return
	}
	w, gen := h.node.w, h.gen
	p := h.w.Call(h.node.mono())
	on := func() bool { return h.gen == gen && h.w != nil && p.Call == h.w.call }
	took := func(n *node) {
		for _, e := range p.Ends {
			if h.told[e.Attempt] != n.gen {
				h.told[e.Attempt] = n.gen
				w.record(HistoryEvent{What: Heard, Who: n.name(), Attempt: e.Attempt, Outcome: e.Outcome})
			}
		}
	}
	w.requestWith(h.node.addr, h.agent, "poll", "", wire.Body(p), took, func(a wire.Answer) {
		take := func() {
			if !on() {
				return
			}
			var r dispatch.Answer
			if a.Fault == nil && json.Unmarshal(a.Body, &r) == nil {
				h.w.Take(h.node.mono(), r)
			}
			w.at(time.Millisecond, func() {
				if on() {
					h.call()
				}
			})
		}
		if h.node.frozen {
			h.node.queue = append(h.node.queue, take)
			return
		}
		take()
	})
	w.at(400*time.Millisecond, func() {
		if on() {
			h.call()
		}
	})
}

// leave has the worker say that it is going, or is not, and within how long.
func (h *pollingNode) leave(on bool, within time.Duration) {
	if h.w == nil || h.w.Leave == on {
		return
	}
	h.w.Leave, h.w.Goes = on, 0
	if within > 0 {
		h.w.Goes = h.node.mono().Add(within)
	}
	what := Staying
	if on {
		what = Leaving
	}
	h.node.w.record(HistoryEvent{What: what, Who: string(h.w.ID), Shard: h.make.Shard})
}
