package raft

import (
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// maxEntriesPerMessage bounds the entries of one AppendEntries message.
	maxEntriesPerMessage = 256
	// appendRetryHeartbeats and snapshotRetryHeartbeats are the minimum retry timeouts, in
	// heartbeat intervals, for entries and for a snapshot part.
	appendRetryHeartbeats   = 2
	snapshotRetryHeartbeats = 5
)

// replicate sends each member the entries that were not sent to it yet, and a heartbeat each
// HeartbeatInterval. Entries proposed while earlier ones are in flight wait for the reply, so that
// under load one message carries as many entries as one sync of a member's disk can take.
func (n *Node) replicate() {
	if n.completeTransfer() {
		return
	}
	heartbeatDue := n.now.Mono.Sub(n.leadership.lastRoundAt) >= n.timeouts.HeartbeatInterval
	if heartbeatDue {
		n.leadership.lastRoundAt = n.now.Mono
	}
	for _, m := range n.log.config {
		if m.ID != n.self.ID {
			n.replicateTo(m, n.progressOf(m.ID), heartbeatDue)
		}
	}
}

// replicateTo sends one member what is due. A silent member gets heartbeats only (like StateProbe
// in etcd's raft), so that no entries accumulate in flight.
func (n *Node) replicateTo(peer Member, p *progress, heartbeatDue bool) {
	now := n.now.Mono
	if now.Sub(p.lastHeardAt) > n.timeouts.MinElectionTimeout {
		if heartbeatDue {
			p.resendFromMatch()
			p.window = sendWindow{}
			n.sendHeartbeat(peer, p)
		}
		return
	}
	sinceSent := now.Sub(p.lastSentAt)
	retryTimeout := p.window.retryTimeout(appendRetryHeartbeats * n.timeouts.HeartbeatInterval)
	if heartbeatDue && p.hasInFlight() && sinceSent > retryTimeout {
		p.resendFromMatch()
		p.window.onTimeout()
	}
	awaitingReply := p.hasInFlight() && sinceSent < n.timeouts.HeartbeatInterval
	switch {
	case p.hasInFlight() && p.window.full():
		if heartbeatDue {
			n.sendHeartbeat(peer, p)
		}
	case heartbeatDue || p.next <= n.log.lastIndex() && !awaitingReply:
		n.sendAppend(peer, p)
	}
}

// newAppendEntries returns a message to a member that follows the entry at prevLogIndex. The
// caller adds the entries.
func (n *Node) newAppendEntries(peer Member, prevLogIndex types.Index) appendEntries {
	prevLogTerm, _ := n.log.term(prevLogIndex)
	return appendEntries{
		ClusterName:  n.clusterName,
		LeaderID:     n.self.ID,
		To:           peer.ID,
		Term:         n.hardState.Term,
		PrevLogIndex: prevLogIndex,
		PrevLogTerm:  prevLogTerm,
		LeaderCommit: n.log.commitIndex,
		Round:        n.now.Mono,
		ClusterTime:  n.Clock(),
	}
}

// sendHeartbeat sends a member a message without entries that follows the last entry known to
// match.
func (n *Node) sendHeartbeat(peer Member, p *progress) {
	prev := max(p.match, n.log.snapshot.Index)
	n.send(peer.Addr, wire.AppendEntries, n.newAppendEntries(peer, prev))
}

// sendAppend sends a member the next entries that fit into its window. If there are none, the
// message is a heartbeat. If the next entry is compacted, it sends a snapshot part instead.
func (n *Node) sendAppend(peer Member, p *progress) {
	if p.next <= n.log.snapshot.Index {
		n.sendSnapshot(peer, p)
		return
	}
	request := n.newAppendEntries(peer, p.next-1)
	if p.next <= n.log.lastIndex() {
		request.Entries = p.window.takeEntries(n.now.Mono, n.log.entriesFrom(p.next))
		p.next += types.Index(len(request.Entries))
		p.lastSentAt = n.now.Mono
	}
	n.send(peer.Addr, wire.AppendEntries, request)
}

// onAppendReply records a member's reply and commits the entries that a quorum now has on disk
// (section 3.5 of the thesis).
func (n *Node) onAppendReply(_ types.Addr, reply appendReply) {
	if reply.ClusterName != n.clusterName {
		return
	}
	if reply.Term > n.hardState.Term {
		n.becomeFollower(reply.Term)
		return
	}
	if _, ok := n.log.config.Find(reply.FollowerID); !ok || n.role != roleLeader || reply.Term != n.hardState.Term {
		return
	}
	now, p := n.now.Mono, n.progressOf(reply.FollowerID)
	p.onReply(now, n.Clock(), &reply)
	switch {
	case reply.SnapshotParts > 0:
		p.onSnapshotPart(now, reply.SnapshotParts, n.timeouts.MinElectionTimeout)
	case !reply.Success:
		p.onRejected(reply.MatchIndex)
	default:
		p.onMatched(now, reply.MatchIndex, n.timeouts.MinElectionTimeout)
		n.advanceCommit()
	}
}

// quorumSyncedIndex returns the highest index that a quorum has on disk.
func (n *Node) quorumSyncedIndex() types.Index {
	return quorumValue(n.log.config, func(m Member) types.Index {
		if m.ID == n.self.ID {
			return n.log.syncedIndex
		}
		return n.progressOf(m.ID).match
	})
}

// advanceCommit commits the entries that a quorum has on disk. Only entries of the leader's own
// term are committed by counting replicas; earlier entries are committed with them (section 3.6.2
// of the thesis).
func (n *Node) advanceCommit() {
	synced := n.quorumSyncedIndex()
	if term, ok := n.log.term(synced); ok && term == n.hardState.Term {
		n.log.commitTo(synced)
	}
}
