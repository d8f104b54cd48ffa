// Faults of workers that are invoked, and of their agents.

package sim

import (
	"slices"
	"time"

	"coppercourse/sim/world"
)

const (
	lateHeartbeatRate = 0.5
	lateCallRate      = 0.4
	allLateCallRate   = 0.055 // where the calls of all workers are late

	departureMargin     = 2 * time.Second // by which a notice is longer than the fault
	maxSpotNoticeMillis = 2000            // the longest notice of a spot instance
	departureBootDelay  = 4 * time.Second // from the fault's end until another worker boots

	minAgentRestartMillis   = 50
	agentRestartRangeMillis = 800

	leaderSideFraction = 0.33 // of the agents, that reach just the partitioned leader
)

// anyInvokedWorker draws a worker. It returns nil if that one is down.
func (r *Run) anyInvokedWorker() *world.InvokedNode {
	i := pickOne(r.Random, r.InvokedWorkers)
	if i.Worker == nil {
		return nil
	}
	return i
}

// invokedWorkerFault begins a fault of one worker, and ends it if the same process still runs.
func invokedWorkerFault(begin, end func(*world.InvokedNode)) Fault {
	return func(r *Run, _ time.Duration) func() {
		i := r.anyInvokedWorker()
		if i == nil {
			return nil
		}
		r.markAffected(i.Node.Addr)
		incarnation := i.Incarnation
		begin(i)
		return func() {
			if i.Incarnation == incarnation && i.Worker != nil {
				end(i)
			}
		}
	}
}

// crash is how a worker's process ends.
type crash struct {
	refusesConnections bool // calls are refused; otherwise they get no answer
	permanent          bool // no process starts at the fault's end
}

// crashFault ends a worker's process.
func crashFault(c crash) Fault {
	return func(r *Run, _ time.Duration) func() {
		i := r.anyInvokedWorker()
		if i == nil {
			return nil
		}
		r.markAffected(i.Node.Addr)
		i.Kill(c.refusesConnections)
		if c.permanent {
			return noOpEnd
		}
		return i.StartIfDown
	}
}

// departureFault has a worker leave after a notice, and another boot in its place later.
func departureFault(notice func(r *Run, duration time.Duration) time.Duration) Fault {
	return func(r *Run, duration time.Duration) func() {
		i := r.anyInvokedWorker()
		if i == nil || i.DepartsAt != 0 {
			return nil
		}
		r.markAffected(i.Node.Addr)
		i.Leave(notice(r, duration))
		return func() { r.After(departureBootDelay, i.StartIfDown) }
	}
}

// longNotice outlasts the fault.
func longNotice(_ *Run, duration time.Duration) time.Duration { return departureMargin + duration }

// spotNotice is that of a spot instance.
func spotNotice(r *Run, _ time.Duration) time.Duration {
	return time.Duration(1+r.Random.Intn(maxSpotNoticeMillis)) * time.Millisecond
}

// delayAllCalls has some calls of every worker carried out late.
func delayAllCalls(r *Run, _ time.Duration) func() {
	for _, i := range r.InvokedWorkers {
		i.LateCallRate = allLateCallRate
		r.markAffected(i.Node.Addr)
	}
	return func() {
		for _, i := range r.InvokedWorkers {
			i.LateCallRate = 0
		}
	}
}

// killInvokedMachine kills a worker and its agent until the fault ends.
func killInvokedMachine(r *Run, _ time.Duration) func() {
	index := r.Random.Intn(len(r.InvokedWorkers))
	i, agent := r.InvokedWorkers[index], r.agents[index]
	r.markAffected(i.Node.Addr, agent.Addr)
	i.Kill(false)
	agent.Kill()
	return func() {
		i.StartIfDown()
		bootIfDown(agent)
	}
}

// restartAgent restarts an agent twice, while its worker goes on.
func restartAgent(r *Run, duration time.Duration) func() {
	agent := pickOne(r.Random, r.agents)
	if agent.Machine == nil || agent.Paused {
		return nil
	}
	r.markAffected(agent.Addr)
	restart := func() {
		agent.Kill()
		millis := minAgentRestartMillis + r.Random.Intn(agentRestartRangeMillis)
		r.After(time.Duration(millis)*time.Millisecond, func() { bootIfDown(agent) })
	}
	restart()
	r.After(duration/2, restart)
	return noOpEnd
}

// partitionAgentsWithLeader partitions the leader from the other controllers. Some agents reach just it
// for a while, and some of their workers leave.
func partitionAgentsWithLeader(r *Run, leader *world.Node, duration time.Duration) func() {
	a, peers := separatedFromPeers(r, leader)
	healLeader := r.partition(a, peers, true)
	isolated := r.sample(r.agents, leaderSideFraction)
	unreachable := slices.Concat(peers, addressesOf(r.gateways))
	healAgents := r.partition(addressesOf(isolated), unreachable, true)
	for _, agent := range isolated {
		i := r.InvokedWorkers[slices.Index(r.agents, agent)]
		if i.Worker != nil && i.DepartsAt == 0 && r.Random.Intn(2) == 0 {
			notice := longNotice(r, duration)
			i.Leave(notice)
			r.After(notice+departureBootDelay, i.StartIfDown)
		}
	}
	r.After(duration/2, healAgents)
	return healLeader
}

// anyInvokedShard draws the target of a drain of a worker.
func anyInvokedShard(r *Run) string {
	return "workers/" + string(pickOne(r.Random, r.InvokedWorkers).Spec.Shard)
}

// drainWorker drains a worker. It is recorded as affecting nobody.
func drainWorker(r *Run, duration time.Duration) func() {
	return drainFault(anyInvokedShard)(r, duration)
}
