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
	AttemptStarted    EventKind = "started"   // a worker began an attempt
	AttemptEnded      EventKind = "ended"     // a worker's attempt ended
	EndAcknowledged   EventKind = "settled"   // a worker was told that an attempt's end is taken
	AttemptRejected   EventKind = "spared"    // a worker refused an attempt
	EndReported       EventKind = "heard"     // a daemon was told how an attempt ended; Who is its process
	DaemonStopped     EventKind = "down"      // a daemon's process ended
	WorkerDied        EventKind = "died"      // a worker process ended, its attempts with it
	WorkerFroze       EventKind = "froze"     // a worker process stands still
	WorkerThawed      EventKind = "thawed"    // and goes on
	WorkerLeaving     EventKind = "leaving"   // a worker says that it is leaving
	WorkerStaying     EventKind = "staying"   // and that it is not
	WorkerRemoved     EventKind = "removed"   // a worker is taken away, as it had said it would be
	DrainAccepted     EventKind = "drained"   // an operator's drain was taken
	DrainRemoval      EventKind = "undone"    // and is about to be taken back
	JobSubmitted      EventKind = "sent"      // a caller sent a job for the first time
	JobAccepted       EventKind = "accepted"  // and was told that it is accepted
	JobDenied         EventKind = "denied"    // or refused for good
	CancelAccepted    EventKind = "cancelled" // a cancel was accepted
	JobObserved       EventKind = "saw"       // a caller saw a job's state
	JobNotFound       EventKind = "missed"    // a caller was told that there is no such job
	TableAcknowledged EventKind = "table"     // an operator's table was acknowledged
	TableSubmitted    EventKind = "try"       // an operator sends a table
	TableRefused      EventKind = "no"        // it was refused for good
	TableRead         EventKind = "read"      // a table was read
	FaultStarted      EventKind = "trouble"   // a fault begins
	FaultsHealed      EventKind = "healed"    // all faults are over
	RequestDropped    EventKind = "dropped"   // a request that was read got no answer

	EndSettled           EventKind = "noted"      // an invoked worker's end was settled there, and had not lapsed
	EndVoided            EventKind = "void"       // or had
	CheckpointSaved      EventKind = "saved"      // an attempt saved its progress; Ref stands for it
	GangAssembled        EventKind = "working"    // all members of a gang are there, and it begins
	CancelSubmitted      EventKind = "cancelling" // a caller sends a cancel for the first time
	SubmissionRejected   EventKind = "turned"     // a try to hand in a job was turned away: not taken
	SubmissionUnresolved EventKind = "unclear"    // or may have been taken
	QueueCounted         EventKind = "counted"    // an operator counted what waits in a queue; Who is the daemon asked
)

// HistoryEvent is one line of the history. At is true time in nanoseconds.
type HistoryEvent struct {
	At      int64           `json:"at"`
	Kind    EventKind       `json:"what"`
	Process string          `json:"who,omitempty"`
	Shard   types.Shard     `json:"shard,omitempty"`
	Attempt types.AttemptID `json:"attempt,omitzero"`
	Outcome state.Outcome   `json:"outcome,omitempty"`
	Job     types.JobID     `json:"job,omitempty"`
	Stage   state.JobStatus `json:"stage,omitempty"`
	Spec    *state.Spec     `json:"spec,omitempty"`
	Worker  *WorkerSpec     `json:"make,omitempty"`
	Table   *config.Table   `json:"table,omitempty"`
	Text    string          `json:"text,omitempty"`

	// Of workers that are invoked.
	How           wire.EndReason  `json:"how,omitempty"`
	Work          json.RawMessage `json:"work,omitempty"`
	Checkpoint    string          `json:"ref,omitempty"`
	DeliveredLate bool            `json:"late,omitempty"` // the order was carried out late
	Affected      []types.Addr    `json:"hits,omitempty"` // whom a trouble touches; none: all
}

// History is the whole of it, in order.
type History struct{ Events []HistoryEvent }

func (h *History) Add(x HistoryEvent) { h.Events = append(h.Events, x) }
