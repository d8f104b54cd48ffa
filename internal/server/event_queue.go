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
func (q queuedEvent) claim() bool { return q.claimed == nil || q.claimed.CompareAndSwap(false, true) }

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
func (eq *eventQueue) push(e queuedEvent) bool {
	eq.mu.Lock()
	ok := eq.queue.Push(e.Class(), eq.clock(), e)
	eq.mu.Unlock()
	eq.signal()
	return ok
}

// force adds an event that may not be lost.
func (eq *eventQueue) force(e queuedEvent) {
	eq.mu.Lock()
	eq.queue.PushAlways(e.Class(), eq.clock(), e)
	eq.mu.Unlock()
	eq.signal()
}

func (eq *eventQueue) signal() {
	select {
	case eq.wake <- struct{}{}:
	default:
	}
}

// pop gives the next event with the load that its step is told of.
func (eq *eventQueue) pop() (queuedEvent, bool) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	e, class, at, ok := eq.queue.Pop()
	if ok {
		e.Load = eq.queue.Load(eq.clock(), class, at)
	}
	return e, ok
}

// len is how many events wait.
func (eq *eventQueue) len() int {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	return eq.queue.Len()
}

// load is what a tick is told.
func (eq *eventQueue) load() wire.Load {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	now := eq.clock()
	return eq.queue.Load(now, wire.ClassBackground, now)
}

// callerDelay is how long the oldest request of a caller has waited.
func (eq *eventQueue) callerDelay() time.Duration {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	return eq.queue.Age(eq.clock(), wire.ClassCallers, wire.ClassCallers)
}

// expire takes out what has waited too long: requests, and those that gateways
// handed over, which the machine answers. Reports that are repeated are dropped.
func (eq *eventQueue) expire() (requests []queuedEvent, forwards []wire.Message) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	patience := func(e queuedEvent) time.Duration { return workqueue.MaxWait(e.Event) }
	now := eq.clock()
	eq.expiredReports += uint64(len(eq.queue.Expire(wire.ClassReports, now, patience)))
	for _, e := range eq.queue.Expire(wire.ClassCallers, now, patience) {
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
func (eq *eventQueue) rejected() (full [wire.NumClasses]uint64, stale uint64) {
	eq.mu.Lock()
	defer eq.mu.Unlock()
	return eq.queue.Rejected, eq.expiredReports
}

// overloadError is the answer to a request that was not taken, with when to come back:
// not before what is ahead of it will have gone.
func overloadError(behind time.Duration) *apierror.Error {
	return apierror.New(apierror.TooBusy, "", "this daemon is behind with its work; the request was not taken").WithRetryAfter(2 * behind)
}
