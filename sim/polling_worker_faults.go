// Faults of workers that poll.

package sim

import (
	"time"

	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// removedBootDelay is the time from a worker's removal until another boots in its place.
const removedBootDelay = 2 * time.Second

// anyPollingMachine draws a machine, whose worker may be down, and returns the worker and the
// agent there. Both are marked as affected by the fault.
func (r *Run) anyPollingMachine() (worker *world.PollingNode, agent *world.Node) {
	i := r.Random.Intn(len(r.PollingWorkers))
	worker, agent = r.PollingWorkers[i], r.agents[i]
	r.markAffected(worker.Node.Addr, agent.Addr)
	return worker, agent
}

// anyPollingWorker draws a worker, which may be down, and marks its machine as affected.
func (r *Run) anyPollingWorker() *world.PollingNode {
	worker, _ := r.anyPollingMachine()
	return worker
}

// killPollingWorker kills a worker until the fault ends.
func killPollingWorker(r *Run, _ time.Duration) func() {
	p := r.anyPollingWorker()
	p.Kill()
	return p.StartIfDown
}

// killPollingMachine kills a worker and its agent until the fault ends.
func killPollingMachine(r *Run, _ time.Duration) func() {
	p, agent := r.anyPollingMachine()
	p.Kill()
	agent.Kill()
	return func() {
		p.StartIfDown()
		bootIfDown(agent)
	}
}

// freezePollingWorker freezes a worker until the fault ends.
func freezePollingWorker(r *Run, _ time.Duration) func() {
	p := r.anyPollingWorker()
	p.Pause()
	return p.Resume
}

// freezePollingMachine freezes a worker and its agent until the fault ends.
func freezePollingMachine(r *Run, _ time.Duration) func() {
	p, agent := r.anyPollingMachine()
	p.Pause()
	agent.Pause()
	return func() {
		p.Resume()
		agent.Resume()
	}
}

// announceDeparture has a worker announce that it leaves, and withdraw that at the end.
func announceDeparture(r *Run, _ time.Duration) func() {
	p := r.anyPollingWorker()
	p.SetLeaving(true, 0)
	return func() { p.SetLeaving(false, 0) }
}

// removePollingWorker has a worker announce that it leaves within the fault's duration. It
// leaves at the end, and another boots in its place later.
func removePollingWorker(r *Run, duration time.Duration) func() {
	p := r.anyPollingWorker()
	if p.Worker == nil || p.Worker.Departing {
		return nil
	}
	p.SetLeaving(true, duration)
	incarnation := p.Incarnation
	return func() {
		if p.Incarnation != incarnation || !p.Worker.Departing {
			return
		}
		r.Record(history.Event{
			Kind:    history.WorkerRemoved,
			Process: string(p.Worker.ID),
			Shard:   p.Spec.Shard,
			Text:    duration.String(),
		})
		p.Kill()
		r.After(removedBootDelay, p.StartIfDown)
	}
}

// degradedWorkerFault makes a worker perform badly while it looks healthy.
func degradedWorkerFault(degrade func(*history.WorkerSpec)) Fault {
	return func(r *Run, _ time.Duration) func() {
		p := r.anyPollingWorker()
		if p.Worker == nil {
			return nil
		}
		worker := p.Worker
		previous := worker.WorkerSpec
		degrade(&worker.WorkerSpec)
		return func() { worker.WorkerSpec = previous }
	}
}
