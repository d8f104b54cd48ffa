package wire

// The interface of every state machine: one event in, and out of it what to
// send, to write and to answer. Machines do no I/O and read no clock; the daemons
// (internal/server) and the simulator (sim) run the same machines.

import (
	"encoding/json"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Event is one input of a state machine. At most one field beside Now is set;
// with none, it is a tick of the clock.
type Event struct {
	Now     types.Now
	Message *Message     // from another daemon
	Ask     *Ask         // from a client
	Synced  uint64       // the batch with this Seq is on disk
	Disk    error        // the disk has refused what was given it to write; it is tried again
	Reply   *WorkerReply // the result of a call to the worker
	Close   bool         // the daemon is asked to stop
	Load    Load         // how far the event loop is behind
	Expired []Message    // with a tick: forwarded requests that waited too long for a step
}

// IsTick tells that an event is none but that time has passed.
func (e Event) IsTick() bool {
	return e.Message == nil && e.Ask == nil && e.Reply == nil && e.Synced == 0 && e.Disk == nil && !e.Close
}

// Load is how far the loop that carries the machine is behind, as measured by the
// loop when it took the event.
type Load struct {
	Age     time.Duration // how long this event has waited
	Control time.Duration // how long the oldest event of the control classes has waited
	Callers time.Duration // how long the oldest request of a caller has waited
	Waiting bool          // more events wait
}

// Ask is a client's request, to be answered under its token. Limit is how long
// the client will wait, or 0 if that is not known.
type Ask struct {
	Token uint64
	Verb  string
	Arg   string
	Body  json.RawMessage
	Limit time.Duration
}

// Answer is the response to an Ask: a body, or an error in Fault. Lead is the
// leader's address where only the leader can tell and this daemon does not lead.
type Answer struct {
	Token uint64
	Code  int
	Body  json.RawMessage
	Fault *apierror.Error
	Lead  types.Addr
}

// Out is the effects of a step.
type Out struct {
	Sends   []Send       // messages to other daemons
	Calls   []WorkerCall // calls to the worker
	Batch   [][]byte     // records to write and sync together
	Seq     uint64       // number of the batch, for Event.Synced
	Whole   bool         // the batch replaces the whole file
	Instead [][]byte     // what to append where there is no room to replace the file
	Answers []Answer     // responses to clients
	Idle    bool         // stopping, and nothing is left to do
}

// Machine is a state machine: a daemon's logic without I/O and without a clock.
type Machine interface {
	// Step takes one event and returns its effects.
	Step(Event) Out
}

// Body encodes a value for an answer. A value that JSON can't hold is a
// programming error and panics.
func Body(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// CallBody is the body of a Call: a client's request that a gateway forwards. Instance
// is the gateway's own number for it.
type CallBody struct {
	ID   uint64          `json:"id"`
	Verb string          `json:"verb"`
	Arg  string          `json:"arg,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}

// ReplyBody is the body of a Reply: the response to the request with that Instance.
type ReplyBody struct {
	ID    uint64          `json:"id"`
	Code  int             `json:"code"`
	Body  json.RawMessage `json:"body,omitempty"`
	Fault *apierror.Error `json:"fault,omitempty"`
	Lead  types.Addr      `json:"lead,omitempty"`
	Away  bool            `json:"away,omitempty"` // the sender does not lead; ask Lead
}
