// A whole simulated run: a deployment set up, its traffic, faults drawn from the
// seed, the time after them, and the checks.
package sim

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch"
	"coppercourse/internal/settings"
	"coppercourse/internal/types"
)

// Plan is what a run does.
type Plan struct {
	Seed       int64
	Deployment string
	Faults     []string // names from the table of faults; none: no faults
	Count      int      // how many faults
	Before     time.Duration
	FaultsFor  time.Duration
	After      time.Duration     // traffic goes on after the faults
	Settle     time.Duration     // no new traffic; all must end
	Patience   time.Duration     // of every queue
	Last       bool              // one more fault at the very end of the traffic
	Unguarded  bool              // invoked workers guard nothing
	Timeouts   dispatch.Timeouts // of agents and controllers; the defaults if not set
	Quick      bool              // the pace is the quick one, of elections too
}

// Run is a world with a deployment in it.
type Run struct {
	*World
	Plan        Plan
	Clients     *Clients
	controllers []*node
	gateways    []*node
	agents      []*node
	zones       map[types.Zone][]types.Addr
	spare       int
	drains      map[string]bool // racks that an operator drains
	done        int64
	affected    []types.Addr // whom the trouble at hand touches; nil: everybody
	Messages    []string
	until       time.Time // of real time, for runs that measure; they give up then
}

// Build sets the plan's deployment up: its controllers, gateways, agents and their workers.
func Build(p Plan) *Run { return build(p, Deployments[p.Deployment]) }

func build(p Plan, deployment Deployment) *Run {
	r := &Run{World: NewWorld(p.Seed), Plan: p, zones: map[types.Zone][]types.Addr{}, drains: map[string]bool{}}
	size := deployment.size()
	if deployment.WorkerRules != nil {
		r.environment = NewWorkerEnvironment(*deployment.WorkerRules)
	}
	if p.Quick {
		r.timeouts, r.raftTimeouts = settings.QuickTimeouts.Dispatch(), settings.QuickTimeouts.Raft()
	}
	if p.Timeouts != (dispatch.Timeouts{}) {
		r.timeouts = p.Timeouts
	}
	r.seeds = []types.Addr{"h1", "g1", "w1"}
	for i := range size.Founders {
		r.founders = append(r.founders, types.Addr(fmt.Sprintf("h%d", i+1)))
		r.seeds = r.founders
	}
	for i := range size.Controllers {
		n := r.controller(types.Addr(fmt.Sprintf("h%d", i+1)), size.zone(i))
		n.first = true
		r.controllers = append(r.controllers, n)
	}
	for i := range size.Gateways {
		r.gateways = append(r.gateways, r.gateway(types.Addr(fmt.Sprintf("g%d", i+1)), size.zone(i)))
	}
	for i, m := range deployment.Workers() {
		a := types.Addr(fmt.Sprintf("w%d", i+1))
		r.agents = append(r.agents, r.agent(a, size.zone(i), m))
		if deployment.WorkerRules != nil {
			m.Guards = !p.Unguarded
			r.addInvokedWorker(types.Addr(fmt.Sprintf("k%d", i+1)), a, size.zone(i), m)
			continue
		}
		r.worker(types.Addr(fmt.Sprintf("k%d", i+1)), a, size.zone(i), m)
	}
	for _, a := range r.order {
		n := r.nodes[a]
		r.zones[n.zone] = append(r.zones[n.zone], a)
		if n.make != nil {
			r.at(time.Duration(r.random.Int63n(int64(300*time.Millisecond))), n.boot)
		}
	}
	for _, h := range r.pollingWorkers {
		r.at(time.Duration(r.random.Int63n(int64(500*time.Millisecond))), h.boot)
	}
	for _, k := range r.invokedWorkers {
		r.at(time.Duration(r.random.Int63n(int64(500*time.Millisecond))), k.boot)
	}
	r.Clients = &Clients{w: r.World, deployment: deployment, addr: "caller", open: true, Cancel: 0.04, Races: true, Count: map[apierror.Kind]int{},
		Tries: 30, cancels: map[types.JobID]time.Duration{}}
	for _, g := range r.gateways {
		r.Clients.gateways = append(r.Clients.gateways, g.addr)
	}
	r.network = NetworkQuality{Loss: 0.001, Twice: 0.001, Late: 0.001}
	return r
}

// Go does the whole run.
func (r *Run) Go() *Run {
	p := r.Plan
	t := r.Clients.deployment.Table()
	for i := range t.Queues {
		t.Queues[i].UnresolvedTimeoutMillis = int(p.Patience.Milliseconds())
		if p.Patience < 10*time.Second {
			t.Queues[i].PartitionTimeoutMillis = t.Queues[i].UnresolvedTimeoutMillis
		}
	}
	r.at(3*time.Second, func() { r.Clients.put(t, r.Clients.any(), 0, func(bool) {}) })
	r.at(6*time.Second, func() {
		if r.traffic(); r.Clients.deployment.WorkerRules != nil {
			r.Clients.versions()
		} else {
			r.Clients.races()
		}
		r.reads()
	})
	from := 6*time.Second + p.Before
	r.Run(from)
	for range p.Count {
		d := time.Duration(r.random.Int63n(int64(p.FaultsFor * 8 / 10)))
		name := p.Faults[r.random.Intn(len(p.Faults))]
		long := time.Duration(300+r.random.Intn(6000)) * time.Millisecond
		r.at(d, func() { r.inject(name, long) })
	}
	r.Run(from + p.FaultsFor)
	r.Heal()
	r.Run(from + p.FaultsFor + p.After)
	if p.Last {
		r.inject(p.Faults[r.random.Intn(len(p.Faults))], 2*time.Second)
	}
	r.Clients.open = false
	r.Run(from + p.FaultsFor + p.After + 3*time.Second)
	r.Heal()
	r.Run(from + p.FaultsFor + p.After + p.Settle)
	r.done = r.now
	return r
}

func (r *Run) reads() {
	r.at(700*time.Millisecond, func() {
		if r.Clients.open {
			r.Clients.read(nil)
			r.reads()
		}
	})
}

// Heal ends all faults: everything that is down starts, all cuts go.
func (r *Run) Heal() {
	clear(r.cut)
	clear(r.resets)
	r.lostAcks, r.watchers, r.Clients.Burst = 0, nil, 0
	r.network = NetworkQuality{Loss: 0.001, Twice: 0.001, Late: 0.001}
	for _, a := range r.order {
		n := r.nodes[a]
		if n.make == nil {
			continue
		}
		n.thaw()
		if n.disk != nil {
			n.disk.slow, n.disk.stall, n.disk.full = 0, 0, false
		}
		if n.m == nil {
			n.boot()
		}
	}
	for _, h := range r.pollingWorkers {
		h.leave(false, 0)
		h.thaw()
		if h.w == nil {
			h.boot()
		}
		h.w.WorkerSpec = h.make
		if h.w.Slow == 0 {
			h.w.Slow = 1
		}
	}
	for _, k := range r.invokedWorkers {
		k.heal()
	}
	r.record(HistoryEvent{What: Healed})
}

// traffic begins all that a deployment's callers send.
func (r *Run) traffic() {
	for _, s := range r.Clients.deployment.Streams {
		r.Clients.stream(s)
	}
	if r.Clients.deployment.WorkerRules == nil {
		for _, f := range append(r.Clients.deployment.Flows[:3:3], r.Clients.deployment.LongGangs()) {
			r.Clients.flow(f)
		}
	}
}

func pickOne[T any](rnd *rand.Rand, list []T) T { return list[rnd.Intn(len(list))] }

// inject begins a fault and ends it after a while.
func (r *Run) inject(name string, long time.Duration) {
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
	end := f(r, long)
	if end == nil {
		return
	}
	r.record(HistoryEvent{What: Trouble, Text: fmt.Sprintf("%s for %s", name, long), Affected: r.affected})
	r.at(long, end)
}

// FaultNames lists the table.
func FaultNames() (list []string) {
	for n := range Faults {
		list = append(list, n)
	}
	sort.Strings(list)
	return
}
