// The simulator: one seeded world in virtual time that carries the daemons'
// own machines. Every node has clocks of its own that drift, and walls that
// jump; a frozen node gets nothing until it thaws and then all of it at once.
package sim

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/dispatch"
	"coppercourse/internal/gateway"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
)

const (
	tick   = 20 * time.Millisecond
	origin = int64(1_700_000_000_000_000_000) // the true wall clock at the start
	backed = 20_000
)

type node struct {
	w               *World
	addr            types.Addr
	role            string
	zone            types.Zone
	shard           types.Shard
	m               wire.Machine
	make            func(*node) wire.Machine
	gen             int
	first           bool // a controller of the first start; a lost disk ends that
	frozen          bool
	queue           []func()
	base            types.MonoTime
	drift           float64
	wall            time.Duration
	disk            *disk
	pendingRequests map[uint64]pendingRequest
	token           uint64
	closes          bool
	usage           Usage
	stepTimes       *hdrhistogram.Histogram // its steps' times in nanoseconds, if wanted
	slowness        float64                 // how many times slower its processor is
	processor       *processor              // where steps take time
}

// pendingRequest is one that a node has not answered.
type pendingRequest struct {
	verb string
	back func(wire.Response)
}

// World is one run.
type World struct {
	random         *rand.Rand
	now            int64
	seq            uint64
	agenda         agenda
	cut            map[pair]bool
	lag            map[pair]time.Duration
	network        NetworkQuality
	nodes          map[types.Addr]*node
	order          []types.Addr
	pollingWorkers []*pollingNode
	invokedWorkers []*invokedNode
	invokedAt      map[types.Addr]*invokedNode // by where they are called
	environment    *WorkerEnvironment
	timeouts       dispatch.Timeouts
	raftTimeouts   raft.Timeouts
	Hist           History
	seeds          []types.Addr
	founders       []types.Addr                            // that found the cluster together, where they are named
	Meter          bool                                    // count what every daemon spends
	distance       func(from, to types.Addr) time.Duration // more than within a region, one way
	Costs          *Costs                                  // of steps; where none are given, a step takes no time
	Order          Order
	After          func(*node) // once a node's step is carried out
	// Planted bugs: what is sent, asked and answered may be changed on its way,
	// and a note for which Tamper is false is never sent.
	TamperMessage func(s *wire.OutboundMessage) bool
	TamperRequest func(verb string, body *json.RawMessage)
	TamperAnswer  func(verb string, a *wire.Response)
	// What one daemon answers may be changed, too; an answer for which it is false is lost.
	TamperAnswerOf func(daemon types.Addr, verb string, a *wire.Response) bool
	// Delivered is told of each message that a daemon takes.
	Delivered  func(to types.Addr, m wire.Message)
	watchers   []watcher            // of the history, for faults that strike when something happens
	resets     map[types.Addr]int64 // when a daemon's connections were reset last
	lostAcks   float64              // part of the acknowledgements to operators that are lost
	staleAfter time.Duration        // how old a gateway's confirmation of the table may be; 0 is the default
	// Calls to workers and their replies may be changed on their way, too.
	TamperCall  func(c *wire.WorkerCall)
	TamperReply func(c wire.WorkerCall, r *wire.WorkerReply)
}

func NewWorld(seed int64) *World {
	return &World{random: rand.New(rand.NewSource(seed)), cut: map[pair]bool{}, resets: map[types.Addr]int64{}, lag: map[pair]time.Duration{}, nodes: map[types.Addr]*node{},
		invokedAt: map[types.Addr]*invokedNode{}, timeouts: dispatch.Defaults, raftTimeouts: raft.DefaultTimeouts}
}

// Run lets the world go on until a time.
func (w *World) Run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= int64(until) {
		p := heap.Pop(&w.agenda).(pending)
		w.now = p.at
		p.run()
	}
	w.now = int64(until)
}

func (w *World) record(h HistoryEvent) {
	h.At = w.now
	if h.What == Sent && w.environment != nil {
		w.environment.Sent(h.Job, h.Spec)
	}
	w.Hist.Add(h)
	w.notify(h)
}

func (w *World) add(addr types.Addr, role string, zone types.Zone, make func(*node) wire.Machine) *node {
	n := &node{w: w, addr: addr, role: role, zone: zone, make: make, pendingRequests: map[uint64]pendingRequest{},
		base: types.MonoTime(w.random.Int63n(1 << 50)), drift: 1 + (w.random.Float64()-0.5)*4e-4}
	if role == "controller" {
		n.disk = &disk{w: w, use: &n.usage}
	}
	w.nodes[addr], w.order = n, append(w.order, addr)
	return n
}

func (n *node) mono() types.MonoTime { return n.base + types.MonoTime(float64(n.w.now)*n.drift) }

func (n *node) clock() types.Now {
	return types.Now{Mono: n.mono(), Wall: types.WallTime(origin + n.w.now + int64(n.wall))}
}

// boot starts the node's process.
func (n *node) boot() {
	if n.make == nil {
		return
	}
	n.gen++
	n.frozen, n.queue, n.closes = false, nil, false
	clear(n.pendingRequests)
	if n.w.Costs != nil {
		n.processor = newProcessor(n, *n.w.Costs)
	}
	n.m = n.make(n)
	n.step(wire.Event{})
	gen := n.gen
	var beat func()
	beat = func() {
		if n.gen == gen && n.m != nil {
			if !n.frozen {
				n.step(wire.Event{})
			}
			n.w.at(tick, beat)
		}
	}
	n.w.at(time.Duration(n.w.random.Int63n(int64(tick))), beat)
}

// kill ends the process at once; what the disk had not synced is torn.
func (n *node) kill() {
	if n.m != nil {
		n.w.record(HistoryEvent{What: Down, Who: n.name()})
	}
	n.gen++
	n.m, n.frozen, n.queue = nil, false, nil
	if n.disk != nil {
		n.disk.power()
	}
}

// deliver gives the node an event, at the thaw if it is frozen.
func (n *node) deliver(run func()) {
	switch {
	case n.m == nil:
	case n.frozen:
		if len(n.queue) < backed {
			n.queue = append(n.queue, run)
		}
	default:
		run()
	}
}

// name tells one process at an address from the next.
func (n *node) name() string { return fmt.Sprintf("%s.%d", n.addr, n.gen) }

// hears writes down that a daemon is told of ends by an agent.
func (n *node) hears(message wire.Message) {
	if n.w.Delivered != nil {
		n.w.Delivered(n.addr, message)
	}
	if message.Kind != wire.StatusReport {
		return
	}
	u, _ := wire.DecodeBody[dispatch.UpdateStatus](message)
	for _, e := range u.Ends {
		if e.Outcome == state.OutcomeOK || e.Outcome == state.OutcomeFailed {
			n.w.record(HistoryEvent{What: Heard, Who: n.name(), Attempt: e.ID, Outcome: e.Outcome})
		}
	}
}

func (n *node) freeze() { n.frozen = n.m != nil }

func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	list := n.queue
	n.queue = nil
	for _, run := range list {
		n.deliver(run)
	}
}

func (n *node) step(e wire.Event) {
	if n.processor != nil {
		n.processor.put(e)
		return
	}
	e.Now = n.clock()
	n.emit(n.run(e))
}

// emit carries out what a step wants done.
func (n *node) emit(out wire.Effects) {
	w, gen := n.w, n.gen
	m := meter{}
	for _, s := range out.Messages {
		if w.TamperMessage != nil && !w.TamperMessage(&s) {
			continue
		}
		first := w.Meter && m.first(s.To)
		if w.Meter {
			transfer(&n.usage, nil, s.Message, first)
		}
		w.transmit(n.addr, s.To, func() {
			if t := w.nodes[s.To]; t != nil {
				message := s.Message
				t.deliver(func() {
					if w.Meter {
						transfer(nil, &t.usage, message, first)
					}
					t.step(wire.Event{Message: &message})
				})
			}
		})
	}
	for _, c := range out.Calls {
		w.invoke(n, c)
	}
	if out.Records != nil {
		n.disk.put(write{out.Records, out.BatchNumber, out.ReplaceLog, func(seq uint64) {
			if n.gen == gen {
				n.deliver(func() { n.step(wire.Event{Synced: seq}) })
			}
		}})
	}
	for _, a := range out.Responses {
		n.answer(a)
	}
	if w.After != nil {
		w.After(n)
	}
	if n.closes && out.Drained {
		n.kill()
	}
}

// answer ends a request.
func (n *node) answer(a wire.Response) {
	q, ok := n.pendingRequests[a.Token]
	if !ok {
		return
	}
	delete(n.pendingRequests, a.Token)
	if n.processor != nil {
		n.processor.answered(a.Token, q.verb)
	}
	q.back(a)
}

// run gives the machine an event and counts the time that it takes.
func (n *node) run(e wire.Event) wire.Effects {
	if e.Message != nil {
		n.hears(*e.Message)
	}
	if !n.w.Meter {
		return n.m.Step(e)
	}
	from := time.Now()
	out := n.m.Step(e)
	took := time.Since(from)
	n.usage.CPU += took
	n.usage.Steps++
	if n.stepTimes != nil {
		n.stepTimes.RecordValue(int64(took))
	}
	return out
}

// request carries a request from an address to a node and the answer back.
func (w *World) request(from, to types.Addr, verb, arg string, body json.RawMessage, back func(wire.Response)) {
	w.requestWith(from, to, verb, arg, body, func(*node) {}, back)
}

// requestWith does so and tells when the node takes the request up.
func (w *World) requestWith(from, to types.Addr, verb, arg string, body json.RawMessage, took func(*node), back func(wire.Response)) {
	if w.TamperRequest != nil {
		w.TamperRequest(verb, &body)
	}
	w.transmit(from, to, func() {
		n := w.nodes[to]
		if n == nil {
			return
		}
		n.deliver(func() {
			took(n)
			n.token++
			n.pendingRequests[n.token] = pendingRequest{verb, func(a wire.Response) {
				if w.TamperAnswer != nil {
					w.TamperAnswer(verb, &a)
				}
				if w.TamperAnswerOf != nil && !w.TamperAnswerOf(to, verb, &a) {
					return
				}
				if w.losesAck(verb, a) {
					return
				}
				w.transmit(to, from, func() { back(a) })
			}}
			n.step(wire.Event{Request: &wire.Request{Token: n.token, Verb: verb, Arg: arg, Body: body}})
		})
	})
}

// chance gives a machine randomness of its own, from the world's.
func (w *World) chance() *rand.Rand { return rand.New(rand.NewSource(w.random.Int63())) }

func (w *World) controller(addr types.Addr, zone types.Zone) *node {
	return w.add(addr, "controller", zone, func(n *node) wire.Machine {
		recs, keep, err := wal.Scan(n.disk.synced)
		if err != nil {
			recs, keep = nil, 0
		}
		n.disk.synced = n.disk.synced[:keep]
		core := w.raftTimeouts
		core.AuthorityLease = w.timeouts.AgentLease
		return controller.New(n.clock(), w.chance(), controller.Options{Addr: addr, Zone: zone, Seeds: w.seeds,
			Bootstrap: raft.BootstrapOptions{FirstStart: n.first && !n.disk.wiped, Founders: w.founders}, RaftTimeouts: core, DispatchTimeouts: w.timeouts, SnapshotThreshold: 600}, recs)
	})
}

func (w *World) gateway(addr types.Addr, zone types.Zone) *node {
	return w.add(addr, "gateway", zone, func(n *node) wire.Machine {
		return gateway.New(n.clock(), w.chance(), gateway.Options{Addr: addr, Zone: zone, Seeds: w.seeds, Stale: w.staleAfter})
	})
}

func (w *World) agent(addr types.Addr, zone types.Zone, m WorkerSpec) *node {
	n := w.add(addr, "agent", zone, func(n *node) wire.Machine {
		return agent.New(n.clock(), w.chance(), agent.Place{Addr: addr, Zone: zone, Shard: m.Shard, Seeds: w.seeds, Truth: w.timeouts})
	})
	n.shard = m.Shard
	return n
}
