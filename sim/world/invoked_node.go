package world

import (
	"fmt"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

const (
	heartbeatTimeout = time.Second // after which a heartbeat is sent again
	heartbeatRetries = 2

	// When a heartbeat or a call comes late, it comes by minLateDelay and up to a spread.
	minLateDelay        = 2 * time.Second
	lateHeartbeatSpread = 4 * time.Second
	lateCallSpread      = 10 * time.Second
)

// InvokedNode is the place of a worker that is invoked, and the process there.
type InvokedNode struct {
	Node        *Node // its address and clocks
	Spec        history.WorkerSpec
	Worker      *worker.Invoked // nil while no process runs
	Incarnation int             // changes with each start and each end of a process
	DepartsAt   types.MonoTime  // 0 means that it does not leave

	// Faults.
	Hangs             bool    // calls get no answer, and half of them are not carried out
	LateCallRate      float64 // part of the calls that are carried out late, without an answer
	LateHeartbeatRate float64 // part of the heartbeats that come late, after newer ones

	// Planted bugs of the processes that start from now on.
	IgnoresLease, IgnoresFence bool

	agent                 types.Addr
	heartbeatSequence     uint64
	departureAcknowledged bool
	refusesConnections    bool // while no process runs calls are refused, rather than lost
}

// AddInvokedWorker adds a worker, which is not running yet.
func (w *World) AddInvokedWorker(addr, agent types.Addr, zone types.Zone, spec history.WorkerSpec) *InvokedNode {
	i := &InvokedNode{Node: w.addNode(addr, WorkerRole, zone, nil), Spec: spec, agent: agent}
	w.InvokedWorkers = append(w.InvokedWorkers, i)
	w.invokedByAddress[addr] = i
	return i
}

// running returns a function that reports whether the present process still runs.
func (i *InvokedNode) sameProcess() func() bool {
	incarnation := i.Incarnation
	return func() bool { return i.Incarnation == incarnation && i.Worker != nil }
}

// Boot starts a process.
func (i *InvokedNode) Start() {
	n, w := i.Node, i.Node.world
	i.Incarnation++
	i.heartbeatSequence, i.DepartsAt, i.departureAcknowledged = 0, 0, false
	id := types.ID(fmt.Sprintf("%s.%d", n.Addr, i.Incarnation))
	i.Worker = worker.NewInvoked(i.Spec, id, w.Environment, w.newRandom(), n.Monotonic, w.Record)
	i.Worker.IgnoresLease, i.Worker.IgnoresFence = i.IgnoresLease, i.IgnoresFence
	w.Record(history.Event{
		Kind:    history.WorkerStaying,
		Process: string(id),
		Shard:   i.Spec.Shard,
		Worker:  &i.Spec,
	})
	running := i.sameProcess()
	i.tick(running)
	i.heartbeat(running)
}

// tick lets a process progress, now and from time to time while it runs.
func (i *InvokedNode) tick(running func() bool) {
	if running() {
		i.Worker.Tick()
		i.Node.world.After(workerTickInterval, func() { i.tick(running) })
	}
}

// heartbeat sends heartbeats, now and at a process's intervals while it runs.
func (i *InvokedNode) heartbeat(running func() bool) {
	if !running() {
		return
	}
	i.sendHeartbeat(0)
	w := i.Node.world
	interval := w.Environment.HeartbeatInterval
	w.After(interval*95/100+randomBelow(w.Random, interval/10), func() { i.heartbeat(running) })
}

// sendHeartbeat sends a heartbeat to the agent, and retries without an answer.
func (i *InvokedNode) sendHeartbeat(retries int) {
	w, running := i.Node.world, i.sameProcess()
	heartbeat := i.nextHeartbeat()
	acknowledged := false
	send := func() {
		w.Request(i.Node.Addr, i.agent, wire.VerbHeartbeat, "", wire.EncodeBody(heartbeat), func(answer wire.Response) {
			if answer.Error != nil {
				return
			}
			acknowledged = true
			if heartbeat.Draining && running() {
				i.recordDepartureAcknowledged()
			}
		})
	}
	if i.LateHeartbeatRate > 0 && w.Random.Float64() < i.LateHeartbeatRate {
		w.After(minLateDelay+randomBelow(w.Random, lateHeartbeatSpread), send)
		return
	}
	send()
	w.After(heartbeatTimeout, func() {
		if !acknowledged && running() && retries < heartbeatRetries {
			i.sendHeartbeat(retries + 1)
		}
	})
}

func (i *InvokedNode) nextHeartbeat() wire.WorkerHeartbeat {
	i.heartbeatSequence++
	beat := wire.WorkerHeartbeat{
		Incarnation: i.Worker.ID,
		Addr:        i.Node.Addr,
		Seq:         i.heartbeatSequence,
		Rack:        i.Spec.Rack,
		Labels:      i.Spec.Labels,
		Kinds:       i.Spec.Kinds,
		Capacity:    i.Spec.Capacity,
		ClockMS:     i.Worker.Clock(),
	}
	if i.DepartsAt != 0 {
		beat.Draining = true
		beat.DepartsInMS = max(1, i.DepartsAt.Sub(i.Node.Monotonic()).Milliseconds())
	}
	return beat
}

// recordDepartureAcknowledged records that the agent knows of the process's departure.
func (i *InvokedNode) recordDepartureAcknowledged() {
	if i.departureAcknowledged {
		return
	}
	i.departureAcknowledged = true
	i.record(history.Event{Kind: history.WorkerLeaving})
}

// record records what happens to the process.
func (i *InvokedNode) record(event history.Event) {
	event.Process, event.Shard = string(i.Worker.ID), i.Spec.Shard
	i.Node.world.Record(event)
}

// StartIfDown starts a process if none runs.
func (i *InvokedNode) StartIfDown() {
	if i.Worker == nil {
		i.Start()
	}
}

// Kill ends the process, and what it runs. Calls are then refused or lost.
func (i *InvokedNode) Kill(refusesConnections bool) {
	if i.Worker == nil {
		return
	}
	i.refusesConnections = refusesConnections
	i.record(history.Event{Kind: history.WorkerDied})
	i.Incarnation++
	w := i.Worker
	i.Worker = nil
	w.Kill()
}

// Leave has the worker announce that it leaves within a time, and leave then.
func (i *InvokedNode) Leave(within time.Duration) {
	if i.Worker == nil || i.DepartsAt != 0 {
		return
	}
	w, running := i.Node.world, i.sameProcess()
	i.DepartsAt = i.Node.Monotonic().Add(within)
	i.sendHeartbeat(0)
	w.After(within, func() {
		if !running() {
			return
		}
		w.Request(i.Node.Addr, i.agent, wire.VerbDeregister, string(i.Worker.ID), nil, func(wire.Response) {})
		i.record(history.Event{Kind: history.WorkerRemoved, Text: within.String()})
		i.Kill(true)
	})
}

// Heal ends the worker's faults.
func (i *InvokedNode) Heal() {
	i.Hangs, i.LateCallRate, i.LateHeartbeatRate = false, 0, 0
	if i.Worker == nil {
		i.Start()
		return
	}
	i.Worker.Stalled, i.Worker.Unhealthy = false, false
	i.Worker.Slowdown, i.Worker.FailureRate = max(1, i.Spec.Slowdown), i.Spec.FailureRate
}

// handleCall takes a call that has come to the worker's address.
func (i *InvokedNode) handleCall(call wire.WorkerCall, reply func(wire.WorkerReply)) {
	w := i.Node.world
	switch {
	case i.Worker == nil && i.refusesConnections:
		reply(wire.WorkerReply{Result: wire.ResultNotListening})
	case i.Worker == nil:
	case i.LateCallRate > 0 && w.Random.Float64() < i.LateCallRate:
		running := i.sameProcess()
		w.After(minLateDelay+randomBelow(w.Random, lateCallSpread), func() {
			if running() {
				i.Worker.HandleLateCall(call)
			}
		})
	case i.Hangs:
		if w.Random.Intn(2) == 0 {
			i.Worker.HandleCall(call, func(wire.WorkerReply) {})
		}
	default:
		i.Worker.HandleCall(call, reply)
	}
}

// callWorker carries an agent's call to its worker, and back the reply, or that there was
// none in time.
func (w *World) callWorker(agent *Node, call wire.WorkerCall) {
	if w.TamperCall != nil {
		w.TamperCall(&call)
	}
	running, answered := agent.sameProcess(), false
	onReply := func(reply wire.WorkerReply) {
		if answered || !running() {
			return
		}
		answered = true
		reply.Number = call.Number
		if w.TamperReply != nil {
			w.TamperReply(call, &reply)
		}
		agent.Deliver(func() { agent.Step(wire.Event{WorkerReply: &reply}) })
	}
	w.After(call.Timeout, func() { onReply(wire.WorkerReply{Result: wire.ResultNoReply}) })
	w.transmit(agent.Addr, call.Addr, func() {
		if i := w.invokedByAddress[call.Addr]; i != nil {
			i.handleCall(call, func(reply wire.WorkerReply) {
				w.transmit(call.Addr, agent.Addr, func() { onReply(reply) })
			})
		}
	})
}
