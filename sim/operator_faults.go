// Faults that operators and callers cause: drains, changes of the table during another
// fault, other seeds, and bursts of jobs.

package sim

import (
	"fmt"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/sim/world"
)

const (
	maxDrainSeconds = 3 // a drain must be complete within fewer seconds, or may take any time
	drainableRacks  = 4 // how many racks operators drain, the first ones
	burstFactor     = 3

	seedCount = 3

	// Parts of the gateways and agents that restart with other seeds, and with seeds of
	// which the first is partitioned.
	otherSeedsFraction       = 0.2
	partitionedSeedsFraction = 0.3
)

// drainFault drains a target, which it picks, until the fault ends. It does not begin on a
// target that is being drained.
func drainFault(pick func(*Run) string) Fault {
	return func(r *Run, _ time.Duration) func() {
		target := pick(r)
		if r.activeDrains[target] {
			return nil
		}
		r.activeDrains[target] = true
		r.affected = []types.Addr{} // a drain is planned work and excuses nothing
		return r.drain(target)
	}
}

// drain starts a drain, and returns what cancels it. A drain is cancelled only once its
// start is accepted, so that the two requests can't overtake each other.
func (r *Run) drain(target string) (end func()) {
	accepted, over := false, false
	cancel := func() {
		r.Clients.CancelDrain(target, func() { delete(r.activeDrains, target) })
	}
	drain := config.Drain{WithinMillis: r.Random.Intn(maxDrainSeconds) * 1000}
	r.Clients.StartDrain(target, drain, func() {
		accepted = true
		if over {
			cancel()
		}
	})
	return func() {
		over = true
		if accepted {
			cancel()
		}
	}
}

// anyRack draws the target of a drain of a rack.
func anyRack(r *Run) string { return fmt.Sprintf("racks/r%d", 1+r.Random.Intn(drainableRacks)) }

// faultWithTableChanges has operators change the table while another fault lasts and when it
// ends: once, or several times on the same version.
func faultWithTableChanges(name string, changes int) Fault {
	return func(r *Run, duration time.Duration) func() {
		end := Faults[name](r, duration)
		if end == nil {
			return nil
		}
		r.After(duration/2, func() { r.Clients.PutConcurrentChanges(changes) })
		return func() {
			end()
			r.Clients.PutConcurrentChanges(changes)
		}
	}
}

// changeSeeds gives other seeds to all processes that start from now on, and restarts some.
func changeSeeds(r *Run, _ time.Duration) func() {
	candidates := append(addressesOf(r.controllers), addressesOf(r.gateways)...)
	r.Random.Shuffle(len(candidates), func(i, k int) {
		candidates[i], candidates[k] = candidates[k], candidates[i]
	})
	r.Seeds = candidates[:seedCount]
	r.restart(r.sample(r.disklessDaemons(), otherSeedsFraction)...)
	return noOpEnd
}

// partitionFirstSeed partitions the leader from all, and gives seeds that begin with it to
// daemons that restart.
func partitionFirstSeed(r *Run, leader *world.Node, _ time.Duration) func() {
	a, b := separatedFromAll(r, leader)
	heal := r.partition(a, b, true)
	_, peers := separatedFromPeers(r, leader)
	r.Seeds = append([]types.Addr{leader.Addr}, peers[:min(seedCount-1, len(peers))]...)
	r.restart(r.sample(r.disklessDaemons(), partitionedSeedsFraction)...)
	return heal
}

// partitionAndRestart partitions the leader from its peers, restarts it, and then them.
func partitionAndRestart(r *Run, leader *world.Node, duration time.Duration) func() {
	a, peers := separatedFromPeers(r, leader)
	heal := r.partition(a, peers, true)
	r.After(duration/4, func() { r.restart(leader) })
	for i, addr := range peers {
		r.After(duration/2+time.Duration(i)*duration/8, func() { r.restart(r.Nodes[addr]) })
	}
	return heal
}

// burst has callers submit jobs more often.
func burst(r *Run, _ time.Duration) func() {
	r.Clients.BurstFactor = burstFactor
	return func() { r.Clients.BurstFactor = 0 }
}
