// Which daemons faults strike.

package sim

import (
	"slices"

	"coppercourse/internal/controller"
	"coppercourse/internal/types"
	"coppercourse/sim/world"
)

// running returns the daemons that run and are not frozen.
func running(daemons []*world.Node) []*world.Node {
	var up []*world.Node
	for _, n := range daemons {
		if n.Machine != nil && !n.Paused {
			up = append(up, n)
		}
	}
	return up
}

// leader returns the running controller that leads in the highest term, or nil.
func (r *Run) leader() *world.Node {
	var leader *world.Node
	var term types.Term
	for _, n := range running(r.controllers) {
		c, ok := n.Machine.(*controller.Controller)
		if !ok {
			continue
		}
		if s := c.Status(); s.RaftRole == "leader" && s.Term > term {
			leader, term = n, s.Term
		}
	}
	return leader
}

// oldestController returns the running controller whose disk has lasted longest, or nil: it
// was never wiped, and the controller started before those that replaced others.
func (r *Run) oldestController() *world.Node {
	for _, a := range r.NodeOrder {
		n := r.Nodes[a]
		if slices.Contains(r.controllers, n) && !n.Disk.Wiped && n.Machine != nil {
			return n
		}
	}
	return nil
}

// anyController draws a controller.
func (r *Run) anyController() *world.Node { return pickOne(r.Random, r.controllers) }

// daemons returns all daemons.
func (r *Run) daemons() []*world.Node { return slices.Concat(r.controllers, r.gateways, r.agents) }

// disklessDaemons returns the gateways and agents.
func (r *Run) disklessDaemons() []*world.Node { return slices.Concat(r.gateways, r.agents) }

// sample draws a part of some daemons, one at least.
func (r *Run) sample(daemons []*world.Node, part float64) []*world.Node {
	count := max(1, int(part*float64(len(daemons))))
	var drawn []*world.Node
	for _, i := range r.Random.Perm(len(daemons))[:count] {
		drawn = append(drawn, daemons[i])
	}
	return drawn
}

// nodePicker returns the daemons that a fault may strike.
type nodePicker func(r *Run) []*world.Node

// allControllers returns the controllers, without those that were replaced.
func allControllers(r *Run) []*world.Node { return r.controllers }

// allGateways returns the gateways.
func allGateways(r *Run) []*world.Node { return r.gateways }

// allAgents returns the agents.
func allAgents(r *Run) []*world.Node { return r.agents }

// allDaemons returns controllers, gateways and agents.
func allDaemons(r *Run) []*world.Node { return r.daemons() }

// leaderOnly returns the leader, or nothing if there is none.
func leaderOnly(r *Run) []*world.Node {
	if n := r.leader(); n != nil {
		return []*world.Node{n}
	}
	return nil
}

// massKillFraction is the part of the gateways and agents that fail at once.
const massKillFraction = 0.6

// sampleDisklessDaemons draws gateways and agents that fail at once.
func sampleDisklessDaemons(r *Run) []*world.Node {
	return r.sample(r.disklessDaemons(), massKillFraction)
}

// addressesOf returns the addresses of some daemons.
func addressesOf(daemons []*world.Node) []types.Addr {
	var addrs []types.Addr
	for _, n := range daemons {
		addrs = append(addrs, n.Addr)
	}
	return addrs
}

// allExcept returns the addresses of all processes and clients but some.
func (r *Run) allExcept(excluded ...types.Addr) []types.Addr {
	var rest []types.Addr
	for _, a := range append(slices.Clone(r.NodeOrder), r.Clients.Address) {
		if !slices.Contains(excluded, a) {
			rest = append(rest, a)
		}
	}
	return rest
}
