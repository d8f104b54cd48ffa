package protocol

import (
	"encoding/json"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// WorkerReport is an agent's report on its worker.
type WorkerReport struct {
	Rack  types.Rack          `json:"rack"`
	Kinds []types.ServiceKind `json:"kinds"` // kinds of tasks that it runs
	// Capacity is the worker's total capacity, as the worker reports it.
	Capacity types.Resources `json:"room"`
	// Shortfall is the part of Capacity that the agent considers unavailable because the
	// worker has rejected tasks for lack of capacity.
	Shortfall types.Resources `json:"lacks,omitzero"`
	// Departing is set for a worker that has announced its shutdown; it is assigned no more
	// tasks. An operator's drain has the same effect: see state.Drain.
	Departing bool `json:"leaving"`
	// DepartsInMS is the time until a departing worker shuts down, in milliseconds; 0 means
	// unknown.
	DepartsInMS int64    `json:"leave_in_ms,omitempty"`
	Healthy     bool     `json:"sound"`
	Labels      []string `json:"labels,omitempty"`
	// CalledByAgent is set for a worker that its agent calls; others poll their agent.
	CalledByAgent bool `json:"invoked,omitempty"`
}

// WorkerSetID identifies a worker set by the term of the leader that created it, its
// version within that term, its hash and its size (the paper's WorkerSetID, in "How to
// shorten the initial wait?").
type WorkerSetID struct {
	Term    types.Term `json:"born"`
	Version int        `json:"ver"`
	Hash    uint64     `json:"hash"`
	Size    int        `json:"size"`
}

// Heartbeat is processHeartbeat, agent to scheduler. It associates the agent with the
// scheduler and keeps its worker healthy.
type Heartbeat struct {
	Shard types.Shard `json:"shard"`
	// Instance identifies the agent's instance. A new one is generated at each start and
	// after each MUST_DIE.
	Instance types.ID `json:"id"`
	// PreviousInstance is the agent instance that served the same worker process before, if
	// the worker reported one. The scheduler replaces it by this one at once.
	PreviousInstance types.ID       `json:"past,omitempty"`
	SentAt           types.MonoTime `json:"stamp"`
	// WorkerSet identifies the last worker set that the agent received.
	WorkerSet WorkerSetID `json:"set"`
	WorkerReport
	Checkpoints []Checkpoint       `json:"saves,omitempty"` // recently saved
	Durations   []DurationEstimate `json:"spans,omitempty"` // new or changed
}

// Checkpoint is a reference to the saved state of a running attempt, from which the next
// attempt of its task can resume.
type Checkpoint struct {
	Attempt types.AttemptID `json:"leg"`
	Ref     string          `json:"ref"`
}

// DurationEstimate is an estimate of an attempt's total run time in milliseconds,
// extrapolated from its progress.
type DurationEstimate struct {
	Attempt types.AttemptID `json:"leg"`
	MS      int64           `json:"ms"`
}

// Header is part of every message from a scheduler. It gives the scheduler's term and the
// agent instance that the message is addressed to. Any other instance, and one that has seen
// a higher term, drops the message.
type Header struct {
	Term types.Term `json:"term"`
	To   types.ID   `json:"to"`
}

// ReplyHeader is part of every reply of an agent to a scheduler. It gives the term of the
// message replied to and the replying agent. A scheduler of another term, and one that has
// associated another instance, drops the reply.
type ReplyHeader struct {
	Term     types.Term  `json:"term"`
	Shard    types.Shard `json:"shard"`
	Instance types.ID    `json:"id"`
}

// HeartbeatReply replies to a Heartbeat.
type HeartbeatReply struct {
	Header
	HeartbeatSentAt types.MonoTime `json:"stamp"` // SentAt of the heartbeat replied to
	// LeaseUntil is the end of the agent's lease on the agent's own clock; 0 grants no lease.
	LeaseUntil types.MonoTime `json:"until"`
	// Associated is set once the scheduler has received the worker's running tasks, that is,
	// once it no longer tracks the worker as NEW.
	Associated bool        `json:"known"`
	WorkerSet  WorkerSetID `json:"set"` // the scheduler's latest
	// IntervalMS is the heartbeat interval that the agent must use, in milliseconds; 0 means
	// the interval in its settings.
	IntervalMS int64 `json:"every_ms,omitempty"`
}

// RunningTasksQuery is getRunningTasks, scheduler to agent.
type RunningTasksQuery struct{ Header }

// RunningTask is a running attempt and the resources that it uses.
type RunningTask struct {
	Attempt   types.AttemptID `json:"leg"`
	Resources types.Resources `json:"room"`
}

// RunningTasksReply replies to RunningTasksQuery with all attempts that are running or whose
// end is not yet committed.
type RunningTasksReply struct {
	ReplyHeader
	Tasks []RunningTask `json:"runs"`
	// Complete is set if the list comes from the worker itself: any attempt not in it never
	// ran or has ended. Otherwise the agent has not reached its worker, and the list holds
	// only the agent's own records.
	Complete bool `json:"whole"`
}

// AttemptSpec specifies an attempt: its input and its requirements.
type AttemptSpec struct {
	Attempt     types.AttemptID   `json:"leg"`
	Kind        types.ServiceKind `json:"kind"`
	Rack        types.Rack        `json:"rack,omitempty"` // empty: any
	Resources   types.Resources   `json:"room"`
	TimeLimitMS int               `json:"limit_ms"` // 0: none
	Labels      []string          `json:"labels,omitempty"`
	Checkpoint  string            `json:"ref,omitempty"`  // to resume from
	Input       json.RawMessage   `json:"work,omitempty"` // the task's input
}

// RunTask is runTask, scheduler to agent. It is sent once for each attempt.
type RunTask struct {
	Header
	// Sequence is the scheduler's notifyIfTasksNotRunning sequence number for the agent. The
	// agent rejects a RunTask with a number below its own, because it was sent before the
	// latest query.
	Sequence types.Seq `json:"seq"`
	// StartBefore is the end of the lease under which the attempt may be started, on the
	// agent's own clock.
	StartBefore types.MonoTime `json:"until"`
	Spec        AttemptSpec    `json:"job"`
}

// RunTaskReply replies to RunTask. An empty Rejection means that the attempt is accepted;
// otherwise it gives the reason, and the attempt never runs.
type RunTaskReply struct {
	ReplyHeader
	Attempt   types.AttemptID `json:"leg"`
	Rejection string          `json:"why,omitempty"`
}

// NotRunningQuery is notifyIfTasksNotRunning, scheduler to agent. The agent sends a
// StatusReport for those of the attempts that are not running, and from then on rejects any
// RunTask with a lower sequence number.
type NotRunningQuery struct {
	Header
	Sequence types.Seq         `json:"seq"`
	Attempts []types.AttemptID `json:"legs"`
}

// NotRunningReply replies to NotRunningQuery. The StatusReport for the attempts that are not
// running is a separate message.
type NotRunningReply struct {
	ReplyHeader
	Sequence types.Seq `json:"seq"`
}

// StatusReport is updateStatus, agent to scheduler, in both variants: "task ended" and
// "was not running" (state.OutcomeNeverRan). The agent repeats it until it receives StatusAck.
type StatusReport struct {
	Shard    types.Shard        `json:"shard"`
	Instance types.ID           `json:"id"`
	Ends     []state.AttemptEnd `json:"ends"`
	// Complete is set if Ends holds all of the agent's unacknowledged ends.
	Complete bool `json:"complete,omitempty"`
}

// StatusAck replies to StatusReport once the ends are committed to the log. It gives the
// outcomes recorded in the log.
type StatusAck struct {
	Header
	Ends []state.AttemptEnd `json:"ends"`
}

// KillTask is killTask, scheduler to agent, for several attempts.
type KillTask struct {
	Header
	Attempts []types.AttemptID `json:"legs"`
	// OverTimeLimit lists those of Attempts that have exceeded the time limit of their queue.
	// Unless such an attempt succeeds, its outcome is "failed".
	OverTimeLimit []types.AttemptID `json:"late,omitempty"`
}

// ReplaceInstance is requestSuicide, scheduler to agent. The agent stops all attempts and
// restarts as a new instance.
type ReplaceInstance struct{ Header }
