package wire

import (
	"encoding/json"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Machine is a state machine: a daemon's logic without I/O and without a clock.
type Machine interface {
	// Step takes one event and returns its effects.
	Step(Event) Effects
}

// Event is one input of a state machine. Besides Now and Load at most one field is set;
// with none, or with ExpiredForwards alone, it is a tick: time has passed.
type Event struct {
	Now             types.Now
	Message         *Message     // from another daemon
	Request         *Request     // from a client of this daemon
	Synced          uint64       // all batches up to this number are on disk
	DiskError       error        // the disk refuses a batch, which is tried again
	WorkerReply     *WorkerReply // the outcome of a call to the worker
	Shutdown        bool         // the daemon is about to stop
	Load            Load         // how far the event loop is behind
	ExpiredForwards []Message    // forwarded requests that waited too long to be of use
}

// IsTick reports whether the event says only that time has passed.
func (e Event) IsTick() bool {
	return e.Message == nil &&
		e.Request == nil &&
		e.Synced == 0 &&
		e.DiskError == nil &&
		e.WorkerReply == nil &&
		!e.Shutdown
}

// Load is how far the event loop was behind when it took an event.
type Load struct {
	EventAge    time.Duration // how long this event has waited
	ControlAge  time.Duration // how long the oldest event of the control classes has waited
	CallerAge   time.Duration // how long the oldest request of a caller has waited
	MoreWaiting bool          // more events wait
}

// Request is a client's request. It is answered by a Response with its token.
type Request struct {
	Token   uint64
	Verb    Verb
	Arg     string           // what the path names: an id, or a kind and an id
	Tenant  types.TenantName // whose request it is, by its key; empty for a request without one
	Body    json.RawMessage
	Timeout time.Duration // how long the client waits; 0 if that is not known
}

// Response is the response to a request: a status code with a body, or an error.
type Response struct {
	Token      uint64
	StatusCode int
	Body       json.RawMessage
	Error      *apierror.Error // nil if the request succeeded
	Leader     types.Addr      // whom to ask instead, where only the leader can answer
}

// Effects is what a step has the daemon do. A message that rests on records is not among the
// effects of the step that writes them: the machine holds it back until Event.Synced.
type Effects struct {
	Messages  []OutboundMessage // to other daemons
	Calls     []WorkerCall      // to the worker
	Responses []Response        // to clients

	Records         [][]byte // to sync together as one batch, if not nil
	BatchNumber     uint64   // of the batch, for Event.Synced
	ReplaceLog      bool     // the batch replaces the whole log
	FallbackRecords [][]byte // what to append instead if there is no room to replace the log

	Drained bool // the machine is shutting down and has nothing left to do
}
