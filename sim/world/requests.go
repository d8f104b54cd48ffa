package world

import (
	"encoding/json"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// pendingRequest is a request that a node has not answered.
type pendingRequest struct {
	verb     wire.Verb
	onAnswer func(wire.Response)
}

// Request carries a request from an address to a node, and the answer back. Where either
// is lost, onAnswer is never called; where the request is duplicated it may be called
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
			n.receive(verb, argument, body, func(answer wire.Response) {
				w.sendAnswer(to, from, verb, answer, onAnswer)
			})
		})
	})
}

// sendAnswer carries an answer back, unless it gets lost.
func (w *World) sendAnswer(
	from, to types.Addr, verb wire.Verb, answer wire.Response, onAnswer func(wire.Response),
) {
	if w.TamperAnswer != nil {
		w.TamperAnswer(verb, &answer)
	}
	if w.TamperAnswerOf != nil && !w.TamperAnswerOf(from, verb, &answer) {
		return
	}
	if w.Network.losesAcknowledgement(w.Random, verb, answer) {
		return
	}
	w.transmit(from, to, func() { onAnswer(answer) })
}

// receive gives the node's machine a request.
func (n *Node) receive(verb wire.Verb, argument string, body json.RawMessage, onAnswer func(wire.Response)) {
	n.lastToken++
	n.pendingRequests[n.lastToken] = pendingRequest{verb, onAnswer}
	n.Step(wire.Event{Request: &wire.Request{Token: n.lastToken, Verb: verb, Arg: argument, Body: body}})
}

// answerRequest ends a request.
func (n *Node) answerRequest(answer wire.Response) {
	request, ok := n.pendingRequests[answer.Token]
	if !ok {
		return
	}
	delete(n.pendingRequests, answer.Token)
	if n.Processor != nil {
		n.Processor.requestAnswered(answer.Token, request.verb)
	}
	request.onAnswer(answer)
}
