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
func (o *EventLoop) SetMachine(m wire.Machine) { o.machine = m }

// Deliver gives the machine a message; false when there is no room for its kind.
func (o *EventLoop) Deliver(n wire.Message) bool {
	return o.queue.push(queuedEvent{Event: wire.Event{Message: &n}})
}

// Ask gives the machine a request and waits for its answer. One that brings new
// work is turned away at once while the loop is behind with such requests. Once the
// machine may have seen the request, no end of this daemon is told as a refusal.
func (o *EventLoop) Ask(ctx context.Context, verb, arg string, body json.RawMessage) wire.Response {
	request := &wire.Request{Verb: verb, Arg: arg, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = max(1, time.Until(deadline))
	}
	select {
	case <-o.stopped:
		return wire.Response{Error: apierror.New(apierror.ShuttingDown, "", "this daemon is stopping").WithRetryAfter(time.Second)}
	default:
	}
	e := queuedEvent{Event: wire.Event{Request: request}, responses: make(chan wire.Response, 1), claimed: &atomic.Bool{}}
	behind := o.queue.callerDelay()
	if wire.SubmitsWork(verb) && behind > workqueue.MaxSubmitDelay || !o.queue.push(e) {
		o.rejectedBusy.Add(1)
		return wire.Response{Error: overloadError(max(behind, time.Second))}
	}
	select {
	case response := <-e.responses:
		return response
	case <-o.stopped:
		return o.finalResponse(e.responses)
	case <-ctx.Done():
		if e.claim() { // the machine has not seen it, and never will
			o.rejectedBusy.Add(1)
			return wire.Response{Error: overloadError(workqueue.MaxRequestWait)}
		}
		return wire.Response{Error: apierror.New(apierror.OutcomeUnknown, "", "no answer within the time there was")}
	}
}

// finalResponse is the answer to a request that was under way when the machine ended.
func (o *EventLoop) finalResponse(responses chan wire.Response) wire.Response {
	select {
	case response := <-responses:
		return response
	default:
		return wire.Response{Error: apierror.New(apierror.OutcomeUnknown, "", "this daemon stopped before it had an answer")}
	}
}

// BeginShutdown tells the machine that its end is planned.
func (o *EventLoop) BeginShutdown() { o.queue.force(queuedEvent{Event: wire.Event{Shutdown: true}}) }

// Drained tells whether a machine that was told to close has nothing left to do.
func (o *EventLoop) Drained() bool { return o.drained.Load() }

// StatusJSON is what the machine last showed.
func (o *EventLoop) StatusJSON() json.RawMessage {
	if p := o.statusJSON.Load(); p != nil {
		return *p
	}
	return json.RawMessage("{}")
}

// Run is the owner goroutine: a tick when one is due, else the most urgent event.
func (o *EventLoop) Run(ctx context.Context) error {
	defer close(o.stopped)
	ticker := time.NewTicker(workqueue.TickInterval)
	defer ticker.Stop()
	o.tick()
	for ctx.Err() == nil {
		if o.pacer.Due(MonotonicNow(), o.queue.len()) {
			o.tick()
			continue
		}
		if e, ok := o.queue.pop(); ok {
			o.pacer.NoteEvent()
			o.handle(e)
			continue
		}
		select {
		case <-ctx.Done():
		case <-o.queue.wake:
		case <-ticker.C:
		}
	}
	return nil
}

// tick lets time pass in the machine, and answers the requests that it won't get to.
func (o *EventLoop) tick() {
	o.pacer.NoteTick(MonotonicNow())
	requests, forwards := o.queue.expire()
	for _, e := range requests {
		if e.claim() {
			o.rejectedBusy.Add(1)
			e.responses <- wire.Response{Error: overloadError(workqueue.MaxRequestWait)}
		}
	}
	o.step(queuedEvent{Event: wire.Event{Load: o.queue.load(), ExpiredForwards: forwards}})
}

// handle hands an event to the machine, but for a request that was given up.
func (o *EventLoop) handle(e queuedEvent) {
	if e.claim() {
		o.step(e)
	}
}

func (o *EventLoop) step(e queuedEvent) {
	e.Now = Now()
	if e.Request != nil {
		o.lastToken++
		e.Request.Token = o.lastToken
		o.pending[o.lastToken] = e.responses
	}
	out := o.machine.Step(e.Event)
	for _, s := range out.Messages {
		o.sender.Send(s)
	}
	for _, c := range out.Calls {
		o.startCall(c)
	}
	if out.Records != nil {
		o.diskWriter.Enqueue(Batch{Records: out.Records, Number: out.BatchNumber, ReplaceLog: out.ReplaceLog, FallbackRecords: out.FallbackRecords})
	}
	for _, a := range out.Responses {
		if back := o.pending[a.Token]; back != nil {
			back <- a
			delete(o.pending, a.Token)
		}
	}
	o.drained.Store(out.Drained)
	if o.AfterStep != nil {
		o.AfterStep()
	}
	o.publishStatus(e.Load.MoreWaiting)
}

// publishStatus shows the machine's account of itself, less often while events wait.
func (o *EventLoop) publishStatus(waiting bool) {
	every := statusInterval
	if waiting {
		every = statusIntervalBusy
	}
	if o.Status != nil && time.Since(o.publishedAt) > every {
		o.publishedAt = time.Now()
		b := wire.EncodeBody(o.Status())
		o.statusJSON.Store(&b)
	}
}
