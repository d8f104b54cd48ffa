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

// What names a kind of happening.
type What string

const (
	Started  What = "started"   // a worker began a leg
	Ended    What = "ended"     // a worker's leg ended
	Settled  What = "settled"   // a worker was told that a leg's end is taken
	Spared   What = "spared"    // a worker refused a leg
	Heard    What = "heard"     // a daemon was told how a leg ended; Who is its process
	Down     What = "down"      // a daemon's process ended
	Died     What = "died"      // a worker process ended, its legs with it
	Froze    What = "froze"     // a worker process stands still
	Thawed   What = "thawed"    // and goes on
	Leaving  What = "leaving"   // a worker says that it is leaving
	Staying  What = "staying"   // and that it is not
	Removed  What = "removed"   // a worker is taken away, as it had said it would be
	Drained  What = "drained"   // an operator's drain was taken
	Undone   What = "undone"    // and is about to be taken back
	Sent     What = "sent"      // a caller sent a job for the first time
	Accepted What = "accepted"  // and was told that it is accepted
	Denied   What = "denied"    // or refused for good
	Halt     What = "cancelled" // a cancel was accepted
	Saw      What = "saw"       // a caller saw a job's state
	Missed   What = "missed"    // a caller was told that there is no such job
	TableAck What = "table"     // an operator's table was acknowledged
	TableTry What = "try"       // an operator sends a table
	TableNo  What = "no"        // it was refused for good
	TableSaw What = "read"      // a table was read
	Trouble  What = "trouble"   // a fault begins
	Healed   What = "healed"    // all faults are over
	Dropped  What = "dropped"   // a request that was read got no answer

	Noted   What = "noted"      // a called worker's end was settled there, and had not lapsed
	Void    What = "void"       // or had
	Saved   What = "saved"      // a leg saved its progress; Ref stands for it
	Working What = "working"    // all members of a gang are there, and it begins
	Halting What = "cancelling" // a caller sends a cancel for the first time
	Turned  What = "turned"     // a try to hand in a job was turned away: not taken
	Unclear What = "unclear"    // or may have been taken
	Counted What = "counted"    // an operator counted what waits in a queue; Who is the daemon asked
)

// Happening is one line of the history. At is true time in nanoseconds.
type Happening struct {
	At      int64         `json:"at"`
	What    What          `json:"what"`
	Who     string        `json:"who,omitempty"`
	Shard   types.Shard   `json:"shard,omitempty"`
	Attempt types.Attempt `json:"leg,omitzero"`
	Outcome state.Outcome `json:"fate,omitempty"`
	Job     types.JobID   `json:"job,omitempty"`
	Stage   state.Stage   `json:"stage,omitempty"`
	Spec    *state.Spec   `json:"spec,omitempty"`
	Make    *Make         `json:"make,omitempty"`
	Table   *config.Table `json:"table,omitempty"`
	Text    string        `json:"text,omitempty"`

	// Of workers that are called.
	How  wire.How        `json:"how,omitempty"`
	Work json.RawMessage `json:"work,omitempty"`
	Ref  string          `json:"ref,omitempty"`
	Late bool            `json:"late,omitempty"` // the order was carried out late
	Hits []types.Addr    `json:"hits,omitempty"` // whom a trouble touches; none: all
}

// History is the whole of it, in order.
type History struct{ List []Happening }

func (h *History) Add(x Happening) { h.List = append(h.List, x) }
