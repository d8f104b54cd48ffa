package raft

import "time"

// Timeouts are the timings of a member. All members of a cluster must have the same;
// package settings checks how they depend on each other.
type Timeouts struct {
	HeartbeatInterval  time.Duration // between rounds of the leader
	MinElectionTimeout time.Duration // shortest election timeout; the longest is twice that
	StallTimeout       time.Duration // a leader whose disk or quorum is silent for longer steps down
	// ReplaceAfter is how long a voter must be silent to be replaced. A new member gets its
	// vote well within twice that.
	ReplaceAfter time.Duration
	// AuthorityLease is how long after the start of a round that a quorum has answered others
	// may act on the leader's behalf.
	AuthorityLease time.Duration
}

// DefaultTimeouts are the timings where the settings give no others.
var DefaultTimeouts = Timeouts{
	HeartbeatInterval:  100 * time.Millisecond,
	MinElectionTimeout: 500 * time.Millisecond,
	StallTimeout:       time.Second,
	ReplaceAfter:       5 * time.Second,
	AuthorityLease:     2 * time.Second,
}

// randomUpTo draws a duration below d.
func (n *Node) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(n.random.Int63n(int64(d)))
}
