// The history: what workers and callers saw, in true time. Nothing in it comes
// from a daemon's opinion of itself.
package sim

import (
	"encoding/json"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// EventKind names a kind of event.
type EventKind string

const (
	Started  EventKind = "started"   // a worker began an attempt
	Ended    EventKind = "ended"     // a worker's attempt ended
	Settled  EventKind = "settled"   // a worker was told that an attempt's end is taken
	Spared   EventKind = "spared"    // a worker refused an attempt
	Heard    EventKind = "heard"     // a daemon was told how an attempt ended; Who is its process
	Down     EventKind = "down"      // a daemon's process ended
	Died     EventKind = "died"      // a worker process ended, its attempts with it
	Froze    EventKind = "froze"     // a worker process stands still
	Thawed   EventKind = "thawed"    // and goes on
	Leaving  EventKind = "leaving"   // a worker says that it is leaving
	Staying  EventKind = "staying"   // and that it is not
	Removed  EventKind = "removed"   // a worker is taken away, as it had said it would be
	Drained  EventKind = "drained"   // an operator's drain was taken
	Undone   EventKind = "undone"    // and is about to be taken back
	Sent     EventKind = "sent"      // a caller sent a job for the first time
	Accepted EventKind = "accepted"  // and was told that it is accepted
	Denied   EventKind = "denied"    // or refused for good
	Halt     EventKind = "cancelled" // a cancel was accepted
	Saw      EventKind = "saw"       // a caller saw a job's state
	Missed   EventKind = "missed"    // a caller was told that there is no such job
	TableAck EventKind = "table"     // an operator's table was acknowledged
	TableTry EventKind = "try"       // an operator sends a table
	TableNo  EventKind = "no"        // it was refused for good
	TableSaw EventKind = "read"      // a table was read
	Trouble  EventKind = "trouble"   // a fault begins
	Healed   EventKind = "healed"    // all faults are over
	Dropped  EventKind = "dropped"   // a request that was read got no answer

	Noted   EventKind = "noted"      // an invoked worker's end was settled there, and had not lapsed
	Void    EventKind = "void"       // or had
	Saved   EventKind = "saved"      // an attempt saved its progress; Ref stands for it
	Working EventKind = "working"    // all members of a gang are there, and it begins
	Halting EventKind = "cancelling" // a caller sends a cancel for the first time
	Turned  EventKind = "turned"     // a try to hand in a job was turned away: not taken
	Unclear EventKind = "unclear"    // or may have been taken
	Counted EventKind = "counted"    // an operator counted what waits in a queue; Who is the daemon asked
)

// HistoryEvent is one line of the history. At is true time in nanoseconds.
type HistoryEvent struct {
	At      int64           `json:"at"`
	What    EventKind       `json:"what"`
	Who     string          `json:"who,omitempty"`
	Shard   types.Shard     `json:"shard,omitempty"`
	Attempt types.AttemptID `json:"attempt,omitzero"`
	Outcome state.Outcome   `json:"outcome,omitempty"`
	Job     types.JobID     `json:"job,omitempty"`
	Stage   state.JobStatus `json:"stage,omitempty"`
	Spec    *state.Spec     `json:"spec,omitempty"`
	Make    *WorkerSpec     `json:"make,omitempty"`
	Table   *config.Table   `json:"table,omitempty"`
	Text    string          `json:"text,omitempty"`

	// Of workers that are invoked.
	How      wire.EndReason  `json:"how,omitempty"`
	Work     json.RawMessage `json:"work,omitempty"`
	Ref      string          `json:"ref,omitempty"`
	Late     bool            `json:"late,omitempty"` // the order was carried out late
	Affected []types.Addr    `json:"hits,omitempty"` // whom a trouble touches; none: all
}

// History is the whole of it, in order.
type History struct{ List []HistoryEvent }

func (h *History) Add(x HistoryEvent) { h.List = append(h.List, x) }
