package server

import (
	"context"
	"sync"

	"coppercourse/internal/wire"
)

// maxConcurrentCalls is how many calls to a worker may be in flight at a time, not counting
// the lease renewal that the worker holds open as a long poll.
const maxConcurrentCalls = 32

// WorkerCaller makes calls to a worker. It is used by several goroutines at a time.
type WorkerCaller interface {
	// Call makes one call and returns its outcome, also if the worker did not reply. It
	// returns soon after ctx ends.
	Call(ctx context.Context, call wire.WorkerCall) wire.WorkerReply
}

// replyListener receives the outcome of every call to a worker.
type replyListener interface {
	// workerReplied is called by the goroutine that made the call.
	workerReplied(reply wire.WorkerReply)
}

// workerCalls makes the calls to a worker, each in a goroutine of its own, so that none
// blocks the event loop. The event loop's goroutine starts the calls; stop waits for the
// goroutines of all of them.
type workerCalls struct {
	caller   WorkerCaller
	listener replyListener
	slots    chan struct{} // a semaphore: one element for each call that counts towards the limit

	// The context is a field because it ends all calls at once. Each call has its own one,
	// derived from it.
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newWorkerCalls(caller WorkerCaller, listener replyListener) *workerCalls {
	ctx, cancel := context.WithCancel(context.Background())
	return &workerCalls{
		caller:   caller,
		listener: listener,
		slots:    make(chan struct{}, maxConcurrentCalls),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// start makes a call in a new goroutine, which passes the outcome to the listener.
func (wc *workerCalls) start(call wire.WorkerCall) {
	wc.running.Go(func() {
		ctx, cancel := context.WithTimeout(wc.ctx, call.Timeout)
		defer cancel()
		reply := wc.run(ctx, call)
		reply.Number = call.Number
		wc.listener.workerReplied(reply)
	})
}

// run waits for a free slot and makes the call. A long poll needs no slot: there is one at
// a time, and it would occupy the slot until the worker has something to report.
func (wc *workerCalls) run(ctx context.Context, call wire.WorkerCall) wire.WorkerReply {
	if call.Kind == wire.RenewLease && call.LongPollWait > 0 {
		return wc.caller.Call(ctx, call)
	}
	select {
	case wc.slots <- struct{}{}:
	case <-ctx.Done():
		return notSent()
	}
	defer func() { <-wc.slots }()
	if ctx.Err() != nil {
		return notSent()
	}
	return wc.caller.Call(ctx, call)
}

// notSent is the outcome of a call that got no slot before its timeout. The request was
// never sent, so that the outcome is known, unlike that of a call whose reply was lost.
func notSent() wire.WorkerReply { return wire.WorkerReply{Result: wire.ResultUnhealthy} }

// stop cancels the calls in flight and waits for their goroutines. No call may be started
// afterwards.
func (wc *workerCalls) stop() {
	wc.cancel()
	wc.running.Wait()
}
