package history

import (
	"encoding/json"

	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// WallClockStart is the true time of day, in nanoseconds since 1970, at which the
// virtual time of a simulated history is 0.
const WallClockStart = int64(1_700_000_000_000_000_000)

// Kind names what happened.
type Kind string

// Attempts, as workers run them.
const (
	AttemptStarted  Kind = "started" // a worker began an attempt
	AttemptEnded    Kind = "ended"   // a worker's attempt ended
	AttemptRejected Kind = "spared"  // a worker rejected an attempt
	EndReported     Kind = "heard"   // a daemon's process received an attempt's end
	EndAcknowledged Kind = "settled" // a polling worker received the acknowledgement of an end
	EndSettled      Kind = "noted"   // an invoked worker's end was acknowledged before its lease ended
	EndVoided       Kind = "void"    // or only after that, and does not count
	CheckpointSaved Kind = "saved"   // an attempt saved its progress under Checkpoint
	GangAssembled   Kind = "working" // all members of a gang run, and it begins its work
)

// Processes of workers and daemons.
const (
	DaemonStopped Kind = "down"    // a daemon's process ended
	WorkerDied    Kind = "died"    // a worker's process ended, its attempts with it
	WorkerPaused  Kind = "froze"   // a worker's process is suspended
	WorkerResumed Kind = "thawed"  // and resumed
	WorkerLeaving Kind = "leaving" // a worker announced its departure
	WorkerStaying Kind = "staying" // a worker started, or withdrew that announcement
	WorkerRemoved Kind = "removed" // a worker departs as announced; Text is its notice
)

// Jobs, as their callers see them.
const (
	JobSubmitted            Kind = "sent"       // a caller submitted a job for the first time
	JobAccepted             Kind = "accepted"   // and was answered that it is accepted
	JobRejected             Kind = "denied"     // or refused for good
	SubmissionRejected      Kind = "turned"     // one request to submit a job was rejected without effect
	SubmissionIndeterminate Kind = "unclear"    // or may have had an effect
	JobObserved             Kind = "saw"        // a caller was shown a job's status, Stage
	JobNotFound             Kind = "missed"     // a caller was notified that there is no such job
	CancelSubmitted         Kind = "cancelling" // a caller cancels a job for the first time
	CancelAccepted          Kind = "cancelled"  // a cancel was acknowledged
	RequestDropped          Kind = "dropped"    // a request was read and never answered
)

// Operators' orders.
const (
	TableSubmitted      Kind = "try"     // an operator submits a table
	TableAcknowledged   Kind = "table"   // it is in force
	TableRejected       Kind = "no"      // it was refused for good
	TableRead           Kind = "read"    // a table was read; Text is when the read began
	DrainAccepted       Kind = "drained" // a drain was acknowledged; Text is its target
	DrainRemovalStarted Kind = "undone"  // a drain is about to be removed
	QueueLengthRead     Kind = "counted" // a daemon, Process, was asked for the length of a queue
)

// QueueExists is the Stage of a QueueLengthRead event by which the daemon knows the queue.
const QueueExists state.JobStatus = "there"

// Faults.
const (
	FaultStarted Kind = "trouble" // Text is "NAME for DURATION"
	FaultsHealed Kind = "healed"  // all faults are over
)

// Event is one line of the history.
type Event struct {
	At      int64           `json:"at"` // true time in nanoseconds since the run began
	Kind    Kind            `json:"what"`
	Process string          `json:"who,omitempty"`
	Shard   types.Shard     `json:"shard,omitempty"`
	Attempt types.AttemptID `json:"attempt,omitzero"`
	Outcome state.Outcome   `json:"outcome,omitempty"`
	Job     types.JobID     `json:"job,omitempty"`
	Status  state.JobStatus `json:"stage,omitempty"` // of the job, as it was shown
	Spec    *state.Spec     `json:"spec,omitempty"`
	Worker  *WorkerSpec     `json:"make,omitempty"`
	Table   *config.Table   `json:"table,omitempty"`
	Text    string          `json:"text,omitempty"` // what it says depends on Kind

	// Of invoked workers.
	EndReason     wire.EndReason  `json:"how,omitempty"`
	Work          json.RawMessage `json:"work,omitempty"`
	Checkpoint    string          `json:"ref,omitempty"`
	DeliveredLate bool            `json:"late,omitempty"` // the call was carried out after its caller gave up

	Affected []types.Addr `json:"hits,omitempty"` // whom a fault affects; nil means everybody
}

// History is all events in order of time.
type History struct{ Events []Event }

// Add appends an event.
func (h *History) Add(event Event) { h.Events = append(h.Events, event) }
