// A whole simulated run: a deployment set up, its traffic, faults drawn from the
// seed, the time after them, and the checks.

package sim

import (
	"fmt"
	"math/rand"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/settings"
	"coppercourse/internal/types"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
	"coppercourse/sim/world"
)

// Plan is what a run does.
type Plan struct {
	Seed       int64
	Deployment string
	Faults     []string // names from the table of faults; none: no faults
	FaultCount int      // how many faults
	Before     time.Duration
	FaultsFor  time.Duration
	After      time.Duration     // traffic goes on after the faults
	Settle     time.Duration     // no new traffic; all must end
	Patience   time.Duration     // of every queue
	LastFault  bool              // one more fault at the very end of the traffic
	Unguarded  bool              // invoked workers guard nothing
	Timeouts   protocol.Timeouts // of agents and controllers; the defaults if not set
	Quick      bool              // the pace is the quick one, of elections too
}

// Run is a world with a deployment in it.
type Run struct {
	*world.World
	Plan         Plan
	Clients      *Clients
	controllers  []*world.Node
	gateways     []*world.Node
	agents       []*world.Node
	zones        map[types.Zone][]types.Addr
	drained      map[string]bool // racks that an operator drains
	endedAt      int64
	affected     []types.Addr // whom the trouble at hand touches; nil: everybody
	realDeadline time.Time    // of real time, for runs that measure; they give up then
}

// New sets the plan's deployment up: its controllers, gateways, agents and their workers.
func New(p Plan) *Run { return newRun(p, deployment.Named(p.Deployment)) }

func newRun(p Plan, d deployment.Deployment) *Run {
	r := &Run{World: world.New(p.Seed), Plan: p, zones: map[types.Zone][]types.Addr{}, drained: map[string]bool{}}
	if d.Invoked() {
		r.Environment = worker.NewEnvironment(*d.WorkerRules)
	}
	if p.Quick {
		r.Timeouts, r.RaftTimeouts = settings.QuickTimeouts.Dispatch(), settings.QuickTimeouts.Raft()
	}
	if p.Timeouts != (protocol.Timeouts{}) {
		r.Timeouts = p.Timeouts
	}
	r.addDaemons(d.Size)
	r.addWorkers(d)
	r.scheduleBoots()
	r.Clients = &Clients{
		world:           r.World,
		deployment:      d,
		address:         "caller",
		open:            true,
		CancelRate:      0.04,
		RacingOperators: true,
		Refusals:        map[apierror.Kind]int{},
		MaxRetries:      30,
		cancelDelays:    map[types.JobID]time.Duration{},
	}
	for _, g := range r.gateways {
		r.Clients.gateways = append(r.Clients.gateways, g.Addr)
	}
	r.Network.Quality = usualQuality
	return r
}

// usualQuality is that of the network while no fault changes it.
var usualQuality = world.NetworkQuality{LossRate: 0.001, DuplicateRate: 0.001, DelayRate: 0.001}

// addDaemons adds controllers and gateways, and the seeds that all daemons are given.
func (r *Run) addDaemons(size deployment.Size) {
	r.Seeds = []types.Addr{"h1", "g1", "w1"}
	for i := range size.Founders {
		r.Founders = append(r.Founders, types.Addr(fmt.Sprintf("h%d", i+1)))
		r.Seeds = r.Founders
	}
	for i := range size.Controllers {
		n := r.AddController(types.Addr(fmt.Sprintf("h%d", i+1)), size.Zone(i))
		n.FirstStart = true
		r.controllers = append(r.controllers, n)
	}
	for i := range size.Gateways {
		r.gateways = append(r.gateways, r.AddGateway(types.Addr(fmt.Sprintf("g%d", i+1)), size.Zone(i)))
	}
}

// addWorkers adds the workers of a deployment, and an agent beside each.
func (r *Run) addWorkers(d deployment.Deployment) {
	for i, spec := range d.Workers() {
		zone := d.Size.Zone(i)
		agent, worker := types.Addr(fmt.Sprintf("w%d", i+1)), types.Addr(fmt.Sprintf("k%d", i+1))
		r.agents = append(r.agents, r.AddAgent(agent, zone, spec))
		if d.Invoked() {
			spec.RejectsOverload = !r.Plan.Unguarded
			r.AddInvokedWorker(worker, agent, zone, spec)
		} else {
			r.AddPollingWorker(worker, agent, zone, spec)
		}
	}
}

const (
	daemonBootSpread = 300 * time.Millisecond
	workerBootSpread = 500 * time.Millisecond
)

// scheduleBoots has all processes start, each at a moment of its own.
func (r *Run) scheduleBoots() {
	atMoment := func(spread time.Duration, boot func()) {
		r.After(time.Duration(r.Random.Int63n(int64(spread))), boot)
	}
	for _, a := range r.NodeOrder {
		n := r.Nodes[a]
		r.zones[n.Zone] = append(r.zones[n.Zone], a)
		if n.NewMachine != nil {
			atMoment(daemonBootSpread, n.Boot)
		}
	}
	for _, p := range r.PollingWorkers {
		atMoment(workerBootSpread, p.Boot)
	}
	for _, k := range r.InvokedWorkers {
		atMoment(workerBootSpread, k.Boot)
	}
}

// Execute does the whole run.
func (r *Run) Execute() *Run {
	p := r.Plan
	t := r.Clients.deployment.Table()
	for i := range t.Queues {
		t.Queues[i].UnresolvedTimeoutMillis = int(p.Patience.Milliseconds())
		if p.Patience < 10*time.Second {
			t.Queues[i].PartitionTimeoutMillis = t.Queues[i].UnresolvedTimeoutMillis
		}
	}
	r.After(3*time.Second, func() { r.Clients.putTable(t, r.Clients.anyGateway(), 0, func(bool) {}) })
	r.After(6*time.Second, func() {
		if r.startTraffic(); r.Clients.deployment.Invoked() {
			r.Clients.startVersioningOperators()
		} else {
			r.Clients.startRacingOperators()
		}
		r.startTableReads()
	})
	from := 6*time.Second + p.Before
	r.RunUntil(from)
	for range p.FaultCount {
		d := time.Duration(r.Random.Int63n(int64(p.FaultsFor * 8 / 10)))
		name := p.Faults[r.Random.Intn(len(p.Faults))]
		long := time.Duration(300+r.Random.Intn(6000)) * time.Millisecond
		r.After(d, func() { r.injectFault(name, long) })
	}
	r.RunUntil(from + p.FaultsFor)
	r.Heal()
	r.RunUntil(from + p.FaultsFor + p.After)
	if p.LastFault {
		r.injectFault(p.Faults[r.Random.Intn(len(p.Faults))], 2*time.Second)
	}
	r.Clients.open = false
	r.RunUntil(from + p.FaultsFor + p.After + 3*time.Second)
	r.Heal()
	r.RunUntil(from + p.FaultsFor + p.After + p.Settle)
	r.endedAt = r.Now()
	return r
}

func (r *Run) startTableReads() {
	r.After(700*time.Millisecond, func() {
		if r.Clients.open {
			r.Clients.readTable(nil)
			r.startTableReads()
		}
	})
}

// Heal ends all faults: everything that is down starts, all cuts go.
func (r *Run) Heal() {
	r.Network.HealPartitions()
	r.Network.ClearResets()
	r.Network.AckLossRate, r.Clients.BurstFactor = 0, 0
	r.ClearWatchers()
	r.Network.Quality = usualQuality
	for _, a := range r.NodeOrder {
		n := r.Nodes[a]
		if n.NewMachine == nil {
			continue
		}
		n.Thaw()
		if n.Disk != nil {
			n.Disk.ExtraLatency, n.Disk.StalledUntil, n.Disk.Full = 0, 0, false
		}
		if n.Machine == nil {
			n.Boot()
		}
	}
	for _, h := range r.PollingWorkers {
		h.SetLeaving(false, 0)
		h.Thaw()
		if h.Worker == nil {
			h.Boot()
		}
		h.Worker.WorkerSpec = h.Spec
		if h.Worker.Slowdown == 0 {
			h.Worker.Slowdown = 1
		}
	}
	for _, k := range r.InvokedWorkers {
		k.Heal()
	}
	r.Record(history.Event{Kind: history.FaultsHealed})
}

// startTraffic begins all that a deployment's callers send.
func (r *Run) startTraffic() {
	for _, s := range r.Clients.deployment.Streams {
		r.Clients.startStream(s)
	}
	if !r.Clients.deployment.Invoked() {
		for _, f := range append(r.Clients.deployment.Flows[:3:3], r.Clients.deployment.LongGangs()) {
			r.Clients.startFlow(f)
		}
	}
}

func pickOne[T any](rnd *rand.Rand, list []T) T { return list[rnd.Intn(len(list))] }
