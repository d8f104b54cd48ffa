package server

import "coppercourse/internal/wire"

// pendingRequests holds the requests that were passed to the machine and are not answered yet, by
// token. The event loop's goroutine owns them.
type pendingRequests struct {
	lastToken uint64
	responses map[uint64]chan<- wire.Response
}

func newPendingRequests() pendingRequests {
	return pendingRequests{responses: map[uint64]chan<- wire.Response{}}
}

// add assigns a token to a request, which the machine's response will carry.
func (p *pendingRequests) add(request *wire.Request, responses chan<- wire.Response) {
	p.lastToken++
	request.Token = p.lastToken
	p.responses[p.lastToken] = responses
}

// respond sends a response to the caller that waits for it. A second response with the same
// token is dropped. It never blocks, since the channel is buffered for one response.
func (p *pendingRequests) respond(response wire.Response) {
	if responses := p.responses[response.Token]; responses != nil {
		responses <- response
		delete(p.responses, response.Token)
	}
}
