// The shape of every state machine: one event in, and out of it what to send,
// to write and to answer. Machines do no I/O and read no clock; the daemon's
// shell and the simulator carry the same machines.
package wire

import (
	"encoding/json"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Event is one input. With nothing set it only tells that time has passed.
type Event struct {
	Now     types.Now
	Message *Message
	Ask     *Ask
	Synced  uint64
	Reply   *WorkerReply
	Close   bool
	Load    Load
	Expired []Message // with a tick: requests handed over that waited too long for a step
}

// IsTick tells that an event is none but that time has passed.
func (e Event) IsTick() bool {
	return e.Message == nil && e.Ask == nil && e.Reply == nil && e.Synced == 0 && !e.Close
}

// Load is how far the loop that carries the machine is behind, as measured by the
// loop when it took the event.
type Load struct {
	Age     time.Duration // how long this event has waited
	Control time.Duration // how long the oldest event of the control classes has waited
	Callers time.Duration // how long the oldest request of a caller has waited
	Waiting bool          // more events wait
}

// Ask is a request read from outside, to be answered under its token. Limit is
// how long whoever asks will wait, or 0 where that is not known.
type Ask struct {
	Token uint64
	Verb  string
	Arg   string
	Body  json.RawMessage
	Limit time.Duration
}

// Answer ends an ask: a body, or a fault. Lead is whom to ask instead, where a
// daemon that does not lead was asked for what only the leader can tell.
type Answer struct {
	Token uint64
	Code  int
	Body  json.RawMessage
	Fault *apierror.Error
	Lead  types.Addr
}

// Out is what a step wants done. Batch is one group of records to sync as
// number Seq; Whole puts it in place of the file.
type Out struct {
	Sends   []Send
	Calls   []WorkerCall
	Batch   [][]byte
	Seq     uint64
	Whole   bool
	Answers []Answer
	Idle    bool // closing, and nothing is left to do
}

// Machine is what shells carry.
type Machine interface {
	Step(Event) Out
}

// Body writes a value for an answer.
func Body(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// CallBody is a caller's request as a gateway hands it over, ReplyBody its answer.
type CallBody struct {
	ID   uint64          `json:"id"`
	Verb string          `json:"verb"`
	Arg  string          `json:"arg,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}

type ReplyBody struct {
	ID    uint64          `json:"id"`
	Code  int             `json:"code"`
	Body  json.RawMessage `json:"body,omitempty"`
	Fault *apierror.Error `json:"fault,omitempty"`
	Lead  types.Addr      `json:"lead,omitempty"`
	Away  bool            `json:"away,omitempty"` // not the leader; ask Lead
}
