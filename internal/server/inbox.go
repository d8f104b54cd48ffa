// The inbox: what waits for the machine, by class. Whoever brings an event puts it
// in from a goroutine of its own; only the owner takes from it.
package server

import (
	"sync"
	"sync/atomic"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

// queuedEvent is one for the machine. Of a request only one side decides: the owner that
// takes it, or whoever waited and gives up.
type queuedEvent struct {
	wire.Event
	responses chan wire.Response
	claimed   *atomic.Bool
}

// claim is true for whoever decides on the request.
func (e queuedEvent) claim() bool { return e.claimed == nil || e.claimed.CompareAndSwap(false, true) }

type eventQueue struct {
	mu             sync.Mutex
	queue          workqueue.Queue[queuedEvent]
	wake           chan struct{}
	clock          func() types.MonoTime
	expiredReports uint64 // reports dropped after waiting too long
}

func newEventQueue() *eventQueue {
	return &eventQueue{wake: make(chan struct{}, 1), clock: MonotonicNow}
}

// push adds an event; false where its class is full.
func (i *eventQueue) push(e queuedEvent) bool {
	i.mu.Lock()
	ok := i.queue.Push(e.Class(), i.clock(), e)
	i.mu.Unlock()
	i.signal()
	return ok
}

// force adds an event that may not be lost.
func (i *eventQueue) force(e queuedEvent) {
	i.mu.Lock()
	i.queue.PushAlways(e.Class(), i.clock(), e)
	i.mu.Unlock()
	i.signal()
}

func (i *eventQueue) signal() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// pop gives the next event with the load that its step is told of.
func (i *eventQueue) pop() (queuedEvent, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	e, class, at, ok := i.queue.Pop()
	if ok {
		e.Load = i.queue.Load(i.clock(), class, at)
	}
	return e, ok
}

// len is how many events wait.
func (i *eventQueue) len() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Len()
}

// load is what a tick is told.
func (i *eventQueue) load() wire.Load {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	return i.queue.Load(now, wire.ClassBackground, now)
}

// callerDelay is how long the oldest request of a caller has waited.
func (i *eventQueue) callerDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Age(i.clock(), wire.ClassCallers, wire.ClassCallers)
}

// expire takes out what has waited too long: requests, and those that gateways
// handed over, which the machine answers. Reports that are repeated are dropped.
func (i *eventQueue) expire() (requests []queuedEvent, forwards []wire.Message) {
	i.mu.Lock()
	defer i.mu.Unlock()
	patience := func(e queuedEvent) time.Duration { return workqueue.MaxWait(e.Event) }
	now := i.clock()
	i.expiredReports += uint64(len(i.queue.Expire(wire.ClassReports, now, patience)))
	for _, e := range i.queue.Expire(wire.ClassCallers, now, patience) {
		if e.Request != nil {
			requests = append(requests, e)
		} else {
			forwards = append(forwards, *e.Message)
		}
	}
	return
}

// rejected counts what was refused for want of room, by class, and the reports
// dropped since they had waited too long.
func (i *eventQueue) rejected() (full [wire.NumClasses]uint64, stale uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Rejected, i.expiredReports
}

// overloadError is the answer to a request that was not taken, with when to come back:
// not before what is ahead of it will have gone.
func overloadError(behind time.Duration) *apierror.Error {
	return apierror.New(apierror.TooBusy, "", "this daemon is behind with its work; the request was not taken").WithRetryAfter(2 * behind)
}
