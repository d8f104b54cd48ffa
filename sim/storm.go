// A whole simulated run: a town set up, its traffic, faults drawn from the
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
	Seed     int64
	Town     string
	Faults   []string // names from the table of faults; none: no faults
	Count    int      // how many faults
	Calm     time.Duration
	Storm    time.Duration
	After    time.Duration     // traffic goes on after the faults
	Settle   time.Duration     // no new traffic; all must end
	Patience time.Duration     // of every queue
	Last     bool              // one more fault at the very end of the traffic
	Bare     bool              // called workers guard nothing
	Pace     dispatch.Timeouts // of agents and controllers; the defaults if not set
	Quick    bool              // the pace is the quick one, of elections too
}

// Run is a world with a town in it.
type Run struct {
	*World
	Plan        Plan
	Crew        *Crew
	controllers []*node
	gateways    []*node
	agents      []*node
	zones       map[types.Zone][]types.Addr
	spare       int
	drains      map[string]bool // racks that an operator drains
	done        int64
	hits        []types.Addr // whom the trouble at hand touches; nil: everybody
	Messages    []string
	until       time.Time // of real time, for runs that measure; they give up then
}

// Build sets the plan's town up: its controllers, gateways, agents and their workers.
func Build(p Plan) *Run { return build(p, Towns[p.Town]) }

func build(p Plan, town Town) *Run {
	r := &Run{World: NewWorld(p.Seed), Plan: p, zones: map[types.Zone][]types.Addr{}, drains: map[string]bool{}}
	size := town.size()
	if town.Manner != nil {
		r.floor = NewFloor(*town.Manner)
	}
	if p.Quick {
		r.pace, r.core = settings.Quick.Truth(), settings.Quick.Core()
	}
	if p.Pace != (dispatch.Timeouts{}) {
		r.pace = p.Pace
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
	for i, m := range town.Workers() {
		a := types.Addr(fmt.Sprintf("w%d", i+1))
		r.agents = append(r.agents, r.agent(a, size.zone(i), m))
		if town.Manner != nil {
			m.Guards = !p.Bare
			r.callee(types.Addr(fmt.Sprintf("k%d", i+1)), a, size.zone(i), m)
			continue
		}
		r.worker(types.Addr(fmt.Sprintf("k%d", i+1)), a, size.zone(i), m)
	}
	for _, a := range r.order {
		n := r.nodes[a]
		r.zones[n.zone] = append(r.zones[n.zone], a)
		if n.make != nil {
			r.at(time.Duration(r.rnd.Int63n(int64(300*time.Millisecond))), n.boot)
		}
	}
	for _, h := range r.hands {
		r.at(time.Duration(r.rnd.Int63n(int64(500*time.Millisecond))), h.boot)
	}
	for _, k := range r.yard {
		r.at(time.Duration(r.rnd.Int63n(int64(500*time.Millisecond))), k.boot)
	}
	r.Crew = &Crew{w: r.World, town: town, me: "caller", open: true, Cancel: 0.04, Races: true, Count: map[apierror.Kind]int{},
		Tries: 30, halts: map[types.JobID]time.Duration{}}
	for _, g := range r.gateways {
		r.Crew.gateways = append(r.Crew.gateways, g.addr)
	}
	r.sky = Weather{Loss: 0.001, Twice: 0.001, Late: 0.001}
	return r
}

// Go does the whole run.
func (r *Run) Go() *Run {
	p := r.Plan
	t := r.Crew.town.Table()
	for i := range t.Rows {
		t.Rows[i].Patience = int(p.Patience.Milliseconds())
		if p.Patience < 10*time.Second {
			t.Rows[i].CutMS = t.Rows[i].Patience
		}
	}
	r.at(3*time.Second, func() { r.Crew.put(t, r.Crew.any(), 0, func(bool) {}) })
	r.at(6*time.Second, func() {
		if r.traffic(); r.Crew.town.Manner != nil {
			r.Crew.versions()
		} else {
			r.Crew.races()
		}
		r.reads()
	})
	from := 6*time.Second + p.Calm
	r.Run(from)
	for range p.Count {
		d := time.Duration(r.rnd.Int63n(int64(p.Storm * 8 / 10)))
		name := p.Faults[r.rnd.Intn(len(p.Faults))]
		long := time.Duration(300+r.rnd.Intn(6000)) * time.Millisecond
		r.at(d, func() { r.cause(name, long) })
	}
	r.Run(from + p.Storm)
	r.Heal()
	r.Run(from + p.Storm + p.After)
	if p.Last {
		r.cause(p.Faults[r.rnd.Intn(len(p.Faults))], 2*time.Second)
	}
	r.Crew.open = false
	r.Run(from + p.Storm + p.After + 3*time.Second)
	r.Heal()
	r.Run(from + p.Storm + p.After + p.Settle)
	r.done = r.now
	return r
}

func (r *Run) reads() {
	r.at(700*time.Millisecond, func() {
		if r.Crew.open {
			r.Crew.read(nil)
			r.reads()
		}
	})
}

// Heal ends all faults: everything that is down starts, all cuts go.
func (r *Run) Heal() {
	clear(r.cut)
	r.sky = Weather{Loss: 0.001, Twice: 0.001, Late: 0.001}
	for _, a := range r.order {
		n := r.nodes[a]
		if n.make == nil {
			continue
		}
		n.thaw()
		if n.disk != nil {
			n.disk.slow, n.disk.stall = 0, 0
		}
		if n.m == nil {
			n.boot()
		}
	}
	for _, h := range r.hands {
		h.leave(false, 0)
		h.thaw()
		if h.w == nil {
			h.boot()
		}
		h.w.Make = h.make
		if h.w.Slow == 0 {
			h.w.Slow = 1
		}
	}
	for _, k := range r.yard {
		k.heal()
	}
	r.tell(Happening{What: Healed})
}

// traffic begins all that a town's callers send.
func (r *Run) traffic() {
	for _, s := range r.Crew.town.Streams {
		r.Crew.stream(s)
	}
	if r.Crew.town.Manner == nil {
		for _, f := range append(r.Crew.town.Flows[:3:3], r.Crew.town.Parade()) {
			r.Crew.flow(f)
		}
	}
}

func one[T any](rnd *rand.Rand, list []T) T { return list[rnd.Intn(len(list))] }

// cause begins a fault and ends it after a while.
func (r *Run) cause(name string, long time.Duration) {
	f := Faults[name]
	if c := CalledFaults[name]; c != nil && r.floor != nil {
		f = c
	}
	if f == nil {
		panic("no such fault: " + name)
	}
	r.hits = nil
	end := f(r, long)
	if end == nil {
		return
	}
	r.tell(Happening{What: Trouble, Text: fmt.Sprintf("%s for %s", name, long), Hits: r.hits})
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
