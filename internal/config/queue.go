package config

import (
	"time"

	"coppercourse/internal/types"
)

// Queue is one row of the queue table: the queue's limits, its share of the cluster, and the
// route of its requests. Bounds and defaults are in docs/settings.md. It has more than 15
// fields because it is the operator's document, with one field for each setting.
type Queue struct {
	Name types.QueueName `json:"name"`

	Weight        int `json:"weight"`  // share of the cores in use, relative to other queues
	SharePercent  int `json:"share"`   // percentage of all cores that it gets before weights apply
	MaxRunning    int `json:"running"` // concurrently running tasks
	MaxUnfinished int `json:"waiting"` // unfinished jobs
	MaxFailures   int `json:"tries"`   // failures of a task after which its job fails

	TaskTimeoutMillis       int `json:"task_time_ms"`    // time limit of an attempt
	UnresolvedTimeoutMillis int `json:"patience_ms"`     // wait for the end of an attempt on a lost worker
	PartitionTimeoutMillis  int `json:"cut_patience_ms"` // the same if the whole zone was lost
	MaxLosses               int `json:"losses"`          // losses of a task after which its job fails; 0 is unlimited
	StragglerFactor         int `json:"stall_times"`     // multiple of the usual duration of a straggler

	CanPreempt     bool `json:"displaces"` // whether its tasks may preempt others
	MaxPreemptions int  `json:"displaced"` // maximum number of preemptions of a task

	Host       string            `json:"host,omitempty"`    // host of its route
	PathPrefix string            `json:"prefix,omitempty"`  // path prefix of its route; empty for no route
	Service    types.ServiceKind `json:"service,omitempty"` // default service of its jobs

	// RequiresKey means that requests on its route need a tenant's key.
	RequiresKey bool `json:"requires_key,omitempty"`

	// A job should finish within TargetFactor times the critical path of its steps plus
	// TargetMarginMillis. Without a TargetFactor there is no latency target.
	Priority             int     `json:"priority,omitempty"` // 0 is the highest
	TargetFactor         float64 `json:"stretch,omitempty"`
	TargetMarginMillis   int     `json:"target_ms,omitempty"`
	RequestTimeoutMillis int     `json:"timeout_ms,omitempty"` // timeout of a request on its route; 0 is unlimited
	InitialBackoffMillis int     `json:"rest_ms,omitempty"`    // after the first failure of a task; 0 is the default
}

// Exponential backoff of a task's retries.
const (
	defaultInitialBackoff = 200 * time.Millisecond
	maxBackoff            = 10 * time.Second
	maxDoublings          = 10 // prevents an overflow of the shift
)

// Backoff returns the back-off of a task after its n-th failure, with n from 1: the initial
// back-off, doubled with each further failure, up to 10 s.
func (q Queue) Backoff(n int) time.Duration {
	initial := defaultInitialBackoff
	if q.InitialBackoffMillis > 0 {
		initial = milliseconds(q.InitialBackoffMillis)
	}
	return min(maxBackoff, initial/2<<min(n, maxDoublings))
}

// HasLatencyTarget reports whether the queue's jobs have a latency target.
func (q Queue) HasLatencyTarget() bool { return q.TargetFactor > 0 }

// TaskTimeout returns the time limit of an attempt.
func (q Queue) TaskTimeout() time.Duration { return milliseconds(q.TaskTimeoutMillis) }

// UnresolvedTimeout returns how long to wait for the end of an attempt on a lost worker.
func (q Queue) UnresolvedTimeout() time.Duration { return milliseconds(q.UnresolvedTimeoutMillis) }

// PartitionTimeout returns the UnresolvedTimeout of a worker that was lost with its whole zone.
func (q Queue) PartitionTimeout() time.Duration { return milliseconds(q.PartitionTimeoutMillis) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
