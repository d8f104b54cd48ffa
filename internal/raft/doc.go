// Package raft is the replicated log of the controllers: the Raft algorithm as a state
// machine without I/O and without a clock. "The paper" is Ongaro and Ousterhout, "In Search
// of an Understandable Consensus Algorithm" (extended version, 2014); "the thesis" is
// Ongaro, "Consensus: Bridging Theory and Practice" (2014). Names are theirs where they
// have one; sections are the thesis's, figures the paper's.
//
// Implemented beside the paper's core are pre-vote (section 9.6), check quorum (6.2),
// leadership transfer (3.10), lease-based reads (6.4.1), learners and membership changes by
// one vote at a time (4.1, 4.2.1), and compaction by snapshots in parts (5.1). Beyond both
// go bootstrap by agreement among the founders, replacement of lost voters by provisional
// members, transfer from an overloaded leader, and the cluster's clock.
//
// # Driving a node
//
// A [Node] is one member, owned by one goroutine. Its owner
//
//  1. starts it with [New] from all records on disk, in the order in which they were written;
//  2. gives it events, one at a time: [Node.Step] for each message from another member,
//     [Node.Tick] as time passes (several times in a heartbeat interval), [Node.Propose] and
//     [Node.Compact] from the state machine, [Node.Synced] and [Node.DiskFailed] from the
//     disk, and [Node.SetTime] before any question about an event that was not for the node;
//  3. carries out what [Node.Ready] asks for after each event: it sends Ready.Messages, in
//     any order; it appends Ready.Records to the file as one batch, or writes a new file in
//     place of the old one if Ready.ReplaceLog is set; and it calls Synced with
//     Ready.BatchNumber once the whole batch is on stable storage;
//  4. applies the entries up to [Node.CommittedIndex], in order, each as [Node.Entry].
//
// The node itself holds back each message that rests on records which are not synced yet,
// so the owner need not wait for the disk before it sends or handles further events. Messages
// may be lost, repeated, delayed and reordered. Batches must be written and synced in the
// order of their numbers. After a crash, a batch may have survived in part, from its first
// record up to any other; a file that replaces another must have survived as a whole or not
// at all. On a disk without space for a second file the owner may append
// Ready.FallbackRecords in place of the replacement; the file then keeps the older entries.
//
// # What must hold
//
// The safety properties of the paper's Figure 3 (section 3.6 of the thesis) rest on these
// rules. Each is kept in one place and rests on the section named with it:
//
//   - A term and a vote are on disk before any message that rests on them is released
//     (sections 3.4 and 3.8; setHardState, outbox). So is an accepted initial cluster
//     (acceptBootstrap), to which nothing in the thesis corresponds.
//   - A member votes once in a term, and only for a candidate whose log is at least as up to
//     date as its own (3.4, 3.6.1; grantVote).
//   - Entries follow one that both logs have, and no committed entry is replaced (3.5;
//     onAppendEntries, raftLog).
//   - An entry counts for commitment only where it is synced, also on the leader itself (3.8,
//     10.2.1; raftLog.syncedIndex, acknowledge).
//   - Only entries of the leader's own term are committed by counting (3.6.2; advanceCommit).
//   - A configuration is in force from the moment it is in the log. One is proposed only
//     while the one before and an entry of the leader's term are committed, and it differs by
//     at most one vote (4.1, as corrected in 2015; canChangeConfiguration).
//   - A member that has heard a leader within the shortest election timeout, or has just
//     started, helps to elect no other (4.2.3; mayDeposeLeader). The read lease, counted from
//     the sending of a round, rests on that (6.4.1; [Node.HoldsReadLease]).
//   - An identity whose disk was lost is never used again (3.8): a member that starts with an
//     empty disk is another member, and gets a vote only once it has caught up (4.2.1).
//
// # Files
//
// Persistent state: record.go, log.go, snapshot.go. Roles: election.go, leader.go,
// replication.go (leader's side), follower.go, progress.go, send_window.go. Leases and
// transfer: lease.go, transfer.go. Membership: configuration.go, confchange.go,
// membership.go, join.go, bootstrap.go. Effects: storage.go, outbox.go. Beside the
// algorithm: clock.go, status.go.
//
// # Tests
//
// The tests run real nodes on simulated machines (world_test.go, machine_test.go,
// network_test.go): under random faults (random_walk_test.go, adversary_test.go,
// faults_test.go), in every order of events up to a depth (path_search_test.go), and with
// losses at each moment of a replacement (replacement_test.go). Random paths that compact
// (compaction_search_test.go) give each machine a log file of package wal, on a file system
// that loses power between any two operations, and a state machine. Raft's properties are
// checked after each step (checker_test.go). Bugs that are planted on purpose
// (planted_bugs_test.go) show that those checks find what they are for (detection_test.go).
package raft
