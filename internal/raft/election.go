// Elections: a pre-vote that disturbs nobody, then a vote that is on disk before it
// is sent. A member that hears a live leader, or that has only just started, grants
// no vote, which is what makes the leader's read lease sound; a transfer target that
// the leader itself named is exempt from that.
package raft

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func (n *Node) campaign(pre, named bool) {
	n.resetElectionTimer()
	n.role, n.preVoting, n.votes = candidate, pre, map[types.ID]bool{n.self.ID: true}
	n.leaderID, n.leaderAddr = "", ""
	n.overloadTransfers = 0
	if named {
		n.overloadTransfers = n.announcedTransfers
	}
	next := n.voteRecord.Term + 1
	n.priorAuthority = max(n.leaderHeardAt, n.lastLedAt)
	if !pre {
		n.persistVote(VoteRecord{Term: next, VotedFor: n.self.ID})
	}
	t, _ := n.termAt(n.lastIndex())
	for _, m := range n.config {
		if m.Voter && m.ID != n.self.ID {
			n.send(m.Addr, wire.Ballot, requestVote{n.name, n.self.ID, m.ID, next, n.lastIndex(), t, pre, named})
		}
	}
}

func (n *Node) onRequestVote(from types.Addr, b requestVote) {
	if b.Name != n.name || b.To != n.self.ID || n.name == "" {
		return
	}
	if n.role == leader {
		if _, ok := n.config.Find(b.ID); !ok && n.HoldsLease() && n.mayChangeConfig() {
			n.send(from, wire.Gone, removedNotice{n.name, b.ID, n.commitIndex})
			return
		}
	}
	calm := n.now.Mono.Sub(n.leaderHeardAt) >= n.timeouts.ElectionMin && n.now.Mono.Sub(n.startedAt) >= n.timeouts.ElectionMin && n.role != leader
	t, _ := n.termAt(n.lastIndex())
	newer := b.LastTerm > t || b.LastTerm == t && b.LastIndex >= n.lastIndex()
	if b.PreVote {
		yes := calm && newer && b.Term > n.voteRecord.Term
		n.send(from, wire.Vote, voteReply{Name: n.name, ID: n.self.ID, Term: b.Term, PreVote: true, Granted: yes})
		if !yes && b.Term <= n.voteRecord.Term {
			n.send(from, wire.Vote, voteReply{Name: n.name, ID: n.self.ID, Term: n.voteRecord.Term})
		}
		return
	}
	if !calm && !b.Transfer {
		return
	}
	if b.Term > n.voteRecord.Term {
		n.becomeFollower(b.Term)
	}
	yes := b.Term == n.voteRecord.Term && newer && (n.voteRecord.VotedFor == "" || n.voteRecord.VotedFor == b.ID) && n.role != leader
	if yes && n.voteRecord.VotedFor == "" {
		n.persistVote(VoteRecord{Term: b.Term, VotedFor: b.ID})
		n.resetElectionTimer()
	}
	n.send(from, wire.Vote, voteReply{Name: n.name, ID: n.self.ID, Term: n.voteRecord.Term, Granted: yes, SilentMS: n.now.Mono.Sub(max(n.leaderHeardAt, n.lastLedAt)).Milliseconds()})
}

func (n *Node) onVoteReply(_ types.Addr, v voteReply) {
	if v.Name != n.name {
		return
	}
	if !v.PreVote && v.Term > n.voteRecord.Term {
		n.becomeFollower(v.Term)
		return
	}
	want := n.voteRecord.Term
	if n.preVoting {
		want++
	}
	if n.role != candidate || v.PreVote != n.preVoting || v.Term != want || !v.Granted {
		return
	}
	n.votes[v.ID] = true
	n.priorAuthority = max(n.priorAuthority, n.now.Mono.Add(-time.Duration(v.SilentMS)*time.Millisecond))
	granted := 0
	for _, m := range n.config {
		if m.Voter && n.votes[m.ID] {
			granted++
		}
	}
	if granted <= n.config.Voters()/2 {
		return
	}
	if n.preVoting {
		n.campaign(false, false)
		return
	}
	n.becomeLeader()
}

// becomeFollower adopts a higher term and gives up any role held in the earlier one.
func (n *Node) becomeFollower(t types.Term) {
	n.persistVote(VoteRecord{Term: t})
	n.leaderID, n.leaderAddr = "", ""
	n.assignRole()
	n.resetElectionTimer()
}

func (n *Node) becomeLeader() {
	n.role, n.leaderID, n.leaderAddr = leader, n.self.ID, n.self.Addr
	n.transferTarget, n.lastRoundAt, n.votersHeardSince = "", 0, n.now.Mono
	n.progress = map[types.ID]*progress{}
	for _, m := range n.config {
		n.progressOf(m.ID)
	}
	n.appendEntry(Entry{Config: n.config})
	n.termStart = n.lastIndex()
}

func (n *Node) progressOf(id types.ID) *progress {
	t, ok := n.progress[id]
	if !ok {
		t = &progress{next: n.lastIndex() + 1, heardAt: n.now.Mono, round: never}
		n.progress[id] = t
	}
	return t
}

// quorumRound is the start of the newest round that a quorum has answered, on this
// leader's own clock.
func (n *Node) quorumRound() types.MonoTime {
	return quorumValue(n, func(m Member) types.MonoTime {
		if m.ID == n.self.ID {
			return n.now.Mono
		}
		return n.progressOf(m.ID).round
	})
}

// PriorAuthority is when an earlier leader can last have held a lease: a quorum's last
// answer to it came from a member that voted for this one.
func (n *Node) PriorAuthority() types.MonoTime { return n.priorAuthority }

// HoldsLease reports whether this node may answer reads as the leader: a quorum
// confirmed it within the shortest election timeout, and an entry of its term is
// committed.
func (n *Node) HoldsLease() bool {
	return n.role == leader && n.transferTarget == "" && n.commitIndex >= n.termStart &&
		n.now.Mono.Sub(n.quorumRound()) < n.timeouts.ElectionMin*9/10
}

// AuthorityLeft is how much longer this leader may let others act on its behalf.
func (n *Node) AuthorityLeft() time.Duration {
	if n.role != leader {
		return 0
	}
	return max(0, n.quorumRound().Add(n.timeouts.Authority).Sub(n.now.Mono))
}

// PrepareStop makes this node take no leadership from now on and transfer what it holds.
func (n *Node) PrepareStop(now types.Now) {
	n.stopping = true
	n.TransferLeadership(now)
}

// TransferLeadership picks a target: the reachable voter with the longest log.
func (n *Node) TransferLeadership(now types.Now) bool {
	n.announcedTransfers = 0
	return n.transferTo(now, func(*progress) bool { return true })
}

// transferTo picks the eligible reachable voter with the longest log.
func (n *Node) transferTo(now types.Now, eligible func(*progress) bool) bool {
	n.now = now
	if n.role != leader || n.transferTarget != "" {
		return false
	}
	var best *progress
	for _, m := range n.config {
		t := n.progressOf(m.ID)
		if m.Voter && m.ID != n.self.ID && now.Mono.Sub(t.heardAt) < n.timeouts.ElectionMin && eligible(t) && (best == nil || t.match > best.match) {
			best, n.transferTarget = t, m.ID
		}
	}
	n.transferDeadline = now.Mono.Add(n.timeouts.ElectionMin)
	return n.transferTarget != ""
}

func (n *Node) onTimeoutNow(_ types.Addr, h timeoutNow) {
	if h.Name == n.name && h.To == n.self.ID && h.Term == n.voteRecord.Term && n.role == follower && !n.diskStalled() && !n.loading && !n.stopping {
		n.announcedTransfers = h.OverloadTransfers
		n.campaign(false, true)
	}
}

// MayStop reports whether a node that prepares to stop has nothing left to do for the
// cluster.
// While a provisional member of its zone is there, a voter that stops waits until that
// one has replaced it.
func (n *Node) MayStop() bool {
	switch n.role {
	case leader:
		return false
	case follower, candidate:
		return !slices.ContainsFunc(n.config, func(m Member) bool { return m.Provisional && m.Zone == n.self.Zone && m.ID != n.self.ID })
	}
	return true
}
