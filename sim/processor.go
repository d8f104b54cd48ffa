// Processors: where a world has costs, every step of a daemon takes virtual time
// and the events that come meanwhile wait, in the queues and the order of the
// daemons' own loop. What a step sends, writes and answers goes out at its end. A
// processor may be slowed; planted bugs change its order of work.
package sim

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/controller"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
	"coppercourse/sim/history"
)

// Costs is how long steps take on a processor that is not slowed.
type Costs struct {
	Tick      time.Duration
	Control   time.Duration // an event of the control classes
	Request   time.Duration // any other event
	Placement time.Duration // more, for a step that placed work
}

// SmallCoreCosts is the costs on a part of a core, as the daemons of a small machine have.
var SmallCoreCosts = Costs{Tick: 600 * time.Microsecond, Control: 250 * time.Microsecond, Request: 500 * time.Microsecond, Placement: 4 * time.Millisecond}

// processor carries one process's steps, one after another.
type processor struct {
	node             *node
	costs            Costs
	queue            workqueue.Queue[wire.Event]
	ticks            workqueue.TickPacer
	busy             bool
	used             time.Duration
	requestedAt      map[uint64]int64                      // when the requests under way came in, by token
	longestWait      [wire.NumClasses]time.Duration        // that an event waited for its step
	requestDurations map[wire.Verb][]time.Duration         // how long requests were under way, by verb
	Sums             struct{ Refused, Expired, Stale int } // requests, and reports, that the machine never saw
}

// LoopBugs is what a planted bug changes in the loops of a world.
type LoopBugs struct {
	SingleQueue  bool // everything waits in one line
	NeverRejects bool // no request is turned away, and the machine knows of no load
}

func newProcessor(n *node, c Costs) *processor {
	return &processor{node: n, costs: c, requestedAt: map[uint64]int64{}, requestDurations: map[wire.Verb][]time.Duration{}}
}

func (p *processor) class(e wire.Event) wire.Class {
	if p.node.world.LoopBugs.SingleQueue {
		return wire.ClassConsensus
	}
	return e.Class()
}

// enqueue takes an event in; a tick only tells that one may be due.
func (p *processor) enqueue(e wire.Event) {
	now := p.node.monotonic()
	switch {
	case e.IsTick():
	case e.Synced > 0 || e.DiskError != nil || e.WorkerReply != nil || e.Shutdown:
		p.queue.PushAlways(p.class(e), now, e)
	case e.Request != nil && !p.admit(now, e):
		p.Sums.Refused++
		p.reject(e)
	case e.Message != nil:
		p.queue.Push(p.class(e), now, e)
	}
	p.startNextStep()
}

// admit lets a request wait for the machine, or not.
func (p *processor) admit(now types.MonoTime, e wire.Event) bool {
	p.requestedAt[e.Request.Token] = p.node.world.now
	behind := p.queue.Age(now, wire.ClassCallers, wire.ClassCallers)
	if !p.node.world.LoopBugs.NeverRejects && wire.SubmitsWork(e.Request.Verb) && behind > workqueue.MaxSubmitDelay {
		return false
	}
	return p.queue.Push(p.class(e), now, e)
}

// reject answers a request in place of the machine.
func (p *processor) reject(e wire.Event) {
	p.node.answerRequest(wire.Response{Token: e.Request.Token, Error: apierror.New(apierror.TooBusy, "", "behind").WithRetryAfter(time.Second)})
}

// startNextStep begins a step, if the processor is free and there is one to take.
func (p *processor) startNextStep() {
	n := p.node
	if p.busy || n.machine == nil || n.frozen {
		return
	}
	e, ok := p.pickEvent(n.monotonic())
	if !ok {
		return
	}
	p.busy = true
	before := placementRounds(n.machine)
	e.Now = n.clockReading()
	out := n.stepMachine(e)
	cost := time.Duration(float64(p.cost(e, placementRounds(n.machine) > before)) * max(1, n.slowness))
	p.used += cost
	gen := n.incarnation
	n.world.after(cost, func() {
		if n.incarnation != gen {
			return
		}
		n.deliver(func() {
			p.busy = false
			n.carryOut(out)
			p.startNextStep()
		})
	})
}

// pickEvent is a tick where one is due, else the most urgent event.
func (p *processor) pickEvent(now types.MonoTime) (wire.Event, bool) {
	if p.ticks.Due(now, p.queue.Len()) {
		p.ticks.NoteTick(now)
		return p.withLoad(wire.Event{ExpiredForwards: p.expire(now)}, now, wire.ClassBackground, now), true
	}
	e, _, at, ok := p.queue.Pop()
	if !ok {
		return e, false
	}
	p.ticks.NoteEvent()
	class := e.Class()
	p.longestWait[class] = max(p.longestWait[class], now.Sub(at))
	return p.withLoad(e, now, class, at), true
}

func (p *processor) withLoad(e wire.Event, now types.MonoTime, class wire.Class, at types.MonoTime) wire.Event {
	if !p.node.world.LoopBugs.NeverRejects {
		e.Load = p.queue.Load(now, class, at)
	}
	return e
}

// expire answers the requests that have waited too long, and gives those that
// gateways handed over.
func (p *processor) expire(now types.MonoTime) (calls []wire.Message) {
	if p.node.world.LoopBugs.NeverRejects {
		return
	}
	p.Sums.Stale += len(p.queue.Expire(wire.ClassReports, now, workqueue.MaxWait))
	for _, e := range p.queue.Expire(wire.ClassCallers, now, workqueue.MaxWait) {
		p.Sums.Expired++
		if e.Request != nil {
			p.reject(e)
		} else {
			calls = append(calls, *e.Message)
		}
	}
	return
}

func (p *processor) cost(e wire.Event, placed bool) (d time.Duration) {
	switch {
	case e.IsTick():
		d = p.costs.Tick + time.Duration(len(e.ExpiredForwards))*p.costs.Request/10
	case e.Class() <= workqueue.LastControlClass:
		d = p.costs.Control
	default:
		d = p.costs.Request
	}
	if placed {
		d += p.costs.Placement
	}
	return
}

// requestAnswered notes how long a request was under way.
func (p *processor) requestAnswered(token uint64, verb wire.Verb) {
	if from, ok := p.requestedAt[token]; ok {
		p.requestDurations[verb] = append(p.requestDurations[verb], time.Duration(p.node.world.now-from))
		delete(p.requestedAt, token)
	}
}

// placementRounds counts the rounds of placing of a controller.
func placementRounds(m wire.Machine) uint64 {
	if h, ok := m.(*controller.Controller); ok {
		return h.Counters.Placed
	}
	return 0
}

// slowProcessor makes a node's processor so many times slower for a while.
func (r *Run) slowProcessor(n *node, factor float64, duration time.Duration) {
	n.slowness = factor
	r.record(history.Event{Kind: history.FaultStarted, Text: "slow-processor for " + duration.String(), Affected: []types.Addr{n.addr}})
	r.after(duration, func() { n.slowness = 1 })
}
