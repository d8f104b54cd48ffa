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

func (n *Node) campaign(preVote, byTransfer bool) {
	n.resetElectionTimer()
	n.role, n.preVote, n.votes = roleCandidate, preVote, map[types.ID]bool{n.self.ID: true}
	n.leaderID, n.leaderAddr = "", ""
	n.overloadTransfers = 0
	if byTransfer {
		n.overloadTransfers = n.announcedTransfers
	}
	next := n.hardState.Term + 1
	n.priorLeaderHeardAt = max(n.leaderHeardAt, n.lastLedAt)
	if !preVote {
		n.setHardState(HardState{Term: next, VotedFor: n.self.ID})
	}
	t, _ := n.termAt(n.lastIndex())
	for _, m := range n.config {
		if m.Voter && m.ID != n.self.ID {
			n.send(m.Addr, wire.RequestVote, requestVote{n.clusterName, n.self.ID, m.ID, next, n.lastIndex(), t, preVote, byTransfer})
		}
	}
}

func (n *Node) onRequestVote(from types.Addr, request requestVote) {
	if request.ClusterName != n.clusterName || request.To != n.self.ID || n.clusterName == "" {
		return
	}
	if n.role == roleLeader {
		if _, ok := n.config.Find(request.CandidateID); !ok && n.HoldsReadLease() && n.canChangeConfiguration() {
			n.send(from, wire.Removed, removedNotice{n.clusterName, request.CandidateID, n.commitIndex})
			return
		}
	}
	noLiveLeader := n.now.Mono.Sub(n.leaderHeardAt) >= n.timeouts.MinElectionTimeout && n.now.Mono.Sub(n.startedAt) >= n.timeouts.MinElectionTimeout && n.role != roleLeader
	t, _ := n.termAt(n.lastIndex())
	upToDate := request.LastLogTerm > t || request.LastLogTerm == t && request.LastLogIndex >= n.lastIndex()
	if request.PreVote {
		yes := noLiveLeader && upToDate && request.Term > n.hardState.Term
		n.send(from, wire.VoteReply, voteReply{ClusterName: n.clusterName, VoterID: n.self.ID, Term: request.Term, PreVote: true, Granted: yes})
		if !yes && request.Term <= n.hardState.Term {
			n.send(from, wire.VoteReply, voteReply{ClusterName: n.clusterName, VoterID: n.self.ID, Term: n.hardState.Term})
		}
		return
	}
	if !noLiveLeader && !request.LeadershipTransfer {
		return
	}
	if request.Term > n.hardState.Term {
		n.becomeFollower(request.Term)
	}
	yes := request.Term == n.hardState.Term && upToDate && (n.hardState.VotedFor == "" || n.hardState.VotedFor == request.CandidateID) && n.role != roleLeader
	if yes && n.hardState.VotedFor == "" {
		n.setHardState(HardState{Term: request.Term, VotedFor: request.CandidateID})
		n.resetElectionTimer()
	}
	n.send(from, wire.VoteReply, voteReply{ClusterName: n.clusterName, VoterID: n.self.ID, Term: n.hardState.Term, Granted: yes, SilentMS: n.now.Mono.Sub(max(n.leaderHeardAt, n.lastLedAt)).Milliseconds()})
}

func (n *Node) onVoteReply(_ types.Addr, reply voteReply) {
	if reply.ClusterName != n.clusterName {
		return
	}
	if !reply.PreVote && reply.Term > n.hardState.Term {
		n.becomeFollower(reply.Term)
		return
	}
	want := n.hardState.Term
	if n.preVote {
		want++
	}
	if n.role != roleCandidate || reply.PreVote != n.preVote || reply.Term != want || !reply.Granted {
		return
	}
	n.votes[reply.VoterID] = true
	n.priorLeaderHeardAt = max(n.priorLeaderHeardAt, n.now.Mono.Add(-time.Duration(reply.SilentMS)*time.Millisecond))
	granted := 0
	for _, m := range n.config {
		if m.Voter && n.votes[m.ID] {
			granted++
		}
	}
	if granted <= n.config.Voters()/2 {
		return
	}
	if n.preVote {
		n.campaign(false, false)
		return
	}
	n.becomeLeader()
}

// becomeFollower adopts a higher term and gives up any role held in the earlier one.
func (n *Node) becomeFollower(t types.Term) {
	n.setHardState(HardState{Term: t})
	n.leaderID, n.leaderAddr = "", ""
	n.assignRole()
	n.resetElectionTimer()
}

func (n *Node) becomeLeader() {
	n.role, n.leaderID, n.leaderAddr = roleLeader, n.self.ID, n.self.Addr
	n.transferTarget, n.lastRoundAt, n.allVotersHeardSince = "", 0, n.now.Mono
	n.progress = map[types.ID]*progress{}
	for _, m := range n.config {
		n.progressOf(m.ID)
	}
	n.appendEntry(Entry{Config: n.config})
	n.termStartIndex = n.lastIndex()
}

func (n *Node) progressOf(id types.ID) *progress {
	t, ok := n.progress[id]
	if !ok {
		t = &progress{next: n.lastIndex() + 1, lastHeardAt: n.now.Mono, ackedRound: never}
		n.progress[id] = t
	}
	return t
}

// quorumAckedRound is the start of the newest round that a quorum has answered, on this
// leader's own clock.
func (n *Node) quorumAckedRound() types.MonoTime {
	return quorumValue(n, func(m Member) types.MonoTime {
		if m.ID == n.self.ID {
			return n.now.Mono
		}
		return n.progressOf(m.ID).ackedRound
	})
}

// PriorLeaderHeardAt is when an earlier leader can last have held a lease: a quorum's last
// answer to it came from a member that voted for this one.
func (n *Node) PriorLeaderHeardAt() types.MonoTime { return n.priorLeaderHeardAt }

// HoldsReadLease reports whether this node may answer reads as the leader: a quorum
// confirmed it within the shortest election timeout, and an entry of its term is
// committed.
func (n *Node) HoldsReadLease() bool {
	return n.role == roleLeader && n.transferTarget == "" && n.commitIndex >= n.termStartIndex &&
		n.now.Mono.Sub(n.quorumAckedRound()) < n.timeouts.MinElectionTimeout*9/10
}

// AuthorityRemaining is how much longer this leader may let others act on its behalf.
func (n *Node) AuthorityRemaining() time.Duration {
	if n.role != roleLeader {
		return 0
	}
	return max(0, n.quorumAckedRound().Add(n.timeouts.AuthorityLease).Sub(n.now.Mono))
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
	if n.role != roleLeader || n.transferTarget != "" {
		return false
	}
	var best *progress
	for _, m := range n.config {
		t := n.progressOf(m.ID)
		if m.Voter && m.ID != n.self.ID && now.Mono.Sub(t.lastHeardAt) < n.timeouts.MinElectionTimeout && eligible(t) && (best == nil || t.match > best.match) {
			best, n.transferTarget = t, m.ID
		}
	}
	n.transferDeadline = now.Mono.Add(n.timeouts.MinElectionTimeout)
	return n.transferTarget != ""
}

func (n *Node) onTimeoutNow(_ types.Addr, message timeoutNow) {
	if message.ClusterName == n.clusterName && message.To == n.self.ID && message.Term == n.hardState.Term && n.role == roleFollower && !n.diskStalled() && !n.stateLoading && !n.stopping {
		n.announcedTransfers = message.OverloadTransfers
		n.campaign(false, true)
	}
}

// MayStop reports whether a node that prepares to stop has nothing left to do for the
// cluster.
// While a provisional member of its zone is there, a voter that stops waits until that
// one has replaced it.
func (n *Node) MayStop() bool {
	switch n.role {
	case roleLeader:
		return false
	case roleFollower, roleCandidate:
		return !slices.ContainsFunc(n.config, func(m Member) bool { return m.Provisional && m.Zone == n.self.Zone && m.ID != n.self.ID })
	}
	return true
}
