// What an agent says to a worker that is called rather than calling: a start, a
// stop, or a hold that renews its lease and tells what runs and what has ended.
// A call goes out of a step like a message does, and its reply comes back as an
// event, also when there was none: then it may have been carried out, or may be
// yet. Times are milliseconds of the worker's own clock.
package wire

import (
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// CallKind is what a worker is asked.
type CallKind string

const (
	Start CallKind = "start"
	Halt  CallKind = "stop"
	Hold  CallKind = "hold"
	Probe CallKind = "probe" // its own word on its health
)

// WorkerCall is one request to a worker. Life is the worker process meant; another
// one refuses. Fence is the highest number of a query that the caller knows of:
// a worker that has seen a higher one does nothing. Seen settles all ends up to
// that number for good.
type WorkerCall struct {
	No      uint64
	To      types.Addr
	Life    types.ID
	Kind    CallKind
	Attempt types.Attempt
	Work    json.RawMessage
	Ref     string
	Until   int64
	Fence   uint64
	Seen    uint64
	Wait    time.Duration
	Limit   time.Duration // how long the reply is waited for
}

// Result is how a call ended.
type Result string

const (
	Taken    Result = "taken"
	Fenced   Result = "fenced"    // a later query has been there
	Outdated Result = "outdated"  // that attempt, or a later one, stopped or ended there
	Late     Result = "late"      // its lease had ended
	Full     Result = "no room"   // nothing was done
	Refused  Result = "refused"   // the request itself was bad
	Sick     Result = "sick"      // the worker has done nothing
	Stranger Result = "stranger"  // another worker process is there
	Closed   Result = "closed"    // nobody listens there
	Silent   Result = "no answer" // it may have been done, or may be yet
)

// WorkerReply is what came back of a call. Clock is 0 where none was told.
type WorkerReply struct {
	No     uint64
	Result Result
	Clock  int64
	Runs   []WorkerRun
	Ends   []WorkerEnd
}

// WorkerRun is an attempt that runs, with what it has saved and how far it is.
type WorkerRun struct {
	Attempt types.Attempt
	Ref     string
	Percent float64
}

// How an attempt ended on a worker.
type How string

const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Expired How = "lapsed"
	Broken  How = "broken" // another member of its gang ended
	Lonely  How = "alone"  // the others did not come in time
)

// WorkerEnd is an end; they are numbered from 1 in each life.
type WorkerEnd struct {
	N       uint64
	Attempt types.Attempt
	How     How
	Ref     string
}

// WorkerBeat is what a worker that is called tells of itself.
type WorkerBeat struct {
	Life    types.ID     `json:"life"`
	To      types.Addr   `json:"to"` // where it is called
	Seq     uint64       `json:"seq"`
	Rack    types.Rack   `json:"rack"`
	Labels  []string     `json:"labels"`
	Kinds   []types.Kind `json:"kinds"`
	Room    types.Room   `json:"room"`
	Clock   int64        `json:"clock"`
	Leaving bool         `json:"leaving"`
	LeaveMS int64        `json:"leave_in_ms"`
	Cold    int64        `json:"cold_ms"`
}
