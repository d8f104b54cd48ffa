// Package wire holds what the system's own processes say to each other. Every
// message is one way and carries its sender's advertised address; an answer is
// another message. Bodies are JSON and unknown fields are let pass, so that
// daemons of mixed versions understand each other. Several notes may share one
// HTTP request.
package wire

import (
	"encoding/json"

	"coppercourse/internal/types"
)

type Message struct {
	From types.Addr      `json:"from"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Send is a note and where it goes.
type Send struct {
	To      types.Addr
	Message Message
}

// Make builds a send; a body that cannot be written is a defect of ours.
func Make(from, to types.Addr, kind string, body any) Send {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return Send{To: to, Message: Message{From: from, Kind: kind, Body: b}}
}

// On makes a handler of notes out of a machine's method for one kind of body;
// a body that does not fit is let fall.
func On[M, T any](f func(*M, types.Addr, T)) func(*M, Message) {
	return func(m *M, n Message) {
		if b, ok := Read[T](n); ok {
			f(m, n.From, b)
		}
	}
}

// The kinds of note.
const (
	Hello   = "hello"   // kin: who is there
	Found   = "found"   // accord: founding of a cluster
	Join    = "join"    // accord: an empty member asks in
	Ballot  = "ballot"  // accord: asks for a vote
	Vote    = "vote"    // accord: answers a ballot
	Append  = "append"  // accord: entries, or none
	Append2 = "taken"   // accord: answers append
	Snap    = "snap"    // accord: a whole state
	Heir    = "heir"    // accord: the holder names its successor
	Gone    = "gone"    // accord: a member is told that it is out
	Beat    = "beat"    // truth: processHeartbeat
	Beaten  = "beaten"  // truth: its answer
	AskRun  = "ask"     // truth: getRunningTasks
	Account = "account" // truth: its answer
	Order   = "order"   // truth: runTask
	Ordered = "ordered" // truth: its answer
	Query   = "query"   // truth: notifyIfTasksNotRunning
	Queried = "queried" // truth: its answer
	Status  = "status"  // truth: updateStatus
	Settled = "settled" // truth: its answer, once committed
	Stop    = "stop"    // truth: killTask
	Quit    = "quit"    // truth: requestSuicide, for one instance
	Call    = "call"    // gateway: hands over a caller's request
	Reply   = "reply"   // controller: its answer
	News    = "news"    // news: asks with the edition held
	Told    = "told"    // news: its answer
)
