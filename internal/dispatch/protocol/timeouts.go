package protocol

import (
	"time"
)

// Timeouts holds the timings of both halves.
type Timeouts struct {
	HeartbeatInterval time.Duration // between heartbeats
	UnhealthyAfter    time.Duration // silence that makes UNHEALTHY
	LostAfter         time.Duration // silence that makes MUST_DIE
	AgentLease        time.Duration // an agent's grant past its own stamp
	WorkerLease       time.Duration // a worker's grant past its own stamp
	RetryInterval     time.Duration // between repeats of queries, stops and reports
	DrainTime         time.Duration // a worker that deregisters without a drain runs on so long; 0: not known
}

// DefaultTimeouts are ours; blueprint checks how they hang together.
var DefaultTimeouts = Timeouts{HeartbeatInterval: 300 * time.Millisecond, UnhealthyAfter: time.Second, LostAfter: 2500 * time.Millisecond,
	AgentLease: 2 * time.Second, WorkerLease: 1500 * time.Millisecond, RetryInterval: 300 * time.Millisecond}

// WorkerStopTime is how long after its grant a worker may take to notice and stop.
const WorkerStopTime = 150 * time.Millisecond
