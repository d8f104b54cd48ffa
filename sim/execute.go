// The course of a run: traffic, faults drawn at random, healing, and the time after.

package sim

import (
	"math/rand"
	"time"

	"coppercourse/sim/history"
)

const (
	minFaultMillis   = 300  // duration of a fault drawn at random, at least
	faultMillisRange = 6000 // and by how much it may be longer

	finalFaultDuration = 2 * time.Second

	// Queues have the same time-out for partitioned as for unresolved attempts if it is
	// shorter than this.
	minPartitionTimeout = 10 * time.Second

	tableReadInterval = 700 * time.Millisecond
)

// Execute does the whole run.
func (r *Run) Execute() *Run {
	p := r.Plan
	r.scheduleFirstTable()
	r.After(trafficStartTime, func() {
		r.startTraffic()
		r.startOperators()
		r.startTableReads()
	})
	r.RunUntil(p.faultsStart())
	r.scheduleFaults()
	r.RunUntil(p.faultsEnd())
	r.Heal()
	r.RunUntil(p.trafficEnd())
	if p.FaultAtEnd {
		r.injectFault(pickOne(r.Random, p.Faults), finalFaultDuration)
	}
	r.Clients.Submitting = false
	r.RunUntil(p.trafficEnd() + finalHealDelay)
	r.Heal()
	r.RunUntil(p.trafficEnd() + p.Settle)
	r.endedAt = r.Now()
	return r
}

// scheduleFirstTable has an operator put the deployment's table, with the plan's time-outs.
func (r *Run) scheduleFirstTable() {
	unresolvedTimeout := r.Plan.UnresolvedTimeout
	t := r.Clients.Deployment.Table()
	for i := range t.Queues {
		q := &t.Queues[i]
		q.UnresolvedTimeoutMillis = int(unresolvedTimeout.Milliseconds())
		if unresolvedTimeout < minPartitionTimeout {
			q.PartitionTimeoutMillis = q.UnresolvedTimeoutMillis
		}
	}
	r.After(firstTableTime, func() { r.Clients.PutTable(t, r.Clients.AnyGateway(), func(bool) {}) })
}

// startTraffic starts all jobs that a deployment's callers submit.
func (r *Run) startTraffic() {
	d := r.Clients.Deployment
	for _, s := range d.Streams {
		r.Clients.StartStream(s)
	}
	if d.Invoked() {
		return
	}
	for _, f := range append(d.Flows[:3:3], d.LongGangs()) {
		r.Clients.StartFlow(f)
	}
}

// startOperators starts the operators that change the table.
func (r *Run) startOperators() {
	if r.Clients.Deployment.Invoked() {
		r.Clients.StartVersioningOperators()
	} else {
		r.Clients.StartConcurrentOperators()
	}
}

// startTableReads has an operator read the table now and then while there is traffic.
func (r *Run) startTableReads() {
	r.After(tableReadInterval, func() {
		if r.Clients.Submitting {
			r.Clients.ReadTable(nil)
			r.startTableReads()
		}
	})
}

// scheduleFaults draws the plan's faults, each with its beginning and its duration. None
// begins in the last fifth of the time for faults.
func (r *Run) scheduleFaults() {
	p := r.Plan
	for range p.FaultCount {
		delay := time.Duration(r.Random.Int63n(int64(p.FaultPeriod * 8 / 10)))
		name := pickOne(r.Random, p.Faults)
		duration := time.Duration(minFaultMillis+r.Random.Intn(faultMillisRange)) * time.Millisecond
		r.After(delay, func() { r.injectFault(name, duration) })
	}
}

// pickOne draws one item of a list, which must not be empty.
func pickOne[T any](random *rand.Rand, list []T) T { return list[random.Intn(len(list))] }

// Heal ends all faults: every process that is down boots, every partition heals.
func (r *Run) Heal() {
	r.healNetwork()
	r.ClearWatchers()
	r.Clients.BurstFactor = 0
	r.healDaemons()
	r.healPollingWorkers()
	for _, i := range r.InvokedWorkers {
		i.Heal()
	}
	r.Record(history.Event{Kind: history.FaultsHealed})
}

// healNetwork ends the faults of the network.
func (r *Run) healNetwork() {
	r.Network.HealPartitions()
	r.Network.ClearResets()
	r.Network.AckLossRate = 0
	r.Network.Quality = defaultNetworkQuality
}

// healDaemons ends the faults of daemons and their disks, and boots those that are down.
func (r *Run) healDaemons() {
	for _, a := range r.NodeOrder {
		n := r.Nodes[a]
		if n.NewMachine == nil {
			continue
		}
		n.Resume()
		if n.Disk != nil {
			n.Disk.ExtraLatency, n.Disk.StalledUntil, n.Disk.Full = 0, 0, false
		}
		bootIfDown(n)
	}
}

// healPollingWorkers ends the faults of workers that poll, and boots those that are down.
func (r *Run) healPollingWorkers() {
	for _, p := range r.PollingWorkers {
		p.SetLeaving(false, 0)
		p.Resume()
		p.StartIfDown()
		p.Worker.WorkerSpec = p.Spec
		if p.Worker.Slowdown == 0 {
			p.Worker.Slowdown = 1
		}
	}
}
