package raft

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// election is the state of this member's candidacy, and when it stands next.
type election struct {
	deadline types.MonoTime // a follower that hears no leader until then campaigns
	preVote  bool           // the votes are those of a pre-vote
	votes    map[types.ID]bool
}

// campaignType is why and in which phase a member campaigns.
type campaignType int

const (
	// campaignPreElection asks whether the member would be elected, without a new term, so
	// that a member that can't win disturbs nobody (section 9.6 of the thesis).
	campaignPreElection campaignType = iota
	// campaignElection follows a pre-vote that was won.
	campaignElection
	// campaignTransfer is on behalf of the leader, which has named this member its successor.
	campaignTransfer
)

// begin begins a campaign, in which the member has its own vote.
func (e *election) begin(self types.ID, preVote bool) {
	e.preVote = preVote
	e.votes = map[types.ID]bool{self: true}
}

// term is the term that votes are asked for by a candidate in its current term.
func (e *election) term(current types.Term) types.Term {
	if e.preVote {
		return current + 1
	}
	return current
}

// votesGranted counts the votes of voters of a configuration.
func (e *election) votesGranted(config Configuration) int {
	count := 0
	for _, member := range config {
		if member.Voter && e.votes[member.ID] {
			count++
		}
	}
	return count
}

// resetElectionTimer draws the next election timeout, between MinElectionTimeout and twice
// that (section 3.4 of the thesis).
func (n *Node) resetElectionTimer() {
	shortest := n.timeouts.MinElectionTimeout
	n.election.deadline = n.now.Mono.Add(shortest + n.randomUpTo(shortest))
}

// campaign becomes a candidate and asks all voters for their votes. The member's own vote
// is on disk before a request goes out.
func (n *Node) campaign(kind campaignType) {
	n.resetElectionTimer()
	n.role = roleCandidate
	n.election.begin(n.self.ID, kind == campaignPreElection)
	n.leaderContact.addr = ""
	n.leaderContact.priorHeardAt = n.leaderContact.lastContact()
	n.transfer.overloadCount = 0
	if kind == campaignTransfer {
		n.transfer.overloadCount = n.transfer.nextOverloadCount
	}
	term := n.hardState.Term + 1
	if kind != campaignPreElection {
		n.setHardState(HardState{Term: term, VotedFor: n.self.ID})
	}
	for _, m := range n.log.config {
		if m.Voter && m.ID != n.self.ID {
			n.send(m.Addr, wire.RequestVote, requestVote{
				ClusterName:        n.clusterName,
				CandidateID:        n.self.ID,
				To:                 m.ID,
				Term:               term,
				LastLogIndex:       n.log.lastIndex(),
				LastLogTerm:        n.log.lastTerm(),
				PreVote:            kind == campaignPreElection,
				LeadershipTransfer: kind == campaignTransfer,
			})
		}
	}
	n.countVotes()
}

// onRequestVote answers a candidate (section 3.4 of the thesis). While this member may not
// help to depose a leader it gives no answer, and does not adopt the candidate's term
// (section 4.2.3), unless the leader itself has named the candidate.
func (n *Node) onRequestVote(from types.Addr, request requestVote) {
	if request.ClusterName != n.clusterName || request.To != n.self.ID || n.clusterName == "" {
		return
	}
	if n.role == roleLeader && n.notifyRemoved(from, request.CandidateID) {
		return
	}
	if request.PreVote {
		n.answerPreVote(from, request)
		return
	}
	if !n.mayDeposeLeader() && !request.LeadershipTransfer {
		return
	}
	if request.Term > n.hardState.Term {
		n.becomeFollower(request.Term)
	}
	granted := n.grantVote(request)
	n.send(from, wire.VoteReply, voteReply{
		ClusterName: n.clusterName,
		VoterID:     n.self.ID,
		Term:        n.hardState.Term,
		Granted:     granted,
		SilentMS:    n.now.Mono.Sub(n.leaderContact.lastContact()).Milliseconds(),
	})
}

// mayDeposeLeader tells whether this member may help to elect another leader. A member
// that has heard a leader within the shortest election timeout may not, nor may one that
// has only just started and cannot know whether it had. Read leases rest on that (section
// 6.4.1 of the thesis); a leader that transfers leadership has given up its own lease.
func (n *Node) mayDeposeLeader() bool {
	shortest := n.timeouts.MinElectionTimeout
	return n.role != roleLeader &&
		n.leaderContact.silentFor(n.now.Mono) >= shortest &&
		n.now.Mono.Sub(n.startedAt) >= shortest
}

// answerPreVote says whether this member would vote for the candidate. A candidate of an
// old term also learns the newer one.
func (n *Node) answerPreVote(from types.Addr, request requestVote) {
	newerTerm := request.Term > n.hardState.Term
	granted := newerTerm && n.mayDeposeLeader() && n.log.isUpToDate(request.LastLogTerm, request.LastLogIndex)
	n.send(from, wire.VoteReply, voteReply{
		ClusterName: n.clusterName,
		VoterID:     n.self.ID,
		Term:        request.Term,
		PreVote:     true,
		Granted:     granted,
	})
	if !newerTerm {
		n.send(from, wire.VoteReply, voteReply{ClusterName: n.clusterName, VoterID: n.self.ID, Term: n.hardState.Term})
	}
}

// grantVote votes for a candidate of the current term if this member has not voted for
// another one in that term, and the candidate's log is at least as up to date as its own
// (sections 3.4 and 3.6.1 of the thesis).
func (n *Node) grantVote(request requestVote) bool {
	if n.role == roleLeader || request.Term != n.hardState.Term {
		return false
	}
	if !n.log.isUpToDate(request.LastLogTerm, request.LastLogIndex) {
		return false
	}
	switch n.hardState.VotedFor {
	case "":
		n.setHardState(HardState{Term: request.Term, VotedFor: request.CandidateID})
		n.resetElectionTimer()
		return true
	case request.CandidateID:
		return true
	}
	return false
}

// onVoteReply counts a vote of this campaign (sections 9.6 and 3.4 of the thesis).
func (n *Node) onVoteReply(_ types.Addr, reply voteReply) {
	if reply.ClusterName != n.clusterName {
		return
	}
	if !reply.PreVote && reply.Term > n.hardState.Term {
		n.becomeFollower(reply.Term)
		return
	}
	ofThisCampaign := reply.PreVote == n.election.preVote && reply.Term == n.election.term(n.hardState.Term)
	if n.role != roleCandidate || !ofThisCampaign || !reply.Granted {
		return
	}
	n.election.votes[reply.VoterID] = true
	silent := time.Duration(reply.SilentMS) * time.Millisecond
	n.leaderContact.priorHeardAt = max(n.leaderContact.priorHeardAt, n.now.Mono.Add(-silent))
	n.countVotes()
}

// countVotes begins the election with a quorum of pre-votes, and the term as leader with a
// quorum of votes. The only voter of a cluster has both with its own; its entries are
// committed once they are on its disk, and so after its vote.
func (n *Node) countVotes() {
	switch {
	case n.election.votesGranted(n.log.config) < n.log.config.quorum():
	case n.election.preVote:
		n.campaign(campaignElection)
	default:
		n.becomeLeader()
	}
}

// becomeFollower adopts a higher term and gives up any role held in the earlier one.
func (n *Node) becomeFollower(term types.Term) {
	n.setHardState(HardState{Term: term})
	n.leaderContact.addr = ""
	n.assignRole()
	n.resetElectionTimer()
}
