package settings

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/raft"
)

// Timeouts are the timeouts that an operator may set, in milliseconds. They must be equal
// on all daemons of a cluster.
type Timeouts struct {
	HeartbeatMS     int // between two heartbeats of an agent
	UnhealthyMS     int // after a worker's last healthy heartbeat it is unhealthy
	LostMS          int // after a worker's last healthy heartbeat it is counted lost
	LeaseMS         int // how long an agent may run tasks without a reply of the leader
	WorkerLeaseMS   int // how long a worker may run tasks without its agent
	RetryMS         int // between two tries of a query, a stop or a report
	RaftHeartbeatMS int // between two heartbeats of the leader to its followers
	ElectionMS      int // the shortest election timeout
	StallMS         int // after which a leader without a quorum or a disk steps down
	ReplaceAfterMS  int // after which a silent voter is replaced
	StaleAfterMS    int // how long a confirmation of the queue table lasts
}

// Dispatch returns the timeouts of the dispatch protocol.
func (t Timeouts) Dispatch() protocol.Timeouts {
	return protocol.Timeouts{
		HeartbeatInterval: milliseconds(t.HeartbeatMS),
		UnhealthyAfter:    milliseconds(t.UnhealthyMS),
		LostAfter:         milliseconds(t.LostMS),
		AgentLease:        milliseconds(t.LeaseMS),
		WorkerLease:       milliseconds(t.WorkerLeaseMS),
		RetryInterval:     milliseconds(t.RetryMS),
	}
}

// Raft returns the timeouts of the controllers' consensus.
func (t Timeouts) Raft() raft.Timeouts {
	return raft.Timeouts{
		HeartbeatInterval:  milliseconds(t.RaftHeartbeatMS),
		MinElectionTimeout: milliseconds(t.ElectionMS),
		StallTimeout:       milliseconds(t.StallMS),
		ReplaceAfter:       milliseconds(t.ReplaceAfterMS),
		AuthorityLease:     milliseconds(t.LeaseMS),
	}
}

// StaleAfter returns how long a gateway may decide by the queue table without a new
// confirmation.
func (t Timeouts) StaleAfter() time.Duration { return milliseconds(t.StaleAfterMS) }
