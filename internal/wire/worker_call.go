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
	RenewLease   CallKind = "hold"  // the reply lists what runs and what ended
	CheckHealth  CallKind = "probe" // changes nothing
)

// WorkerCall is one call from an agent to an invoked worker: one that is called, rather
// than one that polls. It is an effect of a step, as a message is, and its outcome comes
// back as an event. Times without a unit of their own are durations; clock readings and
// ends of leases are milliseconds of the worker's own clock.
type WorkerCall struct {
	Number       uint64     // repeated in its reply
	Addr         types.Addr // where the worker listens
	Incarnation  types.ID   // the worker process that is meant; another one rejects it
	Kind         CallKind
	Attempt      types.AttemptID // StartAttempt, StopAttempt
	Input        json.RawMessage // StartAttempt: the task's input
	Checkpoint   string          // StartAttempt: the checkpoint to continue from, if any
	LeaseEndMS   int64           // StartAttempt, RenewLease: when the worker's lease ends
	FencingToken uint64          // a worker that has seen a higher one does nothing
	AckedEnds    uint64          // RenewLease: ends up to this number need not be reported again
	LongPollWait time.Duration   // RenewLease: how long the worker may wait for a change before it replies
	Timeout      time.Duration   // how long a reply is waited for
}

// CallResult is the outcome of a call.
type CallResult string

// The outcomes of a call. Only ResultNoReply leaves open whether it was carried out.
const (
	ResultAccepted         CallResult = "taken"     // carried out
	ResultFenced           CallResult = "fenced"    // rejected: the worker has seen a higher fencing token
	ResultSuperseded       CallResult = "outdated"  // rejected: this attempt, or a later one, has ended there
	ResultLeaseExpired     CallResult = "late"      // rejected: the lease had ended
	ResultNoCapacity       CallResult = "no room"   // rejected: the worker has no free capacity
	ResultInvalid          CallResult = "refused"   // rejected: the request is invalid
	ResultUnhealthy        CallResult = "sick"      // rejected: the worker is unhealthy, or was not called
	ResultOtherIncarnation CallResult = "stranger"  // rejected: another worker process listens there
	ResultNotListening     CallResult = "closed"    // nobody listens there
	ResultNoReply          CallResult = "no answer" // it may have been carried out, or may be yet
)

// WorkerReply is the outcome of a call, and what the worker replied.
type WorkerReply struct {
	Number  uint64 // that of the call
	Result  CallResult
	ClockMS int64            // the worker's clock; 0 if the reply did not hold it
	Running []RunningAttempt // to RenewLease
	Ended   []EndedAttempt   // to RenewLease: the ends that are not acknowledged yet
}

// RunningAttempt is an attempt that runs on a worker.
type RunningAttempt struct {
	Attempt    types.AttemptID
	Checkpoint string  // the last one
	Percent    float64 // progress
}

// EndReason is how an attempt ended on a worker.
type EndReason string

// How an attempt ends.
const (
	EndSucceeded        EndReason = "done"
	EndFailed           EndReason = "failed"
	EndStopped          EndReason = "stopped" // by a StopAttempt
	EndLeaseExpired     EndReason = "lapsed"  // with the worker's lease
	EndGangMemberEnded  EndReason = "broken"  // because another member of its gang ended
	EndGangStartTimeout EndReason = "alone"   // because the rest of its gang did not start in time
)

// EndedAttempt is the end of an attempt on a worker.
type EndedAttempt struct {
	Number     uint64 // counts the ends of one worker process, from 1
	Attempt    types.AttemptID
	Reason     EndReason
	Checkpoint string // the last one
}

// WorkerHeartbeat is the heartbeat of an invoked worker.
type WorkerHeartbeat struct {
	Incarnation types.ID            `json:"life"` // of the worker process
	Addr        types.Addr          `json:"to"`   // where it listens for calls
	Seq         uint64              `json:"seq"`  // rises with each heartbeat
	Rack        types.Rack          `json:"rack"`
	Labels      []string            `json:"labels"`
	Kinds       []types.ServiceKind `json:"kinds"` // the kinds of task that it runs
	Capacity    types.Resources     `json:"room"`
	ClockMS     int64               `json:"clock"`       // the worker's clock
	Draining    bool                `json:"leaving"`     // it is about to depart
	DepartsInMS int64               `json:"leave_in_ms"` // if draining, how long it will still be there
	WarmUpMS    int64               `json:"cold_ms"`     // how long it is still slow after its start
}
