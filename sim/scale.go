// A simulated fleet: the daemons' own machines by the hundred in one process and in
// virtual time, with stand-in workers, idle or under traffic in proportion to the
// size that the project designs for. What each role spends is counted over a
// stretch of it, and then how long a change of the table, an urgent job, and a
// change of leader take.

package sim

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/gateway"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// The size to design for, at its peak.
const (
	FullWorkers = 5300
	FullQueues  = 230
	fullStarts  = 1300 // tasks a second
	fullRunning = 42_000
	fullGang    = 512
	fullZones   = 11
)

// Scale is how many daemons of each role there are.
type Scale struct{ Controllers, Gateways, Agents, Zones int }

// NewScale lays out a number of daemons: three controllers, a gateway in each zone.
func NewScale(daemons int) Scale {
	s := Scale{Controllers: 3, Gateways: fullZones, Zones: fullZones}
	if daemons < 50 {
		s.Gateways, s.Zones = 4, 3
	}
	s.Agents = daemons - s.Controllers - s.Gateways
	return s
}

// Daemons returns how many there are in all.
func (s Scale) Daemons() int { return s.Controllers + s.Gateways + s.Agents }

// NewScaleRun sets such a fleet up without traffic.
func NewScaleRun(seed int64, s Scale) *Run {
	r := &Run{World: world.New(seed), zones: map[types.Zone][]types.Addr{}, drained: map[string]bool{}}
	zone := func(i int) types.Zone { return types.Zone(fmt.Sprintf("z%d", i%s.Zones+1)) }
	addr := func(part, i int) types.Addr {
		return types.Addr(fmt.Sprintf("10.%d.%d.%d:7400", part, i/200, i%200+1))
	}
	r.Seeds = []types.Addr{addr(1, 0), addr(2, 0), addr(3, 0)}
	for i := range s.Controllers {
		r.controllers = append(r.controllers, r.AddController(addr(1, i), zone(i)))
	}
	for i := range s.Gateways {
		r.gateways = append(r.gateways, r.AddGateway(addr(2, i), zone(i)))
	}
	for i := range s.Agents {
		m := history.WorkerSpec{Shard: types.Shard(fmt.Sprintf("k%d",
			i+1)), Rack: types.Rack(fmt.Sprintf("r%d", i/20+1)), Kinds: []types.ServiceKind{"quote", "menu"},
			Capacity: types.Resources{Cores: 16, MemoryMB: 16 << 10}}
		r.agents = append(r.agents, r.AddAgent(addr(3, i), zone(i), m))
		r.AddPollingWorker(addr(4, i), addr(3, i), zone(i), m)
	}
	r.scheduleBoots()
	r.Clients = &Clients{world: r.World, address: "caller", open: true, Refusals: map[apierror.Kind]int{}}
	for _, g := range r.gateways {
		r.Clients.gateways = append(r.Clients.gateways, g.Addr)
	}
	return r
}

// ScalePlan is what a simulated fleet is put through.
type ScalePlan struct {
	Seed    int64
	Daemons int
	Busy    bool          // traffic in proportion
	Window  time.Duration // over which it is counted
	Settle  time.Duration // before that
	Regions time.Duration // between two of the three regions, one way
	Probes  int           // changes of the table, and urgent jobs; each so many
	Limit   time.Duration // of real time; it gives up then
}

// RoleUsage is what the daemons of one role spent in the window.
type RoleUsage struct {
	Role  string
	Each  []world.Usage
	State []int // bytes, of a few of them
}

// Measurement is what came of it.
type Measurement struct {
	ScalePlan
	Scale
	Roles           []RoleUsage
	Steps           *hdrhistogram.Histogram // of the leader
	TableLatencies  []time.Duration
	UrgentLatencies []time.Duration
	ElectionTime    time.Duration // from the leader's death until another leads
	LeaderKnownTime time.Duration // from then until every gateway and agent knows it
	RunningTasks    int
	RealTime        time.Duration
}

// Measure runs a simulated fleet; it is an error if it does not come up.
func Measure(p ScalePlan) (*Measurement, error) {
	from := time.Now()
	s := NewScale(p.Daemons)
	r := NewScaleRun(p.Seed, s)
	if p.Regions > 0 {
		r.Network.RegionDelay = r.regionDelays(p.Regions)
	}
	if p.Limit > 0 {
		r.realDeadline = from.Add(p.Limit)
	}
	m := &Measurement{ScalePlan: p, Scale: s}
	table := r.fleetTable(s)
	if err := r.await(30*time.Second, "a leader and ready gateways", r.formed); err != nil {
		return nil, err
	}
	acked := false
	r.Clients.putTable(table, r.gateways[0].Addr, 0, func(ok bool) { acked = ok })
	if err := r.await(20*time.Second, "the first table and all workers healthy",
		func() bool { return acked && r.healthyWorkers() == s.Agents }); err != nil {
		return nil, err
	}
	if p.Busy {
		if err := r.startLoad(s); err != nil {
			return nil, err
		}
	}
	if err := r.measureWindow(m); err != nil {
		return nil, err
	}
	for range p.Probes {
		took, err := r.timeTableChange(&table)
		if err != nil {
			return nil, err
		}
		m.TableLatencies = append(m.TableLatencies, took)
		if took, err = r.timeUrgentJob(len(m.UrgentLatencies)); err != nil {
			return nil, err
		}
		m.UrgentLatencies = append(m.UrgentLatencies, took)
	}
	err := r.measureSuccession(m)
	m.RealTime = time.Since(from)
	return m, err
}

// regionDelays lays the zones out in three regions, by their numbers.
func (r *Run) regionDelays(lag time.Duration) func(from, to types.Addr) time.Duration {
	region := map[types.Addr]int{}
	for a, n := range r.Nodes {
		var i int
		fmt.Sscanf(string(n.Zone), "z%d", &i)
		region[a] = i % 3
	}
	return func(from, to types.Addr) time.Duration {
		if region[from] == region[to] {
			return 0
		}
		return lag
	}
}

// await lets the world go on until something holds.
func (r *Run) await(limit time.Duration, what string, holds func() bool) error {
	for until := r.Now() + int64(limit); !holds(); r.RunUntil(time.Duration(r.Now()) + 5*time.Millisecond) {
		if r.Now() > until {
			return fmt.Errorf("not within %s of simulated time: %s", limit, what)
		}
		if !r.realDeadline.IsZero() && time.Now().After(r.realDeadline) {
			return fmt.Errorf("out of real time, waiting for: %s", what)
		}
	}
	return nil
}

// runFor lets a stretch of time go by.
func (r *Run) runFor(d time.Duration) error {
	end := r.Now() + int64(d)
	return r.await(2*d, fmt.Sprintf("%s to go by", d), func() bool { return r.Now() >= end })
}

func (r *Run) formed() bool {
	ready := func(n *world.Node) bool { return n.Machine != nil && n.Machine.(interface{ Ready() bool }).Ready() }
	return !slices.ContainsFunc(r.gateways, func(n *world.Node) bool { return !ready(n) }) &&
		slices.ContainsFunc(r.controllers, ready) && r.leader() != nil
}

func (r *Run) healthyWorkers() (n int) {
	l := r.leader()
	if l == nil || r.Now()/1e6%100 != 0 {
		return n
	}
	for _, w := range l.Machine.(*controller.Controller).Workers() {
		if w.State == protocol.WorkerHealthy {
			n++
		}
	}
	return n
}

func (r *Run) fleetTable(s Scale) (t config.Table) {
	t.MaxTasks = 1_000_000
	for i := range max(3, min(200, FullQueues*s.Agents/FullWorkers)) {
		t.Queues = append(t.Queues, config.Queue{
			Name:                    types.QueueName(fmt.Sprintf("team-%d", i)),
			Weight:                  1,
			MaxRunning:              100_000,
			MaxUnfinished:           10_000,
			MaxFailures:             3,
			TaskTimeoutMillis:       600_000,
			UnresolvedTimeoutMillis: 30_000,
			PartitionTimeoutMillis:  86_400_000,
			StragglerFactor:         10,
			MaxPreemptions:          3,
		})
	}
	return t
}

// oneStepJob has a step whose name says what it is: times are compared by name.
func oneStepJob(name string, q, tasks int, gang bool, ms int) state.Spec {
	return state.Spec{Queue: types.QueueName(fmt.Sprintf("team-%d",
		q)), Steps: []state.Step{{Name: name, Kind: "quote", Resources: types.Resources{Cores: 1, MemoryMB: 64},
		Tasks: tasks, Gang: gang, Work: json.RawMessage(fmt.Sprintf(`{"ms":%d}`, ms))}}}
}

func (r *Run) submit(id string, s state.Spec) {
	r.Record(history.Event{Kind: history.JobSubmitted, Job: types.JobID(id), Spec: &s})
	r.Clients.submit(types.JobID(id), wire.EncodeBody(s), r.Clients.anyGateway(), 0)
}

// startLoad starts as many long tasks as run at the full size for each worker, and
// then has short ones come at its rate, with a gang now and then.
func (r *Run) startLoad(s Scale) error {
	long := fullRunning * s.Agents / FullWorkers
	for left, i := long, 0; left > 0; left, i = left-250, i+1 {
		r.submit(fmt.Sprint("long-", i), oneStepJob("long", i%3, min(left, 250), false, 3_600_000))
	}
	if err := r.await(30*time.Second, "the long tasks running",
		func() bool { return r.runningTasks() >= long }); err != nil {
		return err
	}
	starts := float64(fullStarts*s.Agents) / FullWorkers
	tasks := max(1, min(64, int(starts/2)))
	n := 0
	next := func(every time.Duration, f func()) {
		var again func()
		again = func() {
			n++
			f()
			r.After(every, again)
		}
		r.After(time.Duration(r.Random.Int63n(int64(every))), again)
	}
	next(time.Duration(float64(tasks)/starts*float64(time.Second)), func() {
		r.submit(fmt.Sprint("short-", n), oneStepJob("short", r.Random.Intn(3), tasks, false, 500+r.Random.Intn(2000)))
	})
	next(5*time.Second, func() {
		r.submit(fmt.Sprint("gang-", n), oneStepJob("gang", r.Random.Intn(3), max(2, fullGang*s.Agents/FullWorkers),
			true, 1000))
	})
	return nil
}

func (r *Run) runningTasks() (n int) {
	for _, h := range r.PollingWorkers {
		if h.Worker != nil {
			n += h.Worker.Running()
		}
	}
	return n
}

// measureWindow counts what all daemons spend while it lasts.
func (r *Run) measureWindow(m *Measurement) error {
	if err := r.runFor(m.Settle); err != nil {
		return err
	}
	lead := r.leader()
	m.Steps = hdrhistogram.New(100, int64(time.Minute), 3)
	lead.StepTimes = m.Steps
	for _, n := range r.Nodes {
		n.Usage = world.Usage{}
	}
	r.Metering = true
	if err := r.runFor(m.Window); err != nil {
		return err
	}
	r.Metering = false
	lead.StepTimes = nil
	m.RunningTasks = r.runningTasks()
	var others []*world.Node
	for _, h := range r.controllers {
		if h != lead {
			others = append(others, h)
		}
	}
	for _, x := range []struct {
		role string
		list []*world.Node
	}{{"leader", []*world.Node{lead}}, {"follower", others}, {"gateway", r.gateways}, {"agent", r.agents}} {
		u := RoleUsage{Role: x.role}
		for i, n := range x.list {
			u.Each = append(u.Each, n.Usage)
			if i < 4 {
				u.State = append(u.State, world.Footprint(n.Machine))
			}
		}
		m.Roles = append(m.Roles, u)
	}
	return nil
}

// timeTableChange puts another table and waits until every gateway has it.
func (r *Run) timeTableChange(t *config.Table) (time.Duration, error) {
	from := r.Now()
	next := *t
	next.Version, next.Queues = t.Version+1, slices.Clone(t.Queues)
	next.Queues[0].Weight = 1 + rand.New(rand.NewSource(r.Now())).Intn(900)
	acked := false
	r.Clients.putTable(next, r.Clients.anyGateway(), 0, func(ok bool) { acked = ok })
	err := r.await(20*time.Second, "a table in force at every gateway", func() bool {
		return acked && !slices.ContainsFunc(r.gateways, func(n *world.Node) bool {
			have, fresh := n.Machine.(*gateway.Gateway).Table()
			return !fresh || have.Version <= next.Version
		})
	})
	*t = next
	return time.Duration(r.Now() - from), err
}

// timeUrgentJob sends one urgent task and waits until a worker has started it.
func (r *Run) timeUrgentJob(i int) (time.Duration, error) {
	from, id := r.Now(), fmt.Sprint("urgent-", i)
	s := oneStepJob("urgent", i%3, 1, false, 50)
	s.Urgency = 9
	r.submit(id, s)
	seen, at := len(r.History.Events), int64(0)
	err := r.await(20*time.Second, "an urgent task started", func() bool {
		for _, h := range r.History.Events[seen:] {
			if h.Kind == history.AttemptStarted && string(h.Attempt.Job) == id {
				at = h.At
			}
		}
		seen = len(r.History.Events)
		return at > 0
	})
	return time.Duration(at - from), err
}

// measureSuccession kills the leader and waits for the next and for all to know it.
func (r *Run) measureSuccession(m *Measurement) error {
	from := r.Now()
	r.leader().Kill()
	var lead *world.Node
	err := r.await(20*time.Second, "another leader", func() bool {
		lead = r.leader()
		return lead != nil
	})
	if err != nil {
		return err
	}
	at := r.Now()
	m.ElectionTime = time.Duration(at - from)
	err = r.await(30*time.Second, "the new leader known to all", func() bool {
		return !slices.ContainsFunc(slices.Concat(r.gateways, r.agents), func(n *world.Node) bool {
			return n.Machine.(interface{ Leader() types.Addr }).Leader() != lead.Addr
		})
	})
	m.LeaderKnownTime = time.Duration(r.Now() - at)
	return err
}
