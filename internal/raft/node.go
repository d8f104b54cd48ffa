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
	empty     role = "empty"
	learner   role = "learner"
	follower  role = "follower"
	candidate role = "candidate"
	leader    role = "leader"
	removed   role = "out"
)

type heldSend struct {
	seq  uint64
	term types.Term
	send wire.Send
}

type progress struct {
	next, match types.Index
	round       types.MonoTime
	heardAt     types.MonoTime
	wallOffset  types.WallTime
	sentAt      types.MonoTime
	part        int // of the snapshot that it has
	flow        flow
	lag         time.Duration // of the event loop of its daemon
	leaving     bool
}

// Node is one member. It is owned by one goroutine and does no I/O.
type Node struct {
	timeouts  Timeouts
	rand      *rand.Rand
	self      Member
	bootstrap Bootstrap

	name        string
	voteRecord  VoteRecord
	role        role
	reason      string
	snapshot    Snapshot
	incoming    Snapshot // a leader's, not whole yet
	logBytes    int      // bytes of entries since the snapshot
	log         []Entry
	config      Configuration
	configIndex types.Index
	commitIndex types.Index
	syncedIndex types.Index

	writtenBatch, syncedBatch uint64
	voteBatch                 uint64
	unsynced                  []struct {
		seq uint64
		at  types.Index
	}
	held           []heldSend
	diskAnsweredAt types.MonoTime

	now              types.Now
	clock            types.ClusterTime
	clockSetAt       types.MonoTime
	clockTerm        types.Term // whose clock it follows
	startedAt        types.MonoTime
	leaderHeardAt    types.MonoTime
	electionDeadline types.MonoTime
	leaderID         types.ID
	leaderAddr       types.Addr
	votes            map[types.ID]bool
	lastLedAt        types.MonoTime // when this member led last
	priorAuthority   types.MonoTime // until when an earlier leader can have had authority
	preVoting        bool
	progress         map[types.ID]*progress
	termStart        types.Index
	votersHeardSince types.MonoTime // when a voter was last silent, to this leader
	lastRoundAt      types.MonoTime
	transferTarget   types.ID
	transferDeadline types.MonoTime
	lag              time.Duration // of the event loop of this daemon
	// Leaders in a row, up to this one, that transferred leadership since they were
	// overloaded; and what a target is told of that.
	overloadTransfers, announcedTransfers int
	stopping                              bool // this member is about to stop and takes no duty
	promised                              *BootstrapConfig
	promisedAt                            types.MonoTime
	promises                              map[types.ID]bool
	controllers                           []Discovered
	otherDaemons                          []types.Addr // daemons that are no controllers
	lastRequestAt                         types.MonoTime

	sends        []wire.Send
	writes       []Record
	replacesFile bool
	instead      []Record // of a compaction: what would be appended without it; nil if the file must be replaced
	loading      bool     // the state is still being read back
}

// New starts a member from the records of its disk. fresh is the identity to take if
// the folder is empty.
func New(now types.Now, pace Timeouts, rnd *rand.Rand, me Member, o Bootstrap, recs [][]byte, fresh types.ID) *Node {
	n := &Node{timeouts: pace, rand: rnd, self: me, bootstrap: o, role: empty, now: now, startedAt: now.Mono, clockSetAt: now.Mono,
		leaderHeardAt: now.Mono, lastLedAt: never, progress: map[types.ID]*progress{}, promises: map[types.ID]bool{}}
	n.self.ID = ""
	for _, b := range recs {
		var r Record
		if len(n.snapshot.Parts) < n.snapshot.Count {
			n.snapshot.Parts = append(n.snapshot.Parts, b)
		} else if json.Unmarshal(b, &r) == nil {
			n.load(r)
		}
	}
	if n.self.ID == "" {
		n.newIdentity(fresh)
	}
	n.syncedIndex, n.promisedAt = n.lastIndex(), now.Mono
	if last := len(n.log) - 1; last >= 0 && n.log[last].Term > n.voteRecord.Term {
		n.voteRecord = VoteRecord{Term: n.log[last].Term}
	}
	n.assignRole()
	n.resetElectionTimer()
	return n
}

func (n *Node) newIdentity(id types.ID) {
	n.self.ID, n.promised, n.promises = id, nil, map[types.ID]bool{}
	n.self.Provisional = !n.bootstrap.First
	n.write(Record{Identity: &Identity{id, n.bootstrap.First}})
}

func (n *Node) load(r Record) {
	if r.Identity != nil {
		n.self.ID, n.self.Provisional, n.promised = r.Identity.ID, !r.Identity.First, nil
		n.bootstrap.First = r.Identity.First
	}
	if r.Promise != nil {
		n.promised = r.Promise
	}
	if r.Bootstrap != nil {
		n.name, n.config, n.snapshot.Config, n.promised = r.Bootstrap.Name, r.Bootstrap.Config, r.Bootstrap.Config, nil
	}
	if r.Vote != nil {
		n.voteRecord = *r.Vote
	}
	if r.Snapshot != nil {
		n.snapshot, n.log, n.commitIndex = *r.Snapshot, nil, r.Snapshot.Index
	}
	if len(r.Entries) > 0 {
		n.storeEntries(r.Entries)
	}
	n.reloadConfig()
}

// storeEntries overwrites the log from the first of the entries on.
func (n *Node) storeEntries(list []Entry) {
	i := list[0].Index
	if i <= n.snapshot.Index {
		return
	}
	n.log = append(n.log[:i-n.snapshot.Index-1], list...)
	if i <= n.configIndex {
		n.reloadConfig()
		return
	}
	n.applyConfigs(list)
}

func (n *Node) reloadConfig() {
	n.config, n.configIndex = n.snapshot.Config, n.snapshot.Index
	n.applyConfigs(n.log)
}

func (n *Node) applyConfigs(list []Entry) {
	for _, e := range list {
		if e.Config != nil {
			n.config, n.configIndex = e.Config, e.Index
		}
	}
}

// assignRole gives the role that follows from the configuration for a node that does
// not lead.
func (n *Node) assignRole() {
	if n.role == removed {
		return
	}
	m, ok := n.config.Find(n.self.ID)
	switch {
	case n.name == "":
		n.role = empty
	case ok && m.Voter:
		n.role = follower
	default:
		n.role = learner
	}
}

func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now.Mono.Add(n.timeouts.ElectionMin + n.randomUpTo(n.timeouts.ElectionMin))
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

func (n *Node) write(r Record) {
	if len(n.writes) == 0 {
		n.writtenBatch++
		if n.writtenBatch == n.syncedBatch+1 {
			n.diskAnsweredAt = n.now.Mono
		}
	}
	n.writes = append(n.writes, r)
	if n.instead != nil {
		n.instead = append(n.instead, r)
	}
}

func (n *Node) persistVote(v VoteRecord) {
	n.voteRecord = v
	n.write(Record{Vote: &v})
	n.voteBatch = n.writtenBatch
}

// send sends once the latest vote record is on disk.
func (n *Node) send(to types.Addr, kind string, body any) { n.sendAfter(n.voteBatch, to, kind, body) }

func (n *Node) sendAfter(seq uint64, to types.Addr, kind string, body any) {
	s := wire.Make(n.self.Addr, to, kind, body)
	if seq <= n.syncedBatch {
		n.sends = append(n.sends, s)
		return
	}
	if kind == wire.Append2 && n.diskStalled() {
		n.dropHeld(s)
	}
	n.held = append(n.held, heldSend{seq, n.voteRecord.Term, s})
}

// Synced reports that all batches up to seq are on disk.
func (n *Node) Synced(now types.Now, seq uint64) {
	n.now, n.syncedBatch, n.diskAnsweredAt = now, max(n.syncedBatch, seq), now.Mono
	for len(n.unsynced) > 0 && n.unsynced[0].seq <= n.syncedBatch {
		n.syncedIndex = max(n.syncedIndex, n.unsynced[0].at)
		n.unsynced = n.unsynced[1:]
	}
	kept := n.held[:0]
	for _, h := range n.held {
		if h.seq > n.syncedBatch {
			kept = append(kept, h)
		} else if h.term == n.voteRecord.Term {
			n.sends = append(n.sends, h.send)
		}
	}
	n.held = kept
	if n.role == leader {
		n.advanceCommit()
	}
}

// Out returns what the step collected: messages, one batch of records with its number,
// and whether the batch replaces the file.
func (n *Node) Out() (sends []wire.Send, batch [][]byte, seq uint64, whole bool) {
	if n.role == leader {
		n.lastLedAt = n.now.Mono
		n.replicate()
	}
	batch = encode(n.writes)
	sends, seq, whole = n.sends, n.writtenBatch, n.replacesFile
	n.sends, n.writes, n.replacesFile, n.instead = nil, nil, false, nil
	return
}

// encode writes records as they stand in the file.
func encode(list []Record) (batch [][]byte) {
	for _, r := range list {
		if r.part != nil {
			batch = append(batch, r.part)
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
	if n.role == leader {
		n.leaderTick()
		return
	}
	if n.role == empty {
		n.tryBootstrap()
	}
	if n.mustAskForPlace() {
		n.lastRequestAt = now.Mono
		n.requestJoin()
	}
	if (n.role == follower || n.role == candidate) && now.Mono >= n.electionDeadline && !n.diskStalled() && !n.loading && !n.stopping {
		n.campaign(true, false)
	}
}

// mustAskForPlace is true when it is time to ask whether this node still is a member, or
// to be let in again. One that is about to stop asks sooner, as the leader no longer
// sends anything to a member that it has removed.
func (n *Node) mustAskForPlace() bool {
	wait := n.timeouts.ReplaceAfter / 2
	if n.stopping {
		wait = n.timeouts.ElectionMin
	}
	switch {
	case n.role == empty || n.role == removed && n.stopping:
		return false
	case n.role != removed && n.now.Mono.Sub(n.leaderHeardAt) <= wait:
		return false
	}
	return n.now.Mono.Sub(n.lastRequestAt) > min(wait, n.timeouts.Stall)
}
