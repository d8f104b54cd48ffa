package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// Spec is a job as its caller describes it.
type Spec struct {
	Queue types.QueueName `json:"queue"`
	// Tenant is whose job it is, by the key that the request carried; empty for a request
	// without one.
	Tenant   types.TenantName `json:"tenant,omitempty"`
	Urgency  int              `json:"urgency,omitempty"` // 0 to 9; in a queue the higher goes first
	Steps    []Step           `json:"steps"`
	Schedule *Schedule        `json:"times,omitempty"` // nil for one occurrence, at once
	Work     json.RawMessage  `json:"work,omitempty"`  // for steps that have none of their own
	// Request is the hash of what the caller wrote, if the rest of the Spec depends on
	// the configuration by which the request was read. See RequestHash.
	Request string `json:"request,omitempty"`
}

// Step is one step of a job: a number of equal tasks. It has more than 15 fields because
// it is the caller's document, one field for each setting.
type Step struct {
	Name            string            `json:"name"`
	DependsOn       []string          `json:"after,omitempty"`      // steps that must be done before
	Kind            types.ServiceKind `json:"kind"`                 // which workers can run it
	Rack            types.Rack        `json:"rack,omitempty"`       // where it must run
	Resources       types.Resources   `json:"room"`                 // of one task
	Tasks           int               `json:"tasks"`                // how many
	Gang            bool              `json:"gang,omitempty"`       // its tasks are assigned together
	MaxPerWorker    int               `json:"spread,omitempty"`     // tasks on one worker, 0 for no bound
	DelayMillis     int               `json:"delay_ms,omitempty"`   // from acceptance
	NotBefore       string            `json:"not_before,omitempty"` // time of day, RFC 3339
	TimeLimitMillis int               `json:"limit_ms,omitempty"`   // of an attempt; 0 for the queue's
	Work            json.RawMessage   `json:"work,omitempty"`       // passed to the worker as it is

	Labels         []string   `json:"labels,omitempty"`      // that its workers must have
	DataRack       types.Rack `json:"near,omitempty"`        // where its data is; preferred
	PreferOneRack  bool       `json:"one_rack,omitempty"`    // it is slower when spread over racks
	EstimateMillis int        `json:"estimate_ms,omitempty"` // expected duration of a task, 0 if unknown
	// AllowHedge lets a second attempt run beside a first that is slow.
	AllowHedge bool `json:"copies,omitempty"`
	// AtMostOnce keeps a task from being assigned again while the end of a lost attempt is
	// not known, however long that takes.
	AtMostOnce bool `json:"once,omitempty"`
	// KeepsCheckpoint makes an attempt go on from what the last one saved.
	KeepsCheckpoint bool `json:"keeps,omitempty"`
	// AlwaysRestart makes a task start again however it ends, until the job is cancelled.
	AlwaysRestart bool `json:"lasts,omitempty"`
	// Joint makes the tasks of a gang succeed and fail as one: they have the same attempt
	// number, and the success of any is that of all.
	Joint bool `json:"joint,omitempty"`
}

// Schedule says when a job's occurrences start.
type Schedule struct {
	FirstUnixMillis int64 `json:"first_ms"` // of the first, in milliseconds since 1970 (UTC)
	IntervalMillis  int64 `json:"every_ms"` // between two; they may overlap
	Count           int   `json:"count"`
}

// start returns when an occurrence starts.
func (s *Schedule) start(occurrence int) types.WallTime {
	unixMillis := s.FirstUnixMillis + int64(occurrence)*s.IntervalMillis
	return types.WallTime(unixMillis) * types.WallTime(time.Millisecond)
}

// Occurrences returns how often the steps run.
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

// Rough costs of a job in memory and on disk, beside its work.
const (
	approxBytesPerStep = 256
	approxBytesPerTask = 64
)

// ApproxBytes estimates the bytes that the job takes in memory and on disk.
func (s Spec) ApproxBytes() int {
	size := len(s.Work)
	for i := range s.Steps {
		step := &s.Steps[i]
		size += approxBytesPerStep + len(step.Work) + approxBytesPerTask*step.Tasks*s.Occurrences()
	}
	return size
}

// hashBytes is how many bytes of the SHA-256 make the hash of a job.
const hashBytes = 8

// Hash returns a hash by which two jobs under one id are distinguished, in hexadecimal.
// It doesn't depend on the layout of the request's body, nor on the tenant.
func (s Spec) Hash() string {
	if s.Request != "" {
		return s.Request
	}
	s.Tenant = ""
	encoded, _ := json.Marshal(s) // fails only for a Work that is not JSON, which ReadSpec rejects
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:hashBytes])
}

// RequestHash returns the hash of what the caller wrote, without the queue, the tenant and
// the kinds of workers, which the configuration of the moment added.
func (s Spec) RequestHash() string {
	s.Queue, s.Tenant, s.Request, s.Steps = "", "", "", slices.Clone(s.Steps)
	for i := range s.Steps {
		s.Steps[i].Kind = ""
	}
	return s.Hash()
}
