// A worker process in the simulated world, and its calls to its agent.
package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// pollingNode is a worker process in the world, and its calls.
type pollingNode struct {
	node                          *node // its clocks; it carries no machine
	agent                         types.Addr
	spec                          history.WorkerSpec
	worker                        *worker.Polling
	incarnation                   int
	ignoresLease, ignoresCapacity bool
	reportedTo                    map[types.AttemptID]int // which of the agent's processes was told of an end
}

func (w *World) addPollingWorker(addr, agent types.Addr, zone types.Zone, m history.WorkerSpec) *pollingNode {
	h := &pollingNode{agent: agent, spec: m}
	h.node = w.addNode(addr, "worker", zone, nil)
	w.pollingWorkers = append(w.pollingWorkers, h)
	return h
}

func (pn *pollingNode) boot() {
	n := pn.node
	pn.incarnation++
	n.frozen, n.backlog = false, nil
	pn.worker = worker.NewPolling(pn.spec, types.ID(fmt.Sprintf("%s.%d", n.addr, pn.incarnation)), n.world.newRandom(), n.world.record)
	pn.worker.IgnoresLease, pn.worker.IgnoresCapacity = pn.ignoresLease, pn.ignoresCapacity
	pn.reportedTo = map[types.AttemptID]int{}
	n.world.record(history.Event{Kind: history.WorkerStaying, Process: string(pn.worker.ID), Shard: pn.spec.Shard, Worker: &pn.spec})
	gen := pn.incarnation
	var tick func()
	tick = func() {
		if pn.incarnation != gen || pn.worker == nil {
			return
		}
		if !n.frozen {
			if pn.worker.Tick(n.monotonic()); pn.worker.Crashed {
				pn.crashAndRestart()
				return
			}
			if pn.worker.HasUpdate {
				pn.poll()
			}
		}
		n.world.after(10*time.Millisecond, tick)
	}
	tick()
	pn.poll()
}

func (pn *pollingNode) kill() {
	if pn.worker == nil {
		return
	}
	pn.node.world.record(history.Event{Kind: history.WorkerDied, Process: string(pn.worker.ID), Shard: pn.spec.Shard})
	pn.incarnation++
	pn.worker = nil
	pn.node.frozen, pn.node.backlog = false, nil
}

func (pn *pollingNode) freeze() {
	if pn.worker != nil && !pn.node.frozen {
		pn.node.frozen = true
		pn.node.world.record(history.Event{Kind: history.WorkerFroze, Process: string(pn.worker.ID), Shard: pn.spec.Shard})
	}
}

func (pn *pollingNode) thaw() {
	if pn.worker == nil || !pn.node.frozen {
		return
	}
	pn.node.world.record(history.Event{Kind: history.WorkerThawed, Process: string(pn.worker.ID), Shard: pn.spec.Shard})
	pn.node.frozen = false
	pn.worker.Tick(pn.node.monotonic())
	list := pn.node.backlog
	pn.node.backlog = nil
	for _, run := range list {
		run()
	}
	pn.poll()
}

// crashAndRestart ends the process, and the platform starts another.
func (pn *pollingNode) crashAndRestart() {
	pn.kill()
	pn.node.world.after(time.Second, func() {
		if pn.worker == nil {
			pn.boot()
		}
	})
}

// poll makes a call and waits for its answer, or calls again after a while.
func (pn *pollingNode) poll() {
	if pn.worker == nil || pn.node.frozen {
		return
	}
	w, gen := pn.node.world, pn.incarnation
	p := pn.worker.NextPoll(pn.node.monotonic())
	current := func() bool { return pn.incarnation == gen && pn.worker != nil && pn.worker.IsLatest(p) }
	onReceived := func(n *node) {
		for _, e := range p.Ended {
			if pn.reportedTo[e.Attempt] != n.incarnation {
				pn.reportedTo[e.Attempt] = n.incarnation
				w.record(history.Event{Kind: history.EndReported, Process: n.processName(), Attempt: e.Attempt, Outcome: e.Outcome})
			}
		}
	}
	w.requestObserved(pn.node.addr, pn.agent, wire.VerbPoll, "", wire.EncodeBody(p), onReceived, func(a wire.Response) {
		take := func() {
			if !current() {
				return
			}
			var r protocol.PollReply
			if a.Error == nil && json.Unmarshal(a.Body, &r) == nil {
				pn.worker.HandleReply(pn.node.monotonic(), r)
			}
			w.after(time.Millisecond, func() {
				if current() {
					pn.poll()
				}
			})
		}
		if pn.node.frozen {
			pn.node.backlog = append(pn.node.backlog, take)
			return
		}
		take()
	})
	w.after(400*time.Millisecond, func() {
		if current() {
			pn.poll()
		}
	})
}

// setLeaving has the worker say that it is going, or is not, and within how long.
func (pn *pollingNode) setLeaving(leaving bool, within time.Duration) {
	if pn.worker == nil || pn.worker.Leaving == leaving {
		return
	}
	pn.worker.Leaving, pn.worker.DepartsAt = leaving, 0
	if within > 0 {
		pn.worker.DepartsAt = pn.node.monotonic().Add(within)
	}
	kind := history.WorkerStaying
	if leaving {
		kind = history.WorkerLeaving
	}
	pn.node.world.record(history.Event{Kind: kind, Process: string(pn.worker.ID), Shard: pn.spec.Shard})
}
