package daemon

import (
	"coppercourse/internal/wire"
)

// Machine is a state machine that has a Core.
type Machine interface {
	// Ready reports whether callers may be sent to the daemon.
	Ready() bool
}

// Handlers are the functions that a machine calls for each kind of event.
type Handlers[M Machine] struct {
	// Messages handle the messages of other daemons by their kind. Those of the membership
	// never reach them: the core handles them itself.
	Messages map[wire.Kind]func(M, wire.Message)
	// OtherMessage handles the other kinds; if it is nil they are ignored.
	OtherMessage func(M, wire.Message)
	// Requests handle the requests of clients by their verb.
	Requests map[wire.Verb]func(M, wire.Request)
	// OtherRequest handles the requests with other verbs.
	OtherRequest func(M, wire.Request)
	// WorkerReply handles the reply to a call to the worker; nil if there are no calls.
	WorkerReply func(M, wire.WorkerReply)
	// Tick handles a tick, after the membership has.
	Tick func(M)
}

// Step takes one event: it sets the core's time and calls the handler of the event.
func (h *Handlers[M]) Step(core *Core, machine M, event wire.Event) {
	core.now = event.Now
	switch {
	case event.Message != nil:
		h.handleMessage(core, machine, *event.Message)
	case event.Request != nil:
		h.handleRequest(machine, *event.Request)
	case event.WorkerReply != nil && h.WorkerReply != nil:
		h.WorkerReply(machine, *event.WorkerReply)
	case event.Shutdown:
		core.draining = true
	default:
		core.updateSelf(machine.Ready())
		core.members.Tick(core.now.Mono)
		h.Tick(machine)
	}
}

func (h *Handlers[M]) handleMessage(core *Core, machine M, message wire.Message) {
	if core.members.HandleMessage(core.now.Mono, message) {
		return
	}
	handle := h.Messages[message.Kind]
	if handle == nil {
		handle = h.OtherMessage
	}
	if handle != nil {
		handle(machine, message)
	}
}

func (h *Handlers[M]) handleRequest(machine M, request wire.Request) {
	handle := h.Requests[request.Verb]
	if handle == nil {
		handle = h.OtherRequest
	}
	handle(machine, request)
}
