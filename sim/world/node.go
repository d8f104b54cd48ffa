package world

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
)

const (
	tickInterval = 20 * time.Millisecond
	maxBacklog   = 20_000 // events that wait at a frozen node; more are lost
)

// Node is the place of a daemon's process, or with NewMachine nil of a worker's: its
// address, clocks, disk and processor.
type Node struct {
	Addr       types.Addr
	Role       string
	Zone       types.Zone
	NewMachine func(*Node) wire.Machine // starts a process; nil means that none is started here
	FirstStart bool                     // its settings say so; of controllers
	Disk       *Disk                    // of controllers
	Processor  *Processor               // where steps take time
	Slowdown   float64                  // factor by which the processor is slow; 0 means 1
	WallOffset time.Duration            // of its time of day

	Machine     wire.Machine // nil while no process runs
	Incarnation int          // changes with each start and each end of a process
	Paused      bool
	Stopping    bool     // it was warned and ends once it has nothing left to do
	Backlog     []func() // what came while it was frozen

	Usage     Usage
	StepTimes *hdrhistogram.Histogram // of its steps in nanoseconds; may be nil

	world           *World
	clockBase       types.MonoTime // reading of its monotonic clock at 0
	clockRate       float64
	pendingRequests map[uint64]pendingRequest // by token
	lastToken       uint64
}

// Monotonic returns the reading of the node's monotonic clock.
func (n *Node) Monotonic() types.MonoTime {
	return n.clockBase + types.MonoTime(float64(n.world.now)*n.clockRate)
}

// ClockReading returns the readings of the node's clocks.
func (n *Node) ClockReading() types.Now {
	wall := history.WallClockStart + n.world.now + int64(n.WallOffset)
	return types.Now{Mono: n.Monotonic(), Wall: types.WallTime(wall)}
}

// ProcessName returns a name that no other process started here has.
func (n *Node) ProcessName() string { return fmt.Sprintf("%s.%d", n.Addr, n.Incarnation) }

// sameProcess returns a function that reports whether the present process still runs.
func (n *Node) sameProcess() func() bool {
	incarnation := n.Incarnation
	return func() bool { return n.Incarnation == incarnation }
}

// Boot starts a process.
func (n *Node) Start() {
	if n.NewMachine == nil {
		return
	}
	n.Incarnation++
	n.Paused, n.Backlog, n.Stopping = false, nil, false
	clear(n.pendingRequests)
	if n.world.StepCosts != nil {
		n.Processor = newProcessor(n, *n.world.StepCosts)
	}
	n.Machine = n.NewMachine(n)
	n.Step(wire.Event{})
	running := n.sameProcess()
	var tick func()
	tick = func() {
		if !running() {
			return
		}
		if !n.Paused {
			n.Step(wire.Event{})
		}
		n.world.After(tickInterval, tick)
	}
	n.world.After(randomBelow(n.world.Random, tickInterval), tick)
}

// Kill ends the process at once. What its disk had not synced is torn.
func (n *Node) Kill() {
	if n.Machine != nil {
		n.world.Record(history.Event{Kind: history.DaemonStopped, Process: n.ProcessName()})
	}
	n.Incarnation++
	n.Machine, n.Paused, n.Backlog = nil, false, nil
	if n.Disk != nil {
		n.Disk.losePower()
	}
}

// Freeze suspends the process.
func (n *Node) Pause() { n.Paused = n.Machine != nil }

// Thaw resumes the process, which takes all that came meanwhile.
func (n *Node) Resume() {
	if !n.Paused {
		return
	}
	n.Paused = false
	for _, deliver := range n.takeBacklog() {
		n.Deliver(deliver)
	}
}

func (n *Node) takeBacklog() []func() {
	backlog := n.Backlog
	n.Backlog = nil
	return backlog
}

// Deliver hands the process something, when it thaws if it is frozen.
func (n *Node) Deliver(deliver func()) {
	switch {
	case n.Machine == nil:
	case n.Paused:
		if len(n.Backlog) < maxBacklog {
			n.Backlog = append(n.Backlog, deliver)
		}
	default:
		deliver()
	}
}

// Step gives the machine an event, at once or when its processor comes to it.
func (n *Node) Step(event wire.Event) {
	if n.Processor != nil {
		n.Processor.enqueue(event)
		return
	}
	event.Now = n.ClockReading()
	n.applyEffects(n.stepMachine(event))
}

// stepMachine gives the machine an event, and counts the time that it takes.
func (n *Node) stepMachine(event wire.Event) wire.Effects {
	if event.Message != nil {
		n.recordDelivery(*event.Message)
	}
	if !n.world.Metering {
		return n.Machine.Step(event)
	}
	startedAt := time.Now()
	effects := n.Machine.Step(event)
	took := time.Since(startedAt)
	n.Usage.CPU += took
	n.Usage.Steps++
	if n.StepTimes != nil {
		n.StepTimes.RecordValue(int64(took))
	}
	return effects
}

// recordDelivery records the ends of attempts that a message reports.
func (n *Node) recordDelivery(m wire.Message) {
	if n.world.OnDelivery != nil {
		n.world.OnDelivery(n.Addr, m)
	}
	if m.Kind != wire.StatusReport {
		return
	}
	update, ok := wire.DecodeBody[protocol.StatusReport](m)
	if !ok {
		return
	}
	for _, end := range update.Ends {
		if end.Outcome == state.OutcomeOK || end.Outcome == state.OutcomeFailed {
			n.world.Record(history.Event{
				Kind:    history.EndReported,
				Process: n.ProcessName(),
				Attempt: end.ID,
				Outcome: end.Outcome,
			})
		}
	}
}

// applyEffects carries out the effects of a step.
func (n *Node) applyEffects(effects wire.Effects) {
	n.sendAll(effects.Messages)
	for _, call := range effects.Calls {
		n.world.callWorker(n, call)
	}
	if effects.Records != nil {
		running := n.sameProcess()
		onSynced := func(batch uint64) {
			if running() {
				n.Deliver(func() { n.Step(wire.Event{Synced: batch}) })
			}
		}
		n.Disk.enqueue(diskWrite{effects.Records, effects.BatchNumber, effects.ReplaceLog, onSynced})
	}
	for _, answer := range effects.Responses {
		n.respond(answer)
	}
	if n.world.AfterStep != nil {
		n.world.AfterStep(n)
	}
	if n.Stopping && effects.Drained {
		n.Kill()
	}
}

// sendAll sends the messages of a step.
func (n *Node) sendAll(messages []wire.OutboundMessage) {
	w, meter := n.world, requestMeter{}
	for _, m := range messages {
		if w.TamperMessage != nil && !w.TamperMessage(&m) {
			continue
		}
		first := w.Metering && meter.first(m.To)
		if w.Metering {
			countTransfer(&n.Usage, nil, m.Message, first)
		}
		w.transmit(n.Addr, m.To, func() {
			if to := w.Nodes[m.To]; to != nil {
				to.Deliver(func() { to.receiveMessage(m.Message, first) })
			}
		})
	}
}

// take gives the machine a message; first means that it is the first one of its request.
func (n *Node) receiveMessage(m wire.Message, first bool) {
	if n.world.Metering {
		countTransfer(nil, &n.Usage, m, first)
	}
	n.Step(wire.Event{Message: &m})
}
