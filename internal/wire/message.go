// Package wire holds the messages between the system's own daemons, the calls
// from an agent to its worker, and the events and effects of a state machine.
//
// Every message between daemons is one way and carries its sender's advertised
// address; a reply is another message. Bodies are JSON, and unknown fields are
// ignored, so that daemons of different builds understand each other. Several
// messages may share one HTTP request.
package wire

import (
	"encoding/json"

	"coppercourse/internal/types"
)

// Message is one message between two daemons. Kind says how to read Body.
type Message struct {
	From types.Addr      `json:"from"`
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// OutboundMessage is a message and its destination.
type OutboundMessage struct {
	To      types.Addr
	Message Message
}

// NewMessage builds a message to be sent. A body that JSON can't hold is a programming
// error and panics.
func NewMessage(from, to types.Addr, kind Kind, body any) OutboundMessage {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return OutboundMessage{To: to, Message: Message{From: from, Kind: kind, Body: b}}
}

// HandlerFor makes a message handler out of a machine's method for one type of body. A
// message with another body is dropped.
func HandlerFor[M, T any](method func(*M, types.Addr, T)) func(*M, Message) {
	return func(machine *M, message Message) {
		if body, ok := DecodeBody[T](message); ok {
			method(machine, message.From, body)
		}
	}
}

// Kind says what a message is and so how its body is read. The texts go over the wire.
type Kind string

// The kinds of message, each with the package that handles it. Those of dispatch
// name the call of the paper that they carry.
const (
	Hello             Kind = "hello"   // membership: who is there
	Bootstrap         Kind = "found"   // raft: bootstrap of a cluster
	JoinRequest       Kind = "join"    // raft: a new member asks to join
	RequestVote       Kind = "ballot"  // raft: RequestVote
	VoteReply         Kind = "vote"    // raft: its reply
	AppendEntries     Kind = "append"  // raft: AppendEntries, with entries or none
	AppendReply       Kind = "taken"   // raft: its reply
	InstallSnapshot   Kind = "snap"    // raft: InstallSnapshot, one part
	TimeoutNow        Kind = "heir"    // raft: leadership transfer, to its target
	Removed           Kind = "gone"    // raft: tells a member that it was removed
	Heartbeat         Kind = "beat"    // dispatch: processHeartbeat
	HeartbeatReply    Kind = "beaten"  // dispatch: its reply
	RunningTasksQuery Kind = "ask"     // dispatch: getRunningTasks
	RunningTasksReply Kind = "account" // dispatch: its reply
	RunTask           Kind = "order"   // dispatch: runTask
	RunTaskReply      Kind = "ordered" // dispatch: its reply
	NotRunningQuery   Kind = "query"   // dispatch: notifyIfTasksNotRunning
	NotRunningReply   Kind = "queried" // dispatch: its reply
	StatusReport      Kind = "status"  // dispatch: updateStatus
	StatusAck         Kind = "settled" // dispatch: its reply, once committed
	KillTask          Kind = "stop"    // dispatch: killTask
	ReplaceInstance   Kind = "quit"    // dispatch: requestSuicide, for one instance
	ForwardRequest    Kind = "call"    // gateway: forwards a caller's request
	ForwardReply      Kind = "reply"   // controller: its reply
	ConfigWatch       Kind = "news"    // configwatch: asks for changes after a version
	ConfigWatchReply  Kind = "told"    // configwatch: its reply
)
