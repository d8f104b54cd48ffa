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

// event is one for the machine. Of a request only one side decides: the owner that
// takes it, or whoever waited and gives up.
type event struct {
	wire.Event
	back    chan wire.Answer
	claimed *atomic.Bool
}

// claim is true for whoever decides on the request.
func (e event) claim() bool { return e.claimed == nil || e.claimed.CompareAndSwap(false, true) }

type inbox struct {
	mu    sync.Mutex
	queue workqueue.Queue[event]
	wake  chan struct{}
	clock func() types.MonoTime
	stale uint64 // reports dropped after waiting too long
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1), clock: Steady} }

// push adds an event; false where its class is full.
func (i *inbox) push(e event) bool {
	i.mu.Lock()
	ok := i.queue.Push(e.Class(), i.clock(), e)
	i.mu.Unlock()
	i.rouse()
	return ok
}

// force adds an event that may not be lost.
func (i *inbox) force(e event) {
	i.mu.Lock()
	i.queue.Force(e.Class(), i.clock(), e)
	i.mu.Unlock()
	i.rouse()
}

func (i *inbox) rouse() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// pop gives the next event with the load that its step is told of.
func (i *inbox) pop() (event, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	e, class, at, ok := i.queue.Pop()
	if ok {
		e.Load = i.queue.Load(i.clock(), class, at)
	}
	return e, ok
}

// len is how many events wait.
func (i *inbox) len() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Len()
}

// load is what a tick is told.
func (i *inbox) load() wire.Load {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	return i.queue.Load(now, wire.Background, now)
}

// behind is how long the oldest request of a caller has waited.
func (i *inbox) behind() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Age(i.clock(), wire.Callers, wire.Callers)
}

// expire takes out what has waited too long: requests, and those that gateways
// handed over, which the machine answers. Reports that are repeated are dropped.
func (i *inbox) expire() (asks []event, calls []wire.Message) {
	i.mu.Lock()
	defer i.mu.Unlock()
	patience := func(e event) time.Duration { return workqueue.Patience(e.Event) }
	now := i.clock()
	i.stale += uint64(len(i.queue.Expire(wire.Reports, now, patience)))
	for _, e := range i.queue.Expire(wire.Callers, now, patience) {
		if e.Ask != nil {
			asks = append(asks, e)
		} else {
			calls = append(calls, *e.Message)
		}
	}
	return
}

// refused counts what was refused for want of room, by class, and the reports
// dropped since they had waited too long.
func (i *inbox) refused() (full [wire.Classes]uint64, stale uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.queue.Refused, i.stale
}

// tooBusy is the answer to a request that was not taken, with when to come back:
// not before what is ahead of it will have gone.
func tooBusy(behind time.Duration) *apierror.Error {
	return apierror.New(apierror.TooBusy, "", "this daemon is behind with its work; the request was not taken").WithRetryAfter(2 * behind)
}
