// What the owner of a node asks between its events.
package raft

import "coppercourse/internal/types"

// Observe takes the time of an event that is not for this node, so that its lease
// is judged by that time and not by the time of the event before.
func (n *Node) Observe(now types.Now) { n.now = now }

// LeaderIsRecent tells whether a leader is known, other than this node, and was
// heard within the time for which it may answer reads.
func (n *Node) LeaderIsRecent() bool {
	return n.role != leader && n.leaderAddr != "" && n.now.Mono.Sub(n.leaderHeardAt) < n.timeouts.ElectionMin
}

// Leader is the address of the current leader as far as this node can know: its own,
// or that of one that it has heard within the longest election timeout.
func (n *Node) Leader() types.Addr {
	if n.role != leader && n.now.Mono.Sub(n.leaderHeardAt) >= 2*n.timeouts.ElectionMin {
		return ""
	}
	return n.leaderAddr
}

// ID is the identity of this member, drawn with its empty data folder.
func (n *Node) ID() types.ID { return n.self.ID }

// Name is the cluster that this member belongs to, or empty.
func (n *Node) Name() string { return n.name }

// Role is the part that this member plays now, as operators are shown it.
func (n *Node) Role() string { return string(n.role) }

// Term is the highest term that this member knows of.
func (n *Node) Term() types.Term { return n.voteRecord.Term }

// IsLeader reports whether this member is the leader of its term; HoldsLease tells
// whether it may answer as such.
func (n *Node) IsLeader() bool { return n.role == leader }

// Reason is why this member waits or is out, for operators.
func (n *Node) Reason() string { return n.reason }

// Config is the configuration in force here: the latest in the log, committed or not.
func (n *Node) Config() Configuration { return n.config }

// ConfigIndex is the entry that brought the configuration in force.
func (n *Node) ConfigIndex() types.Index { return n.configIndex }

// Commit is the last entry that is known to be committed.
func (n *Node) Commit() types.Index { return n.commitIndex }

// Snapshot is what the log begins with.
func (n *Node) Snapshot() Snapshot { return n.snapshot }

// LogBytes is the size of the entries since the snapshot.
func (n *Node) LogBytes() int { return n.logBytes }

// Entry is the entry at an index after the snapshot.
func (n *Node) Entry(i types.Index) Entry { return n.log[i-n.snapshot.Index-1] }
