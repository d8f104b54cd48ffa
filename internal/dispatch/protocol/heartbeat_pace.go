package protocol

import "time"

const (
	// maxHeartbeatsPerSecond is how many heartbeats of all agents the scheduler asks for.
	maxHeartbeatsPerSecond = 1000
	// minHeartbeatsPerLease is how many heartbeats an agent sends in a lease at the least.
	minHeartbeatsPerLease = 8
	// missedHeartbeatsUntilUnhealthy is after how many intervals without a heartbeat a worker is
	// UNHEALTHY at the earliest.
	missedHeartbeatsUntilUnhealthy = 3
)

// HeartbeatPace is how often an agent sends heartbeats, and after what silence its worker is
// UNHEALTHY. The scheduler sets it by the number of workers, so that what heartbeats cost it
// does not grow with them, and tells the agents in its replies. Leases and the time to loss do
// not depend on it.
type HeartbeatPace struct {
	Interval       time.Duration
	UnhealthyAfter time.Duration
}

// DefaultPace is the pace of an agent that no scheduler has told another one.
func (t Timeouts) DefaultPace() HeartbeatPace { return t.paceAt(0) }

// FleetPace is the pace for a number of workers: the default one unless they are many.
func (t Timeouts) FleetPace(workers int) HeartbeatPace {
	return t.paceAt(time.Duration(workers) * time.Second / maxHeartbeatsPerSecond)
}

// RequestedPace is the pace that a reply to a heartbeat asks for.
func (t Timeouts) RequestedPace(reply HeartbeatReply) HeartbeatPace {
	return t.paceAt(time.Duration(reply.IntervalMS) * time.Millisecond)
}

// paceAt is the pace of an interval, or of the nearest that the timeouts permit.
func (t Timeouts) paceAt(interval time.Duration) HeartbeatPace {
	interval = max(t.HeartbeatInterval, min(interval, t.AgentLease/minHeartbeatsPerLease))
	pace := HeartbeatPace{Interval: interval, UnhealthyAfter: t.UnhealthyAfter}
	if interval > t.HeartbeatInterval {
		pace.UnhealthyAfter = max(t.UnhealthyAfter, missedHeartbeatsUntilUnhealthy*interval)
	}
	return pace
}
