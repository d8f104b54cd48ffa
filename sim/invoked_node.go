// An invoked worker's process in the simulated world: it beats to the agent on its
// machine, and takes its calls as well or as badly as the faults of the moment
// make it.
package sim

import (
	"fmt"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// invokedNode is the place of an invoked worker, and the process there if there is one.
type invokedNode struct {
	node  *node // its clocks and address; it carries no machine
	agent types.Addr
	make  WorkerSpec
	w     *InvokedWorker
	gen   int
	seq   uint64
	goes  types.MonoTime // when it leaves; 0 is never
	told  bool           // its leaving was acknowledged

	refuses    bool    // calls are refused while no process is there, rather than lost
	hangs      bool    // calls get no answer, and may be carried out or not
	lates      float64 // part of its calls that get no answer and are carried out late
	lag        float64 // part of its beats that come late, after newer ones
	wild, rash bool
}

// invokedNode adds the place of an invoked worker.
func (w *World) addInvokedWorker(addr, agent types.Addr, zone types.Zone, m WorkerSpec) *invokedNode {
	k := &invokedNode{agent: agent, make: m}
	k.node = w.add(addr, "worker", zone, nil)
	w.invokedWorkers = append(w.invokedWorkers, k)
	w.invokedAt[addr] = k
	return k
}

func (i *invokedNode) boot() {
	n := i.node
	i.gen++
	i.seq, i.goes, i.told = 0, 0, false
	i.w = NewInvokedWorker(i.make, types.ID(fmt.Sprintf("%s.%d", n.addr, i.gen)), n.w.environment, n.w.chance(), n.mono, n.w.record)
	i.w.Wild, i.w.Rash = i.wild, i.rash
	n.w.record(HistoryEvent{What: Staying, Who: string(i.w.ID), Shard: i.make.Shard, Make: &i.make})
	gen := i.gen
	on := func() bool { return i.gen == gen && i.w != nil }
	var tick, beat func()
	tick = func() {
		if on() {
			i.w.Tick()
			n.w.at(10*time.Millisecond, tick)
		}
	}
	beat = func() {
		if on() {
			i.beat(0)
			n.w.at(n.w.environment.Beat*95/100+time.Duration(n.w.random.Int63n(int64(n.w.environment.Beat/10))), beat)
		}
	}
	tick()
	beat()
}

// beat tells the agent of the worker, again if there is no answer in a second.
func (i *invokedNode) beat(tries int) {
	w, gen := i.node.w, i.gen
	i.seq++
	b := wire.WorkerHeartbeat{Incarnation: i.w.ID, Addr: i.node.addr, Seq: i.seq, Rack: i.make.Rack, Labels: i.make.Labels, Kinds: i.make.Kinds,
		Capacity: i.make.Room, ClockMS: i.w.Clock()}
	if i.goes != 0 {
		b.Draining, b.DepartsInMS = true, max(1, i.goes.Sub(i.node.mono()).Milliseconds())
	}
	over := false
	send := func() {
		w.request(i.node.addr, i.agent, "beat", "", wire.EncodeBody(b), func(a wire.Response) {
			if over = over || a.Error == nil; a.Error == nil && b.Draining && i.gen == gen && !i.told {
				i.told = true
				w.record(HistoryEvent{What: Leaving, Who: string(b.Incarnation), Shard: i.make.Shard})
			}
		})
	}
	if i.lag > 0 && w.random.Float64() < i.lag {
		w.at(2*time.Second+time.Duration(w.random.Int63n(int64(4*time.Second))), send)
		return
	}
	send()
	w.at(time.Second, func() {
		if !over && i.gen == gen && i.w != nil && tries < 2 {
			i.beat(tries + 1)
		}
	})
}

// kill ends the process; calls are then refused or lost.
func (i *invokedNode) kill(refuses bool) {
	if i.w == nil {
		return
	}
	i.refuses = refuses
	i.node.w.record(HistoryEvent{What: Died, Who: string(i.w.ID), Shard: i.make.Shard})
	i.gen++
	w := i.w
	i.w = nil
	w.Die()
}

// leave has the worker say that it goes within a time, and go then.
func (i *invokedNode) leave(within time.Duration) {
	if i.w == nil || i.goes != 0 {
		return
	}
	w, gen := i.node.w, i.gen
	i.goes = i.node.mono().Add(within)
	i.beat(0)
	w.at(within, func() {
		if i.gen != gen || i.w == nil {
			return
		}
		w.request(i.node.addr, i.agent, "leave", string(i.w.ID), nil, func(wire.Response) {})
		w.record(HistoryEvent{What: Removed, Who: string(i.w.ID), Shard: i.make.Shard, Text: within.String()})
		i.kill(true)
	})
}

// heal ends what is wrong with the worker.
func (i *invokedNode) heal() {
	i.hangs, i.lates, i.lag = false, 0, 0
	if i.w == nil {
		i.boot()
		return
	}
	i.w.Still, i.w.Sick = false, false
	i.w.Slow, i.w.Fails = max(1, i.make.Slow), i.make.Fails
}

// take is a call that has come to the worker's address.
func (i *invokedNode) take(c wire.WorkerCall, reply func(wire.WorkerReply)) {
	w, gen := i.node.w, i.gen
	mute := func(wire.WorkerReply) {}
	switch {
	case i.w == nil && i.refuses:
		reply(wire.WorkerReply{Result: wire.ResultNotListening})
	case i.w == nil:
	case i.lates > 0 && w.random.Float64() < i.lates:
		w.at(2*time.Second+time.Duration(w.random.Int63n(int64(10*time.Second))), func() {
			if i.gen == gen && i.w != nil {
				i.w.late = true
				i.w.Do(c, mute)
				i.w.late = false
			}
		})
	case i.hangs:
		if w.random.Intn(2) == 0 {
			i.w.Do(c, mute)
		}
	default:
		i.w.Do(c, reply)
	}
}

// invoke carries an agent's call to its worker, and the reply, or that there was
// none in time, back.
func (w *World) invoke(n *node, c wire.WorkerCall) {
	if w.TamperCall != nil {
		w.TamperCall(&c)
	}
	gen, over := n.gen, false
	back := func(r wire.WorkerReply) {
		if over || n.gen != gen {
			return
		}
		over = true
		r.Number = c.Number
		if w.TamperReply != nil {
			w.TamperReply(c, &r)
		}
		n.deliver(func() { n.step(wire.Event{WorkerReply: &r}) })
	}
	w.at(c.Timeout, func() { back(wire.WorkerReply{Result: wire.ResultNoReply}) })
	w.transmit(n.addr, c.Addr, func() {
		if k := w.invokedAt[c.Addr]; k != nil {
			k.take(c, func(r wire.WorkerReply) { w.transmit(c.Addr, n.addr, func() { back(r) }) })
		}
	})
}
