package controller

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// notLeaderRetryAfter is the Retry-After for a client of this daemon while the daemon does
// not lead.
const notLeaderRetryAfter = time.Second

// caller is whom the reply to a request goes to: a gateway, which forwarded the request
// under a number of its own, or a client of this daemon, whose request has a token.
type caller struct {
	gateway   types.Addr
	requestID uint64 // of a gateway's request
	token     uint64 // of a client's request; 0 for a gateway's
}

// outbox collects the messages and replies of one step.
type outbox struct {
	self     types.Addr // whom the messages are from
	counters *Counters

	messages  []wire.OutboundMessage
	responses []wire.Response
}

// send adds messages to other daemons.
func (o *outbox) send(messages ...wire.OutboundMessage) {
	o.messages = append(o.messages, messages...)
}

// reply answers a caller.
func (o *outbox) reply(to caller, r wire.ForwardedReply) {
	r.ID = to.requestID
	if r.Error != nil {
		o.counters.Rejected++
	}
	if to.token == 0 {
		o.send(wire.NewMessage(o.self, to.gateway, wire.ForwardReply, r))
		return
	}
	response := wire.Response{Token: to.token, StatusCode: r.StatusCode, Body: r.Body, Error: r.Error, Leader: r.Leader}
	if r.NotLeader {
		response.Error = apierror.New(apierror.NoLeader, "", "this controller does not lead").
			WithRetryAfter(notLeaderRetryAfter)
	}
	o.responses = append(o.responses, response)
}

// replyOK answers a caller with a value, encoded as JSON.
func (o *outbox) replyOK(to caller, status int, value any) {
	o.reply(to, wire.ForwardedReply{StatusCode: status, Body: wire.EncodeBody(value)})
}

// replyError rejects a request.
func (o *outbox) replyError(to caller, err *apierror.Error) {
	o.reply(to, wire.ForwardedReply{Error: err})
}

// redirect sends a caller to another controller, or to none if leader is empty.
func (o *outbox) redirect(to caller, leader types.Addr) {
	o.reply(to, wire.ForwardedReply{NotLeader: true, Leader: leader})
}

// take returns what was collected since it was last called.
func (o *outbox) take() ([]wire.OutboundMessage, []wire.Response) {
	messages, responses := o.messages, o.responses
	o.messages, o.responses = nil, nil
	return messages, responses
}
