package raft

import "coppercourse/internal/types"

// ID returns the identity of this member, which was generated with its empty data folder.
func (n *Node) ID() types.ID { return n.self.ID }

// ClusterName returns the name of the cluster that this member belongs to, or an empty string.
func (n *Node) ClusterName() string { return n.clusterName }

// RoleRemoved is the Role of a member that was removed from the configuration and notified of
// that. Other members do not count it among those that may join.
const RoleRemoved = string(roleRemoved)

// Role returns this member's current role, as shown to operators.
func (n *Node) Role() string { return string(n.role) }

// RoleReason returns why this member waits or was removed, as shown to operators, or an empty
// string.
func (n *Node) RoleReason() string { return n.roleReason }

// Term returns the highest term known to this member.
func (n *Node) Term() types.Term { return n.hardState.Term }

// IsLeader reports whether this member is the leader of its term. HoldsReadLease reports whether
// it may serve reads as such.
func (n *Node) IsLeader() bool { return n.role == roleLeader }

// Configuration returns the configuration in force: the latest in the log, committed or not.
func (n *Node) Configuration() Configuration { return n.log.config }

// ConfigIndex returns the index of the entry that holds the configuration in force.
func (n *Node) ConfigIndex() types.Index { return n.log.configIndex }

// CommittedIndex returns the index of the last entry known to be committed.
func (n *Node) CommittedIndex() types.Index { return n.log.commitIndex }

// Snapshot returns the snapshot at the start of the log.
func (n *Node) Snapshot() Snapshot { return n.log.snapshot }

// LogBytes returns an estimate of the size of the entries since the snapshot, which triggers
// compaction.
func (n *Node) LogBytes() int { return n.log.bytes }

// Entry returns the entry at an index, which must be after the snapshot and at most
// CommittedIndex.
func (n *Node) Entry(i types.Index) Entry { return n.log.entry(i) }
