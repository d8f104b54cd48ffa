package raft

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// readLeaseTenths of the shortest election timeout is a read lease's length: the rest
// covers clocks that run at different rates.
const readLeaseTenths = 9

// leaderContact is what a member knows of the current leader and of those before it.
type leaderContact struct {
	addr      types.Addr     // of the leader of the current term; empty if it is not known
	heardAt   types.MonoTime // when a leader was last heard
	lastLedAt types.MonoTime // when this member led last
	// priorHeardAt is, to a candidate or leader, the latest time at which a leader of an
	// earlier term can have been heard by a member that voted for this one.
	priorHeardAt types.MonoTime
}

// lastContact is when this member last heard a leader or was one.
func (c *leaderContact) lastContact() types.MonoTime { return max(c.heardAt, c.lastLedAt) }

// silentFor is how long no leader has been heard.
func (c *leaderContact) silentFor(now types.MonoTime) time.Duration { return now.Sub(c.heardAt) }

// quorumValue returns the greatest value that a quorum of voters has reached.
func quorumValue[T cmp.Ordered](config Configuration, value func(Member) T) T {
	var values []T
	for _, m := range config {
		if m.Voter {
			values = append(values, value(m))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorumAckedRound is the start of the newest round that a quorum has answered, on this
// leader's own clock. It counts from the sending of the round, not from the receipt of an
// answer: a voter rejects other candidates from the moment that it receives the message.
func (n *Node) quorumAckedRound() types.MonoTime {
	return quorumValue(n.log.config, func(m Member) types.MonoTime {
		if m.ID == n.self.ID {
			return n.now.Mono
		}
		return n.progressOf(m.ID).ackedRound
	})
}

// HoldsReadLease reports whether this node may answer reads as the leader (section 6.4.1
// of the thesis): a quorum answered a round that began less than the shortest election
// timeout ago, and an entry of its term is committed, so that it knows all that is. While
// it transfers leadership it holds no lease, as its target need not wait.
func (n *Node) HoldsReadLease() bool {
	return n.role == roleLeader && !n.transfer.inProgress() && n.log.commitIndex >= n.leadership.termStartIndex &&
		n.now.Mono.Sub(n.quorumAckedRound()) < n.timeouts.MinElectionTimeout*readLeaseTenths/10
}

// AuthorityRemaining is how much longer this leader may let others act on its behalf:
// AuthorityLease from the start of the newest round that a quorum has answered. It is 0 if
// the node does not lead.
func (n *Node) AuthorityRemaining() time.Duration {
	if n.role != roleLeader {
		return 0
	}
	return max(0, n.quorumAckedRound().Add(n.timeouts.AuthorityLease).Sub(n.now.Mono))
}

// PriorLeaderHeardAt is, to a leader, the latest time at which an earlier leader can have
// had a round answered by a quorum: any quorum has a member that voted for this leader, and
// none of those has heard another leader since.
func (n *Node) PriorLeaderHeardAt() types.MonoTime { return n.leaderContact.priorHeardAt }

// HasRecentLeader tells whether a leader is known, other than this node, and was heard
// within the time for which it may answer reads.
func (n *Node) HasRecentLeader() bool {
	return n.role != roleLeader && n.leaderContact.addr != "" &&
		n.leaderContact.silentFor(n.now.Mono) < n.timeouts.MinElectionTimeout
}

// LeaderAddr is the address of the current leader as far as this node can know: its own,
// or that of one that it has heard within the longest election timeout; else empty.
func (n *Node) LeaderAddr() types.Addr {
	if n.role != roleLeader && n.leaderContact.silentFor(n.now.Mono) >= 2*n.timeouts.MinElectionTimeout {
		return ""
	}
	return n.leaderContact.addr
}
