package raft

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/types"
)

// readLeaseTenths is the length of a read lease in tenths of the shortest election timeout. The
// remainder is a margin for clock drift.
const readLeaseTenths = 9

// leaderContact is what a member knows about the current leader and earlier ones.
type leaderContact struct {
	addr      types.Addr     // of the leader of the current term; empty if unknown
	heardAt   types.MonoTime // when a leader was last heard
	lastLedAt types.MonoTime // when this member last led
	// priorHeardAt is set for a candidate or leader: the latest time at which a member that voted
	// for it may have heard a leader of an earlier term.
	priorHeardAt types.MonoTime
}

// lastContact returns when this member last heard a leader or was the leader itself.
func (c *leaderContact) lastContact() types.MonoTime { return max(c.heardAt, c.lastLedAt) }

// silentFor returns the time since a leader was last heard.
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

// quorumAckedRound returns the start of the newest round that a quorum has acknowledged, on this
// leader's own clock. A lease counts from the sending of the round, not from the receipt of a
// reply, since a voter rejects other candidates from the moment it receives the message.
func (n *Node) quorumAckedRound() types.MonoTime {
	return quorumValue(n.log.config, func(m Member) types.MonoTime {
		if m.ID == n.self.ID {
			return n.now.Mono
		}
		return n.progressOf(m.ID).ackedRound
	})
}

// HoldsReadLease reports whether this node may serve reads as the leader (section 6.4.1 of the
// thesis). A quorum must have acknowledged a round that started less than the shortest election
// timeout ago, less a margin for clock drift, and an entry of the leader's term must be committed,
// so that it knows all committed entries. A leader that transfers leadership holds no lease, since
// the target campaigns without waiting for an election timeout.
func (n *Node) HoldsReadLease() bool {
	return n.role == roleLeader && !n.transfer.inProgress() && n.log.commitIndex >= n.leadership.termStartIndex &&
		n.now.Mono.Sub(n.quorumAckedRound()) < n.timeouts.MinElectionTimeout*readLeaseTenths/10
}

// AuthorityRemaining returns how much longer others may act on this leader's behalf: until
// AuthorityLease after the start of the newest round that a quorum has acknowledged. It returns 0
// if this node does not lead.
func (n *Node) AuthorityRemaining() time.Duration {
	if n.role != roleLeader {
		return 0
	}
	return max(0, n.quorumAckedRound().Add(n.timeouts.AuthorityLease).Sub(n.now.Mono))
}

// PriorLeaderHeardAt returns, on a leader, the latest time at which a quorum may have acknowledged
// a round of an earlier leader. Any quorum contains a member that voted for this leader, and no
// such member has heard another leader since.
func (n *Node) PriorLeaderHeardAt() types.MonoTime { return n.leaderContact.priorHeardAt }

// HasRecentLeader reports whether a leader other than this node is known and was heard recently
// enough that it may still serve reads.
func (n *Node) HasRecentLeader() bool {
	return n.role != roleLeader && n.leaderContact.addr != "" &&
		n.leaderContact.silentFor(n.now.Mono) < n.timeouts.MinElectionTimeout
}

// LeaderAddr returns the address of the current leader: this node's own if it leads, or that of a
// leader heard within the longest election timeout. It is empty if there is none.
func (n *Node) LeaderAddr() types.Addr {
	if n.role != roleLeader && n.leaderContact.silentFor(n.now.Mono) >= 2*n.timeouts.MinElectionTimeout {
		return ""
	}
	return n.leaderContact.addr
}
