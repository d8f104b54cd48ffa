package server

import (
	"context"
	"sync"

	"coppercourse/internal/wire"
)

// maxConcurrentCalls bounds the calls that are under way to a worker at once, besides the
// lease renewal that the worker holds open as a long poll.
const maxConcurrentCalls = 32

// WorkerCaller makes one call to a worker and returns what came of it, also when there
// was no reply. It returns soon after its context ends.
type WorkerCaller func(context.Context, wire.WorkerCall) wire.WorkerReply

// workerCalls makes the calls to a worker, each in a goroutine of its own, so that none
// holds up the event loop.
type workerCalls struct {
	call   WorkerCaller
	report func(wire.WorkerReply) // is given every reply, by the goroutine of its call
	slots  chan struct{}          // holds an element for each call that counts towards the bound

	// The context bounds the goroutines of all calls, not one operation, so it is a field.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newWorkerCalls(call WorkerCaller, report func(wire.WorkerReply)) *workerCalls {
	ctx, cancel := context.WithCancel(context.Background())
	return &workerCalls{
		call:   call,
		report: report,
		slots:  make(chan struct{}, maxConcurrentCalls),
		ctx:    ctx,
		cancel: cancel,
	}
}

// start makes a call in the background and reports its reply.
func (wc *workerCalls) start(call wire.WorkerCall) {
	wc.running.Go(func() {
		ctx, cancel := context.WithTimeout(wc.ctx, call.Timeout)
		defer cancel()
		reply := wc.run(ctx, call)
		reply.Number = call.Number
		wc.report(reply)
	})
}

// run waits for a free slot and makes the call. A long poll needs none: there is one at a
// time, and it would keep its slot for as long as the worker has nothing to tell.
func (wc *workerCalls) run(ctx context.Context, call wire.WorkerCall) wire.WorkerReply {
	if call.Kind == wire.RenewLease && call.LongPollWait > 0 {
		return wc.call(ctx, call)
	}
	select {
	case wc.slots <- struct{}{}:
	case <-ctx.Done():
		return notCalled()
	}
	defer func() { <-wc.slots }()
	if ctx.Err() != nil {
		return notCalled()
	}
	return wc.call(ctx, call)
}

// notCalled is the outcome of a call that found no free slot in time. The worker was
// surely not reached, so the outcome is not left open as that of a lost reply is.
func notCalled() wire.WorkerReply { return wire.WorkerReply{Result: wire.ResultUnhealthy} }

// stop cancels the calls that are under way and waits for their goroutines. No call may
// be started afterwards.
func (wc *workerCalls) stop() {
	wc.cancel()
	wc.running.Wait()
}
