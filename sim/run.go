// A simulated run: its plan, and the deployment that it sets up.

package sim

import (
	"fmt"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/settings"
	"coppercourse/internal/types"
	"coppercourse/sim/clients"
	"coppercourse/sim/deployment"
	"coppercourse/sim/worker"
	"coppercourse/sim/world"
)

// Plan is what a run does. Its phases follow one another: Before, FaultPeriod, After, Settle.
type Plan struct {
	Seed                  int64
	Deployment            string            // a name of package deployment
	Faults                []string          // names of the faults to draw from; none: no faults
	FaultCount            int               // how many faults are injected
	Before                time.Duration     // traffic before the faults
	FaultPeriod           time.Duration     // traffic while faults are injected
	After                 time.Duration     // traffic after the faults were healed
	Settle                time.Duration     // no new traffic; all jobs must end
	UnresolvedTimeout     time.Duration     // time-out of every queue for an unresolved attempt
	FaultAtEnd            bool              // one more fault at the very end of the traffic
	WorkersAcceptOverload bool              // invoked workers accept more than their capacity
	Timeouts              protocol.Timeouts // of agents and controllers; zero means the defaults
	DerivedTimeouts       bool              // the timeouts of the quick pace, for elections too
}

// Times of a run's phases.
const (
	firstTableTime   = 3 * time.Second // an operator puts the first table
	trafficStartTime = 6 * time.Second // traffic starts
	finalHealDelay   = 3 * time.Second // after the end of the traffic all is healed once more
)

// faultsStart returns when the first fault may be injected.
func (p Plan) faultsStart() time.Duration { return trafficStartTime + p.Before }

// faultsEnd returns when all faults are healed.
func (p Plan) faultsEnd() time.Duration { return p.faultsStart() + p.FaultPeriod }

// trafficEnd returns when the traffic stops.
func (p Plan) trafficEnd() time.Duration { return p.faultsEnd() + p.After }

// Run is a world with a deployment in it.
type Run struct {
	*world.World
	Plan         Plan
	Clients      *clients.Group
	controllers  []*world.Node // a replaced one is not among them
	gateways     []*world.Node
	agents       []*world.Node
	zones        map[types.Zone][]types.Addr // daemons and workers of each zone
	activeDrains map[string]bool             // targets of the drains that operators have started
	endedAt      int64                       // simulated time in nanoseconds

	// affected are the addresses that the fault being injected affects; nil means that
	// it affects everybody.
	affected []types.Addr

	// wallClockDeadline is when a run that measures gives up, in real time; it has none if zero.
	wallClockDeadline time.Time
}

// New sets up the plan's deployment: controllers, gateways, agents and their workers.
func New(p Plan) *Run { return newRun(p, deployment.Named(p.Deployment)) }

// newRun sets up a deployment that may have no name.
func newRun(p Plan, d deployment.Deployment) *Run {
	r := &Run{
		World:        world.New(p.Seed),
		Plan:         p,
		zones:        map[types.Zone][]types.Addr{},
		activeDrains: map[string]bool{},
	}
	if d.Invoked() {
		r.Environment = worker.NewEnvironment(*d.WorkerRules)
	}
	if p.DerivedTimeouts {
		r.Timeouts, r.RaftTimeouts = settings.MaxDerivedTimeouts.Dispatch(), settings.MaxDerivedTimeouts.Raft()
	}
	if p.Timeouts != (protocol.Timeouts{}) {
		r.Timeouts = p.Timeouts
	}
	r.addDaemons(d.Size)
	r.addWorkers(d)
	r.scheduleBoots()
	r.Clients = clients.New(r.World, d, addressesOf(r.gateways))
	r.Clients.CancelRate = clients.DefaultCancelRate
	r.Clients.ConcurrentOperators = true
	r.Clients.MaxRetries = clients.DefaultMaxRetries
	r.Network.Quality = defaultNetworkQuality
	return r
}

// defaultNetworkQuality is that of the network while no fault changes it.
var defaultNetworkQuality = world.NetworkQuality{LossRate: 0.001, DuplicateRate: 0.001, DelayRate: 0.001}

// addDaemons adds controllers and gateways, and the seeds that all daemons are given.
func (r *Run) addDaemons(size deployment.Size) {
	r.Seeds = []types.Addr{"h1", "g1", "w1"}
	for i := range size.Founders {
		r.Founders = append(r.Founders, numberedAddr("h", i))
		r.Seeds = r.Founders
	}
	for i := range size.Controllers {
		n := r.AddController(numberedAddr("h", i), size.Zone(i))
		n.FirstStart = true
		r.controllers = append(r.controllers, n)
	}
	for i := range size.Gateways {
		r.gateways = append(r.gateways, r.AddGateway(numberedAddr("g", i), size.Zone(i)))
	}
}

// addWorkers adds the workers of a deployment, and an agent beside each.
func (r *Run) addWorkers(d deployment.Deployment) {
	for i, spec := range d.Workers() {
		zone := d.Size.Zone(i)
		agent, worker := numberedAddr("w", i), numberedAddr("k", i)
		r.agents = append(r.agents, r.AddAgent(agent, zone, spec))
		if d.Invoked() {
			spec.RejectsOverload = !r.Plan.WorkersAcceptOverload
			r.AddInvokedWorker(worker, agent, zone, spec)
		} else {
			r.AddPollingWorker(worker, agent, zone, spec)
		}
	}
}

// numberedAddr returns the address of the i-th process of a role, counted from 0.
func numberedAddr(prefix string, i int) types.Addr {
	return types.Addr(fmt.Sprintf("%s%d", prefix, i+1))
}

// The processes of a run boot within these times of its beginning.
const (
	maxDaemonBootDelay = 300 * time.Millisecond
	maxWorkerBootDelay = 500 * time.Millisecond
)

// scheduleBoots boots every process at a random time.
func (r *Run) scheduleBoots() {
	bootWithin := func(spread time.Duration, boot func()) {
		r.After(time.Duration(r.Random.Int63n(int64(spread))), boot)
	}
	for _, a := range r.NodeOrder {
		n := r.Nodes[a]
		r.zones[n.Zone] = append(r.zones[n.Zone], a)
		if n.NewMachine != nil {
			bootWithin(maxDaemonBootDelay, n.Start)
		}
	}
	for _, p := range r.PollingWorkers {
		bootWithin(maxWorkerBootDelay, p.Start)
	}
	for _, i := range r.InvokedWorkers {
		bootWithin(maxWorkerBootDelay, i.Start)
	}
}
