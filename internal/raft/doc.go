// Package raft is the replicated log of the controllers: the Raft algorithm as a state
// machine without I/O and without a clock. "The paper" is Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm" (extended version, 2014); "the thesis" is
// Ongaro, "Consensus: Bridging Theory and Practice" (2014). Names follow these where they
// exist. Section numbers refer to the thesis, figures to the paper.
//
// In addition to the paper's core, the package implements pre-vote (section 9.6), check quorum (6.2),
// leadership transfer (3.10), lease-based reads (6.4.1), learners and membership changes by
// one vote at a time (4.1, 4.2.1), and compaction by snapshots in parts (5.1). Not covered by
// the paper or the thesis are bootstrap by agreement among the founders, replacement of lost
// voters by provisional members, transfer from an overloaded leader, and the cluster clock.
//
// # Driving a node
//
// A [Node] is one member, owned by one goroutine. Its owner
//
//  1. starts it with [New] from all records on disk, in the order in which they were written;
//  2. passes events to it, one at a time: [Node.Step] for each message from another member,
//     [Node.Tick] as time passes (several times in a heartbeat interval), [Node.Propose] and
//     [Node.Compact] from the state machine, [Node.Synced] and [Node.DiskFailed] from the
//     disk, and [Node.SetTime] before it queries the node while handling any other event;
//  3. carries out the work that [Node.Ready] returns after each event: it sends Ready.Messages, in
//     any order; it appends Ready.Records to the file as one batch, or writes a new file in
//     place of the old one if Ready.ReplaceLog is set; and it calls Synced with
//     Ready.BatchNumber once the whole batch is on stable storage;
//  4. applies the entries up to [Node.CommittedIndex], in order, each as [Node.Entry].
//
// The node itself holds back each message that depends on records that are not synced yet,
// so the owner need not wait for the disk before it sends messages or handles further
// events. Messages may be lost, repeated, delayed and reordered. Batches must be written and
// synced in the order of their numbers. After a crash, a batch may have survived in part,
// from its first record up to any other; a file that replaces another must have survived as
// a whole or not at all. On a disk without space for a second file the owner may append
// Ready.FallbackRecords in place of the replacement; the file then keeps the older entries.
//
// # Safety rules
//
// The safety properties of the paper's Figure 3 (section 3.6 of the thesis) depend on these
// rules. Each is enforced in one place and justified by the sections cited with it:
//
//   - A term and a vote are on disk before any message that depends on them is released
//     (sections 3.4 and 3.8; setHardState, outbox). The same holds for an accepted initial
//     cluster (acceptBootstrap), which has no counterpart in the thesis.
//   - A member votes at most once in a term, and only for a candidate whose log is at least as
//     up to date as its own (3.4, 3.6.1; grantVote).
//   - Entries are appended only after an entry that both logs contain, and no committed entry
//     is replaced (3.5; onAppendEntries, raftLog).
//   - A replica counts towards commitment only once the entry is synced, including the
//     leader's own (3.8, 10.2.1; raftLog.syncedIndex, acknowledge).
//   - Only entries of the leader's own term are committed by counting replicas (3.6.2;
//     advanceCommit).
//   - A configuration is in force from the moment it is in the log. A new one is proposed only
//     after the previous one and an entry of the leader's term are committed, and it differs
//     by at most one vote (4.1, as corrected in 2015; canChangeConfiguration).
//   - A member that has heard a leader within the shortest election timeout, or has just
//     started, does not help to elect another (4.2.3; mayDeposeLeader). The read lease, which
//     counts from the sending of a round, depends on that (6.4.1; [Node.HoldsReadLease]).
//   - An identity whose disk was lost is never reused (3.8): a member that starts with an
//     empty disk is a new member, and gets a vote only once it has caught up (4.2.1).
//
// # Files
//
// Persistent state: record.go, log.go, snapshot.go. Roles: election.go, leader.go,
// replication.go (leader's side), follower.go, progress.go, send_window.go. Leases and
// transfer: lease.go, transfer.go. Membership: configuration.go, confchange.go,
// membership.go, join.go, bootstrap.go. Effects: storage.go, outbox.go. Outside the
// algorithm: clock.go, status.go.
//
// # Tests
//
// The tests run real nodes on simulated machines (world_test.go, machine_test.go,
// network_test.go): under random faults (random_walk_test.go, adversary_test.go,
// faults_test.go), in every order of events up to a depth (path_search_test.go), and with
// losses at each point of a replacement (replacement_test.go). Random paths that compact
// (compaction_search_test.go) give each machine a log file of package wal, on a file system
// that loses power between any two operations, and a state machine. Raft's properties are
// checked after each step (checker_test.go). Deliberately planted bugs
// (planted_bugs_test.go) show that these checks detect violations (detection_test.go).
package raft
