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
	Start CallKind = "start" // start an attempt
	Halt  CallKind = "stop"  // stop an attempt
	Hold  CallKind = "hold"  // renew the lease; reply with what runs and what ended
	Probe CallKind = "probe" // health check
)

// WorkerCall is one request to a worker.
type WorkerCall struct {
	No      uint64     // number of the call, repeated in its reply
	To      types.Addr // where the worker listens
	Life    types.ID   // the worker process meant; another one refuses
	Kind    CallKind
	Attempt types.AttemptID // Start, Halt
	Work    json.RawMessage // Start: the task's input
	Ref     string          // Start: checkpoint to continue from
	Until   int64           // Start, Hold: end of the lease, ms of the worker's clock
	Fence   uint64          // highest query number known; a worker that has seen a higher one does nothing
	Seen    uint64          // Hold: ends up to this number are acknowledged for good
	Wait    time.Duration   // Hold: how long the worker may wait for news before it replies
	Limit   time.Duration   // how long the reply is waited for
}

// Result is how a call ended.
type Result string

// The results of a call. Only Silent leaves open whether it was carried out.
const (
	Taken    Result = "taken"     // carried out
	Fenced   Result = "fenced"    // refused: the worker has seen a higher query number
	Outdated Result = "outdated"  // refused: this attempt, or a later one, has stopped or ended there
	Late     Result = "late"      // refused: its lease had ended
	Full     Result = "no room"   // refused: the worker has no room
	Refused  Result = "refused"   // refused: the request is invalid
	Sick     Result = "sick"      // refused: the worker is unhealthy
	Stranger Result = "stranger"  // refused: another worker process listens there
	Closed   Result = "closed"    // nobody listens there
	Silent   Result = "no answer" // no reply: it may have been carried out, or may be yet
)

// WorkerReply is the outcome of a call. Clock is the worker's clock in
// milliseconds, or 0 if the reply did not hold it. Runs and Ends answer a Hold.
type WorkerReply struct {
	No     uint64
	Result Result
	Clock  int64
	Runs   []WorkerRun
	Ends   []WorkerEnd
}

// WorkerRun is an attempt that runs, with its last checkpoint and its progress.
type WorkerRun struct {
	Attempt types.AttemptID
	Ref     string
	Percent float64
}

// How is the way in which an attempt ended on a worker.
type How string

// The ways in which an attempt ends.
const (
	Done    How = "done"    // successfully
	Failed  How = "failed"  // with an error
	Stopped How = "stopped" // by a Halt
	Expired How = "lapsed"  // with the worker's lease
	Broken  How = "broken"  // because another member of its gang ended
	Lonely  How = "alone"   // because the other members of its gang did not start in time
)

// WorkerEnd is the end of an attempt. N counts the ends of one worker process
// from 1; Ref is the last checkpoint.
type WorkerEnd struct {
	N       uint64
	Attempt types.AttemptID
	How     How
	Ref     string
}

// WorkerBeat is the heartbeat of an invoked worker. Seq rises with each one;
// Clock is the worker's clock in milliseconds; DepartsInMS, with Leaving, is how long
// it will still be there; Cold is how long it is still slow from its start, in ms.
type WorkerBeat struct {
	Life    types.ID            `json:"life"`
	To      types.Addr          `json:"to"` // where it listens for calls
	Seq     uint64              `json:"seq"`
	Rack    types.Rack          `json:"rack"`
	Labels  []string            `json:"labels"`
	Kinds   []types.ServiceKind `json:"kinds"`
	Room    types.Resources     `json:"room"`
	Clock   int64               `json:"clock"`
	Leaving bool                `json:"leaving"`
	LeaveMS int64               `json:"leave_in_ms"`
	Cold    int64               `json:"cold_ms"`
}
