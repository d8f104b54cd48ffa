package world

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/controller"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

// Costs is how long steps take on a processor that is not slow.
type Costs struct {
	Tick      time.Duration
	Control   time.Duration // an event of the control classes
	Request   time.Duration // any other event
	Placement time.Duration // added for a step that placed work
}

// SmallCoreCosts are the costs on a part of a core, as the daemons of a small machine
// have.
var SmallCoreCosts = Costs{
	Tick:      600 * time.Microsecond,
	Control:   250 * time.Microsecond,
	Request:   500 * time.Microsecond,
	Placement: 4 * time.Millisecond,
}

// expiredForwardsPerRequest is how many forwards that a tick finds expired cost as much
// as one request.
const expiredForwardsPerRequest = 10

// LoopBugs are planted bugs in the daemons' loops.
type LoopBugs struct {
	SingleQueue  bool // all events wait in one queue
	NeverRejects bool // no request is rejected, and the machine knows of no load
}

// Processor carries out a process's steps one after another, each of which takes virtual
// time. Events that come meanwhile wait in the queues of the daemons' own loop. The effects
// of a step are carried out at its end.
type Processor struct {
	LongestWait      [wire.NumClasses]time.Duration // of an event for its step
	RequestDurations map[wire.Verb][]time.Duration  // from a request's arrival to its answer

	// What the machine never saw.
	RejectedRequests, ExpiredRequests, StaleReports int

	node        *Node
	costs       Costs
	queue       workqueue.Queue[wire.Event]
	ticks       workqueue.TickPacer
	busy        bool
	requestedAt map[uint64]int64 // by token
}

func newProcessor(n *Node, costs Costs) *Processor {
	return &Processor{
		node:             n,
		costs:            costs,
		requestedAt:      map[uint64]int64{},
		RequestDurations: map[wire.Verb][]time.Duration{},
	}
}

func (p *Processor) bugs() LoopBugs { return p.node.world.LoopBugs }

func (p *Processor) class(event wire.Event) wire.Class {
	if p.bugs().SingleQueue {
		return wire.ClassConsensus
	}
	return event.Class()
}

// enqueue takes an event. A tick says only that one may be due.
func (p *Processor) enqueue(event wire.Event) {
	now := p.node.Monotonic()
	switch {
	case event.IsTick():
	case event.Synced > 0 || event.DiskError != nil || event.WorkerReply != nil || event.Shutdown:
		p.queue.PushAlways(p.class(event), now, event)
	case event.Request != nil && !p.admit(now, event):
		p.RejectedRequests++
		p.reject(event)
	case event.Message != nil:
		p.queue.Push(p.class(event), now, event)
	}
	p.startNextStep()
}

// admit lets a request wait for the machine, or not.
func (p *Processor) admit(now types.MonoTime, event wire.Event) bool {
	p.requestedAt[event.Request.Token] = p.node.world.now
	delay := p.queue.Age(now, wire.ClassCallers, wire.ClassCallers)
	tooLate := wire.SubmitsWork(event.Request.Verb) && delay > workqueue.MaxSubmitDelay
	if tooLate && !p.bugs().NeverRejects {
		return false
	}
	return p.queue.Push(p.class(event), now, event)
}

// reject answers a request in place of the machine.
func (p *Processor) reject(event wire.Event) {
	p.node.respond(wire.Response{
		Token: event.Request.Token,
		Error: apierror.New(apierror.TooBusy, "", "behind").WithRetryAfter(time.Second),
	})
}

// startNextStep begins a step, if the processor is free and there is an event to take.
func (p *Processor) startNextStep() {
	n := p.node
	if p.busy || n.Machine == nil || n.Paused {
		return
	}
	event, ok := p.pickEvent(n.Monotonic())
	if !ok {
		return
	}
	p.busy = true
	placedBefore := placementRounds(n.Machine)
	event.Now = n.ClockReading()
	effects := n.stepMachine(event)
	cost := p.cost(event, placementRounds(n.Machine) > placedBefore)
	running := n.sameProcess()
	n.world.After(time.Duration(float64(cost)*max(1, n.Slowdown)), func() {
		if !running() {
			return
		}
		n.Deliver(func() {
			p.busy = false
			n.applyEffects(effects)
			p.startNextStep()
		})
	})
}

// pickEvent returns a tick if one is due, else the most urgent event.
func (p *Processor) pickEvent(now types.MonoTime) (wire.Event, bool) {
	if p.ticks.Due(now, p.queue.Len()) {
		p.ticks.RecordTick(now)
		tick := wire.Event{ExpiredForwards: p.expireRequests(now)}
		return p.withLoad(tick, now, wire.ClassBackground, now), true
	}
	event, _, since, ok := p.queue.Pop()
	if !ok {
		return event, false
	}
	p.ticks.RecordEvent()
	class := event.Class()
	p.LongestWait[class] = max(p.LongestWait[class], now.Sub(since))
	return p.withLoad(event, now, class, since), true
}

// withLoad tells the machine how far its loop is behind.
func (p *Processor) withLoad(event wire.Event, now types.MonoTime, class wire.Class, since types.MonoTime) wire.Event {
	if !p.bugs().NeverRejects {
		event.Load = p.queue.Load(now, class, since)
	}
	return event
}

// expire answers the requests that have waited too long, and returns those that gateways
// had forwarded.
func (p *Processor) expireRequests(now types.MonoTime) []wire.Message {
	if p.bugs().NeverRejects {
		return nil
	}
	p.StaleReports += len(p.queue.Expire(wire.ClassReports, now, workqueue.MaxWait))
	var forwards []wire.Message
	for _, event := range p.queue.Expire(wire.ClassCallers, now, workqueue.MaxWait) {
		p.ExpiredRequests++
		if event.Request != nil {
			p.reject(event)
		} else {
			forwards = append(forwards, *event.Message)
		}
	}
	return forwards
}

// cost returns how long a step takes on a processor that is not slow.
func (p *Processor) cost(event wire.Event, placed bool) time.Duration {
	var cost time.Duration
	switch {
	case event.IsTick():
		expired := time.Duration(len(event.ExpiredForwards))
		cost = p.costs.Tick + expired*p.costs.Request/expiredForwardsPerRequest
	case event.Class() <= workqueue.LastControlClass:
		cost = p.costs.Control
	default:
		cost = p.costs.Request
	}
	if placed {
		cost += p.costs.Placement
	}
	return cost
}

// recordRequestDuration notes how long a request took.
func (p *Processor) recordRequestDuration(token uint64, verb wire.Verb) {
	if since, ok := p.requestedAt[token]; ok {
		p.RequestDurations[verb] = append(p.RequestDurations[verb], time.Duration(p.node.world.now-since))
		delete(p.requestedAt, token)
	}
}

// placementRounds returns how often a machine has placed work, if it is a controller.
func placementRounds(m wire.Machine) uint64 {
	if c, ok := m.(*controller.Controller); ok {
		return c.Counters.Placed
	}
	return 0
}
