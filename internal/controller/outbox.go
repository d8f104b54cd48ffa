package controller

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// notLeaderRetryAfter is the Retry-After for a client of a daemon that does not lead.
const notLeaderRetryAfter = time.Second

// caller is the destination of a reply: a gateway, which forwarded the request under its own request
// ID, or a client of this daemon, whose request has a token.
type caller struct {
	gateway   types.Addr
	requestID uint64 // ID of a gateway's request
	token     uint64 // token of a client's request; 0 for a gateway's
}

// outbox collects the messages and replies of one step.
type outbox struct {
	self     types.Addr // sender address of the messages
	counters *Counters

	messages  []wire.OutboundMessage
	responses []wire.Response
}

// send queues messages to other daemons.
func (o *outbox) send(messages ...wire.OutboundMessage) {
	o.messages = append(o.messages, messages...)
}

// reply queues a reply to a caller.
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

// replyOK replies with a value, encoded as JSON.
func (o *outbox) replyOK(to caller, status int, value any) {
	o.reply(to, wire.ForwardedReply{StatusCode: status, Body: wire.EncodeBody(value)})
}

// replyError rejects a request with an error.
func (o *outbox) replyError(to caller, err *apierror.Error) {
	o.reply(to, wire.ForwardedReply{Error: err})
}

// redirect refers a caller to the leader; leader is empty if none is known.
func (o *outbox) redirect(to caller, leader types.Addr) {
	o.reply(to, wire.ForwardedReply{NotLeader: true, Leader: leader})
}

// take returns and clears the collected messages and replies.
func (o *outbox) take() ([]wire.OutboundMessage, []wire.Response) {
	messages, responses := o.messages, o.responses
	o.messages, o.responses = nil, nil
	return messages, responses
}
