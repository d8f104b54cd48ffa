package raft

import "coppercourse/internal/types"

// ID is the identity of this member, drawn with its empty data folder.
func (n *Node) ID() types.ID { return n.self.ID }

// ClusterName is the cluster that this member belongs to, or empty.
func (n *Node) ClusterName() string { return n.clusterName }

// RoleRemoved is the Role of a member that was removed from the configuration and notified
// of it. Other members don't count it among those that may join.
const RoleRemoved = string(roleRemoved)

// Role is this member's role now, as operators are shown it.
func (n *Node) Role() string { return string(n.role) }

// RoleReason is why this member waits or was removed, for operators; empty otherwise.
func (n *Node) RoleReason() string { return n.roleReason }

// Term is the highest term that this member knows of.
func (n *Node) Term() types.Term { return n.hardState.Term }

// IsLeader reports whether this member is the leader of its term; HoldsReadLease tells
// whether it may answer as such.
func (n *Node) IsLeader() bool { return n.role == roleLeader }

// Configuration is the configuration in force here: the latest in the log, committed or not.
func (n *Node) Configuration() Configuration { return n.log.config }

// ConfigIndex is the index of the entry that holds the configuration in force.
func (n *Node) ConfigIndex() types.Index { return n.log.configIndex }

// CommittedIndex is the last entry that is known to be committed.
func (n *Node) CommittedIndex() types.Index { return n.log.commitIndex }

// Snapshot is what the log begins with.
func (n *Node) Snapshot() Snapshot { return n.log.snapshot }

// LogBytes estimates the size of the entries since the snapshot, for the decision to
// compact.
func (n *Node) LogBytes() int { return n.log.bytes }

// Entry is the entry at an index after the snapshot, up to CommittedIndex.
func (n *Node) Entry(i types.Index) Entry { return n.log.entry(i) }
