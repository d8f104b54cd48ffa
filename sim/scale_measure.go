// What is measured of a large fleet: what each role spends over a window, and then how long
// a change of the table, an urgent job, and a change of the leader take.

package sim

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coppercourse/internal/config"
	"coppercourse/internal/gateway"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// Limits of simulated time, after which a measurement gives up.
const (
	formTimeout        = 30 * time.Second
	healthTimeout      = 20 * time.Second // of all workers
	probeTimeout       = 20 * time.Second // of a change of the table, an urgent job, an election
	leaderKnownTimeout = 30 * time.Second // of a new leader to be known
)

const (
	footprintSamples = 4 // daemons of a role whose state is measured

	// Range and precision of the histogram of the leader's steps.
	minStepTime = 100 * time.Nanosecond
	maxStepTime = time.Minute
	stepDigits  = 3

	urgentJobUrgency = 9
	urgentTaskMillis = 50
	maxChangedWeight = 900 // of a queue, drawn by each change of the table
)

// ScalePlan is how a fleet is measured. Its times but Limit are simulated.
type ScalePlan struct {
	Seed             int64
	Daemons          int
	WithTraffic      bool          // with traffic in proportion to the fleet's size
	Window           time.Duration // for which it is measured what daemons spend
	Settle           time.Duration // before the window
	InterRegionDelay time.Duration // delay between two of the three regions, one way; 0 means one region
	Probes           int           // how many changes of the table are timed, and as many urgent jobs
	WallTimeLimit    time.Duration // of real time, after which the measurement gives up; 0 means none
}

// RoleUsage is what the daemons of one role spent in the window.
type RoleUsage struct {
	Role       string
	PerDaemon  []world.Usage
	StateBytes []int // sizes in bytes of the state of some of them
}

// Measurement is what was measured of a fleet.
type Measurement struct {
	ScalePlan
	Scale
	Roles               []RoleUsage
	LeaderStepTimes     *hdrhistogram.Histogram // of the leader's steps, in nanoseconds
	TableLatencies      []time.Duration         // from a change's submission until all gateways have it
	UrgentLatencies     []time.Duration         // from an urgent job's submission until it started
	ElectionTime        time.Duration           // from the leader's death until another leads
	LeaderDiscoveryTime time.Duration           // from then until every gateway and agent knows it
	RunningTasks        int                     // at the end of the window
	WallTime            time.Duration
}

// Measure runs a fleet. It returns an error if the fleet is not up, or does not carry out what
// is asked of it, in time.
func Measure(p ScalePlan) (*Measurement, error) {
	startedAt := time.Now()
	s := NewScale(p.Daemons)
	r := NewScaleRun(p.Seed, s)
	if p.InterRegionDelay > 0 {
		r.Network.RegionDelay = r.regionDelays(p.InterRegionDelay)
	}
	if p.WallTimeLimit > 0 {
		r.wallClockDeadline = startedAt.Add(p.WallTimeLimit)
	}
	m := &Measurement{ScalePlan: p, Scale: s}
	table := fleetTable(s)
	if err := r.formFleet(s, table); err != nil {
		return nil, err
	}
	if p.WithTraffic {
		if err := r.startLoad(s); err != nil {
			return nil, err
		}
	}
	if err := r.measureWindow(m); err != nil {
		return nil, err
	}
	if err := r.measureProbes(m, table); err != nil {
		return nil, err
	}
	err := r.measureFailover(m)
	m.WallTime = time.Since(startedAt)
	return m, err
}

// formFleet waits for a leader, puts the first table, and waits for all workers.
func (r *Run) formFleet(s Scale, table config.Table) error {
	if err := r.await(formTimeout, "a leader and ready gateways", r.isFormed); err != nil {
		return err
	}
	acknowledged := false
	r.Clients.PutTable(table, r.gateways[0].Addr, func(accepted bool) { acknowledged = accepted })
	return r.await(healthTimeout, "the first table and all workers healthy", func() bool {
		return acknowledged && r.healthyWorkers() == s.Agents
	})
}

// measureWindow measures what all daemons spend in the window.
func (r *Run) measureWindow(m *Measurement) error {
	if err := r.runFor(m.Settle); err != nil {
		return err
	}
	leader := r.leader()
	m.LeaderStepTimes = hdrhistogram.New(int64(minStepTime), int64(maxStepTime), stepDigits)
	leader.StepTimes = m.LeaderStepTimes
	for _, n := range r.Nodes {
		n.Usage = world.Usage{}
	}
	r.Metering = true
	if err := r.runFor(m.Window); err != nil {
		return err
	}
	r.Metering = false
	leader.StepTimes = nil
	m.RunningTasks = r.runningTasks()
	isLeader := func(n *world.Node) bool { return n == leader }
	followers := slices.DeleteFunc(slices.Clone(r.controllers), isLeader)
	m.Roles = []RoleUsage{
		usageOf("leader", []*world.Node{leader}),
		usageOf("follower", followers),
		usageOf("gateway", r.gateways),
		usageOf("agent", r.agents),
	}
	return nil
}

// usageOf collects what the daemons of a role spent.
func usageOf(role string, daemons []*world.Node) RoleUsage {
	u := RoleUsage{Role: role}
	for i, n := range daemons {
		u.PerDaemon = append(u.PerDaemon, n.Usage)
		if i < footprintSamples {
			u.StateBytes = append(u.StateBytes, world.Footprint(n.Machine))
		}
	}
	return u
}

// measureProbes times changes of the table and urgent jobs, in turn.
func (r *Run) measureProbes(m *Measurement, table config.Table) error {
	for i := range m.Probes {
		table = withChangedWeight(table, r.Now())
		took, err := r.timeTableChange(table)
		if err != nil {
			return err
		}
		m.TableLatencies = append(m.TableLatencies, took)
		took, err = r.timeUrgentJob(i)
		if err != nil {
			return err
		}
		m.UrgentLatencies = append(m.UrgentLatencies, took)
	}
	return nil
}

// withChangedWeight returns the next version of a table, with another weight of its first queue.
func withChangedWeight(t config.Table, seed int64) config.Table {
	next := t
	next.Version, next.Queues = t.Version+1, slices.Clone(t.Queues)
	next.Queues[0].Weight = 1 + rand.New(rand.NewSource(seed)).Intn(maxChangedWeight)
	return next
}

// timeTableChange puts a table, and waits until every gateway has it.
func (r *Run) timeTableChange(next config.Table) (time.Duration, error) {
	startedAt := r.Now()
	acknowledged := false
	r.Clients.PutTable(next, r.Clients.AnyGateway(), func(accepted bool) { acknowledged = accepted })
	inForce := func(n *world.Node) bool {
		have, fresh := n.Machine.(*gateway.Gateway).Table()
		return fresh && have.Version > next.Version
	}
	err := r.await(probeTimeout, "a table in force at every gateway", func() bool {
		return acknowledged && allOf(r.gateways, inForce)
	})
	return time.Duration(r.Now() - startedAt), err
}

// timeUrgentJob submits an urgent job of one task, and waits until a worker has started it.
func (r *Run) timeUrgentJob(i int) (time.Duration, error) {
	submittedAt := r.Now()
	id := fmt.Sprintf("urgent-%d", i)
	spec := oneStepJob("urgent", i%loadedQueues, 1, urgentTaskMillis)
	spec.Urgency = urgentJobUrgency
	r.submit(id, spec)
	seen, attemptAt := len(r.History.Events), int64(0)
	err := r.await(probeTimeout, "an urgent task started", func() bool {
		for _, event := range r.History.Events[seen:] {
			if event.Kind == history.AttemptStarted && string(event.Attempt.Job) == id {
				attemptAt = event.At
			}
		}
		seen = len(r.History.Events)
		return attemptAt > 0
	})
	return time.Duration(attemptAt - submittedAt), err
}

// measureFailover kills the leader, and times until another leads and all know it.
func (r *Run) measureFailover(m *Measurement) error {
	killedAt := r.Now()
	r.leader().Kill()
	var leader *world.Node
	err := r.await(probeTimeout, "another leader", func() bool {
		leader = r.leader()
		return leader != nil
	})
	if err != nil {
		return err
	}
	electedAt := r.Now()
	m.ElectionTime = time.Duration(electedAt - killedAt)
	knowsLeader := func(n *world.Node) bool {
		return n.Machine.(interface{ Leader() types.Addr }).Leader() == leader.Addr
	}
	err = r.await(leaderKnownTimeout, "the new leader known to all", func() bool {
		return allOf(r.gateways, knowsLeader) && allOf(r.agents, knowsLeader)
	})
	m.LeaderDiscoveryTime = time.Duration(r.Now() - electedAt)
	return err
}
