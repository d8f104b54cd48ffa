// Calls to a worker that is called: each is carried by a goroutine of its own,
// so many at once and no more, beside one that is held open until there is news.
// Its reply goes back to the machine as an event, also when none came.
package server

import (
	"context"

	"coppercourse/internal/wire"
)

const maxConcurrentCalls = 32

// WorkerCaller carries one call to a worker and gives what came back.
type WorkerCaller func(context.Context, wire.WorkerCall) wire.WorkerReply

// startCall carries one out without holding up the owner.
func (el *EventLoop) startCall(c wire.WorkerCall) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), c.Timeout)
		defer stop()
		r := el.callWorker(ctx, c)
		r.Number = c.Number
		el.queue.force(queuedEvent{Event: wire.Event{WorkerReply: &r}})
	}()
}

func (el *EventLoop) callWorker(ctx context.Context, c wire.WorkerCall) wire.WorkerReply {
	if c.Kind == wire.RenewLease && c.LongPollWait > 0 {
		return el.CallWorker(ctx, c)
	}
	select {
	case el.callSlots <- struct{}{}:
		defer func() { <-el.callSlots }()
		if ctx.Err() != nil {
			return wire.WorkerReply{Result: wire.ResultUnhealthy}
		}
		return el.CallWorker(ctx, c)
	case <-ctx.Done():
		return wire.WorkerReply{Result: wire.ResultUnhealthy}
	case <-el.stopped:
		return wire.WorkerReply{Result: wire.ResultUnhealthy}
	}
}
