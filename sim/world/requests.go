package world

import (
	"encoding/json"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// pendingRequest is a request that a node has not answered.
type pendingRequest struct {
	verb       wire.Verb
	onResponse func(wire.Response)
}

// Request carries a request from an address to a node, and the answer back. Where either
// is lost, onResponse is never called; where the request is duplicated it may be called
// twice.
func (w *World) Request(
	from, to types.Addr, verb wire.Verb, argument string, body json.RawMessage, onAnswer func(wire.Response),
) {
	w.requestObserved(from, to, verb, argument, body, func(*Node) {}, onAnswer)
}

// requestObserved does so, and calls onReceived when the node takes the request.
func (w *World) requestObserved(
	from, to types.Addr, verb wire.Verb, argument string, body json.RawMessage,
	onReceived func(*Node), onAnswer func(wire.Response),
) {
	if w.TamperRequest != nil {
		w.TamperRequest(verb, &body)
	}
	w.transmit(from, to, func() {
		n := w.Nodes[to]
		if n == nil {
			return
		}
		n.Deliver(func() {
			onReceived(n)
			n.receiveRequest(verb, argument, body, func(answer wire.Response) {
				w.sendResponse(to, from, verb, answer, onAnswer)
			})
		})
	})
}

// sendResponse carries an answer back, unless it gets lost.
func (w *World) sendResponse(
	from, to types.Addr, verb wire.Verb, answer wire.Response, onAnswer func(wire.Response),
) {
	if w.TamperResponse != nil {
		w.TamperResponse(verb, &answer)
	}
	if w.TamperDaemonResponse != nil && !w.TamperDaemonResponse(from, verb, &answer) {
		return
	}
	if w.Network.drawAckLoss(w.Random, verb, answer) {
		return
	}
	w.transmit(from, to, func() { onAnswer(answer) })
}

// receive gives the node's machine a request.
func (n *Node) receiveRequest(verb wire.Verb, argument string, body json.RawMessage, onAnswer func(wire.Response)) {
	n.lastToken++
	n.pendingRequests[n.lastToken] = pendingRequest{verb, onAnswer}
	n.Step(wire.Event{Request: &wire.Request{Token: n.lastToken, Verb: verb, Arg: argument, Body: body}})
}

// respond ends a request.
func (n *Node) respond(answer wire.Response) {
	request, ok := n.pendingRequests[answer.Token]
	if !ok {
		return
	}
	delete(n.pendingRequests, answer.Token)
	if n.Processor != nil {
		n.Processor.recordRequestDuration(answer.Token, request.verb)
	}
	request.onResponse(answer)
}
