package config

import (
	"time"

	"coppercourse/internal/types"
)

// Queue is one row of the queue table: the queue's limits, its part of the cluster, and
// the route by which its requests come in. docs/settings.md has bounds and defaults. It
// has more than 15 fields because it is the operator's document, one field for each
// setting.
type Queue struct {
	Name types.QueueName `json:"name"`

	Weight        int `json:"weight"`  // part of the cores in use, relative to other queues
	SharePercent  int `json:"share"`   // percent of all cores before weights count
	MaxRunning    int `json:"running"` // tasks at once
	MaxUnfinished int `json:"waiting"` // jobs that have not ended
	MaxFailures   int `json:"tries"`   // failures of one task that fail its job

	TaskTimeoutMillis       int `json:"task_time_ms"`    // time limit of an attempt
	UnresolvedTimeoutMillis int `json:"patience_ms"`     // wait for the end of an attempt on a lost worker
	PartitionTimeoutMillis  int `json:"cut_patience_ms"` // the same where the whole zone was lost
	MaxLosses               int `json:"losses"`          // losses of one task that fail its job, 0 for no bound
	StragglerFactor         int `json:"stall_times"`     // multiple of the usual duration at which an attempt straggles

	CanPreempt     bool `json:"displaces"` // its tasks may preempt others
	MaxPreemptions int  `json:"displaced"` // how often one of its tasks may be preempted

	Host       string            `json:"host,omitempty"`    // of its route
	PathPrefix string            `json:"prefix,omitempty"`  // of its route; empty for no route
	Service    types.ServiceKind `json:"service,omitempty"` // which workers run its tasks, if a job does not say

	// RequiresKey says that requests on its route need a key of a tenant.
	RequiresKey bool `json:"requires_key,omitempty"`

	// A job should be done within TargetFactor times the critical path of its steps plus
	// TargetMarginMillis. Without a TargetFactor there is no latency target.
	Priority             int     `json:"priority,omitempty"` // 0 goes first
	TargetFactor         float64 `json:"stretch,omitempty"`
	TargetMarginMillis   int     `json:"target_ms,omitempty"`
	RequestTimeoutMillis int     `json:"timeout_ms,omitempty"` // of a request on its route, 0 for no bound
	InitialBackoffMillis int     `json:"rest_ms,omitempty"`    // after a task's first failure, 0 for the default
}

// Exponential backoff of a task's retries.
const (
	defaultInitialBackoff = 200 * time.Millisecond
	maxBackoff            = 10 * time.Second
	maxDoublings          = 10 // so that the shift can't overflow
)

// Backoff returns how long a task waits after its n-th failure, n from 1: the initial
// backoff, doubled with each further failure, 10 s at most.
func (q Queue) Backoff(n int) time.Duration {
	initial := defaultInitialBackoff
	if q.InitialBackoffMillis > 0 {
		initial = milliseconds(q.InitialBackoffMillis)
	}
	return min(maxBackoff, initial/2<<min(n, maxDoublings))
}

// HasLatencyTarget reports whether the queue's jobs have a time by which they should be
// done.
func (q Queue) HasLatencyTarget() bool { return q.TargetFactor > 0 }

// TaskTimeout returns the time limit of an attempt.
func (q Queue) TaskTimeout() time.Duration { return milliseconds(q.TaskTimeoutMillis) }

// UnresolvedTimeout returns how long the end of an attempt on a lost worker is waited for.
func (q Queue) UnresolvedTimeout() time.Duration { return milliseconds(q.UnresolvedTimeoutMillis) }

// PartitionTimeout returns the same for a worker that was lost with its whole zone.
func (q Queue) PartitionTimeout() time.Duration { return milliseconds(q.PartitionTimeoutMillis) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
