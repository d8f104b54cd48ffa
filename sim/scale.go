// Large fleets: the daemons' own machines by the hundred, in one process and in virtual
// time, with workers that poll, idle or with traffic.

package sim

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/controller"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/sim/clients"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// The size that the project designs for, at its peak.
const (
	DesignWorkers         = 5300
	DesignQueues          = 230
	designStartsPerSecond = 1300 // tasks that start each second
	designRunningTasks    = 42_000
	designGangTasks       = 512 // tasks of the largest gang
	designZones           = 11
)

const (
	smallFleetDaemons   = 50 // daemons; fleets with fewer are in fewer zones
	fleetWorkersPerRack = 20 // workers
	regionCount         = 3

	conditionCheckInterval = 5 * time.Millisecond // of simulated time, between two looks at a condition
)

// Scale is how many daemons of each role a fleet has, and in how many zones.
type Scale struct{ Controllers, Gateways, Agents, Zones int }

// NewScale lays out a number of daemons: three controllers, about a gateway for each zone,
// and agents.
func NewScale(daemons int) Scale {
	s := Scale{Controllers: 3, Gateways: designZones, Zones: designZones}
	if daemons < smallFleetDaemons {
		s.Gateways, s.Zones = 4, 3
	}
	s.Agents = daemons - s.Controllers - s.Gateways
	return s
}

// Daemons returns how many there are in all.
func (s Scale) Daemons() int { return s.Controllers + s.Gateways + s.Agents }

// zone returns the zone of the i-th daemon of a role.
func (s Scale) zone(i int) types.Zone { return types.Zone(fmt.Sprintf("z%d", i%s.Zones+1)) }

// Parts of a fleet's addresses.
const (
	controllerSubnet = iota + 1
	gatewaySubnet
	agentSubnet
	workerSubnet
)

// fleetAddr returns the address of the i-th process of a subnet.
func fleetAddr(subnet, i int) types.Addr {
	const hosts = 200
	return types.Addr(fmt.Sprintf("10.%d.%d.%d:7400", subnet, i/hosts, i%hosts+1))
}

// fleetWorkerSpec returns the i-th worker of a fleet.
func fleetWorkerSpec(i int) history.WorkerSpec {
	return history.WorkerSpec{
		Shard:    types.Shard(fmt.Sprintf("k%d", i+1)),
		Rack:     types.Rack(fmt.Sprintf("r%d", i/fleetWorkersPerRack+1)),
		Kinds:    []types.ServiceKind{"quote", "menu"},
		Capacity: types.Resources{Cores: 16, MemoryMB: 16 << 10},
	}
}

// NewScaleRun sets up a fleet without traffic.
func NewScaleRun(seed int64, s Scale) *Run {
	r := &Run{World: world.New(seed), zones: map[types.Zone][]types.Addr{}, activeDrains: map[string]bool{}}
	r.Seeds = []types.Addr{
		fleetAddr(controllerSubnet, 0),
		fleetAddr(gatewaySubnet, 0),
		fleetAddr(agentSubnet, 0),
	}
	for i := range s.Controllers {
		r.controllers = append(r.controllers, r.AddController(fleetAddr(controllerSubnet, i), s.zone(i)))
	}
	for i := range s.Gateways {
		r.gateways = append(r.gateways, r.AddGateway(fleetAddr(gatewaySubnet, i), s.zone(i)))
	}
	for i := range s.Agents {
		spec := fleetWorkerSpec(i)
		agent := fleetAddr(agentSubnet, i)
		r.agents = append(r.agents, r.AddAgent(agent, s.zone(i), spec))
		r.AddPollingWorker(fleetAddr(workerSubnet, i), agent, s.zone(i), spec)
	}
	r.scheduleBoots()
	r.Clients = clients.New(r.World, deployment.Deployment{}, addressesOf(r.gateways))
	return r
}

// regionDelays spreads the zones over regions by their numbers. It returns the delay of a
// message, one way: lag between two regions.
func (r *Run) regionDelays(lag time.Duration) func(from, to types.Addr) time.Duration {
	region := map[types.Addr]int{}
	for a, n := range r.Nodes {
		var zone int
		fmt.Sscanf(string(n.Zone), "z%d", &zone)
		region[a] = zone % regionCount
	}
	return func(from, to types.Addr) time.Duration {
		if region[from] == region[to] {
			return 0
		}
		return lag
	}
}

// await runs the world until a condition holds. It returns an error if that takes longer
// than the limit, or beyond the real deadline.
func (r *Run) await(limit time.Duration, what string, holds func() bool) error {
	until := r.Now() + int64(limit)
	for !holds() {
		if r.Now() > until {
			return fmt.Errorf("not within %s of simulated time: %s", limit, what)
		}
		if !r.wallClockDeadline.IsZero() && time.Now().After(r.wallClockDeadline) {
			return fmt.Errorf("out of real time, waiting for: %s", what)
		}
		r.RunUntil(time.Duration(r.Now()) + conditionCheckInterval)
	}
	return nil
}

// runFor runs the world for a duration.
func (r *Run) runFor(d time.Duration) error {
	end := r.Now() + int64(d)
	return r.await(2*d, fmt.Sprintf("%s to go by", d), func() bool { return r.Now() >= end })
}

// formed reports whether there is a leader, all gateways are ready, and a controller is.
func (r *Run) isFormed() bool {
	return allOf(r.gateways, isReady) && slices.ContainsFunc(r.controllers, isReady) && r.leader() != nil
}

// isReady reports whether a daemon runs and is ready.
func isReady(n *world.Node) bool {
	m, ok := n.Machine.(interface{ Ready() bool })
	return ok && m.Ready()
}

// allOf reports whether a condition holds for all nodes.
func allOf(nodes []*world.Node, holds func(*world.Node) bool) bool {
	return !slices.ContainsFunc(nodes, func(n *world.Node) bool { return !holds(n) })
}

// healthyWorkers returns how many workers the leader counts as healthy. As that is slow to
// find out, it looks only at whole tenths of a second, and returns 0 between them.
func (r *Run) healthyWorkers() int {
	const lookMillis = 100
	leader := r.leader()
	if leader == nil || time.Duration(r.Now()).Milliseconds()%lookMillis != 0 {
		return 0
	}
	healthy := 0
	for _, w := range leader.Machine.(*controller.Controller).Workers() {
		if w.State == protocol.WorkerHealthy {
			healthy++
		}
	}
	return healthy
}

// runningTasks returns how many tasks the workers run.
func (r *Run) runningTasks() int {
	tasks := 0
	for _, p := range r.PollingWorkers {
		if p.Worker != nil {
			tasks += p.Worker.Running()
		}
	}
	return tasks
}
