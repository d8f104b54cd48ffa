// Package dispatch is the dispatcher after the Bistro worker protocol: Head is the
// scheduler's half and Hand the half beside each worker. Both run one health
// machine with equal timeouts. What is added to the paper: every message of the
// scheduler carries its term, and every permission to run ends at a stamp that
// its receiver made itself. This file has what the two halves say.
package dispatch

import (
	"encoding/json"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Soundness is the paper's worker state.
type Health string

const (
	New       Health = "NEW"
	Unhealthy Health = "UNHEALTHY"
	Healthy   Health = "HEALTHY"
	MustDie   Health = "MUST_DIE"
)

// Timeouts holds the timings of both halves.
type Timeouts struct {
	Beat   time.Duration // between heartbeats
	Ill    time.Duration // silence that makes UNHEALTHY
	Loss   time.Duration // silence that makes MUST_DIE
	Grant  time.Duration // an agent's grant past its own stamp
	Worker time.Duration // a worker's grant past its own stamp
	Again  time.Duration // between repeats of queries, stops and reports
	Drain  time.Duration // a worker that deregisters without a drain runs on so long; 0: not known
}

// Defaults are ours; blueprint checks how they hang together.
var Defaults = Timeouts{Beat: 300 * time.Millisecond, Ill: time.Second, Loss: 2500 * time.Millisecond,
	Grant: 2 * time.Second, Worker: 1500 * time.Millisecond, Again: 300 * time.Millisecond}

// Report is what a worker says of itself, and its agent of it.
type Report struct {
	Rack    types.Rack          `json:"rack"`
	Kinds   []types.ServiceKind `json:"kinds"`
	Room    types.Resources     `json:"room"`           // as the worker tells it
	Lacks   types.Resources     `json:"lacks,omitzero"` // how much less its agent believes it to have
	Leaving bool                `json:"leaving"`
	LeaveMS int64               `json:"leave_in_ms,omitempty"` // how long until it goes; 0 is not told
	Healthy bool                `json:"sound"`
	Labels  []string            `json:"labels,omitempty"`
	Invoked bool                `json:"invoked,omitempty"` // it is called, rather than calling its agent
}

// SetID names a worker set: which leader made it, its version there, its hash.
type SetID struct {
	Born types.Term `json:"born"`
	Ver  int        `json:"ver"`
	Hash uint64     `json:"hash"`
	Size int        `json:"size"`
}

// Beat is processHeartbeat.
type Heartbeat struct {
	Shard types.Shard    `json:"shard"`
	ID    types.ID       `json:"id"`
	Past  types.ID       `json:"past,omitempty"`
	Stamp types.MonoTime `json:"stamp"`
	Set   SetID          `json:"set"`
	Report
	Saves []Save `json:"saves,omitempty"`
	Spans []Span `json:"spans,omitempty"`
}

// Save is what a running attempt has saved, for the next to go on from.
type Save struct {
	Attempt types.AttemptID `json:"leg"`
	Ref     string          `json:"ref"`
}

// Top is the part that every message of the scheduler begins with.
type Top struct {
	Term types.Term `json:"term"`
	To   types.ID   `json:"to"`
}

// HeartbeatReply answers a beat. Until is the grant's end on the agent's own clock.
type HeartbeatReply struct {
	Top
	Stamp types.MonoTime `json:"stamp"`
	Until types.MonoTime `json:"until"`
	Known bool           `json:"known"`
	Set   SetID          `json:"set"`
}

// Ask is getRunningTasks.
type RunningTasksQuery struct{ Top }

// Run is one attempt as an account tells it.
type Run struct {
	Attempt types.AttemptID `json:"leg"`
	Room    types.Resources `json:"room"`
}

// Account answers Ask. Whole means that the worker itself has told its attempts.
type RunningTasks struct {
	Term  types.Term  `json:"term"`
	Shard types.Shard `json:"shard"`
	ID    types.ID    `json:"id"`
	Runs  []Run       `json:"runs"`
	Whole bool        `json:"whole"`
}

// Job is what an attempt is to do.
type Job struct {
	Attempt types.AttemptID   `json:"leg"`
	Kind    types.ServiceKind `json:"kind"`
	Rack    types.Rack        `json:"rack,omitempty"`
	Room    types.Resources   `json:"room"`
	Limit   int               `json:"limit_ms"`
	Label   []string          `json:"labels,omitempty"`
	Ref     string            `json:"ref,omitempty"`
	Work    json.RawMessage   `json:"work,omitempty"`
}

// Order is runTask.
type Order struct {
	Top
	Seq   types.Seq      `json:"seq"`
	Until types.MonoTime `json:"until"`
	Job   Job            `json:"job"`
}

// Ordered answers an order.
type OrderReply struct {
	Term    types.Term      `json:"term"`
	Shard   types.Shard     `json:"shard"`
	ID      types.ID        `json:"id"`
	Attempt types.AttemptID `json:"leg"`
	Why     string          `json:"why,omitempty"`
}

// Query is notifyIfTasksNotRunning.
type Query struct {
	Top
	Seq      types.Seq         `json:"seq"`
	Attempts []types.AttemptID `json:"legs"`
}

type QueryReply struct {
	Term  types.Term  `json:"term"`
	Shard types.Shard `json:"shard"`
	ID    types.ID    `json:"id"`
	Seq   types.Seq   `json:"seq"`
}

// Status is updateStatus, of both kinds.
type Status struct {
	Shard types.Shard        `json:"shard"`
	ID    types.ID           `json:"id"`
	Ends  []state.AttemptEnd `json:"ends"`
}

// Settled tells an agent which ends are committed, and as what.
type CommittedEnds struct {
	Top
	Ends []state.AttemptEnd `json:"ends"`
}

// Stop is killTask.
type Stop struct {
	Top
	Attempts []types.AttemptID `json:"legs"`
	Late     []types.AttemptID `json:"late,omitempty"` // of these, those past the time their queue allows: they have failed
}

// Quit is requestSuicide: the agent stops all attempts and comes back as another.
type Quit struct{ Top }
