package wire

// Calls from an agent to an invoked worker, that is, one that is called rather
// than one that polls. A call is an effect of a step, as a message is, and its
// result comes back as an event, also when there was no reply: then the call may
// have been carried out, or may be yet. Clock readings and lease ends are
// milliseconds of the worker's own clock.

import (
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// CallKind is the kind of a call to a worker.
type CallKind string

// The kinds of call.
const (
	StartAttempt CallKind = "start" // start an attempt
	StopAttempt  CallKind = "stop"  // stop an attempt
	RenewLease   CallKind = "hold"  // renew the lease; reply with what runs and what ended
	CheckHealth  CallKind = "probe" // health check
)

// WorkerCall is one request to a worker.
type WorkerCall struct {
	Number       uint64     // number of the call, repeated in its reply
	Addr         types.Addr // where the worker listens
	Incarnation  types.ID   // the worker process meant; another one refuses
	Kind         CallKind
	Attempt      types.AttemptID // Start, Halt
	Input        json.RawMessage // Start: the task's input
	Checkpoint   string          // Start: checkpoint to continue from
	LeaseEndMS   int64           // Start, Hold: end of the lease, ms of the worker's clock
	FencingToken uint64          // highest query number known; a worker that has seen a higher one does nothing
	AckedEnds    uint64          // Hold: ends up to this number are acknowledged for good
	LongPollWait time.Duration   // Hold: how long the worker may wait for news before it replies
	Timeout      time.Duration   // how long the reply is waited for
}

// CallResult is how a call ended.
type CallResult string

// The results of a call. Only Silent leaves open whether it was carried out.
const (
	ResultAccepted         CallResult = "taken"     // carried out
	ResultFenced           CallResult = "fenced"    // refused: the worker has seen a higher query number
	ResultSuperseded       CallResult = "outdated"  // refused: this attempt, or a later one, has stopped or ended there
	ResultLeaseExpired     CallResult = "late"      // refused: its lease had ended
	ResultNoCapacity       CallResult = "no room"   // refused: the worker has no room
	ResultInvalid          CallResult = "refused"   // refused: the request is invalid
	ResultUnhealthy        CallResult = "sick"      // refused: the worker is unhealthy
	ResultOtherIncarnation CallResult = "stranger"  // refused: another worker process listens there
	ResultNotListening     CallResult = "closed"    // nobody listens there
	ResultNoReply          CallResult = "no answer" // no reply: it may have been carried out, or may be yet
)

// WorkerReply is the outcome of a call. Clock is the worker's clock in
// milliseconds, or 0 if the reply did not hold it. Runs and Ends answer a Hold.
type WorkerReply struct {
	Number  uint64
	Result  CallResult
	ClockMS int64
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// RunningAttempt is an attempt that runs, with its last checkpoint and its progress.
type RunningAttempt struct {
	Attempt    types.AttemptID
	Checkpoint string
	Percent    float64
}

// EndReason is the way in which an attempt ended on a worker.
type EndReason string

// The ways in which an attempt ends.
const (
	EndSucceeded        EndReason = "done"    // successfully
	EndFailed           EndReason = "failed"  // with an error
	EndStopped          EndReason = "stopped" // by a Halt
	EndLeaseExpired     EndReason = "lapsed"  // with the worker's lease
	EndGangMemberEnded  EndReason = "broken"  // because another member of its gang ended
	EndGangStartTimeout EndReason = "alone"   // because the other members of its gang did not start in time
)

// EndedAttempt is the end of an attempt. N counts the ends of one worker process
// from 1; Ref is the last checkpoint.
type EndedAttempt struct {
	Number     uint64
	Attempt    types.AttemptID
	Reason     EndReason
	Checkpoint string
}

// WorkerHeartbeat is the heartbeat of an invoked worker. Seq rises with each one;
// Clock is the worker's clock in milliseconds; DepartsInMS, with Leaving, is how long
// it will still be there; Cold is how long it is still slow from its start, in ms.
type WorkerHeartbeat struct {
	Incarnation types.ID            `json:"life"`
	Addr        types.Addr          `json:"to"` // where it listens for calls
	Seq         uint64              `json:"seq"`
	Rack        types.Rack          `json:"rack"`
	Labels      []string            `json:"labels"`
	Kinds       []types.ServiceKind `json:"kinds"`
	Capacity    types.Resources     `json:"room"`
	ClockMS     int64               `json:"clock"`
	Draining    bool                `json:"leaving"`
	DepartsInMS int64               `json:"leave_in_ms"`
	WarmUpMS    int64               `json:"cold_ms"`
}
