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

// Intervals between two publications of the status.
const (
	statusInterval        = 200 * time.Millisecond
	backlogStatusInterval = time.Second // while events are queued
)

// Observer publishes what other goroutines may read of a machine. All its methods but Ready
// are called by the loop's goroutine only, so they may read the machine.
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
	Machine  wire.Machine
	Observer Observer
	Sender   *Sender
	Log      *wal.File    // nil for a machine that writes no records
	Worker   WorkerCaller // nil for a machine that calls no worker
	Logger   logr.Logger
}

// EventLoop runs one state machine.
//
// The goroutine that runs Run owns the machine, the observer (except for Ready), the pacer,
// the pending requests and the time of the last publication: no other goroutine uses them
// while it runs. Everything else reaches the machine as an event in the queue. The other
// goroutines are
//
//   - HTTP handlers, which call Ask, Deliver, StatusJSON and the observer's Ready;
//   - the disk writer, which reports the batches that are on disk;
//   - one goroutine for each call to the worker, which reports the reply;
//   - the shutdown, which calls BeginShutdown and Drained.
//
// They share with the loop only what is safe for concurrent use: the event queue, the
// response channel of each request, the channel stopped and the atomic values.
type EventLoop struct {
	queue *eventQueue

	// Owned by the loop's goroutine.
	machine     wire.Machine
	observer    Observer
	pacer       workqueue.TickPacer
	pending     pendingRequests
	publishedAt time.Time // when the status was last published

	// Where the effects of a step go. Each has goroutines of its own.
	sender *Sender
	disk   *diskWriter // nil without a log
	calls  *workerCalls

	// Read by other goroutines.
	stopped            chan struct{} // closed once Run has returned: the machine takes no more events
	statusJSON         atomic.Pointer[json.RawMessage]
	drained            atomic.Bool
	rejectedOverloaded atomic.Uint64 // requests rejected because the loop was overloaded
}

// NewEventLoop returns a loop that is not running yet. Messages and requests may be queued
// before it runs.
func NewEventLoop(config Config) *EventLoop {
	el := &EventLoop{
		machine:  config.Machine,
		observer: config.Observer,
		queue:    newEventQueue(),
		pending:  newPendingRequests(),
		sender:   config.Sender,
		stopped:  make(chan struct{}),
	}
	el.calls = newWorkerCalls(config.Worker, el)
	if config.Log != nil {
		el.disk = newDiskWriter(config.Log, el, config.Logger)
	}
	return el
}

// Run steps the machine until ctx ends: with a tick when one is due, else with the most
// urgent event in the queue. It is called once.
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
			el.pacer.RecordEvent()
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

// Close ends the goroutines of the calls to the worker and of the sender, and waits for
// them. It is called after Run has returned.
func (el *EventLoop) Close() {
	el.calls.stop()
	el.sender.Close()
}

// tick rejects the requests that have waited in the queue too long to be of use, and steps
// the machine with a tick.
func (el *EventLoop) tick() {
	el.pacer.RecordTick(MonotonicNow())
	requests, forwards := el.queue.expire()
	for _, e := range requests {
		if e.claim() {
			e.responses <- el.rejectOverloaded(workqueue.MaxRequestWait)
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

// step steps the machine with one event, carries out the effects and publishes what other
// goroutines read.
func (el *EventLoop) step(e queuedEvent) {
	e.Now = Now()
	if e.Request != nil {
		el.pending.add(e.Request, e.responses)
	}
	effects := el.machine.Step(e.Event)
	el.dispatchEffects(effects)
	el.drained.Store(effects.Drained)
	el.observer.AfterStep()
	el.publishStatus(e.Load.MoreWaiting)
}

// dispatchEffects hands the effects of a step to those that carry them out. It never blocks.
func (el *EventLoop) dispatchEffects(effects wire.Effects) {
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
}

// publishStatus encodes the status for HTTP handlers, less often while events are queued.
func (el *EventLoop) publishStatus(busy bool) {
	interval := statusInterval
	if busy {
		interval = backlogStatusInterval
	}
	if time.Since(el.publishedAt) <= interval {
		return
	}
	el.publishedAt = time.Now()
	status := wire.EncodeBody(el.observer.Status())
	el.statusJSON.Store(&status)
}
