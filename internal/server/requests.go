package server

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/wire"
	"coppercourse/internal/workqueue"
)

// pendingRequests are the requests that the machine has seen and not answered yet, by
// token. Only the event loop's goroutine uses them.
type pendingRequests struct {
	lastToken uint64
	responses map[uint64]chan<- wire.Response
}

func newPendingRequests() pendingRequests {
	return pendingRequests{responses: map[uint64]chan<- wire.Response{}}
}

// add gives a request its token.
func (p *pendingRequests) add(request *wire.Request, responses chan<- wire.Response) {
	p.lastToken++
	request.Token = p.lastToken
	p.responses[p.lastToken] = responses
}

// respond passes a response on to whoever waits for it. A second response under the same
// token is dropped.
func (p *pendingRequests) respond(response wire.Response) {
	if responses := p.responses[response.Token]; responses != nil {
		responses <- response
		delete(p.responses, response.Token)
	}
}

// Ask has the machine answer a request and waits for its response until ctx ends. A
// request that brings new work is rejected at once while the loop is behind with requests.
// An error says that the request was not taken only if the machine has surely not seen it;
// otherwise its kind is OutcomeUnknown.
func (el *EventLoop) Ask(ctx context.Context, verb wire.Verb, arg string, body json.RawMessage) wire.Response {
	request := &wire.Request{Verb: verb, Arg: arg, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = max(1, time.Until(deadline))
	}
	select {
	case <-el.stopped:
		err := apierror.New(apierror.ShuttingDown, "", "this daemon is stopping")
		return errorResponse(err.WithRetryAfter(time.Second))
	default:
	}
	e := queuedEvent{
		Event:     wire.Event{Request: request},
		responses: make(chan wire.Response, 1),
		claimed:   &atomic.Bool{},
	}
	delay := el.queue.callerDelay()
	if wire.SubmitsWork(verb) && delay > workqueue.MaxSubmitDelay || !el.queue.push(e) {
		return el.rejectBusy(max(delay, time.Second))
	}
	return el.await(ctx, e)
}

// await waits for the response to a request that is queued.
func (el *EventLoop) await(ctx context.Context, e queuedEvent) wire.Response {
	select {
	case response := <-e.responses:
		return response
	case <-el.stopped:
		return finalResponse(e.responses)
	case <-ctx.Done():
		if e.claim() { // the machine has not seen it, and never will
			return el.rejectBusy(workqueue.MaxRequestWait)
		}
		return errorResponse(apierror.New(apierror.OutcomeUnknown, "", "no answer within the time there was"))
	}
}

// rejectBusy counts and rejects a request that the loop did not get to.
func (el *EventLoop) rejectBusy(delay time.Duration) wire.Response {
	el.rejectedBusy.Add(1)
	return errorResponse(overloadError(delay))
}

// finalResponse is the response to a request that was in flight when the loop ended.
func finalResponse(responses <-chan wire.Response) wire.Response {
	select {
	case response := <-responses:
		return response
	default:
		return errorResponse(apierror.New(apierror.OutcomeUnknown, "", "this daemon stopped before it had an answer"))
	}
}

func errorResponse(err *apierror.Error) wire.Response { return wire.Response{Error: err} }
