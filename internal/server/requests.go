package server

import (
	"context"
	"sync/atomic"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

// Ask has the machine answer a request and waits for the response until ctx ends. Any
// goroutine may call it. Ask sets the request's Token and Timeout.
//
// A request that submits work is rejected at once while the loop is overloaded. The
// response's error says that the request was not accepted only if the machine never took
// it. Where the machine may have taken it, the error's kind is OutcomeUnknown.
func (el *EventLoop) Ask(ctx context.Context, request wire.Request) wire.Response {
	if el.hasStopped() {
		err := apierror.New(apierror.ShuttingDown, "", "this daemon is stopping")
		return errorResponse(err.WithRetryAfter(time.Second))
	}
	delay := el.queue.callerDelay()
	if wire.SubmitsWork(request.Verb) && delay > workqueue.MaxSubmitDelay {
		return el.rejectOverloaded(max(delay, time.Second))
	}
	e := newRequestEvent(ctx, request)
	if !el.queue.push(e) {
		return el.rejectOverloaded(max(delay, time.Second))
	}
	return el.awaitResponse(ctx, e)
}

// hasStopped reports whether Run has returned.
func (el *EventLoop) hasStopped() bool {
	select {
	case <-el.stopped:
		return true
	default:
		return false
	}
}

// newRequestEvent returns the event of a request whose caller waits until ctx ends.
func newRequestEvent(ctx context.Context, request wire.Request) queuedEvent {
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = max(1, time.Until(deadline))
	}
	return queuedEvent{
		Event:     wire.Event{Request: &request},
		responses: make(chan wire.Response, 1),
		claimed:   &atomic.Bool{},
	}
}

// await waits for the response to a request in the queue.
func (el *EventLoop) awaitResponse(ctx context.Context, e queuedEvent) wire.Response {
	select {
	case response := <-e.responses:
		return response
	case <-el.stopped:
		return finalResponse(e.responses)
	case <-ctx.Done():
		if e.claim() { // the machine has not taken the request and never will
			return el.rejectOverloaded(workqueue.MaxRequestWait)
		}
		return errorResponse(apierror.New(apierror.OutcomeUnknown, "", "no answer within the time there was"))
	}
}

// finalResponse returns the response to a request that was queued or in flight when the loop
// ended.
func finalResponse(responses <-chan wire.Response) wire.Response {
	select {
	case response := <-responses:
		return response
	default:
		return errorResponse(apierror.New(apierror.OutcomeUnknown, "", "this daemon stopped before it had an answer"))
	}
}

// rejectOverloaded counts and rejects a request that the machine has not taken.
func (el *EventLoop) rejectOverloaded(delay time.Duration) wire.Response {
	el.rejectedOverloaded.Add(1)
	return errorResponse(errOverloaded(delay))
}

// errOverloaded is the error of a request that the machine has not taken. Its Retry-After
// is a time within which the requests ahead of it are likely to be answered.
func errOverloaded(delay time.Duration) *apierror.Error {
	const reason = "this daemon is behind with its work; the request was not taken"
	return apierror.New(apierror.TooBusy, "", reason).WithRetryAfter(2 * delay)
}

func errorResponse(err *apierror.Error) wire.Response { return wire.Response{Error: err} }
