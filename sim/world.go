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
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/gateway"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

const (
	tickInterval = 20 * time.Millisecond
	maxBacklog   = 20_000
)

type node struct {
	world           *World
	addr            types.Addr
	role            string
	zone            types.Zone
	machine         wire.Machine
	newMachine      func(*node) wire.Machine
	incarnation     int
	firstStart      bool // a controller of the first start; a lost disk ends that
	frozen          bool
	backlog         []func()
	clockBase       types.MonoTime
	clockDrift      float64
	wallOffset      time.Duration
	disk            *disk
	pendingRequests map[uint64]pendingRequest
	lastToken       uint64
	stopping        bool
	usage           Usage
	stepTimes       *hdrhistogram.Histogram // its steps' times in nanoseconds, if wanted
	slowness        float64                 // how many times slower its processor is
	processor       *processor              // where steps take time
}

// pendingRequest is one that a node has not answered.
type pendingRequest struct {
	verb     wire.Verb
	onAnswer func(wire.Response)
}

// World is one run.
type World struct {
	random           *rand.Rand
	now              int64
	lastSequence     uint64
	scheduled        eventHeap
	partitioned      map[addressPair]bool
	extraDelay       map[addressPair]time.Duration
	network          NetworkQuality
	nodes            map[types.Addr]*node
	nodeOrder        []types.Addr
	pollingWorkers   []*pollingNode
	invokedWorkers   []*invokedNode
	invokedByAddress map[types.Addr]*invokedNode // by where they are called
	environment      *worker.Environment
	timeouts         protocol.Timeouts
	raftTimeouts     raft.Timeouts
	History          history.History
	seeds            []types.Addr
	founders         []types.Addr                            // that found the cluster together, where they are named
	Metering         bool                                    // count what every daemon spends
	regionDelay      func(from, to types.Addr) time.Duration // more than within a region, one way
	StepCosts        *Costs                                  // of steps; where none are given, a step takes no time
	LoopBugs         LoopBugs
	AfterStep        func(*node) // once a node's step is carried out
	// Planted bugs: what is sent, asked and answered may be changed on its way,
	// and a note for which Tamper is false is never sent.
	TamperMessage func(s *wire.OutboundMessage) bool
	TamperRequest func(verb wire.Verb, body *json.RawMessage)
	TamperAnswer  func(verb wire.Verb, a *wire.Response)
	// What one daemon answers may be changed, too; an answer for which it is false is lost.
	TamperAnswerOf func(daemon types.Addr, verb wire.Verb, a *wire.Response) bool
	// Delivered is told of each message that a daemon takes.
	OnDelivery       func(to types.Addr, m wire.Message)
	watchers         []watcher            // of the history, for faults that strike when something happens
	connectionResets map[types.Addr]int64 // when a daemon's connections were reset last
	ackLossRate      float64              // part of the acknowledgements to operators that are lost
	tableStaleAfter  time.Duration        // how old a gateway's confirmation of the table may be; 0 is the default
	// Calls to workers and their replies may be changed on their way, too.
	TamperCall  func(c *wire.WorkerCall)
	TamperReply func(c wire.WorkerCall, r *wire.WorkerReply)
}

func NewWorld(seed int64) *World {
	return &World{random: rand.New(rand.NewSource(seed)), partitioned: map[addressPair]bool{}, connectionResets: map[types.Addr]int64{}, extraDelay: map[addressPair]time.Duration{}, nodes: map[types.Addr]*node{},
		invokedByAddress: map[types.Addr]*invokedNode{}, timeouts: protocol.DefaultTimeouts, raftTimeouts: raft.DefaultTimeouts}
}

// RunUntil lets the world go on until a time.
func (w *World) RunUntil(until time.Duration) {
	for len(w.scheduled) > 0 && w.scheduled[0].at <= int64(until) {
		p := heap.Pop(&w.scheduled).(scheduledEvent)
		w.now = p.at
		p.run()
	}
	w.now = int64(until)
}

func (w *World) record(h history.Event) {
	h.At = w.now
	if h.Kind == history.JobSubmitted && w.environment != nil {
		w.environment.JobSubmitted(h.Job, h.Spec)
	}
	w.History.Add(h)
	w.notifyWatchers(h)
}

func (w *World) addNode(addr types.Addr, role string, zone types.Zone, make func(*node) wire.Machine) *node {
	n := &node{world: w, addr: addr, role: role, zone: zone, newMachine: make, pendingRequests: map[uint64]pendingRequest{},
		clockBase: types.MonoTime(w.random.Int63n(1 << 50)), clockDrift: 1 + (w.random.Float64()-0.5)*4e-4}
	if role == "controller" {
		n.disk = &disk{world: w, usage: &n.usage}
	}
	w.nodes[addr], w.nodeOrder = n, append(w.nodeOrder, addr)
	return n
}

func (n *node) monotonic() types.MonoTime {
	return n.clockBase + types.MonoTime(float64(n.world.now)*n.clockDrift)
}

func (n *node) clockReading() types.Now {
	return types.Now{Mono: n.monotonic(), Wall: types.WallTime(history.WallClockStart + n.world.now + int64(n.wallOffset))}
}

// boot starts the node's process.
func (n *node) boot() {
	if n.newMachine == nil {
		return
	}
	n.incarnation++
	n.frozen, n.backlog, n.stopping = false, nil, false
	clear(n.pendingRequests)
	if n.world.StepCosts != nil {
		n.processor = newProcessor(n, *n.world.StepCosts)
	}
	n.machine = n.newMachine(n)
	n.step(wire.Event{})
	gen := n.incarnation
	var beat func()
	beat = func() {
		if n.incarnation == gen && n.machine != nil {
			if !n.frozen {
				n.step(wire.Event{})
			}
			n.world.after(tickInterval, beat)
		}
	}
	n.world.after(time.Duration(n.world.random.Int63n(int64(tickInterval))), beat)
}

// kill ends the process at once; what the disk had not synced is torn.
func (n *node) kill() {
	if n.machine != nil {
		n.world.record(history.Event{Kind: history.DaemonStopped, Process: n.processName()})
	}
	n.incarnation++
	n.machine, n.frozen, n.backlog = nil, false, nil
	if n.disk != nil {
		n.disk.losePower()
	}
}

// deliver gives the node an event, at the thaw if it is frozen.
func (n *node) deliver(run func()) {
	switch {
	case n.machine == nil:
	case n.frozen:
		if len(n.backlog) < maxBacklog {
			n.backlog = append(n.backlog, run)
		}
	default:
		run()
	}
}

// processName tells one process at an address from the next.
func (n *node) processName() string { return fmt.Sprintf("%s.%d", n.addr, n.incarnation) }

// recordDelivery writes down that a daemon is told of ends by an agent.
func (n *node) recordDelivery(message wire.Message) {
	if n.world.OnDelivery != nil {
		n.world.OnDelivery(n.addr, message)
	}
	if message.Kind != wire.StatusReport {
		return
	}
	u, _ := wire.DecodeBody[protocol.UpdateStatus](message)
	for _, e := range u.Ends {
		if e.Outcome == state.OutcomeOK || e.Outcome == state.OutcomeFailed {
			n.world.record(history.Event{Kind: history.EndReported, Process: n.processName(), Attempt: e.ID, Outcome: e.Outcome})
		}
	}
}

func (n *node) freeze() { n.frozen = n.machine != nil }

func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	list := n.backlog
	n.backlog = nil
	for _, run := range list {
		n.deliver(run)
	}
}

func (n *node) step(e wire.Event) {
	if n.processor != nil {
		n.processor.enqueue(e)
		return
	}
	e.Now = n.clockReading()
	n.carryOut(n.stepMachine(e))
}

// carryOut carries out what a step wants done.
func (n *node) carryOut(out wire.Effects) {
	w, gen := n.world, n.incarnation
	m := requestMeter{}
	for _, s := range out.Messages {
		if w.TamperMessage != nil && !w.TamperMessage(&s) {
			continue
		}
		first := w.Metering && m.first(s.To)
		if w.Metering {
			countTransfer(&n.usage, nil, s.Message, first)
		}
		w.transmit(n.addr, s.To, func() {
			if t := w.nodes[s.To]; t != nil {
				message := s.Message
				t.deliver(func() {
					if w.Metering {
						countTransfer(nil, &t.usage, message, first)
					}
					t.step(wire.Event{Message: &message})
				})
			}
		})
	}
	for _, c := range out.Calls {
		w.callWorker(n, c)
	}
	if out.Records != nil {
		n.disk.enqueue(diskWrite{out.Records, out.BatchNumber, out.ReplaceLog, func(seq uint64) {
			if n.incarnation == gen {
				n.deliver(func() { n.step(wire.Event{Synced: seq}) })
			}
		}})
	}
	for _, a := range out.Responses {
		n.answerRequest(a)
	}
	if w.AfterStep != nil {
		w.AfterStep(n)
	}
	if n.stopping && out.Drained {
		n.kill()
	}
}

// answerRequest ends a request.
func (n *node) answerRequest(a wire.Response) {
	q, ok := n.pendingRequests[a.Token]
	if !ok {
		return
	}
	delete(n.pendingRequests, a.Token)
	if n.processor != nil {
		n.processor.requestAnswered(a.Token, q.verb)
	}
	q.onAnswer(a)
}

// stepMachine gives the machine an event and counts the time that it takes.
func (n *node) stepMachine(e wire.Event) wire.Effects {
	if e.Message != nil {
		n.recordDelivery(*e.Message)
	}
	if !n.world.Metering {
		return n.machine.Step(e)
	}
	from := time.Now()
	out := n.machine.Step(e)
	took := time.Since(from)
	n.usage.CPU += took
	n.usage.Steps++
	if n.stepTimes != nil {
		n.stepTimes.RecordValue(int64(took))
	}
	return out
}

// request carries a request from an address to a node and the answer back.
func (w *World) request(from, to types.Addr, verb wire.Verb, argument string, body json.RawMessage, onAnswer func(wire.Response)) {
	w.requestObserved(from, to, verb, argument, body, func(*node) {}, onAnswer)
}

// requestObserved does so and tells when the node takes the request up.
func (w *World) requestObserved(from, to types.Addr, verb wire.Verb, argument string, body json.RawMessage, onReceived func(*node), onAnswer func(wire.Response)) {
	if w.TamperRequest != nil {
		w.TamperRequest(verb, &body)
	}
	w.transmit(from, to, func() {
		n := w.nodes[to]
		if n == nil {
			return
		}
		n.deliver(func() {
			onReceived(n)
			n.lastToken++
			n.pendingRequests[n.lastToken] = pendingRequest{verb, func(a wire.Response) {
				if w.TamperAnswer != nil {
					w.TamperAnswer(verb, &a)
				}
				if w.TamperAnswerOf != nil && !w.TamperAnswerOf(to, verb, &a) {
					return
				}
				if w.losesAcknowledgement(verb, a) {
					return
				}
				w.transmit(to, from, func() { onAnswer(a) })
			}}
			n.step(wire.Event{Request: &wire.Request{Token: n.lastToken, Verb: verb, Arg: argument, Body: body}})
		})
	})
}

// newRandom gives a machine randomness of its own, from the world's.
func (w *World) newRandom() *rand.Rand { return rand.New(rand.NewSource(w.random.Int63())) }

func (w *World) addController(addr types.Addr, zone types.Zone) *node {
	return w.addNode(addr, "controller", zone, func(n *node) wire.Machine {
		recs, keep, err := wal.Scan(n.disk.synced)
		if err != nil {
			recs, keep = nil, 0
		}
		n.disk.synced = n.disk.synced[:keep]
		core := w.raftTimeouts
		core.AuthorityLease = w.timeouts.AgentLease
		return controller.New(n.clockReading(), w.newRandom(), controller.Options{Addr: addr, Zone: zone, Seeds: w.seeds,
			Bootstrap: raft.BootstrapOptions{FirstStart: n.firstStart && !n.disk.wiped, Founders: w.founders}, RaftTimeouts: core, DispatchTimeouts: w.timeouts, SnapshotThreshold: 600}, recs)
	})
}

func (w *World) addGateway(addr types.Addr, zone types.Zone) *node {
	return w.addNode(addr, "gateway", zone, func(n *node) wire.Machine {
		return gateway.New(n.clockReading(), w.newRandom(), gateway.Options{Addr: addr, Zone: zone, Seeds: w.seeds, StaleAfter: w.tableStaleAfter})
	})
}

func (w *World) addAgent(addr types.Addr, zone types.Zone, m history.WorkerSpec) *node {
	return w.addNode(addr, "agent", zone, func(n *node) wire.Machine {
		return agent.New(n.clockReading(), w.newRandom(), agent.Options{Addr: addr, Zone: zone, Shard: m.Shard, Seeds: w.seeds, Timeouts: w.timeouts})
	})
}
