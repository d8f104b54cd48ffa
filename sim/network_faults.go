// Faults of the network: partitions, loss, resets of connections.

package sim

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/world"
)

const (
	resetInterval = time.Second
	resetFraction = 0.1 // of the daemons, each time
	ackLossRate   = 0.7
)

// degradedNetworkQuality is that of the network while it is degraded.
var degradedNetworkQuality = world.NetworkQuality{LossRate: 0.03, DuplicateRate: 0.05, DelayRate: 0.05}

// partitionFault separates two sides from each other.
func partitionFault(sides sidePicker) Fault {
	return func(r *Run, _ time.Duration) func() { return r.separateSides(sides, true) }
}

// oneWayPartitionFault loses what the first side sends to the second.
func oneWayPartitionFault(sides sidePicker) Fault {
	return func(r *Run, _ time.Duration) func() { return r.separateSides(sides, false) }
}

// separateSides begins a partition. It affects the smaller side.
func (r *Run) separateSides(sides sidePicker, bothWays bool) (heal func()) {
	a, b := sides(r)
	if len(a) == 0 || len(b) == 0 {
		return nil
	}
	heal = r.partition(a, b, bothWays)
	if len(a) > len(b) {
		r.markAffected(b...)
	} else {
		r.markAffected(a...)
	}
	return heal
}

// partition begins a partition, and returns what heals it.
func (r *Run) partition(a, b []types.Addr, bothWays bool) (heal func()) {
	r.Network.SetPartition(a, b, bothWays, true)
	return func() { r.Network.SetPartition(a, b, bothWays, false) }
}

// degradeNetwork has the network lose, repeat and delay more messages.
func degradeNetwork(r *Run, _ time.Duration) func() {
	r.Network.Quality = degradedNetworkQuality
	return func() { r.Network.Quality = defaultNetworkQuality }
}

// resetConnections resets half of the connections of some daemons at each interval.
func resetConnections(r *Run, duration time.Duration) func() {
	for at := time.Duration(0); at < duration; at += resetInterval {
		r.After(at, func() {
			for _, n := range r.sample(r.daemons(), resetFraction) {
				r.Network.ResetConnections(n.Addr, r.Now())
			}
		})
	}
	return r.Network.ClearResets
}

// loseAcknowledgements loses most acknowledgements of changes of the table.
func loseAcknowledgements(r *Run, _ time.Duration) func() {
	r.Network.AckLossRate = ackLossRate
	return func() { r.Network.AckLossRate = 0 }
}
