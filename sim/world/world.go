package world

import (
	"encoding/json"
	"math/rand"
	"time"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/gateway"
	"coppercourse/internal/policy"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// Roles of nodes.
const (
	ControllerRole = "controller"
	GatewayRole    = "gateway"
	AgentRole      = "agent"
	WorkerRole     = "worker"
)

// defaultSnapshotThreshold is after how many entries a controller writes a snapshot.
const defaultSnapshotThreshold = 600

// World is all nodes of a run.
type World struct {
	clock
	Options
	Hooks

	Random  *rand.Rand // the only source of randomness
	History history.History
	Network *Network

	Nodes          map[types.Addr]*Node
	NodeOrder      []types.Addr // in which they were added
	PollingWorkers []*PollingNode
	InvokedWorkers []*InvokedNode
	Environment    *worker.Environment // of the invoked workers; nil if there are none

	invokedByAddress map[types.Addr]*InvokedNode
	watchers         []watcher
}

// Options hold for all daemons that start from now on.
type Options struct {
	Seeds           []types.Addr
	Founders        []types.Addr // the controllers that found the cluster together; none means any
	Timeouts        protocol.Timeouts
	RaftTimeouts    raft.Timeouts
	TableStaleAfter time.Duration // how long a confirmation of a gateway's table lasts; 0 means the default
	StepCosts       *Costs        // nil means that steps take no time
	LoopBugs        LoopBugs
	// SnapshotThreshold is after how many entries a controller writes a snapshot at the
	// earliest.
	SnapshotThreshold types.Index
	Metering          bool // count what every daemon spends; also of those that run
	Policy            policy.Policy
}

// Hooks see, and planted bugs change, what passes between nodes. Any may be nil.
type Hooks struct {
	// TamperMessage may change a message. One for which it is false is never sent.
	TamperMessage func(m *wire.OutboundMessage) bool
	// TamperRequest and TamperResponse may change requests and their answers.
	TamperRequest  func(verb wire.Verb, body *json.RawMessage)
	TamperResponse func(verb wire.Verb, answer *wire.Response)
	// TamperDaemonResponse may change an answer of a daemon. One for which it is false is lost.
	TamperDaemonResponse func(daemon types.Addr, verb wire.Verb, answer *wire.Response) bool
	// TamperCall and TamperReply may change calls to invoked workers and their replies.
	TamperCall  func(call *wire.WorkerCall)
	TamperReply func(call wire.WorkerCall, reply *wire.WorkerReply)
	// OnDelivery sees each message that a daemon takes.
	OnDelivery func(to types.Addr, m wire.Message)
	// AfterStep is called once a node's step is carried out.
	AfterStep func(*Node)
}

// New returns a world without nodes.
func New(seed int64) *World {
	return &World{
		Options: Options{
			Timeouts:          protocol.DefaultTimeouts,
			RaftTimeouts:      raft.DefaultTimeouts,
			SnapshotThreshold: defaultSnapshotThreshold,
		},
		Random:           rand.New(rand.NewSource(seed)),
		Network:          newNetwork(),
		Nodes:            map[types.Addr]*Node{},
		invokedByAddress: map[types.Addr]*InvokedNode{},
	}
}

// Record adds an event to the history, now.
func (w *World) Record(event history.Event) {
	event.At = w.now
	if event.Kind == history.JobSubmitted && w.Environment != nil {
		w.Environment.RegisterJob(event.Job, event.Spec)
	}
	w.History.Add(event)
	w.notifyWatchers(event)
}

// newRandom returns a source of randomness for one process.
func (w *World) newRandom() *rand.Rand { return rand.New(rand.NewSource(w.Random.Int63())) }

// AddController adds a controller, which is not running yet.
func (w *World) AddController(addr types.Addr, zone types.Zone) *Node {
	n := w.addNode(addr, ControllerRole, zone, func(n *Node) wire.Machine {
		options := controller.Options{
			Addr:  addr,
			Zone:  zone,
			Seeds: w.Seeds,
			Bootstrap: raft.BootstrapOptions{
				FirstStart: n.FirstStart && !n.Disk.Wiped,
				Founders:   w.Founders,
			},
			RaftTimeouts:      w.RaftTimeouts,
			DispatchTimeouts:  w.Timeouts,
			SnapshotThreshold: w.SnapshotThreshold,
			Policy:            w.Policy,
		}
		options.RaftTimeouts.AuthorityLease = w.Timeouts.AgentLease
		if w.Environment != nil {
			options.RemoteSlowdown = w.Environment.RemoteSlowdown
			options.QuotaExcess = w.Environment.QuotaExcess
		}
		return controller.New(n.ClockReading(), w.newRandom(), options, n.Disk.read())
	})
	n.Disk = &Disk{world: w, usage: &n.Usage}
	return n
}

// AddGateway adds a gateway, which is not running yet.
func (w *World) AddGateway(addr types.Addr, zone types.Zone) *Node {
	return w.addNode(addr, GatewayRole, zone, func(n *Node) wire.Machine {
		options := gateway.Options{
			Addr: addr, Zone: zone, Seeds: w.Seeds, StaleAfter: w.TableStaleAfter, Policy: w.Policy,
		}
		return gateway.New(n.ClockReading(), w.newRandom(), options)
	})
}

// AddAgent adds the agent of a worker, which is not running yet.
func (w *World) AddAgent(addr types.Addr, zone types.Zone, spec history.WorkerSpec) *Node {
	return w.addNode(addr, AgentRole, zone, func(n *Node) wire.Machine {
		options := agent.Options{
			Addr: addr, Zone: zone, Shard: spec.Shard, Seeds: w.Seeds, Timeouts: w.Timeouts, Policy: w.Policy,
		}
		return agent.New(n.ClockReading(), w.newRandom(), options)
	})
}

// clockDriftSpread is between the rates of the fastest and the slowest monotonic clock.
const clockDriftSpread = 4e-4

func (w *World) addNode(addr types.Addr, role string, zone types.Zone, newMachine func(*Node) wire.Machine) *Node {
	n := &Node{
		world:           w,
		Addr:            addr,
		Role:            role,
		Zone:            zone,
		NewMachine:      newMachine,
		clockBase:       types.MonoTime(w.Random.Int63n(1 << 50)),
		clockRate:       1 + (w.Random.Float64()-0.5)*clockDriftSpread,
		pendingRequests: map[uint64]pendingRequest{},
	}
	w.Nodes[addr], w.NodeOrder = n, append(w.NodeOrder, addr)
	return n
}
