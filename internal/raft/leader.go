package raft

import (
	"encoding/json"
	"time"

	"coppercourse/internal/types"
)

// maxLogEntries is how many entries a log may have after its snapshot before the leader
// rejects proposals.
const maxLogEntries = 120_000

// leadership is the volatile state of a leader (Figure 2 of the paper), made anew after
// each election.
type leadership struct {
	progress       map[types.ID]*progress // of each member, itself too
	electedAt      types.MonoTime
	termStartIndex types.Index // the first entry of its term
	lastRoundAt    types.MonoTime
	// allVotersHeardSince is the last time at which some voter was silent.
	allVotersHeardSince types.MonoTime
}

// becomeLeader begins a term as leader with an entry of that term, whose commitment
// commits all entries before it (sections 3.6.2 and 6.4 of the thesis).
func (n *Node) becomeLeader() {
	n.role, n.leaderContact.addr = roleLeader, n.self.Addr
	n.transfer.target = ""
	n.leadership = leadership{
		progress:            map[types.ID]*progress{},
		electedAt:           n.now.Mono,
		allVotersHeardSince: n.now.Mono,
	}
	for _, m := range n.log.config {
		n.progressOf(m.ID)
	}
	n.appendEntry(Entry{Config: n.log.config})
	n.leadership.termStartIndex = n.log.lastIndex()
}

// stepDown gives up leadership within the term. The election timer is longer than usual, so
// that another member stands first.
func (n *Node) stepDown() {
	n.transfer.target, n.leaderContact.addr = "", ""
	n.role = roleFollower
	n.assignRole()
	n.resetElectionTimer()
	n.election.deadline = n.election.deadline.Add(n.timeouts.MinElectionTimeout)
}

// progressOf returns what this leader knows of a member. For a new one, that is nothing but
// that it is not silent yet.
func (n *Node) progressOf(id types.ID) *progress {
	p, ok := n.leadership.progress[id]
	if !ok {
		p = &progress{next: n.log.lastIndex() + 1, lastHeardAt: n.now.Mono, ackedRound: types.DistantPast}
		n.leadership.progress[id] = p
	}
	return p
}

// silentFor is how long a member has not been heard by this leader.
func (n *Node) silentFor(member Member) time.Duration {
	if member.ID == n.self.ID {
		return 0
	}
	return n.now.Mono.Sub(n.progressOf(member.ID).lastHeardAt)
}

// Propose appends data to the log and returns its index; false when this member may not.
// The entry is committed if it is still there, with the same term, once CommittedIndex
// reaches it; another leader may replace it until then.
func (n *Node) Propose(data json.RawMessage) (types.Index, bool) {
	if n.role != roleLeader || n.transfer.inProgress() || len(n.log.entries) > maxLogEntries {
		return 0, false
	}
	return n.appendEntry(Entry{Data: data}), true
}

// appendEntry gives an entry the next index in the leader's term and writes it.
func (n *Node) appendEntry(e Entry) types.Index {
	e.Term, e.Index = n.hardState.Term, n.log.lastIndex()+1
	n.log.bytes += len(e.Data)
	n.storeEntries([]Entry{e})
	return e.Index
}

// storeEntries replaces the log from the first of some entries on, and writes them.
func (n *Node) storeEntries(entries []Entry) {
	n.log.truncateAndAppend(entries)
	n.writeRecord(Record{Entries: entries})
	n.log.awaitSync(n.disk.writtenBatch)
}

// tickLeader does the leader's part of Tick. It steps down when it can't serve: no
// quorum has answered for StallTimeout (check quorum, section 6.2 of the thesis), or its
// own disk stalls and no voter can take over.
func (n *Node) tickLeader() {
	now := n.now.Mono
	switch {
	case n.transfer.inProgress() && now >= n.transfer.deadline:
		n.stepDown()
	case n.quorumTimedOut():
		n.stepDown()
	case n.DiskStalled() && !n.transfer.inProgress() && !n.TransferLeadership(n.now):
		n.stepDown()
	default:
		n.maintainMembership()
	}
}

// quorumTimedOut tells whether no quorum has answered for StallTimeout. A new leader has as
// long for its first answers.
func (n *Node) quorumTimedOut() bool {
	stall := n.timeouts.StallTimeout
	return n.now.Mono.Sub(n.quorumAckedRound()) > stall && n.now.Mono.Sub(n.leadership.electedAt) > stall
}
