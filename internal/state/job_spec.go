package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"coppercourse/internal/types"
)

// Spec is the caller's description of a job.
type Spec struct {
	Queue types.QueueName `json:"queue"`
	// Tenant owns the job. It is determined by the key in the request; empty for a request
	// without a key.
	Tenant   types.TenantName `json:"tenant,omitempty"`
	Urgency  int              `json:"urgency,omitempty"` // 0 to 9; within a queue, higher values are scheduled first
	Steps    []Step           `json:"steps"`
	Schedule *Schedule        `json:"times,omitempty"` // nil for a single occurrence that starts at once
	Work     json.RawMessage  `json:"work,omitempty"`  // default for steps that set none
	// Request is the hash of the request as the caller wrote it, set if the rest of the Spec
	// depends on the configuration with which the request was decoded. See RequestHash.
	Request string `json:"request,omitempty"`
}

// Step is one step of a job: a number of identical tasks. It has more than 15 fields because
// it mirrors the caller's document, one field for each setting.
type Step struct {
	Name            string            `json:"name"`
	DependsOn       []string          `json:"after,omitempty"`      // names of steps that must be done first
	Kind            types.ServiceKind `json:"kind"`                 // of the workers that can run it
	Rack            types.Rack        `json:"rack,omitempty"`       // where it must run
	Resources       types.Resources   `json:"room"`                 // of one task
	Tasks           int               `json:"tasks"`                // how many
	Gang            bool              `json:"gang,omitempty"`       // assign all its tasks together
	MaxPerWorker    int               `json:"spread,omitempty"`     // maximum of tasks on one worker; 0 for no limit
	DelayMillis     int               `json:"delay_ms,omitempty"`   // from acceptance
	NotBefore       string            `json:"not_before,omitempty"` // time of day, RFC 3339
	TimeLimitMillis int               `json:"limit_ms,omitempty"`   // of an attempt; 0 for the queue's limit
	Work            json.RawMessage   `json:"work,omitempty"`       // opaque; passed to the worker unchanged

	Labels         []string   `json:"labels,omitempty"`      // required of its workers
	DataRack       types.Rack `json:"near,omitempty"`        // where its data is; a preference
	PreferOneRack  bool       `json:"one_rack,omitempty"`    // it is slower when spread over several racks
	EstimateMillis int        `json:"estimate_ms,omitempty"` // expected duration of a task, 0 if unknown
	// AllowHedge permits a second attempt that runs concurrently with a slow first one.
	AllowHedge bool `json:"copies,omitempty"`
	// AtMostOnce prevents a task from being assigned again until the true end of a lost
	// attempt is known, without a time-out.
	AtMostOnce bool `json:"once,omitempty"`
	// KeepsCheckpoint makes an attempt resume from the checkpoint of the last one.
	KeepsCheckpoint bool `json:"keeps,omitempty"`
	// AlwaysRestart restarts a task whatever its outcome, until the job is cancelled.
	AlwaysRestart bool `json:"lasts,omitempty"`
	// Joint makes the tasks of a gang succeed and fail together: they have the same attempt
	// number, and the success of one counts for all.
	Joint bool `json:"joint,omitempty"`
}

// Schedule says when a job's occurrences start.
type Schedule struct {
	FirstUnixMillis int64 `json:"first_ms"` // start of the first, in milliseconds since 1970 (UTC)
	IntervalMillis  int64 `json:"every_ms"` // between two starts; occurrences may overlap
	Count           int   `json:"count"`
}

// start returns when an occurrence starts.
func (s *Schedule) start(occurrence int) types.WallTime {
	return types.WallTimeOfMillis(s.FirstUnixMillis + int64(occurrence)*s.IntervalMillis)
}

// Occurrences returns the number of times that the steps run.
func (s Spec) Occurrences() int {
	if s.Schedule == nil {
		return 1
	}
	return s.Schedule.Count
}

// StepWork returns the work of a step: its own, or the job's.
func (s Spec) StepWork(step int) json.RawMessage {
	if work := s.Steps[step].Work; work != nil {
		return work
	}
	return s.Work
}

// Approximate size of a job in memory and on disk, apart from its work.
const (
	approxBytesPerStep = 256
	approxBytesPerTask = 64
)

// ApproxBytes estimates the size of the job in memory and on disk, in bytes.
func (s Spec) ApproxBytes() int {
	size := len(s.Work)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += approxBytesPerStep + len(step.Work) + approxBytesPerTask*step.Tasks*s.Occurrences()
	}
	return size
}

// hashBytes is the number of bytes of the SHA-256 sum that the hash of a job keeps.
const hashBytes = 8

// Hash returns a hash, in hexadecimal, that distinguishes two jobs submitted under one id.
// It doesn't depend on the formatting of the request's body, nor on the tenant.
func (s Spec) Hash() string {
	if s.Request != "" {
		return s.Request
	}
	s.Tenant = ""
	encoded, _ := json.Marshal(s) // fails only for a Work that is not JSON, which ReadSpec rejects
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:hashBytes])
}

// RequestHash returns the hash of the request as the caller wrote it, without the queue, the
// tenant and the kinds of workers, which come from the current configuration.
func (s Spec) RequestHash() string {
	s.Queue, s.Tenant, s.Request, s.Steps = "", "", "", slices.Clone(s.Steps)
	for i := range s.Steps {
		s.Steps[i].Kind = ""
	}
	return s.Hash()
}
