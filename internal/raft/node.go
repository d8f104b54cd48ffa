// The node itself: its state, how it starts from its disk records, what it does as time
// passes, and what a step collects to send and to write. A message that rests on
// something written waits until the shell reports that the write is synced.
package raft

import (
	"encoding/json"
	"math/rand"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type role string

const (
	roleEmpty     role = "empty"
	roleLearner   role = "learner"
	roleFollower  role = "follower"
	roleCandidate role = "candidate"
	roleLeader    role = "leader"
	roleRemoved   role = "out"
)

type pendingSend struct {
	afterBatch uint64
	term       types.Term
	send       wire.OutboundMessage
}

type progress struct {
	next, match   types.Index
	ackedRound    types.MonoTime
	lastHeardAt   types.MonoTime
	wallOffset    types.WallTime
	lastSentAt    types.MonoTime
	snapshotParts int // of the snapshot that it has
	window        sendWindow
	loopLag       time.Duration // of the event loop of its daemon
	stopping      bool
}

// Node is one member. It is owned by one goroutine and does no I/O.
type Node struct {
	timeouts  Timeouts
	rand      *rand.Rand
	self      Member
	bootstrap BootstrapOptions

	clusterName      string
	hardState        HardState
	role             role
	reason           string
	snapshot         Snapshot
	incomingSnapshot Snapshot // a leader's, not whole yet
	logBytes         int      // bytes of entries since the snapshot
	log              []Entry
	config           Configuration
	configIndex      types.Index
	commitIndex      types.Index
	syncedIndex      types.Index

	writtenBatch, syncedBatch uint64
	hardStateBatch            uint64
	unsynced                  []struct {
		seq uint64
		at  types.Index
	}
	pendingSends   []pendingSend
	diskAnsweredAt types.MonoTime

	now                 types.Now
	clock               types.ClusterTime
	clockSetAt          types.MonoTime
	clockTerm           types.Term // whose clock it follows
	startedAt           types.MonoTime
	leaderHeardAt       types.MonoTime
	electionDeadline    types.MonoTime
	leaderID            types.ID
	leaderAddr          types.Addr
	votes               map[types.ID]bool
	lastLedAt           types.MonoTime // when this member led last
	priorLeaderHeardAt  types.MonoTime // until when an earlier leader can have had authority
	preVote             bool
	progress            map[types.ID]*progress
	termStartIndex      types.Index
	allVotersHeardSince types.MonoTime // when a voter was last silent, to this leader
	lastRoundAt         types.MonoTime
	transferTarget      types.ID
	transferDeadline    types.MonoTime
	loopLag             time.Duration // of the event loop of this daemon
	// Leaders in a row, up to this one, that transferred leadership since they were
	// overloaded; and what a target is told of that.
	overloadTransfers, announcedTransfers int
	stopping                              bool // this member is about to stop and takes no duty
	acceptedCluster                       *InitialCluster
	acceptedAt                            types.MonoTime
	acceptances                           map[types.ID]bool
	discoveredPeers                       []DiscoveredPeer
	nonControllers                        []types.Addr // daemons that are no controllers
	lastJoinRequestAt                     types.MonoTime

	sends         []wire.OutboundMessage
	records       []Record
	replacesFile  bool
	appendInstead []Record // of a compaction: what would be appended without it; nil if the file must be replaced
	stateLoading  bool     // the state is still being read back
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
		rand:          options.Random,
		self:          options.Self,
		bootstrap:     options.Bootstrap,
		role:          roleEmpty,
		now:           now,
		startedAt:     now.Mono,
		clockSetAt:    now.Mono,
		leaderHeardAt: now.Mono,
		lastLedAt:     never,
		progress:      map[types.ID]*progress{},
		acceptances:   map[types.ID]bool{},
	}
	n.self.ID = ""
	for _, b := range records {
		var r Record
		if len(n.snapshot.Parts) < n.snapshot.PartCount {
			n.snapshot.Parts = append(n.snapshot.Parts, b)
		} else if json.Unmarshal(b, &r) == nil {
			n.restoreRecord(r)
		}
	}
	if n.self.ID == "" {
		n.newIdentity(options.NewID)
	}
	n.syncedIndex, n.acceptedAt = n.lastIndex(), now.Mono
	if last := len(n.log) - 1; last >= 0 && n.log[last].Term > n.hardState.Term {
		n.hardState = HardState{Term: n.log[last].Term}
	}
	n.assignRole()
	n.resetElectionTimer()
	return n
}

func (n *Node) newIdentity(id types.ID) {
	n.self.ID, n.acceptedCluster, n.acceptances = id, nil, map[types.ID]bool{}
	n.self.Provisional = !n.bootstrap.FirstStart
	n.writeRecord(Record{Identity: &Identity{id, n.bootstrap.FirstStart}})
}

func (n *Node) restoreRecord(record Record) {
	if record.Identity != nil {
		n.self.ID, n.self.Provisional, n.acceptedCluster = record.Identity.ID, !record.Identity.FirstStart, nil
		n.bootstrap.FirstStart = record.Identity.FirstStart
	}
	if record.AcceptedCluster != nil {
		n.acceptedCluster = record.AcceptedCluster
	}
	if record.Cluster != nil {
		n.clusterName, n.config, n.snapshot.Config, n.acceptedCluster = record.Cluster.ClusterName, record.Cluster.Config, record.Cluster.Config, nil
	}
	if record.HardState != nil {
		n.hardState = *record.HardState
	}
	if record.Snapshot != nil {
		n.snapshot, n.log, n.commitIndex = *record.Snapshot, nil, record.Snapshot.Index
	}
	if len(record.Entries) > 0 {
		n.truncateAndAppend(record.Entries)
	}
	n.recomputeConfiguration()
}

// truncateAndAppend overwrites the log from the first of the entries on.
func (n *Node) truncateAndAppend(entries []Entry) {
	i := entries[0].Index
	if i <= n.snapshot.Index {
		return
	}
	n.log = append(n.log[:i-n.snapshot.Index-1], entries...)
	if i <= n.configIndex {
		n.recomputeConfiguration()
		return
	}
	n.applyConfigurations(entries)
}

func (n *Node) recomputeConfiguration() {
	n.config, n.configIndex = n.snapshot.Config, n.snapshot.Index
	n.applyConfigurations(n.log)
}

func (n *Node) applyConfigurations(entries []Entry) {
	for _, e := range entries {
		if e.Config != nil {
			n.config, n.configIndex = e.Config, e.Index
		}
	}
}

// assignRole gives the role that follows from the configuration for a node that does
// not lead.
func (n *Node) assignRole() {
	if n.role == roleRemoved {
		return
	}
	m, ok := n.config.Find(n.self.ID)
	switch {
	case n.clusterName == "":
		n.role = roleEmpty
	case ok && m.Voter:
		n.role = roleFollower
	default:
		n.role = roleLearner
	}
}

func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now.Mono.Add(n.timeouts.MinElectionTimeout + n.randomUpTo(n.timeouts.MinElectionTimeout))
}

func (n *Node) lastIndex() types.Index { return n.snapshot.Index + types.Index(len(n.log)) }

func (n *Node) termAt(i types.Index) (types.Term, bool) {
	switch {
	case i == n.snapshot.Index:
		return n.snapshot.Term, true
	case i < n.snapshot.Index || i > n.lastIndex():
		return 0, false
	}
	return n.log[i-n.snapshot.Index-1].Term, true
}

func (n *Node) writeRecord(record Record) {
	if len(n.records) == 0 {
		n.writtenBatch++
		if n.writtenBatch == n.syncedBatch+1 {
			n.diskAnsweredAt = n.now.Mono
		}
	}
	n.records = append(n.records, record)
	if n.appendInstead != nil {
		n.appendInstead = append(n.appendInstead, record)
	}
}

func (n *Node) setHardState(state HardState) {
	n.hardState = state
	n.writeRecord(Record{HardState: &state})
	n.hardStateBatch = n.writtenBatch
}

// send sends once the latest vote record is on disk.
func (n *Node) send(to types.Addr, kind wire.Kind, body any) {
	n.sendAfterBatch(n.hardStateBatch, to, kind, body)
}

func (n *Node) sendAfterBatch(batch uint64, to types.Addr, kind wire.Kind, body any) {
	s := wire.NewMessage(n.self.Addr, to, kind, body)
	if batch <= n.syncedBatch {
		n.sends = append(n.sends, s)
		return
	}
	if kind == wire.AppendReply && n.diskStalled() {
		n.dropSuperseded(s)
	}
	n.pendingSends = append(n.pendingSends, pendingSend{batch, n.hardState.Term, s})
}

// Synced reports that all batches up to seq are on disk.
func (n *Node) Synced(now types.Now, seq uint64) {
	n.now, n.syncedBatch, n.diskAnsweredAt = now, max(n.syncedBatch, seq), now.Mono
	for len(n.unsynced) > 0 && n.unsynced[0].seq <= n.syncedBatch {
		n.syncedIndex = max(n.syncedIndex, n.unsynced[0].at)
		n.unsynced = n.unsynced[1:]
	}
	kept := n.pendingSends[:0]
	for _, h := range n.pendingSends {
		if h.afterBatch > n.syncedBatch {
			kept = append(kept, h)
		} else if h.term == n.hardState.Term {
			n.sends = append(n.sends, h.send)
		}
	}
	n.pendingSends = kept
	if n.role == roleLeader {
		n.advanceCommit()
	}
}

// Ready is what the steps since the last Ready ask the daemon to do.
type Ready struct {
	Messages    []wire.OutboundMessage
	Records     [][]byte // one batch, to be written and synced together; nil if there is none
	BatchNumber uint64   // of the batch, to be given to Synced
	ReplaceLog  bool     // the batch replaces the whole file
	// FallbackRecords is what would be appended in place of the compaction in this batch,
	// for a disk without room for a second file; nil where there is no other way.
	FallbackRecords [][]byte
}

// Ready takes what has been collected: messages that may go out now and one batch of records.
func (n *Node) Ready() Ready {
	if n.role == roleLeader {
		n.lastLedAt = n.now.Mono
		n.replicate()
	}
	ready := Ready{
		Messages:    n.sends,
		Records:     encodeRecords(n.records),
		BatchNumber: n.writtenBatch,
		ReplaceLog:  n.replacesFile,
	}
	if n.appendInstead != nil {
		ready.FallbackRecords = append([][]byte{}, encodeRecords(n.appendInstead)...)
	}
	n.sends, n.records, n.replacesFile, n.appendInstead = nil, nil, false, nil
	return ready
}

// encodeRecords writes records as they stand in the file.
func encodeRecords(records []Record) (batch [][]byte) {
	for _, r := range records {
		if r.snapshotPart != nil {
			batch = append(batch, r.snapshotPart)
			continue
		}
		b, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		batch = append(batch, b)
	}
	return batch
}

// Tick lets time pass.
func (n *Node) Tick(now types.Now) {
	n.now = now
	if n.role == roleLeader {
		n.tickLeader()
		return
	}
	if n.role == roleEmpty {
		n.tryBootstrap()
	}
	if n.shouldRequestJoin() {
		n.lastJoinRequestAt = now.Mono
		n.requestJoin()
	}
	if (n.role == roleFollower || n.role == roleCandidate) && now.Mono >= n.electionDeadline && !n.diskStalled() && !n.stateLoading && !n.stopping {
		n.campaign(true, false)
	}
}

// shouldRequestJoin is true when it is time to ask whether this node still is a member, or
// to be let in again. One that is about to stop asks sooner, as the leader no longer
// sends anything to a member that it has removed.
func (n *Node) shouldRequestJoin() bool {
	wait := n.timeouts.ReplaceAfter / 2
	if n.stopping {
		wait = n.timeouts.MinElectionTimeout
	}
	switch {
	case n.role == roleEmpty || n.role == roleRemoved && n.stopping:
		return false
	case n.role != roleRemoved && n.now.Mono.Sub(n.leaderHeardAt) <= wait:
		return false
	}
	return n.now.Mono.Sub(n.lastJoinRequestAt) > min(wait, n.timeouts.StallTimeout)
}
