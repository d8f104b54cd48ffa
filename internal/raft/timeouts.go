package raft

import "time"

// Timeouts are the timing parameters of a member. All members of a cluster must use the same
// values; package settings checks the constraints between them.
type Timeouts struct {
	HeartbeatInterval  time.Duration // between rounds of the leader
	MinElectionTimeout time.Duration // shortest election timeout; the longest is twice that
	StallTimeout       time.Duration // a leader whose disk or quorum is silent for longer steps down
	// ReplaceAfter is how long a voter must be silent before it is replaced. A new member gets its
	// vote well within twice that.
	ReplaceAfter time.Duration
	// AuthorityLease is how long others may act on the leader's behalf, counted from the start of
	// a round that a quorum has acknowledged.
	AuthorityLease time.Duration
}

// DefaultTimeouts are the timeouts used unless the settings override them.
var DefaultTimeouts = Timeouts{
	HeartbeatInterval:  100 * time.Millisecond,
	MinElectionTimeout: 500 * time.Millisecond,
	StallTimeout:       time.Second,
	ReplaceAfter:       5 * time.Second,
	AuthorityLease:     2 * time.Second,
}

// randomUpTo returns a random duration below d.
func (n *Node) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(n.random.Int63n(int64(d)))
}
