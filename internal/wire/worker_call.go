package wire

import (
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// CallKind is the kind of a call to a worker.
type CallKind string

// The kinds of call.
const (
	StartAttempt CallKind = "start"
	StopAttempt  CallKind = "stop"
	RenewLease   CallKind = "hold"  // the reply lists the running and ended attempts
	CheckHealth  CallKind = "probe" // read-only
)

// WorkerCall is a call from an agent to an invoked worker, that is, a worker that is called by its
// agent instead of polling it. The call is an effect of a step, and its outcome is a later event.
// Clock readings and lease expiry times, whose names end in MS, are in milliseconds of the worker's
// own clock.
type WorkerCall struct {
	Number       uint64     // repeated in the reply
	Addr         types.Addr // where the worker listens
	Incarnation  types.ID   // the intended worker process; any other process rejects the call
	Kind         CallKind
	Attempt      types.AttemptID // StartAttempt, StopAttempt
	Input        json.RawMessage // StartAttempt: the task's input
	Checkpoint   string          // StartAttempt: the checkpoint to resume from, if any
	LeaseEndMS   int64           // StartAttempt, RenewLease: the expiry of the worker's lease
	FencingToken uint64          // a worker that has seen a higher token rejects the call
	AckedEnds    uint64          // RenewLease: ends up to this number are acknowledged
	LongPollWait time.Duration   // RenewLease: how long the worker may delay its reply until there is a change
	Timeout      time.Duration   // how long the agent waits for the reply
}

// CallResult is the outcome of a call.
type CallResult string

// The outcomes of a call. Only after ResultNoReply it is unknown whether the call was executed.
const (
	ResultAccepted         CallResult = "taken"     // executed
	ResultFenced           CallResult = "fenced"    // rejected: the worker has seen a higher fencing token
	ResultSuperseded       CallResult = "outdated"  // rejected: this attempt or a later one has ended on the worker
	ResultLeaseExpired     CallResult = "late"      // rejected: the lease had expired
	ResultNoCapacity       CallResult = "no room"   // rejected: the worker lacks free capacity
	ResultInvalid          CallResult = "refused"   // rejected: the request is invalid
	ResultUnhealthy        CallResult = "sick"      // rejected: the worker is unhealthy, or the call was not sent
	ResultOtherIncarnation CallResult = "stranger"  // rejected: another worker process listens at the address
	ResultNotListening     CallResult = "closed"    // no process listens at the address
	ResultNoReply          CallResult = "no answer" // the call may have been executed, or may still be executed
)

// WorkerReply is the outcome of a call and the content of the worker's reply.
type WorkerReply struct {
	Number  uint64 // of the call
	Result  CallResult
	ClockMS int64            // the worker's clock; 0 if absent from the reply
	Running []RunningAttempt // reply to RenewLease
	Ended   []EndedAttempt   // reply to RenewLease: the ends that are not yet acknowledged
}

// RunningAttempt is an attempt that runs on a worker.
type RunningAttempt struct {
	Attempt    types.AttemptID
	Checkpoint string  // the latest checkpoint
	Percent    float64 // progress
}

// EndReason is the reason why an attempt ended on a worker.
type EndReason string

// The reasons for the end of an attempt.
const (
	EndSucceeded        EndReason = "done"
	EndFailed           EndReason = "failed"
	EndStopped          EndReason = "stopped" // stopped by a StopAttempt
	EndLeaseExpired     EndReason = "lapsed"  // the worker's lease expired
	EndGangMemberEnded  EndReason = "broken"  // another member of its gang ended
	EndGangStartTimeout EndReason = "alone"   // the rest of its gang did not start in time
)

// EndedAttempt is the end of an attempt on a worker.
type EndedAttempt struct {
	Number     uint64 // sequence number among the ends of one worker process, from 1
	Attempt    types.AttemptID
	Reason     EndReason
	Checkpoint string // the latest checkpoint
}

// WorkerHeartbeat is the heartbeat of an invoked worker.
type WorkerHeartbeat struct {
	Incarnation types.ID            `json:"life"` // of the worker process
	Addr        types.Addr          `json:"to"`   // where it listens for calls
	Seq         uint64              `json:"seq"`  // increases with each heartbeat
	Rack        types.Rack          `json:"rack"`
	Labels      []string            `json:"labels"`
	Kinds       []types.ServiceKind `json:"kinds"` // the supported kinds of task
	Capacity    types.Resources     `json:"room"`
	ClockMS     int64               `json:"clock"`       // the worker's clock
	Draining    bool                `json:"leaving"`     // the worker is about to depart
	DepartsInMS int64               `json:"leave_in_ms"` // if draining, the time until its departure
	WarmUpMS    int64               `json:"cold_ms"`     // remaining warm-up time, during which it is slow
}
