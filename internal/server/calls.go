// Calls to a worker that is called: each is carried by a goroutine of its own,
// so many at once and no more, beside one that is held open until there is news.
// Its reply goes back to the machine as an event, also when none came.
package server

import (
	"context"

	"coppercourse/internal/wire"
)

const callsAtOnce = 32

// Caller carries one call to a worker and gives what came back.
type Caller func(context.Context, wire.WorkerCall) wire.WorkerReply

// call carries one out without holding up the owner.
func (o *Owner) call(c wire.WorkerCall) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), c.Limit)
		defer stop()
		r := o.carry(ctx, c)
		r.No = c.No
		o.inbox.force(event{Event: wire.Event{Reply: &r}})
	}()
}

func (o *Owner) carry(ctx context.Context, c wire.WorkerCall) wire.WorkerReply {
	if c.Kind == wire.Hold && c.Wait > 0 {
		return o.Caller(ctx, c)
	}
	select {
	case o.slots <- struct{}{}:
		defer func() { <-o.slots }()
		if ctx.Err() != nil {
			return wire.WorkerReply{Result: wire.Sick}
		}
		return o.Caller(ctx, c)
	case <-ctx.Done():
		return wire.WorkerReply{Result: wire.Sick}
	case <-o.closed:
		return wire.WorkerReply{Result: wire.Sick}
	}
}
