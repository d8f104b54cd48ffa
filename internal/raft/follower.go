package raft

import (
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// newAppendReply is a reply to a leader's message of a round, as yet without an outcome.
func (n *Node) newAppendReply(round types.MonoTime) appendReply {
	return appendReply{
		ClusterName: n.clusterName,
		FollowerID:  n.self.ID,
		Term:        n.hardState.Term,
		Round:       round,
		Wall:        n.now.Wall,
		Stopping:    n.daemon.stopping,
	}
}

// acceptLeader is the part common to entries and snapshots: false unless the message is
// for this node and from the leader of the current term.
func (n *Node) acceptLeader(from types.Addr, request appendEntries) bool {
	if request.To != n.self.ID || n.clusterName != "" && request.ClusterName != n.clusterName {
		return false
	}
	if n.clusterName == "" {
		n.joinLeaderCluster(request.ClusterName)
	}
	if request.Term < n.hardState.Term {
		n.send(from, wire.AppendReply, appendReply{
			ClusterName: n.clusterName,
			FollowerID:  n.self.ID,
			Term:        n.hardState.Term,
		})
		return false
	}
	if request.Term > n.hardState.Term {
		n.becomeFollower(request.Term)
	}
	if n.role == roleRemoved { // a leader that sends to this member has added it again
		n.role, n.roleReason = roleLearner, ""
	}
	n.assignRole()
	n.leaderContact.addr, n.leaderContact.heardAt = from, n.now.Mono
	n.adoptLeaderClock(request.Term, request.ClusterTime)
	n.resetElectionTimer()
	return true
}

// onAppendEntries stores the entries that follow an entry that both logs have (section 3.5
// of the thesis) and acknowledges them once they are on disk.
func (n *Node) onAppendEntries(from types.Addr, request appendEntries) {
	if !request.hasConsecutiveEntries() || !n.acceptLeader(from, request) {
		return
	}
	reply := n.newAppendReply(request.Round)
	reply.LagMS = n.daemon.loopLag.Milliseconds()
	request.skipTo(n.log.snapshot)
	if !n.log.matches(request.PrevLogIndex, request.PrevLogTerm) {
		reply.MatchIndex = min(n.log.lastIndex(), request.PrevLogIndex-1)
		n.send(from, wire.AppendReply, reply)
		return
	}
	if i, ok := n.log.firstConflict(request.Entries); ok {
		missing := request.Entries[i:]
		n.log.markUnsyncedFrom(missing[0].Index)
		n.storeEntries(missing)
		n.assignRole()
	}
	n.log.bytes += dataBytes(request.Entries)
	lastNewIndex := request.PrevLogIndex + types.Index(len(request.Entries))
	n.log.commitTo(min(request.LeaderCommit, lastNewIndex))
	reply.Success = true
	n.acknowledge(from, reply, lastNewIndex)
}

// acknowledge answers that the log matches the leader's up to an index: at once if that is
// on disk, else once it is. In the meantime a member whose disk is slow acknowledges what is
// on disk, so that the leader does not take it for silent. What is acknowledged survives a
// restart (section 3.8 of the thesis).
func (n *Node) acknowledge(from types.Addr, reply appendReply, lastNewIndex types.Index) {
	synced := lastNewIndex <= n.log.syncedIndex
	diskIsSlow := n.now.Mono.Sub(n.disk.answeredAt) >= n.timeouts.HeartbeatInterval
	if synced || diskIsSlow {
		reply.MatchIndex = min(lastNewIndex, n.log.syncedIndex)
		n.send(from, wire.AppendReply, reply)
	}
	if !synced {
		reply.MatchIndex = lastNewIndex
		n.sendAfterBatch(n.disk.writtenBatch, from, wire.AppendReply, reply)
	}
}

// hasConsecutiveEntries tells whether the entries follow PrevLogIndex without a gap, as
// those of a leader do.
func (request *appendEntries) hasConsecutiveEntries() bool {
	for i, e := range request.Entries {
		if e.Index != request.PrevLogIndex+types.Index(i)+1 {
			return false
		}
	}
	return true
}

// skipTo drops the entries that a snapshot covers: they are committed, so both logs have
// the same.
func (request *appendEntries) skipTo(snapshot Snapshot) {
	if request.PrevLogIndex >= snapshot.Index {
		return
	}
	covered := min(int(snapshot.Index-request.PrevLogIndex), len(request.Entries))
	request.Entries = request.Entries[covered:]
	request.PrevLogIndex += types.Index(covered)
	if request.PrevLogIndex == snapshot.Index {
		request.PrevLogTerm = snapshot.Term
	}
}
