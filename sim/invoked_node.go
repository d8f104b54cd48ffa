// An invoked worker's process in the simulated world: it beats to the agent on its
// machine, and takes its calls as well or as badly as the faults of the moment
// make it.
package sim

import (
	"fmt"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// invokedNode is the place of an invoked worker, and the process there if there is one.
type invokedNode struct {
	node                  *node // its clocks and address; it carries no machine
	agent                 types.Addr
	spec                  history.WorkerSpec
	worker                *worker.Invoked
	incarnation           int
	heartbeatSequence     uint64
	departsAt             types.MonoTime // when it leaves; 0 is never
	departureAcknowledged bool           // its leaving was acknowledged

	refusesConnections         bool    // calls are refused while no process is there, rather than lost
	hangs                      bool    // calls get no answer, and may be carried out or not
	lateCallRate               float64 // part of its calls that get no answer and are carried out late
	lateHeartbeatRate          float64 // part of its beats that come late, after newer ones
	ignoresLease, ignoresFence bool
}

// invokedNode adds the place of an invoked worker.
func (w *World) addInvokedWorker(addr, agent types.Addr, zone types.Zone, m history.WorkerSpec) *invokedNode {
	k := &invokedNode{agent: agent, spec: m}
	k.node = w.addNode(addr, "worker", zone, nil)
	w.invokedWorkers = append(w.invokedWorkers, k)
	w.invokedByAddress[addr] = k
	return k
}

func (i *invokedNode) boot() {
	n := i.node
	i.incarnation++
	i.heartbeatSequence, i.departsAt, i.departureAcknowledged = 0, 0, false
	i.worker = worker.NewInvoked(i.spec, types.ID(fmt.Sprintf("%s.%d", n.addr, i.incarnation)), n.world.environment, n.world.newRandom(), n.monotonic, n.world.record)
	i.worker.IgnoresLease, i.worker.IgnoresFence = i.ignoresLease, i.ignoresFence
	n.world.record(history.Event{Kind: history.WorkerStaying, Process: string(i.worker.ID), Shard: i.spec.Shard, Worker: &i.spec})
	gen := i.incarnation
	current := func() bool { return i.incarnation == gen && i.worker != nil }
	var tick, heartbeat func()
	tick = func() {
		if current() {
			i.worker.Tick()
			n.world.after(10*time.Millisecond, tick)
		}
	}
	heartbeat = func() {
		if current() {
			i.sendHeartbeat(0)
			n.world.after(n.world.environment.HeartbeatInterval*95/100+time.Duration(n.world.random.Int63n(int64(n.world.environment.HeartbeatInterval/10))), heartbeat)
		}
	}
	tick()
	heartbeat()
}

// sendHeartbeat tells the agent of the worker, again if there is no answer in a second.
func (i *invokedNode) sendHeartbeat(tries int) {
	w, gen := i.node.world, i.incarnation
	i.heartbeatSequence++
	b := wire.WorkerHeartbeat{Incarnation: i.worker.ID, Addr: i.node.addr, Seq: i.heartbeatSequence, Rack: i.spec.Rack, Labels: i.spec.Labels, Kinds: i.spec.Kinds,
		Capacity: i.spec.Capacity, ClockMS: i.worker.Clock()}
	if i.departsAt != 0 {
		b.Draining, b.DepartsInMS = true, max(1, i.departsAt.Sub(i.node.monotonic()).Milliseconds())
	}
	acknowledged := false
	send := func() {
		w.request(i.node.addr, i.agent, wire.VerbHeartbeat, "", wire.EncodeBody(b), func(a wire.Response) {
			if acknowledged = acknowledged || a.Error == nil; a.Error == nil && b.Draining && i.incarnation == gen && !i.departureAcknowledged {
				i.departureAcknowledged = true
				w.record(history.Event{Kind: history.WorkerLeaving, Process: string(b.Incarnation), Shard: i.spec.Shard})
			}
		})
	}
	if i.lateHeartbeatRate > 0 && w.random.Float64() < i.lateHeartbeatRate {
		w.after(2*time.Second+time.Duration(w.random.Int63n(int64(4*time.Second))), send)
		return
	}
	send()
	w.after(time.Second, func() {
		if !acknowledged && i.incarnation == gen && i.worker != nil && tries < 2 {
			i.sendHeartbeat(tries + 1)
		}
	})
}

// kill ends the process; calls are then refused or lost.
func (i *invokedNode) kill(refusesConnections bool) {
	if i.worker == nil {
		return
	}
	i.refusesConnections = refusesConnections
	i.node.world.record(history.Event{Kind: history.WorkerDied, Process: string(i.worker.ID), Shard: i.spec.Shard})
	i.incarnation++
	w := i.worker
	i.worker = nil
	w.Kill()
}

// leave has the worker say that it goes within a time, and go then.
func (i *invokedNode) leave(within time.Duration) {
	if i.worker == nil || i.departsAt != 0 {
		return
	}
	w, gen := i.node.world, i.incarnation
	i.departsAt = i.node.monotonic().Add(within)
	i.sendHeartbeat(0)
	w.after(within, func() {
		if i.incarnation != gen || i.worker == nil {
			return
		}
		w.request(i.node.addr, i.agent, wire.VerbDeregister, string(i.worker.ID), nil, func(wire.Response) {})
		w.record(history.Event{Kind: history.WorkerRemoved, Process: string(i.worker.ID), Shard: i.spec.Shard, Text: within.String()})
		i.kill(true)
	})
}

// heal ends what is wrong with the worker.
func (i *invokedNode) heal() {
	i.hangs, i.lateCallRate, i.lateHeartbeatRate = false, 0, 0
	if i.worker == nil {
		i.boot()
		return
	}
	i.worker.Stalled, i.worker.Unhealthy = false, false
	i.worker.Slowdown, i.worker.FailureRate = max(1, i.spec.Slowdown), i.spec.FailureRate
}

// handleCall is a call that has come to the worker's address.
func (i *invokedNode) handleCall(c wire.WorkerCall, reply func(wire.WorkerReply)) {
	w, gen := i.node.world, i.incarnation
	dropReply := func(wire.WorkerReply) {}
	switch {
	case i.worker == nil && i.refusesConnections:
		reply(wire.WorkerReply{Result: wire.ResultNotListening})
	case i.worker == nil:
	case i.lateCallRate > 0 && w.random.Float64() < i.lateCallRate:
		w.after(2*time.Second+time.Duration(w.random.Int63n(int64(10*time.Second))), func() {
			if i.incarnation == gen && i.worker != nil {
				i.worker.HandleLateCall(c)
			}
		})
	case i.hangs:
		if w.random.Intn(2) == 0 {
			i.worker.HandleCall(c, dropReply)
		}
	default:
		i.worker.HandleCall(c, reply)
	}
}

// callWorker carries an agent's call to its worker, and the reply, or that there was
// none in time, back.
func (w *World) callWorker(n *node, c wire.WorkerCall) {
	if w.TamperCall != nil {
		w.TamperCall(&c)
	}
	gen, answered := n.incarnation, false
	onReply := func(r wire.WorkerReply) {
		if answered || n.incarnation != gen {
			return
		}
		answered = true
		r.Number = c.Number
		if w.TamperReply != nil {
			w.TamperReply(c, &r)
		}
		n.deliver(func() { n.step(wire.Event{WorkerReply: &r}) })
	}
	w.after(c.Timeout, func() { onReply(wire.WorkerReply{Result: wire.ResultNoReply}) })
	w.transmit(n.addr, c.Addr, func() {
		if k := w.invokedByAddress[c.Addr]; k != nil {
			k.handleCall(c, func(r wire.WorkerReply) { w.transmit(c.Addr, n.addr, func() { onReply(r) }) })
		}
	})
}
