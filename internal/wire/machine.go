package wire

import (
	"encoding/json"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Machine is a deterministic state machine: a daemon's logic without I/O or clock.
type Machine interface {
	// Step processes one event and returns its effects.
	Step(Event) Effects
}

// Event is one input of a state machine. Besides Now and Load at most one field is set. An event with
// no such field, or with ExpiredForwards alone, is a tick.
type Event struct {
	Now             types.Now
	Message         *Message     // from another daemon
	Request         *Request     // from a client of this daemon
	Synced          uint64       // all batches up to this number are synced to disk
	DiskError       error        // writing a batch failed; the write is retried
	WorkerReply     *WorkerReply // the outcome of a call to the worker
	Shutdown        bool         // the daemon is shutting down
	Load            Load         // the lag of the event loop
	ExpiredForwards []Message    // forwarded requests that expired in the queue
}

// IsTick reports whether the event is a tick, which only advances the time.
func (e Event) IsTick() bool {
	return e.Message == nil &&
		e.Request == nil &&
		e.Synced == 0 &&
		e.DiskError == nil &&
		e.WorkerReply == nil &&
		!e.Shutdown
}

// Load is the lag of the event loop at the time when it dequeued an event.
type Load struct {
	EventAge    time.Duration // time that this event was queued
	ControlAge  time.Duration // time that the oldest event of the control classes has been queued
	CallerAge   time.Duration // time that the oldest request of a caller has been queued
	MoreWaiting bool          // more events are queued
}

// Request is a client's request. Its Response has the same token.
type Request struct {
	Token   uint64
	Verb    Verb
	Arg     string           // from the path: an id, or a kind and an id
	Tenant  types.TenantName // tenant that the key belongs to; empty for a request without a key
	Body    json.RawMessage
	Timeout time.Duration // how long the client waits; 0 if unknown
}

// Response is the response to a request: a status code with a body, or an error.
type Response struct {
	Token      uint64
	StatusCode int
	Body       json.RawMessage
	Error      *apierror.Error // nil if the request succeeded
	Leader     types.Addr      // the leader's address, if only the leader can answer
}

// Effects are the actions that the daemon performs after a step. A message that depends on records is
// not part of the step that writes these records: the machine holds it back until Event.Synced.
type Effects struct {
	Messages  []OutboundMessage // to other daemons
	Calls     []WorkerCall      // to the worker
	Responses []Response        // to clients

	Records         [][]byte // to sync together as one batch, if not nil
	BatchNumber     uint64   // number of the batch, reported back in Event.Synced
	ReplaceLog      bool     // the batch replaces the whole log
	FallbackRecords [][]byte // appended instead if there is no disk space to replace the log

	Drained bool // the machine is shutting down and has no work in flight
}
