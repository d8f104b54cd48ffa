package config

// The queue table: one row for each queue. It is replaced as a whole.

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// Queue is one queue: its limits, its part of the cluster, and where its requests
// come in. docs/settings.md has bounds and defaults. It has more than 15 fields
// because it is the operator's document, one field for each setting. A job should
// be done within Stretch times its longest chain of work plus Target.
type Queue struct {
	Name                    types.QueueName   `json:"name"`
	Weight                  int               `json:"weight"`              // part of the cores in use, beside other queues
	SharePercent            int               `json:"share"`               // percent of all cores before weights count
	MaxRunning              int               `json:"running"`             // most tasks at once
	MaxUnfinished           int               `json:"waiting"`             // most unfinished jobs
	MaxFailures             int               `json:"tries"`               // failures of one task that fail its job
	TaskTimeoutMillis       int               `json:"task_time_ms"`        // time limit of an attempt
	UnresolvedTimeoutMillis int               `json:"patience_ms"`         // wait for the end of an attempt on a lost worker
	PartitionTimeoutMillis  int               `json:"cut_patience_ms"`     // the same, where its whole zone was lost
	MaxLosses               int               `json:"losses"`              // losses of one task that fail its job, or 0
	StragglerFactor         int               `json:"stall_times"`         // times the usual duration that make an attempt stalled
	CanPreempt              bool              `json:"displaces"`           // its tasks may preempt others
	MaxPreemptions          int               `json:"displaced"`           // how often one of its tasks may be preempted
	Host                    string            `json:"host,omitempty"`      // host of its route
	PathPrefix              string            `json:"prefix,omitempty"`    // path prefix of its route
	Service                 types.ServiceKind `json:"service,omitempty"`   // which workers run its tasks, if a job does not say
	Priority                int               `json:"priority,omitempty"`  // 0 goes first
	TargetFactor            float64           `json:"stretch,omitempty"`   // aim: times the longest chain of work
	TargetMarginMillis      int               `json:"target_ms,omitempty"` // aim: and so much more
	RequestTimeoutMillis    int               `json:"timeout_ms,omitempty"`
	InitialBackoffMillis    int               `json:"rest_ms,omitempty"` // pause after a task's first failure
}

// Service is a kind of worker. Guards says that its workers refuse what does not
// fit; where they do not, the scheduler alone keeps their room from being
// exceeded. Health is the path of the health check, Conns the most connections to
// one worker.
type Service struct {
	Name              types.ServiceKind `json:"name"`
	EnforcesResources bool              `json:"guards"`
	HealthPath        string            `json:"health,omitempty"`
	MaxConnections    int               `json:"connections,omitempty"`
}

// Limits bound what a client's connection may bring, in bytes and milliseconds; 0
// is the daemon's own bound.
type Limits struct {
	HeaderBytes         int `json:"header_bytes,omitempty"`
	BodyBytes           int `json:"body_bytes,omitempty"`
	HeaderTimeoutMillis int `json:"header_ms,omitempty"`
	IdleTimeoutMillis   int `json:"idle_ms,omitempty"`
}

// Exponential backoff of a task's retries.
const (
	defaultInitialBackoff = 200 * time.Millisecond // after the first failure, if the row sets none
	maxBackoff            = 10 * time.Second
	maxDoublings          = 10 // doublings, so that the shift can't overflow
)

// Backoff returns how long a task waits after its n-th failure, n from 1: the row's
// Rest, doubled each time, 10 s at most.
func (q Queue) Backoff(n int) time.Duration {
	initial := defaultInitialBackoff
	if q.InitialBackoffMillis > 0 {
		initial = milliseconds(q.InitialBackoffMillis)
	}
	return min(maxBackoff, initial/2<<min(n, maxDoublings))
}

// HasLatencyTarget reports whether the queue's jobs have a time by which they should be done.
func (q Queue) HasLatencyTarget() bool { return q.TargetFactor > 0 }

// TaskTimeout returns the time limit of an attempt.
func (q Queue) TaskTimeout() time.Duration { return milliseconds(q.TaskTimeoutMillis) }

// UnresolvedTimeout returns how long the end of an attempt on a lost worker is waited for.
func (q Queue) UnresolvedTimeout() time.Duration { return milliseconds(q.UnresolvedTimeoutMillis) }

// PartitionTimeout returns the same for a worker that was lost with its whole zone.
func (q Queue) PartitionTimeout() time.Duration { return milliseconds(q.PartitionTimeoutMillis) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Table is the queue table in one version. In a request to replace it, Version is
// the one that it is based on and Becomes the one that it gets, or 0 for the next.
type Table struct {
	Version          types.Version   `json:"edition"`
	RequestedVersion types.Version   `json:"becomes,omitempty"`
	MaxTasks         int             `json:"tasks,omitempty"`     // bound of unfinished tasks, or 0; see MostTasks
	MaxMegabytes     int             `json:"megabytes,omitempty"` // bound of unfinished work, or 0; see ByteLimit
	Orphans          OrphanPolicy    `json:"orphans,omitempty"`
	Queues           []Queue         `json:"queues"`
	Services         []Service       `json:"services,omitempty"`
	Limits           Limits          `json:"limits,omitzero"`
	Source           json.RawMessage `json:"source,omitempty"` // the operator's own document, as it came
}

// OrphanPolicy says what becomes of unfinished jobs of a queue that a new table leaves
// out.
type OrphanPolicy string

const (
	// RefuseOrphans refuses the new table while there are such jobs; it is the default.
	RefuseOrphans OrphanPolicy = ""
	// FinishOrphans lets them finish by the queue's last row.
	FinishOrphans OrphanPolicy = "finish"
)

// Bounds of the unfinished work of all queues, for a table that sets none.
const (
	defaultMaxTasks     = 100_000
	defaultMaxMegabytes = 64
)

// TaskLimit returns the bound of the unfinished tasks of all queues together.
func (t Table) TaskLimit() int {
	if t.MaxTasks == 0 {
		return defaultMaxTasks
	}
	return t.MaxTasks
}

// ByteLimit returns the bound of the unfinished work of all queues together, in
// bytes.
func (t Table) ByteLimit() int {
	if t.MaxMegabytes == 0 {
		return defaultMaxMegabytes << 20
	}
	return t.MaxMegabytes << 20
}

// FindQueue returns the row of a queue.
func (t Table) FindQueue(name types.QueueName) (Queue, bool) {
	for _, queue := range t.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// Accepted returns the table as it will be in force once it is accepted.
func (t Table) Accepted() Table {
	t.Version = max(t.Version+1, t.RequestedVersion)
	t.RequestedVersion = 0
	return t
}

// SameContent reports whether two tables are equal but for their versions.
func (t Table) SameContent(o Table) bool { return t.ContentHash() == o.ContentHash() }

// contentHashBytes is how many bytes of the SHA-256 make the hash of a table.
const contentHashBytes = 8

// ContentHash returns a hash of the table's content without its versions.
func (t Table) ContentHash() string {
	t.Version, t.RequestedVersion, t.MaxTasks, t.MaxMegabytes = 0, 0, t.TaskLimit(), t.ByteLimit()
	content, _ := json.Marshal(t)
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:contentHashBytes])
}

// FindService returns the service with a name.
func (t Table) FindService(name types.ServiceKind) (Service, bool) {
	for _, service := range t.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
