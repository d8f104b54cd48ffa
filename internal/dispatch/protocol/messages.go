// Package dispatch is the dispatcher after the Bistro worker protocol: Head is the
// scheduler's half and Hand the half beside each worker. Both run one health
// machine with equal timeouts. What is added to the paper: every message of the
// scheduler carries its term, and every permission to run ends at a stamp that
// its receiver made itself. This file has what the two halves say.
package protocol

import (
	"encoding/json"
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// WorkerReport is what a worker says of itself, and its agent of it.
type WorkerReport struct {
	Rack        types.Rack          `json:"rack"`
	Kinds       []types.ServiceKind `json:"kinds"`
	Capacity    types.Resources     `json:"room"`           // as the worker tells it
	Shortfall   types.Resources     `json:"lacks,omitzero"` // how much less its agent believes it to have
	Draining    bool                `json:"leaving"`
	DepartsInMS int64               `json:"leave_in_ms,omitempty"` // how long until it goes; 0 is not told
	Healthy     bool                `json:"sound"`
	Labels      []string            `json:"labels,omitempty"`
	Invoked     bool                `json:"invoked,omitempty"` // it is called, rather than calling its agent
}

// WorkerSetID names a worker set: which leader made it, its version there, its hash.
type WorkerSetID struct {
	Term    types.Term `json:"born"`
	Version int        `json:"ver"`
	Hash    uint64     `json:"hash"`
	Size    int        `json:"size"`
}

// Beat is processHeartbeat.
type Heartbeat struct {
	Shard            types.Shard    `json:"shard"`
	Instance         types.ID       `json:"id"`
	PreviousInstance types.ID       `json:"past,omitempty"`
	SentAt           types.MonoTime `json:"stamp"`
	WorkerSet        WorkerSetID    `json:"set"`
	WorkerReport
	Checkpoints []Checkpoint       `json:"saves,omitempty"`
	Durations   []DurationEstimate `json:"spans,omitempty"`
}

// Checkpoint is what a running attempt has saved, for the next to go on from.
type Checkpoint struct {
	Attempt types.AttemptID `json:"leg"`
	Ref     string          `json:"ref"`
}

// Header is the part that every message of the scheduler begins with.
type Header struct {
	Term types.Term `json:"term"`
	To   types.ID   `json:"to"`
}

// HeartbeatReply answers a beat. Until is the grant's end on the agent's own clock.
type HeartbeatReply struct {
	Header
	HeartbeatSentAt types.MonoTime `json:"stamp"`
	LeaseUntil      types.MonoTime `json:"until"`
	Associated      bool           `json:"known"`
	WorkerSet       WorkerSetID    `json:"set"`
}

// Ask is getRunningTasks.
type GetRunningTasks struct{ Header }

// RunningTask is one attempt as an account tells it.
type RunningTask struct {
	Attempt   types.AttemptID `json:"leg"`
	Resources types.Resources `json:"room"`
}

// Account answers Ask. Whole means that the worker itself has told its attempts.
type RunningTasksReply struct {
	Term     types.Term    `json:"term"`
	Shard    types.Shard   `json:"shard"`
	Instance types.ID      `json:"id"`
	Tasks    []RunningTask `json:"runs"`
	Complete bool          `json:"whole"`
}

// AttemptSpec is what an attempt is to do.
type AttemptSpec struct {
	Attempt     types.AttemptID   `json:"leg"`
	Kind        types.ServiceKind `json:"kind"`
	Rack        types.Rack        `json:"rack,omitempty"`
	Resources   types.Resources   `json:"room"`
	TimeLimitMS int               `json:"limit_ms"`
	Labels      []string          `json:"labels,omitempty"`
	Checkpoint  string            `json:"ref,omitempty"`
	Input       json.RawMessage   `json:"work,omitempty"`
}

// RunTask is runTask.
type RunTask struct {
	Header
	Sequence    types.Seq      `json:"seq"`
	StartBefore types.MonoTime `json:"until"`
	Spec        AttemptSpec    `json:"job"`
}

// Ordered answers an order.
type RunTaskReply struct {
	Term     types.Term      `json:"term"`
	Shard    types.Shard     `json:"shard"`
	Instance types.ID        `json:"id"`
	Attempt  types.AttemptID `json:"leg"`
	Refusal  string          `json:"why,omitempty"`
}

// NotifyIfTasksNotRunning is notifyIfTasksNotRunning.
type NotifyIfTasksNotRunning struct {
	Header
	Sequence types.Seq         `json:"seq"`
	Attempts []types.AttemptID `json:"legs"`
}

type NotifyIfTasksNotRunningReply struct {
	Term     types.Term  `json:"term"`
	Shard    types.Shard `json:"shard"`
	Instance types.ID    `json:"id"`
	Sequence types.Seq   `json:"seq"`
}

// UpdateStatus is updateStatus, of both kinds.
type UpdateStatus struct {
	Shard    types.Shard        `json:"shard"`
	Instance types.ID           `json:"id"`
	Ends     []state.AttemptEnd `json:"ends"`
}

// Settled tells an agent which ends are committed, and as what.
type CommittedEnds struct {
	Header
	Ends []state.AttemptEnd `json:"ends"`
}

// KillTasks is killTask.
type KillTasks struct {
	Header
	Attempts      []types.AttemptID `json:"legs"`
	OverTimeLimit []types.AttemptID `json:"late,omitempty"` // of these, those past the time their queue allows: they have failed
}

// RequestSuicide is requestSuicide: the agent stops all attempts and comes back as another.
type RequestSuicide struct{ Header }

// DurationEstimate is how long an attempt takes in all, as far as can be told.
type DurationEstimate struct {
	Attempt types.AttemptID `json:"leg"`
	MS      int64           `json:"ms"`
}

// HasLabels tells whether a worker has all the labels that a task needs.
func (r WorkerReport) HasLabels(labels []string) bool {
	for _, l := range labels {
		if !slices.Contains(r.Labels, l) {
			return false
		}
	}
	return true
}
