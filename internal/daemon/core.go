// Package daemon holds what the state machines of gateway and agent share: the daemon's
// part in the cluster's membership, the frame of a step, and the effects that it collects.
//
// A machine owns a Core and has one table of Handlers, which says what it does on each kind
// of event. Its Step calls Handlers.Step and then Core.TakeEffects.
package daemon

import (
	"math/rand"

	"coppercourse/internal/apierror"
	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Core is the state that every machine without a log of its own has. Only the machine's
// Step changes it.
type Core struct {
	// Trace is read by HTTP handlers at the same time.
	Trace *trace.Ring

	self      membership.MemberInfo // without the parts that change
	members   *membership.MemberList
	now       types.Now
	draining  bool
	messages  []wire.OutboundMessage
	responses []wire.Response
}

// NewCore returns the core of a daemon that knows no other one but the seeds. Of self, the
// cluster's name is found out later.
func NewCore(now types.Now, rnd *rand.Rand, self membership.MemberInfo, seeds []types.Addr) *Core {
	return &Core{
		Trace:   trace.New(),
		self:    self,
		members: membership.New(rnd, self, seeds),
		now:     now,
	}
}

// Now returns the time of the step.
func (c *Core) Now() types.Now { return c.now }

// Self returns what the daemon is in the cluster, without what changes.
func (c *Core) Self() membership.MemberInfo { return c.self }

// Members returns the daemon's view of the cluster.
func (c *Core) Members() *membership.MemberList { return c.members }

// Leader returns the address of the leader as far as the daemon knows, or nothing.
func (c *Core) Leader() types.Addr { return c.members.Leader() }

// Draining reports whether the daemon was asked to stop.
func (c *Core) Draining() bool { return c.draining }

// Record adds a trace point of a subject; pairs are names and values in turn.
func (c *Core) Record(subject, what string, pairs ...any) {
	c.Trace.Add(c.now.Wall, subject, what, pairs...)
}

// Send adds messages to the effects of the step.
func (c *Core) Send(messages ...wire.OutboundMessage) {
	c.messages = append(c.messages, messages...)
}

// Respond adds a response to the effects of the step.
func (c *Core) Respond(response wire.Response) {
	c.responses = append(c.responses, response)
}

// Reject responds to the request of a token with an error.
func (c *Core) Reject(token uint64, err *apierror.Error) {
	c.Respond(wire.Response{Token: token, Error: err})
}

// TakeEffects returns the effects of the step, and begins those of the next. The messages
// of the membership come after the machine's own.
func (c *Core) TakeEffects() wire.Effects {
	effects := wire.Effects{
		Messages:  append(c.messages, c.members.TakeMessages()...),
		Responses: c.responses,
	}
	c.messages, c.responses = nil, nil
	return effects
}

// announce updates the membership with what the daemon is now and whether it is ready.
func (c *Core) updateSelf(ready bool) {
	self := c.self
	self.Ready = ready
	self.ClusterName = c.members.ClusterName()
	c.members.SetSelf(self)
}
