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
	told          map[types.AttemptID]int // which of the agent's processes was told of an end
}

func (w *World) worker(addr, agent types.Addr, zone types.Zone, m WorkerSpec) *pollingNode {
	h := &pollingNode{agent: agent, make: m}
	h.node = w.add(addr, "worker", zone, nil)
	w.pollingWorkers = append(w.pollingWorkers, h)
	return h
}

func (pn *pollingNode) boot() {
	n := pn.node
	pn.gen++
	n.frozen, n.queue = false, nil
	pn.w = NewWorker(pn.make, types.ID(fmt.Sprintf("%s.%d", n.addr, pn.gen)), n.w.chance(), n.w.record)
	pn.w.Deaf, pn.w.Willing = pn.deaf, pn.willing
	pn.told = map[types.AttemptID]int{}
	n.w.record(HistoryEvent{What: Staying, Who: string(pn.w.ID), Shard: pn.make.Shard, Make: &pn.make})
	gen := pn.gen
	var beat func()
	beat = func() {
		if pn.gen != gen || pn.w == nil {
			return
		}
		if !n.frozen {
			if pn.w.Tick(n.mono()); pn.w.Crashed {
				pn.crash()
				return
			}
			if pn.w.News {
				pn.call()
			}
		}
		n.w.at(10*time.Millisecond, beat)
	}
	beat()
	pn.call()
}

func (pn *pollingNode) kill() {
	if pn.w == nil {
		return
	}
	pn.node.w.record(HistoryEvent{What: Died, Who: string(pn.w.ID), Shard: pn.make.Shard})
	pn.gen++
	pn.w = nil
	pn.node.frozen, pn.node.queue = false, nil
}

func (pn *pollingNode) freeze() {
	if pn.w != nil && !pn.node.frozen {
		pn.node.frozen = true
		pn.node.w.record(HistoryEvent{What: Froze, Who: string(pn.w.ID), Shard: pn.make.Shard})
	}
}

func (pn *pollingNode) thaw() {
	if pn.w == nil || !pn.node.frozen {
		return
	}
	pn.node.w.record(HistoryEvent{What: Thawed, Who: string(pn.w.ID), Shard: pn.make.Shard})
	pn.node.frozen = false
	pn.w.Tick(pn.node.mono())
	list := pn.node.queue
	pn.node.queue = nil
	for _, run := range list {
		run()
	}
	pn.call()
}

// crash ends the process, and the platform starts another.
func (pn *pollingNode) crash() {
	pn.kill()
	pn.node.w.at(time.Second, func() {
		if pn.w == nil {
			pn.boot()
		}
	})
}

// call makes a call and waits for its answer, or calls again after a while.
func (pn *pollingNode) call() {
	if pn.w == nil || pn.node.frozen {
		return
	}
	w, gen := pn.node.w, pn.gen
	p := pn.w.Call(pn.node.mono())
	on := func() bool { return pn.gen == gen && pn.w != nil && p.Call == pn.w.call }
	took := func(n *node) {
		for _, e := range p.Ended {
			if pn.told[e.Attempt] != n.gen {
				pn.told[e.Attempt] = n.gen
				w.record(HistoryEvent{What: Heard, Who: n.name(), Attempt: e.Attempt, Outcome: e.Outcome})
			}
		}
	}
	w.requestWith(pn.node.addr, pn.agent, "poll", "", wire.EncodeBody(p), took, func(a wire.Response) {
		take := func() {
			if !on() {
				return
			}
			var r dispatch.PollReply
			if a.Error == nil && json.Unmarshal(a.Body, &r) == nil {
				pn.w.Take(pn.node.mono(), r)
			}
			w.at(time.Millisecond, func() {
				if on() {
					pn.call()
				}
			})
		}
		if pn.node.frozen {
			pn.node.queue = append(pn.node.queue, take)
			return
		}
		take()
	})
	w.at(400*time.Millisecond, func() {
		if on() {
			pn.call()
		}
	})
}

// leave has the worker say that it is going, or is not, and within how long.
func (pn *pollingNode) leave(on bool, within time.Duration) {
	if pn.w == nil || pn.w.Leave == on {
		return
	}
	pn.w.Leave, pn.w.Goes = on, 0
	if within > 0 {
		pn.w.Goes = pn.node.mono().Add(within)
	}
	what := Staying
	if on {
		what = Leaving
	}
	pn.node.w.record(HistoryEvent{What: what, Who: string(pn.w.ID), Shard: pn.make.Shard})
}
