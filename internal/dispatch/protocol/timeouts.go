package protocol

import "time"

// Timeouts are the timeouts of both halves, which must be equal in a cluster. It is
// always UnhealthyAfter < LostAfter, and an agent's lease, with the time that its worker
// takes to stop, ends within LostAfter; the settings are checked for that.
type Timeouts struct {
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration
	// UnhealthyAfter is how long after the last healthy heartbeat a worker is UNHEALTHY.
	UnhealthyAfter time.Duration
	// LostAfter is how long after the last healthy heartbeat a worker is MUST_DIE.
	LostAfter time.Duration
	// AgentLease is how long an agent may let its worker run tasks, counted from when
	// it sent the heartbeat that the scheduler replied to.
	AgentLease time.Duration
	// WorkerLease is how long a polling worker may run tasks, counted from its poll; it
	// ends with the agent's lease at the latest.
	WorkerLease time.Duration
	// RetryInterval is the time after which a query, a stop or a status report is repeated.
	RetryInterval time.Duration
	// DepartureTime is how long a worker surely runs on that deregisters without having
	// announced its departure; 0 is not known.
	DepartureTime time.Duration
}

// DefaultTimeouts are those of a cluster whose settings name none.
var DefaultTimeouts = Timeouts{
	HeartbeatInterval: 300 * time.Millisecond,
	UnhealthyAfter:    time.Second,
	LostAfter:         2500 * time.Millisecond,
	AgentLease:        2 * time.Second,
	WorkerLease:       1500 * time.Millisecond,
	RetryInterval:     300 * time.Millisecond,
}

// WorkerStopTime is how long after the end of its lease a polling worker may take to
// notice and to stop its tasks.
const WorkerStopTime = 150 * time.Millisecond
