package protocol

import "time"

// Timeouts are the timeouts of the scheduler and the executors, which must be equal
// throughout a cluster. UnhealthyAfter is less than LostAfter, and an agent's lease plus the
// time that its worker takes to stop ends within LostAfter; the settings are validated for
// both.
type Timeouts struct {
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration
	// UnhealthyAfter is the time after the last healthy heartbeat until a worker becomes
	// UNHEALTHY.
	UnhealthyAfter time.Duration
	// LostAfter is the time after the last healthy heartbeat until a worker becomes MUST_DIE.
	LostAfter time.Duration
	// AgentLease is how long an agent may let its worker run tasks, measured from when it
	// sent the heartbeat that the scheduler replied to.
	AgentLease time.Duration
	// WorkerLease is how long a polling worker may run tasks, measured from its poll. It
	// never extends past the agent's lease.
	WorkerLease time.Duration
	// RetryInterval is the time after which a query, a stop or a status report is repeated.
	RetryInterval time.Duration
	// DepartureTime is the minimum time for which a worker keeps running after it
	// deregisters without having announced its departure; 0 means unknown.
	DepartureTime time.Duration
}

// DefaultTimeouts are the timeouts of a cluster whose settings specify none.
var DefaultTimeouts = Timeouts{
	HeartbeatInterval: 300 * time.Millisecond,
	UnhealthyAfter:    time.Second,
	LostAfter:         2500 * time.Millisecond,
	AgentLease:        2 * time.Second,
	WorkerLease:       1500 * time.Millisecond,
	RetryInterval:     300 * time.Millisecond,
}

// WorkerStopTime is how long a polling worker may take to stop its tasks after its lease
// has expired.
const WorkerStopTime = 150 * time.Millisecond
