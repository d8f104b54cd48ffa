// A whole simulated run: a deployment set up, its traffic, faults drawn from the
// seed, the time after them, and the checks.
package sim

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/settings"
	"coppercourse/internal/types"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
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
	*World
	Plan         Plan
	Clients      *Clients
	controllers  []*node
	gateways     []*node
	agents       []*node
	zones        map[types.Zone][]types.Addr
	drained      map[string]bool // racks that an operator drains
	endedAt      int64
	affected     []types.Addr // whom the trouble at hand touches; nil: everybody
	realDeadline time.Time    // of real time, for runs that measure; they give up then
}

// New sets the plan's deployment up: its controllers, gateways, agents and their workers.
func New(p Plan) *Run { return newRun(p, deployment.ByName[p.Deployment]) }

func newRun(p Plan, deployment deployment.Deployment) *Run {
	r := &Run{World: NewWorld(p.Seed), Plan: p, zones: map[types.Zone][]types.Addr{}, drained: map[string]bool{}}
	size := deployment.Size
	if deployment.Invoked() {
		r.environment = worker.NewEnvironment(*deployment.WorkerRules)
	}
	if p.Quick {
		r.timeouts, r.raftTimeouts = settings.QuickTimeouts.Dispatch(), settings.QuickTimeouts.Raft()
	}
	if p.Timeouts != (protocol.Timeouts{}) {
		r.timeouts = p.Timeouts
	}
	r.seeds = []types.Addr{"h1", "g1", "w1"}
	for i := range size.Founders {
		r.founders = append(r.founders, types.Addr(fmt.Sprintf("h%d", i+1)))
		r.seeds = r.founders
	}
	for i := range size.Controllers {
		n := r.addController(types.Addr(fmt.Sprintf("h%d", i+1)), size.Zone(i))
		n.firstStart = true
		r.controllers = append(r.controllers, n)
	}
	for i := range size.Gateways {
		r.gateways = append(r.gateways, r.addGateway(types.Addr(fmt.Sprintf("g%d", i+1)), size.Zone(i)))
	}
	for i, m := range deployment.Workers() {
		a := types.Addr(fmt.Sprintf("w%d", i+1))
		r.agents = append(r.agents, r.addAgent(a, size.Zone(i), m))
		if deployment.Invoked() {
			m.RejectsOverload = !p.Unguarded
			r.addInvokedWorker(types.Addr(fmt.Sprintf("k%d", i+1)), a, size.Zone(i), m)
			continue
		}
		r.addPollingWorker(types.Addr(fmt.Sprintf("k%d", i+1)), a, size.Zone(i), m)
	}
	for _, a := range r.nodeOrder {
		n := r.nodes[a]
		r.zones[n.zone] = append(r.zones[n.zone], a)
		if n.newMachine != nil {
			r.after(time.Duration(r.random.Int63n(int64(300*time.Millisecond))), n.boot)
		}
	}
	for _, h := range r.pollingWorkers {
		r.after(time.Duration(r.random.Int63n(int64(500*time.Millisecond))), h.boot)
	}
	for _, k := range r.invokedWorkers {
		r.after(time.Duration(r.random.Int63n(int64(500*time.Millisecond))), k.boot)
	}
	r.Clients = &Clients{world: r.World, deployment: deployment, address: "caller", open: true, CancelRate: 0.04, RacingOperators: true, Refusals: map[apierror.Kind]int{},
		MaxRetries: 30, cancelDelays: map[types.JobID]time.Duration{}}
	for _, g := range r.gateways {
		r.Clients.gateways = append(r.Clients.gateways, g.addr)
	}
	r.network = NetworkQuality{LossRate: 0.001, DuplicateRate: 0.001, DelayRate: 0.001}
	return r
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
	r.after(3*time.Second, func() { r.Clients.putTable(t, r.Clients.anyGateway(), 0, func(bool) {}) })
	r.after(6*time.Second, func() {
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
		d := time.Duration(r.random.Int63n(int64(p.FaultsFor * 8 / 10)))
		name := p.Faults[r.random.Intn(len(p.Faults))]
		long := time.Duration(300+r.random.Intn(6000)) * time.Millisecond
		r.after(d, func() { r.injectFault(name, long) })
	}
	r.RunUntil(from + p.FaultsFor)
	r.Heal()
	r.RunUntil(from + p.FaultsFor + p.After)
	if p.LastFault {
		r.injectFault(p.Faults[r.random.Intn(len(p.Faults))], 2*time.Second)
	}
	r.Clients.open = false
	r.RunUntil(from + p.FaultsFor + p.After + 3*time.Second)
	r.Heal()
	r.RunUntil(from + p.FaultsFor + p.After + p.Settle)
	r.endedAt = r.now
	return r
}

func (r *Run) startTableReads() {
	r.after(700*time.Millisecond, func() {
		if r.Clients.open {
			r.Clients.readTable(nil)
			r.startTableReads()
		}
	})
}

// Heal ends all faults: everything that is down starts, all cuts go.
func (r *Run) Heal() {
	clear(r.partitioned)
	clear(r.connectionResets)
	r.ackLossRate, r.watchers, r.Clients.BurstFactor = 0, nil, 0
	r.network = NetworkQuality{LossRate: 0.001, DuplicateRate: 0.001, DelayRate: 0.001}
	for _, a := range r.nodeOrder {
		n := r.nodes[a]
		if n.newMachine == nil {
			continue
		}
		n.thaw()
		if n.disk != nil {
			n.disk.extraLatency, n.disk.stalledUntil, n.disk.full = 0, 0, false
		}
		if n.machine == nil {
			n.boot()
		}
	}
	for _, h := range r.pollingWorkers {
		h.setLeaving(false, 0)
		h.thaw()
		if h.worker == nil {
			h.boot()
		}
		h.worker.WorkerSpec = h.spec
		if h.worker.Slowdown == 0 {
			h.worker.Slowdown = 1
		}
	}
	for _, k := range r.invokedWorkers {
		k.heal()
	}
	r.record(history.Event{Kind: history.FaultsHealed})
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

// injectFault begins a fault and ends it after a while.
func (r *Run) injectFault(name string, duration time.Duration) {
	f := Faults[name]
	if c := ControlFaults[name]; c != nil {
		f = c
	}
	if c := InvokedFaults[name]; c != nil && r.environment != nil {
		f = c
	}
	if f == nil {
		panic("no such fault: " + name)
	}
	r.affected = nil
	end := f(r, duration)
	if end == nil {
		return
	}
	r.record(history.Event{Kind: history.FaultStarted, Text: fmt.Sprintf("%s for %s", name, duration), Affected: r.affected})
	r.after(duration, end)
}

// FaultNames lists the table.
func FaultNames() (list []string) {
	for n := range Faults {
		list = append(list, n)
	}
	sort.Strings(list)
	return
}
