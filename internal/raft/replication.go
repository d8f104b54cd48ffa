// Replication of the log: rounds, entries, snapshots, and the commit index that a quorum
// of synced copies gives.
package raft

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	maxEntriesPerMessage = 256
	maxRecordBytes       = 1 << 20 // bytes of entries that one record of the file holds, but for a larger entry
	maxLogEntries        = 120_000 // entries that a log may have before it takes no more
)

const never = types.MonoTime(-1 << 62)

func (n *Node) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(n.rand.Int63n(int64(d)))
}

// quorumValue gives the greatest value that a quorum of voters has reached.
func quorumValue[T cmp.Ordered](n *Node, f func(Member) T) T {
	var list []T
	for _, m := range n.config {
		if m.Voter {
			list = append(list, f(m))
		}
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

func (n *Node) appendEntry(e Entry) types.Index {
	e.Term, e.Index = n.hardState.Term, n.lastIndex()+1
	n.logBytes += len(e.Data)
	n.truncateAndAppend([]Entry{e})
	n.writeRecord(Record{Entries: []Entry{e}})
	n.trackSync()
	return e.Index
}

func (n *Node) trackSync() {
	n.unsynced = append(n.unsynced, struct {
		seq uint64
		at  types.Index
	}{n.writtenBatch, n.lastIndex()})
}

// Propose appends data to the log; false when this member may not.
func (n *Node) Propose(data json.RawMessage) (types.Index, bool) {
	if n.role != roleLeader || n.transferTarget != "" || len(n.log) > maxLogEntries {
		return 0, false
	}
	return n.appendEntry(Entry{Data: data}), true
}

// replicate sends each member what it has not been sent. Entries that come while earlier
// ones are in flight wait for the answer, so that under load one message carries what
// one sync of a member's disk can take.
func (n *Node) replicate() {
	if n.transferTarget != "" && n.progressOf(n.transferTarget).match == n.lastIndex() {
		m, _ := n.config.Find(n.transferTarget)
		n.send(m.Addr, wire.TimeoutNow, timeoutNow{n.clusterName, n.transferTarget, n.hardState.Term, n.announcedTransfers})
		n.stepDown()
		return
	}
	due := n.now.Mono.Sub(n.lastRoundAt) >= n.timeouts.HeartbeatInterval
	if due {
		n.lastRoundAt = n.now.Mono
	}
	for _, m := range n.config {
		if m.ID == n.self.ID {
			continue
		}
		t := n.progressOf(m.ID)
		if n.now.Mono.Sub(t.lastHeardAt) > n.timeouts.MinElectionTimeout { // silent: only asked whether it is there
			if due {
				t.next, t.window = t.match+1, sendWindow{}
				n.probe(m, t)
			}
			continue
		}
		if due && t.match+1 < t.next && n.now.Mono.Sub(t.lastSentAt) > t.window.retryTimeout(2*n.timeouts.HeartbeatInterval) {
			t.next = t.match + 1
			t.window.onTimeout()
		}
		flying := t.match+1 < t.next && n.now.Mono.Sub(t.lastSentAt) < n.timeouts.HeartbeatInterval
		switch {
		case t.match+1 < t.next && t.window.full():
			if due {
				n.probe(m, t)
			}
		case due || t.next <= n.lastIndex() && !flying:
			n.sendAppend(m, t)
		}
	}
}

func (n *Node) newAppendEntries(peer Member, prevLogIndex types.Index) appendEntries {
	t, _ := n.termAt(prevLogIndex)
	return appendEntries{ClusterName: n.clusterName, LeaderID: n.self.ID, To: peer.ID, Term: n.hardState.Term, PrevLogIndex: prevLogIndex, PrevLogTerm: t, LeaderCommit: n.commitIndex,
		Round: n.now.Mono, ClusterTime: n.Clock()}
}

// probe sends a silent member no entries, so that nothing piles up in flight.
func (n *Node) probe(peer Member, progress *progress) {
	n.send(peer.Addr, wire.AppendEntries, n.newAppendEntries(peer, max(progress.match, n.snapshot.Index)))
}

func (n *Node) sendAppend(peer Member, progress *progress) {
	request := n.newAppendEntries(peer, progress.next-1)
	if progress.next <= n.snapshot.Index {
		if n.now.Mono.Sub(progress.lastSentAt) > progress.window.retryTimeout(5*n.timeouts.HeartbeatInterval) && n.snapshot.PartCount > 0 {
			if progress.lastSentAt != never {
				progress.window.onTimeout()
			}
			progress.lastSentAt, request.PrevLogIndex, request.PrevLogTerm = n.now.Mono, n.snapshot.Index, n.snapshot.Term
			progress.window.onSend(n.now.Mono)
			progress.snapshotParts = min(progress.snapshotParts, n.snapshot.PartCount-1)
			n.send(peer.Addr, wire.InstallSnapshot, installSnapshot{request, n.snapshot, progress.snapshotParts, n.snapshot.Parts[progress.snapshotParts]})
		}
		return
	}
	if progress.next <= n.lastIndex() {
		rest := n.log[progress.next-n.snapshot.Index-1:]
		request.Entries = progress.window.takeEntries(n.now.Mono, rest)
		progress.next += types.Index(len(request.Entries))
		progress.lastSentAt = n.now.Mono
	}
	n.send(peer.Addr, wire.AppendEntries, request)
}

func (n *Node) onAppendEntries(from types.Addr, request appendEntries) {
	for i, e := range request.Entries {
		if e.Index != request.PrevLogIndex+types.Index(i)+1 {
			return // not what a leader says
		}
	}
	if !n.acceptLeader(from, request) {
		return
	}
	reply := appendReply{ClusterName: n.clusterName, FollowerID: n.self.ID, Term: n.hardState.Term, Round: request.Round, Wall: n.now.Wall, LagMS: n.loopLag.Milliseconds(), Stopping: n.stopping}
	t, ok := n.termAt(request.PrevLogIndex)
	if request.PrevLogIndex < n.snapshot.Index {
		skip := min(int(n.snapshot.Index-request.PrevLogIndex), len(request.Entries))
		request.Entries, request.PrevLogIndex = request.Entries[skip:], request.PrevLogIndex+types.Index(skip)
		ok, t, request.PrevLogTerm = true, n.snapshot.Term, n.snapshot.Term
	}
	if !ok || t != request.PrevLogTerm {
		reply.MatchIndex = min(n.lastIndex(), request.PrevLogIndex-1)
		n.send(from, wire.AppendReply, reply)
		return
	}
	lastNewIndex := request.PrevLogIndex + types.Index(len(request.Entries))
	for i, e := range request.Entries {
		if t, ok := n.termAt(e.Index); !ok || t != e.Term {
			n.syncedIndex = min(n.syncedIndex, e.Index-1)
			for j := range n.unsynced {
				n.unsynced[j].at = min(n.unsynced[j].at, e.Index-1)
			}
			n.truncateAndAppend(request.Entries[i:])
			n.writeRecord(Record{Entries: request.Entries[i:]})
			n.trackSync()
			n.assignRole()
			break
		}
	}
	for _, e := range request.Entries {
		n.logBytes += len(e.Data)
	}
	n.commitIndex = max(n.commitIndex, min(request.LeaderCommit, lastNewIndex))
	reply.Success, reply.MatchIndex = true, min(lastNewIndex, n.syncedIndex)
	if lastNewIndex <= n.syncedIndex || n.now.Mono.Sub(n.diskAnsweredAt) >= n.timeouts.HeartbeatInterval { // a slow disk is no silence
		n.send(from, wire.AppendReply, reply)
	}
	if lastNewIndex > n.syncedIndex {
		reply.MatchIndex = lastNewIndex
		n.sendAfterBatch(n.writtenBatch, from, wire.AppendReply, reply)
	}
}

// acceptLeader is the part common to entries and snapshots: false unless the message is
// for this node and from the leader of the current term.
func (n *Node) acceptLeader(from types.Addr, request appendEntries) bool {
	if request.To != n.self.ID || n.clusterName != "" && request.ClusterName != n.clusterName {
		return false
	}
	if n.clusterName == "" {
		k := InitialCluster{ClusterName: request.ClusterName}
		if n.acceptedCluster != nil && n.acceptedCluster.ClusterName == request.ClusterName {
			k = *n.acceptedCluster
		}
		n.enterCluster(k)
	}
	if request.Term < n.hardState.Term {
		n.send(from, wire.AppendReply, appendReply{ClusterName: n.clusterName, FollowerID: n.self.ID, Term: n.hardState.Term})
		return false
	}
	if request.Term > n.hardState.Term {
		n.becomeFollower(request.Term)
	}
	if n.role == roleRemoved {
		n.role, n.reason = roleLearner, "" // let in again
	}
	n.assignRole()
	n.leaderID, n.leaderAddr, n.leaderHeardAt = request.LeaderID, from, n.now.Mono
	n.followClock(request.Term, request.ClusterTime)
	n.resetElectionTimer()
	return true
}

func (n *Node) onInstallSnapshot(from types.Addr, request installSnapshot) {
	if !n.acceptLeader(from, request.appendEntries) {
		return
	}
	reply := appendReply{ClusterName: n.clusterName, FollowerID: n.self.ID, Term: n.hardState.Term, Success: true, MatchIndex: request.Snapshot.Index, Round: request.Round, Wall: n.now.Wall, Stopping: n.stopping}
	if request.Snapshot.Index > n.commitIndex {
		if x := &n.incomingSnapshot; x.Index != request.Snapshot.Index || x.Term != request.Snapshot.Term {
			*x = request.Snapshot
		}
		if request.PartNumber == len(n.incomingSnapshot.Parts) {
			n.incomingSnapshot.Parts = append(n.incomingSnapshot.Parts, request.Part)
		}
		if len(n.incomingSnapshot.Parts) < request.Snapshot.PartCount {
			reply.MatchIndex, reply.SnapshotParts = 0, len(n.incomingSnapshot.Parts)
			n.send(from, wire.AppendReply, reply)
			return
		}
		n.snapshot, n.log, n.unsynced = n.incomingSnapshot, nil, nil
		n.incomingSnapshot, n.logBytes = Snapshot{}, 0
		n.commitIndex, n.syncedIndex = request.Snapshot.Index, 0
		n.recomputeConfiguration()
		n.assignRole()
		n.rewriteFile()
		n.trackSync()
	}
	n.sendAfterBatch(n.writtenBatch, from, wire.AppendReply, reply)
}

func (n *Node) onAppendReply(_ types.Addr, reply appendReply) {
	if reply.ClusterName != n.clusterName {
		return
	}
	if reply.Term > n.hardState.Term {
		n.becomeFollower(reply.Term)
		return
	}
	if _, ok := n.config.Find(reply.FollowerID); !ok || n.role != roleLeader || reply.Term != n.hardState.Term {
		return
	}
	progress := n.progressOf(reply.FollowerID)
	if reply.Round > progress.ackedRound {
		progress.ackedRound, progress.wallOffset = reply.Round, reply.Wall-types.WallTime(n.Clock())
	}
	progress.lastHeardAt, progress.loopLag, progress.stopping = n.now.Mono, time.Duration(reply.LagMS)*time.Millisecond, reply.Stopping
	if reply.SnapshotParts > 0 {
		if reply.SnapshotParts != progress.snapshotParts { // else it is of a part that was sent twice
			progress.window.onAcknowledged(n.now.Mono, n.timeouts.MinElectionTimeout)
			progress.snapshotParts, progress.lastSentAt = reply.SnapshotParts, never
		}
		return
	}
	if !reply.Success {
		progress.snapshotParts, progress.window.inFlightBytes = 0, 0
		progress.match = min(progress.match, reply.MatchIndex)
		progress.next = reply.MatchIndex + 1
		return
	}
	if reply.MatchIndex > progress.match {
		progress.match = reply.MatchIndex
		progress.next = max(progress.next, progress.match+1)
		if progress.next == progress.match+1 {
			progress.window.onAcknowledged(n.now.Mono, n.timeouts.MinElectionTimeout)
		}
	}
	n.advanceCommit()
}

func (n *Node) advanceCommit() {
	to := quorumValue(n, func(m Member) types.Index {
		if m.ID == n.self.ID {
			return n.syncedIndex
		}
		return n.progressOf(m.ID).match
	})
	if t, ok := n.termAt(to); ok && t == n.hardState.Term && to > n.commitIndex {
		n.commitIndex = to
	}
}

// Compact replaces the log up to index i by the state as of it.
func (n *Node) Compact(i types.Index, parts [][]byte) {
	if i <= n.snapshot.Index || i > n.commitIndex {
		return
	}
	t, _ := n.termAt(i)
	config := n.snapshot.Config
	for _, e := range n.log[:i-n.snapshot.Index] {
		if e.Config != nil {
			config = e.Config
		}
	}
	n.log = slices.Clone(n.log[i-n.snapshot.Index:])
	n.snapshot = Snapshot{Index: i, Term: t, Config: config, PartCount: len(parts), Parts: parts}
	n.logBytes = 0
	for _, e := range n.log {
		n.logBytes += len(e.Data)
	}
	for _, m := range n.progress {
		m.snapshotParts = 0
	}
	instead := append([]Record{}, n.records...)
	if n.replacesFile {
		instead = nil
	}
	n.rewriteFile()
	n.appendInstead = instead
	n.trackSync()
}

// rewriteFile collects the records that replace the whole file.
func (n *Node) rewriteFile() {
	n.records, n.appendInstead = nil, nil
	v, s := n.hardState, n.snapshot
	n.writeRecord(Record{Identity: &Identity{n.self.ID, n.bootstrap.FirstStart}})
	n.writeRecord(Record{Cluster: &InitialCluster{ClusterName: n.clusterName, Config: s.Config}})
	n.writeRecord(Record{HardState: &v})
	n.writeRecord(Record{Snapshot: &s})
	for _, b := range s.Parts {
		n.writeRecord(Record{snapshotPart: b})
	}
	for rest := n.log; len(rest) > 0; {
		count := entriesWithin(rest, maxRecordBytes)
		n.writeRecord(Record{Entries: rest[:count]})
		rest = rest[count:]
	}
	n.replacesFile = true
}

// tickLeader is what the leader does as time passes.
func (n *Node) tickLeader() {
	if n.transferTarget != "" && n.now.Mono >= n.transferDeadline {
		n.stepDown()
		return
	}
	if n.now.Mono.Sub(n.quorumAckedRound()) > n.timeouts.StallTimeout && n.now.Mono.Sub(n.progressOf(n.self.ID).lastHeardAt) > n.timeouts.StallTimeout {
		n.stepDown()
		return
	}
	if n.diskStalled() && n.transferTarget == "" && !n.TransferLeadership(n.now) {
		n.stepDown()
		return
	}
	n.maintainMembership()
}

func (n *Node) stepDown() {
	n.transferTarget, n.leaderID, n.leaderAddr = "", "", ""
	n.role = roleFollower
	n.assignRole()
	n.resetElectionTimer()
	n.electionDeadline = n.electionDeadline.Add(n.timeouts.MinElectionTimeout)
}
