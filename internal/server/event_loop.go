// Package server is the shell round a state machine: the one goroutine that owns
// it, the disk writer (disk.go), the outgoing posts and the HTTP pages. What the machine
// shows is published as immutable values behind atomic pointers.
package server

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

const (
	statusInterval     = 200 * time.Millisecond
	statusIntervalBusy = time.Second // while events wait
)

// EventLoop runs one machine.
type EventLoop struct {
	machine      wire.Machine
	sender       *Sender
	diskWriter   *DiskWriter
	queue        *eventQueue
	pacer        workqueue.TickPacer
	stopped      chan struct{}
	pending      map[uint64]chan wire.Response
	lastToken    uint64
	publishedAt  time.Time
	Status       func() any   // run by the owner, to publish
	AfterStep    func()       // run by the owner after each step
	CallWorker   WorkerCaller // carries calls to a worker
	callSlots    chan struct{}
	statusJSON   atomic.Pointer[json.RawMessage]
	drained      atomic.Bool
	rejectedBusy atomic.Uint64 // requests turned away since the loop was behind
}

var processStart = time.Now()

// Now reads the clocks; nothing else in the daemons does for a machine.
func Now() types.Now {
	t := time.Now()
	return types.Now{Mono: types.MonoTime(t.Sub(processStart)), Wall: types.WallTime(t.UnixNano())}
}

// MonotonicNow reads the daemon's steady clock.
func MonotonicNow() types.MonoTime { return Now().Mono }

func NewEventLoop(post *Sender, file *wal.File) *EventLoop {
	o := &EventLoop{sender: post, queue: newEventQueue(), stopped: make(chan struct{}), pending: map[uint64]chan wire.Response{},
		callSlots: make(chan struct{}, maxConcurrentCalls)}
	if file != nil {
		o.diskWriter = NewDiskWriter(file, o.onSynced, o.onDiskError)
	}
	return o
}

// SetMachine sets the machine; it must be called before Run.
func (el *EventLoop) SetMachine(m wire.Machine) { el.machine = m }

// Deliver gives the machine a message; false when there is no room for its kind.
func (el *EventLoop) Deliver(n wire.Message) bool {
	return el.queue.push(queuedEvent{Event: wire.Event{Message: &n}})
}

// Ask gives the machine a request and waits for its answer. One that brings new
// work is turned away at once while the loop is behind with such requests. Once the
// machine may have seen the request, no end of this daemon is told as a refusal.
func (el *EventLoop) Ask(ctx context.Context, verb, arg string, body json.RawMessage) wire.Response {
	request := &wire.Request{Verb: verb, Arg: arg, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = max(1, time.Until(deadline))
	}
	select {
	case <-el.stopped:
		return wire.Response{Error: apierror.New(apierror.ShuttingDown, "", "this daemon is stopping").WithRetryAfter(time.Second)}
	default:
	}
	e := queuedEvent{Event: wire.Event{Request: request}, responses: make(chan wire.Response, 1), claimed: &atomic.Bool{}}
	behind := el.queue.callerDelay()
	if wire.SubmitsWork(verb) && behind > workqueue.MaxSubmitDelay || !el.queue.push(e) {
		el.rejectedBusy.Add(1)
		return wire.Response{Error: overloadError(max(behind, time.Second))}
	}
	select {
	case response := <-e.responses:
		return response
	case <-el.stopped:
		return el.finalResponse(e.responses)
	case <-ctx.Done():
		if e.claim() { // the machine has not seen it, and never will
			el.rejectedBusy.Add(1)
			return wire.Response{Error: overloadError(workqueue.MaxRequestWait)}
		}
		return wire.Response{Error: apierror.New(apierror.OutcomeUnknown, "", "no answer within the time there was")}
	}
}

// finalResponse is the answer to a request that was under way when the machine ended.
func (el *EventLoop) finalResponse(responses chan wire.Response) wire.Response {
	select {
	case response := <-responses:
		return response
	default:
		return wire.Response{Error: apierror.New(apierror.OutcomeUnknown, "", "this daemon stopped before it had an answer")}
	}
}

// BeginShutdown tells the machine that its end is planned.
func (el *EventLoop) BeginShutdown() { el.queue.force(queuedEvent{Event: wire.Event{Shutdown: true}}) }

// Drained tells whether a machine that was told to close has nothing left to do.
func (el *EventLoop) Drained() bool { return el.drained.Load() }

// StatusJSON is what the machine last showed.
func (el *EventLoop) StatusJSON() json.RawMessage {
	if p := el.statusJSON.Load(); p != nil {
		return *p
	}
	return json.RawMessage("{}")
}

// Run is the owner goroutine: a tick when one is due, else the most urgent event.
func (el *EventLoop) Run(ctx context.Context) error {
	defer close(el.stopped)
	ticker := time.NewTicker(workqueue.TickInterval)
	defer ticker.Stop()
	el.tick()
	for ctx.Err() == nil {
		if el.pacer.Due(MonotonicNow(), el.queue.len()) {
			el.tick()
			continue
		}
		if e, ok := el.queue.pop(); ok {
			el.pacer.NoteEvent()
			el.handle(e)
			continue
		}
		select {
		case <-ctx.Done():
		case <-el.queue.wake:
		case <-ticker.C:
		}
	}
	return nil
}

// tick lets time pass in the machine, and answers the requests that it won't get to.
func (el *EventLoop) tick() {
	el.pacer.NoteTick(MonotonicNow())
	requests, forwards := el.queue.expire()
	for _, e := range requests {
		if e.claim() {
			el.rejectedBusy.Add(1)
			e.responses <- wire.Response{Error: overloadError(workqueue.MaxRequestWait)}
		}
	}
	el.step(queuedEvent{Event: wire.Event{Load: el.queue.load(), ExpiredForwards: forwards}})
}

// handle hands an event to the machine, but for a request that was given up.
func (el *EventLoop) handle(e queuedEvent) {
	if e.claim() {
		el.step(e)
	}
}

func (el *EventLoop) step(e queuedEvent) {
	e.Now = Now()
	if e.Request != nil {
		el.lastToken++
		e.Request.Token = el.lastToken
		el.pending[el.lastToken] = e.responses
	}
	out := el.machine.Step(e.Event)
	for _, s := range out.Messages {
		el.sender.Send(s)
	}
	for _, c := range out.Calls {
		el.startCall(c)
	}
	if out.Records != nil {
		el.diskWriter.Enqueue(Batch{Records: out.Records, Number: out.BatchNumber, ReplaceLog: out.ReplaceLog, FallbackRecords: out.FallbackRecords})
	}
	for _, a := range out.Responses {
		if back := el.pending[a.Token]; back != nil {
			back <- a
			delete(el.pending, a.Token)
		}
	}
	el.drained.Store(out.Drained)
	if el.AfterStep != nil {
		el.AfterStep()
	}
	el.publishStatus(e.Load.MoreWaiting)
}

// publishStatus shows the machine's account of itself, less often while events wait.
func (el *EventLoop) publishStatus(waiting bool) {
	every := statusInterval
	if waiting {
		every = statusIntervalBusy
	}
	if el.Status != nil && time.Since(el.publishedAt) > every {
		el.publishedAt = time.Now()
		b := wire.EncodeBody(el.Status())
		el.statusJSON.Store(&b)
	}
}
