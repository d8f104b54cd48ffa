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
	goes  types.Stamp // when it leaves; 0 is never
	told  bool        // its leaving was acknowledged

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

func (k *invokedNode) boot() {
	n := k.node
	k.gen++
	k.seq, k.goes, k.told = 0, 0, false
	k.w = NewInvokedWorker(k.make, types.ID(fmt.Sprintf("%s.%d", n.addr, k.gen)), n.w.environment, n.w.chance(), n.mono, n.w.record)
	k.w.Wild, k.w.Rash = k.wild, k.rash
	n.w.record(HistoryEvent{What: Staying, Who: string(k.w.ID), Shard: k.make.Shard, Make: &k.make})
	gen := k.gen
	on := func() bool { return k.gen == gen && k.w != nil }
	var tick, beat func()
	tick = func() {
		if on() {
			k.w.Tick()
			n.w.at(10*time.Millisecond, tick)
		}
	}
	beat = func() {
		if on() {
			k.beat(0)
			n.w.at(n.w.environment.Beat*95/100+time.Duration(n.w.random.Int63n(int64(n.w.environment.Beat/10))), beat)
		}
	}
	tick()
	beat()
}

// beat tells the agent of the worker, again if there is no answer in a second.
func (k *invokedNode) beat(tries int) {
	w, gen := k.node.w, k.gen
	k.seq++
	b := wire.WorkerBeat{Life: k.w.ID, To: k.node.addr, Seq: k.seq, Rack: k.make.Rack, Labels: k.make.Labels, Kinds: k.make.Kinds,
		Room: k.make.Room, Clock: k.w.Clock()}
	if k.goes != 0 {
		b.Leaving, b.LeaveMS = true, max(1, k.goes.Sub(k.node.mono()).Milliseconds())
	}
	over := false
	send := func() {
		w.request(k.node.addr, k.agent, "beat", "", wire.Body(b), func(a wire.Answer) {
			if over = over || a.Fault == nil; a.Fault == nil && b.Leaving && k.gen == gen && !k.told {
				k.told = true
				w.record(HistoryEvent{What: Leaving, Who: string(b.Life), Shard: k.make.Shard})
			}
		})
	}
	if k.lag > 0 && w.random.Float64() < k.lag {
		w.at(2*time.Second+time.Duration(w.random.Int63n(int64(4*time.Second))), send)
		return
	}
	send()
	w.at(time.Second, func() {
		if !over && k.gen == gen && k.w != nil && tries < 2 {
			k.beat(tries + 1)
		}
	})
}

// kill ends the process; calls are then refused or lost.
func (k *invokedNode) kill(refuses bool) {
	if k.w == nil {
		return
	}
	k.refuses = refuses
	k.node.w.record(HistoryEvent{What: Died, Who: string(k.w.ID), Shard: k.make.Shard})
	k.gen++
	w := k.w
	k.w = nil
	w.Die()
}

// leave has the worker say that it goes within a time, and go then.
func (k *invokedNode) leave(within time.Duration) {
	if k.w == nil || k.goes != 0 {
		return
	}
	w, gen := k.node.w, k.gen
	k.goes = k.node.mono().Add(within)
	k.beat(0)
	w.at(within, func() {
		if k.gen != gen || k.w == nil {
			return
		}
		w.request(k.node.addr, k.agent, "leave", string(k.w.ID), nil, func(wire.Answer) {})
		w.record(HistoryEvent{What: Removed, Who: string(k.w.ID), Shard: k.make.Shard, Text: within.String()})
		k.kill(true)
	})
}

// heal ends what is wrong with the worker.
func (k *invokedNode) heal() {
	k.hangs, k.lates, k.lag = false, 0, 0
	if k.w == nil {
		k.boot()
		return
	}
	k.w.Still, k.w.Sick = false, false
	k.w.Slow, k.w.Fails = max(1, k.make.Slow), k.make.Fails
}

// take is a call that has come to the worker's address.
func (k *invokedNode) take(c wire.WorkerCall, reply func(wire.WorkerReply)) {
	w, gen := k.node.w, k.gen
	mute := func(wire.WorkerReply) {}
	switch {
	case k.w == nil && k.refuses:
		reply(wire.WorkerReply{Result: wire.Closed})
	case k.w == nil:
	case k.lates > 0 && w.random.Float64() < k.lates:
		w.at(2*time.Second+time.Duration(w.random.Int63n(int64(10*time.Second))), func() {
			if k.gen == gen && k.w != nil {
				k.w.late = true
				k.w.Do(c, mute)
				k.w.late = false
			}
		})
	case k.hangs:
		if w.random.Intn(2) == 0 {
			k.w.Do(c, mute)
		}
	default:
		k.w.Do(c, reply)
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
		r.No = c.No
		if w.TamperReply != nil {
			w.TamperReply(c, &r)
		}
		n.deliver(func() { n.step(wire.Event{Reply: &r}) })
	}
	w.at(c.Limit, func() { back(wire.WorkerReply{Result: wire.Silent}) })
	w.transmit(n.addr, c.To, func() {
		if k := w.invokedAt[c.To]; k != nil {
			k.take(c, func(r wire.WorkerReply) { w.transmit(c.To, n.addr, func() { back(r) }) })
		}
	})
}
