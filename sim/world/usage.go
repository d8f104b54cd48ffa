package world

import (
	"bytes"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Class sorts messages by what they are for.
type MessageClass int

// Classes of messages.
const (
	MembershipMessages MessageClass = iota
	HeartbeatMessages
	LogMessages
	TableMessages
	WorkMessages
	NumClasses // how many there are
)

// classByKind has the kinds of the classes but WorkMessages.
var classByKind = map[wire.Kind]MessageClass{
	wire.Hello: MembershipMessages,

	wire.Heartbeat:         HeartbeatMessages,
	wire.HeartbeatReply:    HeartbeatMessages,
	wire.RunningTasksQuery: HeartbeatMessages,
	wire.RunningTasksReply: HeartbeatMessages,
	wire.ReplaceInstance:   HeartbeatMessages,

	wire.ConfigWatch:      TableMessages,
	wire.ConfigWatchReply: TableMessages,

	wire.Bootstrap:       LogMessages,
	wire.JoinRequest:     LogMessages,
	wire.RequestVote:     LogMessages,
	wire.VoteReply:       LogMessages,
	wire.AppendEntries:   LogMessages,
	wire.AppendReply:     LogMessages,
	wire.InstallSnapshot: LogMessages,
	wire.TimeoutNow:      LogMessages,
	wire.Removed:         LogMessages,
}

// entriesKey is in the body of an AppendEntries message that is more than a heartbeat of
// the leader.
var entriesKey = []byte(`"entries":`)

func classOf(m wire.Message) MessageClass {
	class, ok := classByKind[m.Kind]
	if !ok || m.Kind == wire.AppendEntries && bytes.Contains(m.Body, entriesKey) {
		return WorkMessages
	}
	return class
}

// What a request to a peer and its answer take beside the messages in it. A test holds
// them against the real client and server.
const (
	requestBytes  = 99
	responseBytes = 64
	messageBytes  = len(`{"from":"","kind":"","body":},`)
)

// Count is messages, the requests that carried them, and bytes.
type Count struct{ Messages, Requests, Bytes int }

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count {
	return Count{c.Messages + o.Messages, c.Requests + o.Requests, c.Bytes + o.Bytes}
}

// Usage is what one daemon has spent since it was last cleared. The answers to its
// requests count as received, those that it gave as sent.
type Usage struct {
	Sent, Received [NumClasses]Count
	CPU            time.Duration // of its machine's steps
	Steps          int
	Syncs          int // of its disk
	Written        int // bytes
}

// Control returns the sum of all messages but work, both ways.
func (u *Usage) Control() Count {
	var sum Count
	for class := range WorkMessages {
		sum = sum.Plus(u.Sent[class]).Plus(u.Received[class])
	}
	return sum
}

// countTransfer counts a message from one daemon to another, either of which may be nil.
// First means that it is the first message of its request.
func countTransfer(from, to *Usage, m wire.Message, first bool) {
	sent := Count{Messages: 1, Bytes: messageBytes + len(m.From) + len(m.Kind) + len(m.Body)}
	answer := Count{}
	if first {
		sent.Requests = 1
		sent.Bytes += requestBytes
		answer.Bytes = responseBytes
	}
	class := classOf(m)
	if from != nil {
		from.Sent[class] = from.Sent[class].Plus(sent)
		from.Received[class] = from.Received[class].Plus(answer)
	}
	if to != nil {
		to.Received[class] = to.Received[class].Plus(sent)
		to.Sent[class] = to.Sent[class].Plus(answer)
	}
}

// requestMeter holds the peers that one step sends to: messages to the same peer share a
// request.
type requestMeter map[types.Addr]bool

// first reports whether a message is the first one to a peer.
func (m requestMeter) first(to types.Addr) bool {
	if m[to] {
		return false
	}
	m[to] = true
	return true
}
