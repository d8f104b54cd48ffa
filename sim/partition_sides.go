// Between which addresses partitions are.

package sim

import (
	"slices"

	"coppercourse/internal/types"
	"coppercourse/sim/world"
)

// split returns the two sides of a partition. If one is empty there is nothing to separate.
type sidePicker func(r *Run) (a, b []types.Addr)

// reversed returns a split with its sides exchanged.
func reversed(s sidePicker) sidePicker {
	return func(r *Run) (a, b []types.Addr) {
		b, a = s(r)
		return a, b
	}
}

// separatedFromAll returns a node, and all others.
func separatedFromAll(r *Run, n *world.Node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	return []types.Addr{n.Addr}, r.allExcept(n.Addr)
}

// separatedFromPeers returns a controller, and the other controllers. It still reaches
// agents and gateways.
func separatedFromPeers(r *Run, n *world.Node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	for _, peer := range r.controllers {
		if peer != n {
			b = append(b, peer.Addr)
		}
	}
	return []types.Addr{n.Addr}, b
}

// separatedWithinZone returns a controller, and the other controllers with all daemons of
// other zones.
func separatedWithinZone(r *Run, n *world.Node) (a, b []types.Addr) {
	if n == nil {
		return nil, nil
	}
	_, b = separatedFromPeers(r, n)
	for _, other := range r.daemons() {
		if other.Zone != n.Zone && !slices.Contains(b, other.Addr) {
			b = append(b, other.Addr)
		}
	}
	return []types.Addr{n.Addr}, b
}

// leaderFromAll returns the leader, and all others.
func leaderFromAll(r *Run) (a, b []types.Addr) { return separatedFromAll(r, r.leader()) }

// leaderFromPeers returns the leader, and the other controllers.
func leaderFromPeers(r *Run) (a, b []types.Addr) { return separatedFromPeers(r, r.leader()) }

// leaderWithinZone returns the leader, and those that separatedWithinZone separates from it.
func leaderWithinZone(r *Run) (a, b []types.Addr) { return separatedWithinZone(r, r.leader()) }

// oldestFromPeers returns the oldest controller, and the other controllers.
func oldestFromPeers(r *Run) (a, b []types.Addr) {
	return separatedFromPeers(r, r.oldestController())
}

// controllerFromAll draws a controller, and returns it and all others.
func controllerFromAll(r *Run) (a, b []types.Addr) { return separatedFromAll(r, r.anyController()) }

// agentFromAll draws an agent, and returns it and all others.
func agentFromAll(r *Run) (a, b []types.Addr) {
	return separatedFromAll(r, pickOne(r.Random, r.agents))
}

// pollingWorkerFromAll draws a worker that polls, and returns it and all others.
func pollingWorkerFromAll(r *Run) (a, b []types.Addr) {
	return separatedFromAll(r, pickOne(r.Random, r.PollingWorkers).Node)
}

// invokedWorkerFromAll draws a worker that is invoked, and returns it and all others.
func invokedWorkerFromAll(r *Run) (a, b []types.Addr) {
	return separatedFromAll(r, pickOne(r.Random, r.InvokedWorkers).Node)
}

// zoneFromAll draws a zone, and returns its processes and all others.
func zoneFromAll(r *Run) (a, b []types.Addr) {
	size := r.Clients.Deployment.Size
	zone := r.zones[size.Zone(r.Random.Intn(size.Zones))]
	return zone, r.allExcept(zone...)
}

// unreachableFraction is the part of the gateways and agents that lose the controllers.
const unreachableFraction = 0.2

// sampleFromControllers returns some gateways and agents, and the controllers.
func sampleFromControllers(r *Run) (a, b []types.Addr) {
	some := addressesOf(r.sample(r.disklessDaemons(), unreachableFraction))
	r.markAffected(some...)
	return some, addressesOf(r.controllers)
}
