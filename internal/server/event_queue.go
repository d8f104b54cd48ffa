package server

import (
	"sync"
	"sync/atomic"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

// queuedEvent is an event in the queue. A request is claimed by exactly one of two sides:
// by the loop, which gives it to the machine or rejects it, or by its caller, which gives up.
type queuedEvent struct {
	wire.Event
	responses chan wire.Response // of a request: receives its response; has room for one
	claimed   *atomic.Bool       // of a request: whether one side has claimed it
}

// claim claims the event and reports whether that succeeded: once for a request, always for
// other events.
func (e queuedEvent) claim() bool { return e.claimed == nil || e.claimed.CompareAndSwap(false, true) }

// eventQueue holds the events that wait for the machine, by class. Any goroutine may add
// events; only the event loop's goroutine takes them out.
type eventQueue struct {
	mu             sync.Mutex
	queue          workqueue.Queue[queuedEvent]
	expiredReports uint64        // reports dropped after waiting too long
	wake           chan struct{} // has an element once something was added
	clock          func() types.MonoTime
}

func newEventQueue() *eventQueue {
	return &eventQueue{wake: make(chan struct{}, 1), clock: MonotonicNow}
}

// push adds an event, and returns false if its class is full.
func (q *eventQueue) push(e queuedEvent) bool {
	q.mu.Lock()
	ok := q.queue.Push(e.Class(), q.clock(), e)
	q.mu.Unlock()
	q.signal()
	return ok
}

// force adds an event that must not be lost, whether or not its class is full. Their
// number is bounded by what the machine itself has started.
func (q *eventQueue) pushAlways(e queuedEvent) {
	q.mu.Lock()
	q.queue.PushAlways(e.Class(), q.clock(), e)
	q.mu.Unlock()
	q.signal()
}

func (q *eventQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop takes the next event out, with the load for its step.
func (q *eventQueue) pop() (queuedEvent, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, class, queuedAt, ok := q.queue.Pop()
	if ok {
		e.Load = q.queue.Load(q.clock(), class, queuedAt)
	}
	return e, ok
}

// len returns how many events wait.
func (q *eventQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}

// load returns the load for a tick.
func (q *eventQueue) load() wire.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	return q.queue.Load(now, wire.ClassBackground, now)
}

// callerDelay returns how long the oldest request of a caller has waited.
func (q *eventQueue) callerDelay() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Age(q.clock(), wire.ClassCallers, wire.ClassCallers)
}

// expire takes out the events that have waited too long: requests of this daemon's
// callers, and those that gateways forwarded, which the machine answers. Reports are
// dropped, since their senders repeat them.
func (q *eventQueue) expire() (requests []queuedEvent, forwards []wire.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maxWait := func(e queuedEvent) time.Duration { return workqueue.MaxWait(e.Event) }
	now := q.clock()
	q.expiredReports += uint64(len(q.queue.Expire(wire.ClassReports, now, maxWait)))
	for _, e := range q.queue.Expire(wire.ClassCallers, now, maxWait) {
		if e.Request != nil {
			requests = append(requests, e)
		} else {
			forwards = append(forwards, *e.Message)
		}
	}
	return requests, forwards
}

// rejected counts the events that found their class full, and the reports that were
// dropped after waiting too long.
func (q *eventQueue) rejectionCounts() (full [wire.NumClasses]uint64, expiredReports uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Rejected, q.expiredReports
}
