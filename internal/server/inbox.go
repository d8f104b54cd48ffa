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
	clock func() types.Stamp
	stale uint64 // reports dropped after waiting too long
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1), clock: Steady} }

// push adds an event; false where its class is full.
func (b *inbox) push(e event) bool {
	b.mu.Lock()
	ok := b.queue.Push(e.Class(), b.clock(), e)
	b.mu.Unlock()
	b.rouse()
	return ok
}

// force adds an event that may not be lost.
func (b *inbox) force(e event) {
	b.mu.Lock()
	b.queue.Force(e.Class(), b.clock(), e)
	b.mu.Unlock()
	b.rouse()
}

func (b *inbox) rouse() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// pop gives the next event with the load that its step is told of.
func (b *inbox) pop() (event, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, class, at, ok := b.queue.Pop()
	if ok {
		e.Load = b.queue.Load(b.clock(), class, at)
	}
	return e, ok
}

// len is how many events wait.
func (b *inbox) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Len()
}

// load is what a tick is told.
func (b *inbox) load() wire.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	return b.queue.Load(now, wire.Background, now)
}

// behind is how long the oldest request of a caller has waited.
func (b *inbox) behind() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Age(b.clock(), wire.Callers, wire.Callers)
}

// expire takes out what has waited too long: requests, and those that gateways
// handed over, which the machine answers. Reports that are repeated are dropped.
func (b *inbox) expire() (asks []event, calls []wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	patience := func(e event) time.Duration { return workqueue.Patience(e.Event) }
	now := b.clock()
	b.stale += uint64(len(b.queue.Expire(wire.Reports, now, patience)))
	for _, e := range b.queue.Expire(wire.Callers, now, patience) {
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
func (b *inbox) refused() (full [wire.Classes]uint64, stale uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Refused, b.stale
}

// tooBusy is the answer to a request that was not taken, with when to come back:
// not before what is ahead of it will have gone.
func tooBusy(behind time.Duration) *apierror.Error {
	return apierror.New(apierror.Crowd, "", "this daemon is behind with its work; the request was not taken").After(2 * behind)
}
