// What the owner of a node asks between its events.
package raft

import "coppercourse/internal/types"

// SetTime takes the time of an event that is not for this node, so that its lease
// is judged by that time and not by the time of the event before.
func (n *Node) SetTime(now types.Now) { n.now = now }

// HasRecentLeader tells whether a leader is known, other than this node, and was
// heard within the time for which it may answer reads.
func (n *Node) HasRecentLeader() bool {
	return n.role != roleLeader && n.leaderAddr != "" && n.now.Mono.Sub(n.leaderHeardAt) < n.timeouts.MinElectionTimeout
}

// LeaderAddr is the address of the current leader as far as this node can know: its own,
// or that of one that it has heard within the longest election timeout.
func (n *Node) LeaderAddr() types.Addr {
	if n.role != roleLeader && n.now.Mono.Sub(n.leaderHeardAt) >= 2*n.timeouts.MinElectionTimeout {
		return ""
	}
	return n.leaderAddr
}

// Instance is the identity of this member, drawn with its empty data folder.
func (n *Node) ID() types.ID { return n.self.ID }

// ClusterName is the cluster that this member belongs to, or empty.
func (n *Node) ClusterName() string { return n.clusterName }

// Role is the part that this member plays now, as operators are shown it.
func (n *Node) Role() string { return string(n.role) }

// Term is the highest term that this member knows of.
func (n *Node) Term() types.Term { return n.hardState.Term }

// IsLeader reports whether this member is the leader of its term; HoldsReadLease tells
// whether it may answer as such.
func (n *Node) IsLeader() bool { return n.role == roleLeader }

// RoleReason is why this member waits or is out, for operators.
func (n *Node) RoleReason() string { return n.reason }

// Configuration is the configuration in force here: the latest in the log, committed or not.
func (n *Node) Configuration() Configuration { return n.config }

// ConfigIndex is the entry that brought the configuration in force.
func (n *Node) ConfigIndex() types.Index { return n.configIndex }

// CommittedIndex is the last entry that is known to be committed.
func (n *Node) CommittedIndex() types.Index { return n.commitIndex }

// Snapshot is what the log begins with.
func (n *Node) Snapshot() Snapshot { return n.snapshot }

// LogBytes is the size of the entries since the snapshot.
func (n *Node) LogBytes() int { return n.logBytes }

// Entry is the entry at an index after the snapshot.
func (n *Node) Entry(i types.Index) Entry { return n.log[i-n.snapshot.Index-1] }
