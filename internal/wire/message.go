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
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Send is a message and its destination.
type Send struct {
	To      types.Addr
	Message Message
}

// Make builds a message to be sent. A body that JSON can't hold is a programming
// error and panics.
func Make(from, to types.Addr, kind string, body any) Send {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return Send{To: to, Message: Message{From: from, Kind: kind, Body: b}}
}

// On makes a message handler out of a machine's method for one type of body. A
// message with another body is dropped.
func On[M, T any](method func(*M, types.Addr, T)) func(*M, Message) {
	return func(machine *M, message Message) {
		if body, ok := Read[T](message); ok {
			method(machine, message.From, body)
		}
	}
}

// The kinds of message, each with the package that handles it. Those of dispatch
// name the call of the paper that they carry.
const (
	Hello           = "hello"   // membership: who is there
	Bootstrap       = "found"   // raft: bootstrap of a cluster
	JoinRequest     = "join"    // raft: a new member asks to join
	RequestVote     = "ballot"  // raft: RequestVote
	VoteReply       = "vote"    // raft: its reply
	AppendEntries   = "append"  // raft: AppendEntries, with entries or none
	AppendReply     = "taken"   // raft: its reply
	InstallSnapshot = "snap"    // raft: InstallSnapshot, one part
	TimeoutNow      = "heir"    // raft: leadership transfer, to its target
	Removed         = "gone"    // raft: tells a member that it was removed
	Beat            = "beat"    // dispatch: processHeartbeat
	Beaten          = "beaten"  // dispatch: its reply
	AskRun          = "ask"     // dispatch: getRunningTasks
	Account         = "account" // dispatch: its reply
	Order           = "order"   // dispatch: runTask
	Ordered         = "ordered" // dispatch: its reply
	Query           = "query"   // dispatch: notifyIfTasksNotRunning
	Queried         = "queried" // dispatch: its reply
	Status          = "status"  // dispatch: updateStatus
	Settled         = "settled" // dispatch: its reply, once committed
	Stop            = "stop"    // dispatch: killTask
	Quit            = "quit"    // dispatch: requestSuicide, for one instance
	Call            = "call"    // gateway: forwards a caller's request
	Reply           = "reply"   // controller: its reply
	News            = "news"    // configwatch: asks for changes after a version
	Told            = "told"    // configwatch: its reply
)
