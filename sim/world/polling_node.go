package world

import (
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

const (
	workerTickInterval = 10 * time.Millisecond
	pollDelay          = time.Millisecond       // from a reply to the next poll
	pollTimeout        = 400 * time.Millisecond // after which a poll is sent again
	restartDelay       = time.Second            // of a worker that crashed, by the platform
)

// PollingNode is the place of a worker that polls, and the process there.
type PollingNode struct {
	Node        *Node // its address and clocks
	Spec        history.WorkerSpec
	Worker      *worker.Polling // nil while no process runs
	Incarnation int             // changes with each start and each end of a process

	// Planted bugs of the processes that start from now on.
	IgnoresLease, IgnoresCapacity bool

	agent      types.Addr
	reportedTo map[types.AttemptID]int // incarnation of the agent that received an end
}

// AddPollingWorker adds a worker, which is not running yet.
func (w *World) AddPollingWorker(addr, agent types.Addr, zone types.Zone, spec history.WorkerSpec) *PollingNode {
	p := &PollingNode{Node: w.addNode(addr, WorkerRole, zone, nil), Spec: spec, agent: agent}
	w.PollingWorkers = append(w.PollingWorkers, p)
	return p
}

// record records what happens to the process.
func (p *PollingNode) record(kind history.Kind) {
	p.Node.world.Record(history.Event{Kind: kind, Process: string(p.Worker.ID), Shard: p.Spec.Shard})
}

// Boot starts a process.
func (p *PollingNode) Start() {
	n, w := p.Node, p.Node.world
	p.Incarnation++
	n.Paused, n.Backlog = false, nil
	id := types.ID(fmt.Sprintf("%s.%d", n.Addr, p.Incarnation))
	p.Worker = worker.NewPolling(p.Spec, id, w.newRandom(), w.Record)
	p.Worker.IgnoresLease, p.Worker.IgnoresCapacity = p.IgnoresLease, p.IgnoresCapacity
	p.reportedTo = map[types.AttemptID]int{}
	w.Record(history.Event{
		Kind:    history.WorkerStaying,
		Process: string(id),
		Shard:   p.Spec.Shard,
		Worker:  &p.Spec,
	})
	p.tick(p.Incarnation)
	p.poll()
}

// tick lets the process of an incarnation progress, now and from time to time.
func (p *PollingNode) tick(incarnation int) {
	if p.Incarnation != incarnation || p.Worker == nil {
		return
	}
	if !p.Node.Paused {
		p.Worker.Tick(p.Node.Monotonic())
		if p.Worker.Crashed {
			p.crashAndRestart()
			return
		}
		if p.Worker.HasUpdate {
			p.poll()
		}
	}
	p.Node.world.After(workerTickInterval, func() { p.tick(incarnation) })
}

// crashAndRestart ends the process, and starts another later.
func (p *PollingNode) crashAndRestart() {
	p.Kill()
	p.Node.world.After(restartDelay, p.StartIfDown)
}

// StartIfDown starts a process if none runs.
func (p *PollingNode) StartIfDown() {
	if p.Worker == nil {
		p.Start()
	}
}

// Kill ends the process, and what it runs.
func (p *PollingNode) Kill() {
	if p.Worker == nil {
		return
	}
	p.record(history.WorkerDied)
	p.Incarnation++
	p.Worker = nil
	p.Node.Paused, p.Node.Backlog = false, nil
}

// Freeze suspends the process.
func (p *PollingNode) Pause() {
	if p.Worker != nil && !p.Node.Paused {
		p.Node.Paused = true
		p.record(history.WorkerPaused)
	}
}

// Thaw resumes the process. It stops what has expired before it takes what came
// meanwhile.
func (p *PollingNode) Resume() {
	if p.Worker == nil || !p.Node.Paused {
		return
	}
	p.record(history.WorkerResumed)
	p.Node.Paused = false
	p.Worker.Tick(p.Node.Monotonic())
	for _, deliver := range p.Node.takeBacklog() {
		deliver()
	}
	p.poll()
}

// SetLeaving has the worker announce that it leaves, within a time if that is not 0, or
// withdraw that.
func (p *PollingNode) SetLeaving(leaving bool, within time.Duration) {
	if p.Worker == nil || p.Worker.Departing == leaving {
		return
	}
	p.Worker.Departing, p.Worker.DepartsAt = leaving, 0
	if within > 0 {
		p.Worker.DepartsAt = p.Node.Monotonic().Add(within)
	}
	if leaving {
		p.record(history.WorkerLeaving)
	} else {
		p.record(history.WorkerStaying)
	}
}

// poll polls the agent, and again after its reply, or if there is none for a while.
func (p *PollingNode) poll() {
	if p.Worker == nil || p.Node.Paused {
		return
	}
	w, incarnation := p.Node.world, p.Incarnation
	poll := p.Worker.NextPoll(p.Node.Monotonic())
	pollAgain := func() {
		if p.isLatest(poll, incarnation) {
			p.poll()
		}
	}
	onReceived := func(agent *Node) { p.recordEndReports(agent, poll.Ended) }
	onAnswer := func(answer wire.Response) {
		p.deliver(func() {
			if p.isLatest(poll, incarnation) {
				p.handleResponse(answer)
				w.After(pollDelay, pollAgain)
			}
		})
	}
	w.requestObserved(p.Node.Addr, p.agent, wire.VerbPoll, "", wire.EncodeBody(poll), onReceived, onAnswer)
	w.After(pollTimeout, pollAgain)
}

// isLatest reports whether a poll of an incarnation is the last that was sent.
func (p *PollingNode) isLatest(poll protocol.Poll, incarnation int) bool {
	return p.Incarnation == incarnation && p.Worker != nil && p.Worker.IsLatest(poll)
}

// deliver hands the process something, when it thaws if it is frozen.
func (p *PollingNode) deliver(deliver func()) {
	if p.Node.Paused {
		p.Node.Backlog = append(p.Node.Backlog, deliver)
		return
	}
	deliver()
}

func (p *PollingNode) handleResponse(answer wire.Response) {
	var reply protocol.PollReply
	if answer.Error == nil && json.Unmarshal(answer.Body, &reply) == nil {
		p.Worker.HandleReply(p.Node.Monotonic(), reply)
	}
}

// recordEndReports records the ends that a process of the agent receives for the first
// time.
func (p *PollingNode) recordEndReports(agent *Node, ended []protocol.EndedTask) {
	for _, end := range ended {
		if p.reportedTo[end.Attempt] == agent.Incarnation {
			continue
		}
		p.reportedTo[end.Attempt] = agent.Incarnation
		p.Node.world.Record(history.Event{
			Kind:    history.EndReported,
			Process: agent.ProcessName(),
			Attempt: end.Attempt,
			Outcome: end.Outcome,
		})
	}
}
