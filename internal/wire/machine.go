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
	Now             types.Now
	Message         *Message     // from another daemon
	Request         *Request     // from a client
	Synced          uint64       // the batch with this Seq is on disk
	DiskError       error        // the disk has refused what was given it to write; it is tried again
	WorkerReply     *WorkerReply // the result of a call to the worker
	Shutdown        bool         // the daemon is asked to stop
	Load            Load         // how far the event loop is behind
	ExpiredForwards []Message    // with a tick: forwarded requests that waited too long for a step
}

// IsTick tells that an event is none but that time has passed.
func (e Event) IsTick() bool {
	return e.Message == nil && e.Request == nil && e.WorkerReply == nil && e.Synced == 0 && e.DiskError == nil && !e.Shutdown
}

// Load is how far the loop that carries the machine is behind, as measured by the
// loop when it took the event.
type Load struct {
	EventAge    time.Duration // how long this event has waited
	ControlAge  time.Duration // how long the oldest event of the control classes has waited
	CallerAge   time.Duration // how long the oldest request of a caller has waited
	MoreWaiting bool          // more events wait
}

// Request is a client's request, to be answered under its token. Limit is how long
// the client will wait, or 0 if that is not known.
type Request struct {
	Token   uint64
	Verb    string
	Arg     string
	Body    json.RawMessage
	Timeout time.Duration
}

// Response is the response to an Ask: a body, or an error in Fault. Lead is the
// leader's address where only the leader can tell and this daemon does not lead.
type Response struct {
	Token      uint64
	StatusCode int
	Body       json.RawMessage
	Error      *apierror.Error
	Leader     types.Addr
}

// Effects is the effects of a step.
type Effects struct {
	Messages        []OutboundMessage // messages to other daemons
	Calls           []WorkerCall      // calls to the worker
	Records         [][]byte          // records to write and sync together
	BatchNumber     uint64            // number of the batch, for Event.Synced
	ReplaceLog      bool              // the batch replaces the whole file
	FallbackRecords [][]byte          // what to append where there is no room to replace the file
	Responses       []Response        // responses to clients
	Drained         bool              // stopping, and nothing is left to do
}

// Machine is a state machine: a daemon's logic without I/O and without a clock.
type Machine interface {
	// Step takes one event and returns its effects.
	Step(Event) Effects
}

// EncodeBody encodes a value for an answer. A value that JSON can't hold is a
// programming error and panics.
func EncodeBody(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// ForwardedRequest is the body of a Call: a client's request that a gateway forwards. Instance
// is the gateway's own number for it.
type ForwardedRequest struct {
	ID   uint64          `json:"id"`
	Verb string          `json:"verb"`
	Arg  string          `json:"arg,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}

// ForwardedReply is the body of a Reply: the response to the request with that Instance.
type ForwardedReply struct {
	ID         uint64          `json:"id"`
	StatusCode int             `json:"code"`
	Body       json.RawMessage `json:"body,omitempty"`
	Error      *apierror.Error `json:"fault,omitempty"`
	Leader     types.Addr      `json:"lead,omitempty"`
	NotLeader  bool            `json:"away,omitempty"` // the sender does not lead; ask Lead
}
