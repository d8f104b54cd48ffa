package protocol

import (
	"encoding/json"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// WorkerReport is what an agent reports of its worker.
type WorkerReport struct {
	Rack  types.Rack          `json:"rack"`
	Kinds []types.ServiceKind `json:"kinds"` // kinds of tasks that it runs
	// Capacity is the worker's whole capacity, as the worker reports it.
	Capacity types.Resources `json:"room"`
	// Shortfall is how much less than Capacity the agent takes the worker to have,
	// because the worker has rejected tasks for lack of capacity.
	Shortfall types.Resources `json:"lacks,omitzero"`
	// Departing workers have announced that they will be gone soon, and are given no more
	// tasks. An operator's drain is another reason for that: see state.Drain.
	Departing bool `json:"leaving"`
	// DepartsInMS is how long a departing worker will still be there, in milliseconds;
	// 0 is not known.
	DepartsInMS int64    `json:"leave_in_ms,omitempty"`
	Healthy     bool     `json:"sound"`
	Labels      []string `json:"labels,omitempty"`
	// CalledByAgent workers are called by their agent; others poll it.
	CalledByAgent bool `json:"invoked,omitempty"`
}

// WorkerSetID identifies a worker set: the leader that made it by its term, the set's
// version in that term, and the hash and size of the set (the paper's WorkerSetID, in
// "How to shorten the initial wait?").
type WorkerSetID struct {
	Term    types.Term `json:"born"`
	Version int        `json:"ver"`
	Hash    uint64     `json:"hash"`
	Size    int        `json:"size"`
}

// Heartbeat is processHeartbeat, agent to scheduler: it associates the agent with the
// scheduler and keeps its worker healthy.
type Heartbeat struct {
	Shard types.Shard `json:"shard"`
	// Instance identifies the agent's instance; it is drawn anew at each start and
	// after each MUST_DIE.
	Instance types.ID `json:"id"`
	// PreviousInstance is the instance before this one beside the same worker process,
	// if the worker reported it; the scheduler lets this one replace it at once.
	PreviousInstance types.ID       `json:"past,omitempty"`
	SentAt           types.MonoTime `json:"stamp"`
	// WorkerSet is the last worker set that the agent has received.
	WorkerSet WorkerSetID `json:"set"`
	WorkerReport
	Checkpoints []Checkpoint       `json:"saves,omitempty"` // those saved lately
	Durations   []DurationEstimate `json:"spans,omitempty"` // those new or changed
}

// Checkpoint refers to what a running attempt has saved, for the next attempt of its
// task to continue from.
type Checkpoint struct {
	Attempt types.AttemptID `json:"leg"`
	Ref     string          `json:"ref"`
}

// DurationEstimate is an estimate of how long an attempt takes from start to end, in
// milliseconds, made from its progress.
type DurationEstimate struct {
	Attempt types.AttemptID `json:"leg"`
	MS      int64           `json:"ms"`
}

// Header opens every message of a scheduler: its term, and the agent instance that the
// message is for. Another instance, or one that has seen a higher term, drops it.
type Header struct {
	Term types.Term `json:"term"`
	To   types.ID   `json:"to"`
}

// ReplyHeader opens an agent's reply to a message of a scheduler: the term of the message
// replied to, and the agent that replies. A scheduler of another term, or one that has
// associated another instance, drops it.
type ReplyHeader struct {
	Term     types.Term  `json:"term"`
	Shard    types.Shard `json:"shard"`
	Instance types.ID    `json:"id"`
}

// HeartbeatReply replies to a Heartbeat.
type HeartbeatReply struct {
	Header
	HeartbeatSentAt types.MonoTime `json:"stamp"` // SentAt of the heartbeat replied to
	// LeaseUntil is the end of the agent's lease on the agent's own clock; 0 grants none.
	LeaseUntil types.MonoTime `json:"until"`
	// Associated is set once the scheduler knows what runs on the worker, that is, once
	// it is no longer NEW there.
	Associated bool        `json:"known"`
	WorkerSet  WorkerSetID `json:"set"` // the scheduler's latest
	// IntervalMS is how long the agent waits with its next heartbeat, in milliseconds; 0 is
	// the interval of its settings.
	IntervalMS int64 `json:"every_ms,omitempty"`
}

// RunningTasksQuery is getRunningTasks, scheduler to agent.
type RunningTasksQuery struct{ Header }

// RunningTask is an attempt that runs, and the resources that it takes.
type RunningTask struct {
	Attempt   types.AttemptID `json:"leg"`
	Resources types.Resources `json:"room"`
}

// RunningTasksReply replies to RunningTasksQuery with all attempts that run or whose end
// is not yet committed.
type RunningTasksReply struct {
	ReplyHeader
	Tasks []RunningTask `json:"runs"`
	// Complete lists come from the worker itself: what they do not hold never ran or
	// has ended. Others are what an agent knows that has not reached its worker.
	Complete bool `json:"whole"`
}

// AttemptSpec is what an attempt is to do, and what it needs.
type AttemptSpec struct {
	Attempt     types.AttemptID   `json:"leg"`
	Kind        types.ServiceKind `json:"kind"`
	Rack        types.Rack        `json:"rack,omitempty"` // empty: any
	Resources   types.Resources   `json:"room"`
	TimeLimitMS int               `json:"limit_ms"` // 0: none
	Labels      []string          `json:"labels,omitempty"`
	Checkpoint  string            `json:"ref,omitempty"`  // to continue from
	Input       json.RawMessage   `json:"work,omitempty"` // the task's input
}

// RunTask is runTask, scheduler to agent. It is sent once for each attempt.
type RunTask struct {
	Header
	// Sequence is the scheduler's notifyIfTasksNotRunning sequence number for the
	// agent. One below the agent's own was sent before the latest query, and is
	// rejected.
	Sequence types.Seq `json:"seq"`
	// StartBefore is the end of the order's lease on the agent's own clock.
	StartBefore types.MonoTime `json:"until"`
	Spec        AttemptSpec    `json:"job"`
}

// RunTaskReply replies to RunTask. An empty Rejection accepts the attempt; otherwise it is
// the reason, and the attempt will never run.
type RunTaskReply struct {
	ReplyHeader
	Attempt   types.AttemptID `json:"leg"`
	Rejection string          `json:"why,omitempty"`
}

// NotRunningQuery is notifyIfTasksNotRunning, scheduler to agent: the agent
// answers with a StatusReport for those attempts that do not run, and from then on
// rejects a RunTask with a lower sequence number.
type NotRunningQuery struct {
	Header
	Sequence types.Seq         `json:"seq"`
	Attempts []types.AttemptID `json:"legs"`
}

// NotRunningReply replies to NotRunningQuery; the StatusReport for
// what does not run is sent apart from it.
type NotRunningReply struct {
	ReplyHeader
	Sequence types.Seq `json:"seq"`
}

// StatusReport is updateStatus, agent to scheduler, of both kinds: "task ended" and
// "was not running" (state.OutcomeNeverRan). The agent retries until StatusAck.
type StatusReport struct {
	Shard    types.Shard        `json:"shard"`
	Instance types.ID           `json:"id"`
	Ends     []state.AttemptEnd `json:"ends"`
	// Complete is set by an agent that reports all its ends that are not acknowledged.
	Complete bool `json:"complete,omitempty"`
}

// StatusAck replies to StatusReport once ends are committed to the log, with their
// outcomes in the log.
type StatusAck struct {
	Header
	Ends []state.AttemptEnd `json:"ends"`
}

// KillTask is killTask, scheduler to agent, for several attempts.
type KillTask struct {
	Header
	Attempts []types.AttemptID `json:"legs"`
	// OverTimeLimit are those of Attempts that have run for longer than their queue
	// allows: however they end, unless well, they have failed.
	OverTimeLimit []types.AttemptID `json:"late,omitempty"`
}

// ReplaceInstance is requestSuicide, scheduler to agent: the instance stops all attempts
// and restarts as another instance.
type ReplaceInstance struct{ Header }
