package config

// The queue table: one row for each queue. It is replaced as a whole.

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// Row is one queue: its limits, its part of the cluster, and where its requests
// come in. docs/settings.md has bounds and defaults. It has more than 15 fields
// because it is the operator's document, one field for each setting. A job should
// be done within Stretch times its longest chain of work plus Target.
type Row struct {
	Name     types.Queue `json:"name"`
	Weight   int         `json:"weight"`              // part of the cores in use, beside other queues
	Share    int         `json:"share"`               // percent of all cores before weights count
	Running  int         `json:"running"`             // most tasks at once
	Waiting  int         `json:"waiting"`             // most unfinished jobs
	Tries    int         `json:"tries"`               // failures of one task that fail its job
	TaskMS   int         `json:"task_time_ms"`        // time limit of an attempt
	Patience int         `json:"patience_ms"`         // wait for the end of an attempt on a lost worker
	CutMS    int         `json:"cut_patience_ms"`     // the same, where its whole zone was lost
	Losses   int         `json:"losses"`              // losses of one task that fail its job, or 0
	Stall    int         `json:"stall_times"`         // times the usual duration that make an attempt stalled
	Displace bool        `json:"displaces"`           // its tasks may preempt others
	Moves    int         `json:"displaced"`           // how often one of its tasks may be preempted
	Host     string      `json:"host,omitempty"`      // host of its route
	Prefix   string      `json:"prefix,omitempty"`    // path prefix of its route
	Service  types.Kind  `json:"service,omitempty"`   // which workers run its tasks, if a job does not say
	Priority int         `json:"priority,omitempty"`  // 0 goes first
	Stretch  float64     `json:"stretch,omitempty"`   // aim: times the longest chain of work
	Target   int         `json:"target_ms,omitempty"` // aim: and so much more
	Timeout  int         `json:"timeout_ms,omitempty"`
	Rest     int         `json:"rest_ms,omitempty"` // pause after a task's first failure
}

// Service is a kind of worker. Guards says that its workers refuse what does not
// fit; where they do not, the scheduler alone keeps their room from being
// exceeded. Health is the path of the health check, Conns the most connections to
// one worker.
type Service struct {
	Name   types.Kind `json:"name"`
	Guards bool       `json:"guards"`
	Health string     `json:"health,omitempty"`
	Conns  int        `json:"connections,omitempty"`
}

// Limits bound what a client's connection may bring, in bytes and milliseconds; 0
// is the daemon's own bound.
type Limits struct {
	Header   int `json:"header_bytes,omitempty"`
	Body     int `json:"body_bytes,omitempty"`
	HeaderMS int `json:"header_ms,omitempty"`
	IdleMS   int `json:"idle_ms,omitempty"`
}

// Exponential backoff of a task's retries.
const (
	defaultRest = 200 * time.Millisecond // after the first failure, if the row sets none
	mostRest    = 10 * time.Second
	mostDoubled = 10 // doublings, so that the shift can't overflow
)

// Pause returns how long a task waits after its n-th failure, n from 1: the row's
// Rest, doubled each time, 10 s at most.
func (r Row) Pause(n int) time.Duration {
	rest := defaultRest
	if r.Rest > 0 {
		rest = milliseconds(r.Rest)
	}
	return min(mostRest, rest/2<<min(n, mostDoubled))
}

// Aims reports whether the queue's jobs have a time by which they should be done.
func (r Row) Aims() bool { return r.Stretch > 0 }

// Limit returns the time limit of an attempt.
func (r Row) Limit() time.Duration { return milliseconds(r.TaskMS) }

// Wait returns how long the end of an attempt on a lost worker is waited for.
func (r Row) Wait() time.Duration { return milliseconds(r.Patience) }

// WaitCut returns the same for a worker that was lost with its whole zone.
func (r Row) WaitCut() time.Duration { return milliseconds(r.CutMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Table is the queue table in one version. In a request to replace it, Version is
// the one that it is based on and Becomes the one that it gets, or 0 for the next.
type Table struct {
	Version  types.Version   `json:"edition"`
	Becomes  types.Version   `json:"becomes,omitempty"`
	Tasks    int             `json:"tasks,omitempty"`     // bound of unfinished tasks, or 0; see MostTasks
	MB       int             `json:"megabytes,omitempty"` // bound of unfinished work, or 0; see MostBytes
	Orphans  Orphans         `json:"orphans,omitempty"`
	Rows     []Row           `json:"queues"`
	Services []Service       `json:"services,omitempty"`
	Limits   Limits          `json:"limits,omitzero"`
	Source   json.RawMessage `json:"source,omitempty"` // the operator's own document, as it came
}

// Orphans says what becomes of unfinished jobs of a queue that a new table leaves
// out.
type Orphans string

const (
	// Refuse refuses the new table while there are such jobs; it is the default.
	Refuse Orphans = ""
	// Finish lets them finish by the queue's last row.
	Finish Orphans = "finish"
)

// Bounds of the unfinished work of all queues, for a table that sets none.
const (
	mostTasks = 100_000
	mostMB    = 64
)

// MostTasks returns the bound of the unfinished tasks of all queues together.
func (t Table) MostTasks() int {
	if t.Tasks == 0 {
		return mostTasks
	}
	return t.Tasks
}

// MostBytes returns the bound of the unfinished work of all queues together, in
// bytes.
func (t Table) MostBytes() int {
	if t.MB == 0 {
		return mostMB << 20
	}
	return t.MB << 20
}

// Find returns the row of a queue.
func (t Table) Find(q types.Queue) (Row, bool) {
	for _, r := range t.Rows {
		if r.Name == q {
			return r, true
		}
	}
	return Row{}, false
}

// Next returns the table as it will be in force once it is accepted.
func (t Table) Next() Table {
	t.Version = max(t.Version+1, t.Becomes)
	t.Becomes = 0
	return t
}

// Same reports whether two tables are equal but for their versions.
func (t Table) Same(o Table) bool { return t.Hash() == o.Hash() }

// hashLength is how many bytes of the SHA-256 make the hash of a table.
const hashLength = 8

// Hash returns a hash of the table's content without its versions.
func (t Table) Hash() string {
	t.Version, t.Becomes, t.Tasks, t.MB = 0, 0, t.MostTasks(), t.MostBytes()
	content, _ := json.Marshal(t)
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:hashLength])
}

// Serves returns the service with a name.
func (t Table) Serves(k types.Kind) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == k {
			return s, true
		}
	}
	return Service{}, false
}
