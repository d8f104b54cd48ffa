package raft

import (
	"math/rand"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// role is the role of a member, as operators are shown it.
type role string

const (
	roleEmpty     role = "empty"   // of no cluster yet
	roleLearner   role = "learner" // without a vote, or not in its own configuration
	roleFollower  role = "follower"
	roleCandidate role = "candidate"
	roleLeader    role = "leader"
	roleRemoved   role = "out" // removed from the configuration, and notified of it
)

// Node is one member. It is owned by one goroutine, does no I/O and reads no clock; see the
// package's documentation for how to drive it. It joins its parts, each with a type and a
// file of its own and grouped as in the paper's Figure 2; that is why it has many fields.
type Node struct {
	timeouts  Timeouts
	random    *rand.Rand
	now       types.Now // of the event that is being handled
	startedAt types.MonoTime

	// Persistent state.
	self        Member
	clusterName string
	hardState   HardState
	log         raftLog

	// Volatile state of all members.
	role          role
	roleReason    string // why this member waits or was removed, for operators
	leaderContact leaderContact
	election      election
	clock         clusterClock
	daemon        daemonState

	// Volatile state of a leader.
	leadership leadership
	transfer   leadershipTransfer

	// State of a member without a cluster, or that asks to be added again.
	bootstrap bootstrapState
	discovery discovery

	// Effects of the steps since the last Ready, and the batches that are not synced yet.
	disk   diskState
	outbox outbox
}

// daemonState is what the daemon that runs a member reports of itself.
type daemonState struct {
	loopLag      time.Duration // how far the event loop is behind with control work
	stateLoading bool          // the state machine is still being read back
	stopping     bool          // the process is about to stop
}

// Options are what a member is started with.
type Options struct {
	Timeouts  Timeouts
	Random    *rand.Rand // for election timeouts and new identities
	Self      Member     // address and zone of this member; its ID comes from its records
	Bootstrap BootstrapOptions
	NewID     types.ID // the identity to take if the data folder is empty
}

// New starts a member from the records of its disk, in the order in which they were written.
func New(now types.Now, options Options, records [][]byte) *Node {
	n := &Node{
		timeouts:      options.Timeouts,
		random:        options.Random,
		now:           now,
		startedAt:     now.Mono,
		self:          options.Self,
		role:          roleEmpty,
		leaderContact: leaderContact{heardAt: now.Mono, lastLedAt: types.DistantPast},
		clock:         clusterClock{setAt: now.Mono},
		leadership:    leadership{progress: map[types.ID]*progress{}},
		bootstrap: bootstrapState{
			options:     options.Bootstrap,
			acceptedAt:  now.Mono,
			acceptances: map[types.ID]bool{},
		},
	}
	n.self.ID = ""
	n.restore(records)
	if n.self.ID == "" {
		n.adoptIdentity(options.NewID)
	}
	n.log.syncedIndex = n.log.lastIndex()
	n.adoptLastTerm()
	n.assignRole()
	n.resetElectionTimer()
	return n
}

// adoptLastTerm raises the term to that of the last entry, if the file has no hard state of
// that term: a member's term is never below that of an entry in its log.
func (n *Node) adoptLastTerm() {
	if last := len(n.log.entries) - 1; last >= 0 && n.log.entries[last].Term > n.hardState.Term {
		n.hardState = HardState{Term: n.log.entries[last].Term}
	}
}

// SetTime sets the time of an event that is not for this node, so that its lease is judged
// by that time and not by the time of the event before.
func (n *Node) SetTime(now types.Now) { n.now = now }

// Tick advances time: elections, a leader's check quorum and membership changes, and
// requests to join.
func (n *Node) Tick(now types.Now) {
	n.now = now
	if n.role == roleLeader {
		n.tickLeader()
		return
	}
	if n.role == roleEmpty {
		n.joinOrBootstrap()
	}
	if n.joinRequestDue() {
		n.requestJoin()
	}
	mayCampaign := n.role == roleFollower || n.role == roleCandidate
	if mayCampaign && now.Mono >= n.election.deadline && n.mayLead() {
		n.campaign(campaignPreElection)
	}
}

// mayLead tells whether this member could serve as leader now.
func (n *Node) mayLead() bool {
	return !n.DiskStalled() && !n.daemon.stateLoading && !n.daemon.stopping
}

// assignRole gives the role that follows from the configuration for a node that does not
// lead.
func (n *Node) assignRole() {
	if n.role == roleRemoved {
		return
	}
	m, ok := n.log.config.Find(n.self.ID)
	switch {
	case n.clusterName == "":
		n.role = roleEmpty
	case ok && m.Voter:
		n.role = roleFollower
	default:
		n.role = roleLearner
	}
}

// Ready is what the steps since the last Ready ask the daemon to do.
type Ready struct {
	Messages    []wire.OutboundMessage // to be sent now
	Records     [][]byte               // one batch, to be written and synced together; nil for none
	BatchNumber uint64                 // of the newest batch, to be given to Synced
	ReplaceLog  bool                   // the batch replaces the whole file
	// FallbackRecords is what would be appended in place of the compaction in this batch,
	// for a disk without room for a second file; nil where there is no other way.
	FallbackRecords [][]byte
}

// Ready takes what the steps have collected: messages that may go out now and one batch of
// records. A leader first replicates what is new.
func (n *Node) Ready() Ready {
	if n.role == roleLeader {
		n.leaderContact.lastLedAt = n.now.Mono
		n.replicate()
	}
	records, fallback, replaceFile := n.disk.takeBatch()
	ready := Ready{
		Messages:    n.outbox.takeReady(),
		Records:     encodeRecords(records),
		BatchNumber: n.disk.writtenBatch,
		ReplaceLog:  replaceFile,
	}
	if fallback != nil {
		ready.FallbackRecords = append([][]byte{}, encodeRecords(fallback)...)
	}
	return ready
}
