package configwatch

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// longPollHold is how long a response is held back at most while there is no other
	// version.
	longPollHold = 400 * time.Millisecond
	// maxWatchers bounds the watchers whose requests are held.
	maxWatchers = 500
)

// Publisher is the leader's side of the watch.
type Publisher struct {
	self    types.Addr
	pending map[types.Addr]pendingWatch // the latest request of each watcher

	// No request is due before nextDue while the table's version is checkedVersion.
	nextDue        types.MonoTime
	checkedVersion types.Version
}

// pendingWatch is a request that has no response yet.
type pendingWatch struct {
	request  watchRequest
	deadline types.MonoTime // when it gets one in any case
}

// NewPublisher returns the publisher of the daemon at an address.
func NewPublisher(self types.Addr) *Publisher {
	return &Publisher{self: self, pending: map[types.Addr]pendingWatch{}}
}

// HandleRequest takes a watcher's request. Responses has its response.
func (p *Publisher) HandleRequest(now types.MonoTime, message wire.Message) {
	request, ok := wire.DecodeBody[watchRequest](message)
	if !ok {
		return
	}
	deadline := now.Add(request.hold())
	earlier, known := p.pending[message.From]
	switch {
	case known: // asking again does not put the response off
		deadline = min(deadline, earlier.deadline)
	case len(p.pending) >= maxWatchers:
		return
	}
	p.pending[message.From] = pendingWatch{request, deadline}
	p.nextDue = now // it may be due at once
}

// Responses returns the responses that are due: to those who have another version than that
// of the table, and to those whose deadline has passed.
func (p *Publisher) Responses(now types.MonoTime, table config.Table) []wire.OutboundMessage {
	if now < p.nextDue && table.Version == p.checkedVersion {
		return nil
	}
	var messages []wire.OutboundMessage
	for _, to := range p.collectDue(now, table.Version) {
		response := p.pending[to].response(table)
		messages = append(messages, wire.NewMessage(p.self, to, wire.ConfigWatchReply, response))
		delete(p.pending, to)
	}
	return messages
}

// collectDue lists the watchers that are due, and notes when the next one will be.
func (p *Publisher) collectDue(now types.MonoTime, version types.Version) []types.Addr {
	p.nextDue, p.checkedVersion = now.Add(longPollHold), version
	var due []types.Addr
	for from, watch := range p.pending {
		if !watch.request.upToDate(version) || now >= watch.deadline {
			due = append(due, from)
		} else {
			p.nextDue = min(p.nextDue, watch.deadline)
		}
	}
	slices.Sort(due)
	return due
}

// response returns the response with a table, or without it if the watcher has it.
func (w pendingWatch) response(table config.Table) watchResponse {
	response := watchResponse{Version: table.Version, Nonce: w.request.Nonce}
	if !w.request.upToDate(table.Version) {
		response.Table = &table
	}
	return response
}
