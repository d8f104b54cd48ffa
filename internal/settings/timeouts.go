package settings

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/raft"
)

// Timeouts are the configurable timeouts in milliseconds. They must be equal on all daemons of
// a cluster.
type Timeouts struct {
	HeartbeatMS     int // interval between heartbeats of an agent
	UnhealthyMS     int // time after the last healthy heartbeat until a worker is unhealthy
	LostMS          int // time after the last healthy heartbeat until a worker is declared lost
	LeaseMS         int // how long an agent may run tasks without a reply from the leader
	WorkerLeaseMS   int // how long a worker may run tasks without contact with its agent
	RetryMS         int // retry interval of a query, a stop or a report
	RaftHeartbeatMS int // interval between heartbeats of the leader to its followers
	ElectionMS      int // minimum election timeout
	StallMS         int // time after which a leader without a quorum or a working disk steps down
	ReplaceAfterMS  int // time without contact after which a voter is replaced
	StaleAfterMS    int // how long a confirmation of the queue table is valid
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

// Raft returns the Raft timeouts of the controllers.
func (t Timeouts) Raft() raft.Timeouts {
	return raft.Timeouts{
		HeartbeatInterval:  milliseconds(t.RaftHeartbeatMS),
		MinElectionTimeout: milliseconds(t.ElectionMS),
		StallTimeout:       milliseconds(t.StallMS),
		ReplaceAfter:       milliseconds(t.ReplaceAfterMS),
		AuthorityLease:     milliseconds(t.LeaseMS),
	}
}

// StaleAfter returns how long a gateway may use the queue table without a new confirmation.
func (t Timeouts) StaleAfter() time.Duration { return milliseconds(t.StaleAfterMS) }
