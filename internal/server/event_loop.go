package server

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"coppercourse/internal/wal"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

// How often the status is published.
const (
	statusInterval     = 200 * time.Millisecond
	statusIntervalBusy = time.Second // while events wait
)

// Observer publishes what other goroutines read of a machine. The loop's goroutine calls
// all its methods but Ready.
type Observer interface {
	// AfterStep is called after each step of the machine.
	AfterStep()
	// Status returns what /v1/status shows, a value that encodes to a JSON object. It is
	// called a few times a second.
	Status() any
	// Ready reports whether the daemon can serve callers. Any goroutine may call it.
	Ready() bool
}

// Config is what an event loop works with.
type Config struct {
	Machine    wire.Machine
	Observer   Observer
	Sender     *Sender
	Log        *wal.File    // nil for a machine that writes no records
	CallWorker WorkerCaller // nil for a machine that calls no worker
	Logger     logr.Logger
}

// EventLoop runs one machine. Its goroutine, Run, is the only one that steps it.
type EventLoop struct {
	machine  wire.Machine
	observer Observer
	queue    *eventQueue
	pacer    workqueue.TickPacer
	pending  pendingRequests

	// Where the effects of a step go.
	sender *Sender
	disk   *diskWriter // nil without a log
	calls  *workerCalls

	// What other goroutines read.
	stopped      chan struct{} // closed once Run has returned: the machine sees nothing any more
	statusJSON   atomic.Pointer[json.RawMessage]
	drained      atomic.Bool
	rejectedBusy atomic.Uint64 // requests rejected because the loop was behind

	publishedAt time.Time // when the status was last published
}

// NewEventLoop returns a loop that is not running yet. Messages and requests may come in
// before it does.
func NewEventLoop(config Config) *EventLoop {
	el := &EventLoop{
		machine:  config.Machine,
		observer: config.Observer,
		queue:    newEventQueue(),
		pending:  newPendingRequests(),
		sender:   config.Sender,
		stopped:  make(chan struct{}),
	}
	el.calls = newWorkerCalls(config.CallWorker, el.workerReplied)
	if config.Log != nil {
		el.disk = newDiskWriter(config.Log, el, config.Logger)
	}
	return el
}

// Deliver gives the machine a message. It returns false if there is no room for its kind.
func (el *EventLoop) Deliver(message wire.Message) bool {
	return el.queue.push(queuedEvent{Event: wire.Event{Message: &message}})
}

// BeginShutdown notifies the machine that the daemon is about to stop.
func (el *EventLoop) BeginShutdown() { el.enqueue(wire.Event{Shutdown: true}) }

// Drained reports whether the machine is shutting down and has nothing left to do.
func (el *EventLoop) Drained() bool { return el.drained.Load() }

// StatusJSON returns the status that was last published.
func (el *EventLoop) StatusJSON() json.RawMessage {
	if status := el.statusJSON.Load(); status != nil {
		return *status
	}
	return json.RawMessage("{}")
}

// workerReplied is called with the reply to each call to a worker.
func (el *EventLoop) workerReplied(reply wire.WorkerReply) {
	el.enqueue(wire.Event{WorkerReply: &reply})
}

// batchSynced is called once a batch is on disk.
func (el *EventLoop) batchSynced(number uint64) { el.enqueue(wire.Event{Synced: number}) }

// diskFailed is called when the disk starts to refuse batches.
func (el *EventLoop) diskFailed(err error) { el.enqueue(wire.Event{DiskError: err}) }

// enqueue adds an event that must not be lost.
func (el *EventLoop) enqueue(e wire.Event) { el.queue.force(queuedEvent{Event: e}) }

// Run steps the machine until ctx ends: with a tick when one is due, else with the most
// urgent event that waits.
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

// Close ends the goroutines that the loop has started and waits for them. It is called
// after Run has returned.
func (el *EventLoop) Close() {
	el.calls.stop()
	el.sender.Close()
}

// tick steps the machine with a tick, and rejects the requests that have waited
// too long to be of use.
func (el *EventLoop) tick() {
	el.pacer.NoteTick(MonotonicNow())
	requests, forwards := el.queue.expire()
	for _, e := range requests {
		if e.claim() {
			e.responses <- el.rejectBusy(workqueue.MaxRequestWait)
		}
	}
	el.step(queuedEvent{Event: wire.Event{Load: el.queue.load(), ExpiredForwards: forwards}})
}

// handle steps the machine with an event, unless it is a request whose caller has given up.
func (el *EventLoop) handle(e queuedEvent) {
	if e.claim() {
		el.step(e)
	}
}

// step steps the machine and carries out the effects.
func (el *EventLoop) step(e queuedEvent) {
	e.Now = Now()
	if e.Request != nil {
		el.pending.add(e.Request, e.responses)
	}
	effects := el.machine.Step(e.Event)
	for _, message := range effects.Messages {
		el.sender.Send(message)
	}
	for _, call := range effects.Calls {
		el.calls.start(call)
	}
	if effects.Records != nil {
		el.disk.enqueue(recordBatch{
			records:         effects.Records,
			number:          effects.BatchNumber,
			replaceLog:      effects.ReplaceLog,
			fallbackRecords: effects.FallbackRecords,
		})
	}
	for _, response := range effects.Responses {
		el.pending.respond(response)
	}
	el.drained.Store(effects.Drained)
	el.observer.AfterStep()
	el.publishStatus(e.Load.MoreWaiting)
}

// publishStatus encodes the status for HTTP handlers, less often while events wait.
func (el *EventLoop) publishStatus(busy bool) {
	interval := statusInterval
	if busy {
		interval = statusIntervalBusy
	}
	if time.Since(el.publishedAt) <= interval {
		return
	}
	el.publishedAt = time.Now()
	status := wire.EncodeBody(el.observer.Status())
	el.statusJSON.Store(&status)
}
