package raft

import (
	"slices"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// maxRecordBytes bounds the entries in one record of a file that is written anew, but for
// a single larger entry.
const maxRecordBytes = 1 << 20

// Snapshot is the state machine's state after one entry (section 5.1 of the thesis), in parts,
// each a record and a message of its own.
type Snapshot struct {
	Index     types.Index   `json:"index"`
	Term      types.Term    `json:"term"`
	Config    Configuration `json:"config"`
	PartCount int           `json:"parts"`
	Parts     [][]byte      `json:"-"`
}

// isComplete tells whether all parts are there.
func (s *Snapshot) isComplete() bool { return len(s.Parts) >= s.PartCount }

// incomingSnapshot is a snapshot that a leader sends, as far as it has been received.
type incomingSnapshot struct {
	Snapshot
	leaderTerm types.Term // of the leader that sends it
}

// add adds one part of a snapshot that the leader of a term sends. A part of another
// snapshot than before, or of another leader's, begins anew with that one: two members may
// divide their states after the same entry into different parts. Parts out of order are
// ignored.
func (in *incomingSnapshot) add(leaderTerm types.Term, from Snapshot, number int, part []byte) {
	if in.leaderTerm != leaderTerm || in.Index != from.Index || in.Term != from.Term {
		*in = incomingSnapshot{Snapshot: from, leaderTerm: leaderTerm}
	}
	if number == len(in.Parts) {
		in.Parts = append(in.Parts, part)
	}
}

// restoreSnapshot replaces the log by a snapshot of later entries.
func (l *raftLog) restoreSnapshot(snapshot Snapshot) {
	l.snapshot, l.incoming = snapshot, incomingSnapshot{}
	l.entries, l.unsynced = nil, nil
	l.bytes = 0
	l.commitIndex, l.syncedIndex = snapshot.Index, 0
	l.recomputeConfiguration()
}

// compact replaces the log up to an entry by the state after it, in parts.
func (l *raftLog) compact(i types.Index, parts [][]byte) {
	term, _ := l.term(i)
	config := l.configurationAt(i)
	l.entries = slices.Clone(l.entries[i-l.snapshot.Index:])
	l.snapshot = Snapshot{Index: i, Term: term, Config: config, PartCount: len(parts), Parts: parts}
	l.bytes = dataBytes(l.entries)
}

// Compact replaces the log up to an entry by the state after it, in parts. Nothing happens
// if that entry is not committed, or within the last snapshot.
func (n *Node) Compact(i types.Index, parts [][]byte) {
	if i <= n.log.snapshot.Index || i > n.log.commitIndex {
		return
	}
	n.log.compact(i, parts)
	for _, p := range n.leadership.progress {
		p.snapshotParts = 0
	}
	var fallback []Record
	if !n.disk.replaceFile {
		fallback = append([]Record{}, n.disk.records...)
	}
	n.rewriteLogFile()
	n.disk.fallback = fallback
	n.log.awaitSync(n.disk.writtenBatch)
}

// rewriteLogFile collects the records that replace the whole file.
func (n *Node) rewriteLogFile() {
	n.disk.startFileReplacement()
	hardState, snapshot := n.hardState, n.log.snapshot
	n.writeRecord(Record{Identity: &Identity{n.self.ID, n.bootstrap.options.FirstStart}})
	n.writeRecord(Record{Cluster: &InitialCluster{ClusterName: n.clusterName, Config: snapshot.Config}})
	n.writeRecord(Record{HardState: &hardState})
	n.writeRecord(Record{Snapshot: &snapshot})
	for _, part := range snapshot.Parts {
		n.writeRecord(Record{snapshotPart: part})
	}
	for rest := n.log.entries; len(rest) > 0; {
		count := entriesWithin(rest, maxRecordBytes)
		n.writeRecord(Record{Entries: rest[:count]})
		rest = rest[count:]
	}
}

// sendSnapshot sends a member the next part of the snapshot, unless the reply to the last
// one is still awaited.
func (n *Node) sendSnapshot(peer Member, p *progress) {
	snapshot := n.log.snapshot
	minimumWait := snapshotRetryHeartbeats * n.timeouts.HeartbeatInterval
	number, ok := p.nextSnapshotPart(n.now.Mono, snapshot.PartCount, minimumWait)
	if !ok {
		return
	}
	n.send(peer.Addr, wire.InstallSnapshot, installSnapshot{
		appendEntries: n.newAppendEntries(peer, snapshot.Index),
		Snapshot:      snapshot,
		PartNumber:    number,
		Part:          snapshot.Parts[number],
	})
}

// onInstallSnapshot takes one part of a snapshot. With the last one it replaces the log, and
// acknowledges the snapshot once it is on disk (section 5.1 of the thesis). A log that has
// the snapshot's last entry is kept: this member may have acknowledged entries after it,
// which are committed by that (step 6 of InstallSnapshot in the paper's Figure 13).
func (n *Node) onInstallSnapshot(from types.Addr, request installSnapshot) {
	if !n.acceptLeader(from, request.appendEntries) {
		return
	}
	reply := n.newAppendReply(request.Round)
	reply.Success, reply.MatchIndex = true, request.Snapshot.Index
	if request.Snapshot.Index > n.log.commitIndex {
		if n.log.matches(request.Snapshot.Index, request.Snapshot.Term) {
			n.log.commitTo(request.Snapshot.Index)
			n.acknowledge(from, reply, request.Snapshot.Index)
			return
		}
		n.log.incoming.add(request.Term, request.Snapshot, request.PartNumber, request.Part)
		if len(n.log.incoming.Parts) < request.Snapshot.PartCount {
			reply.MatchIndex, reply.SnapshotParts = 0, len(n.log.incoming.Parts)
			n.send(from, wire.AppendReply, reply)
			return
		}
		n.restoreSnapshot()
	}
	n.sendAfterBatch(n.disk.writtenBatch, from, wire.AppendReply, reply)
}

// restoreSnapshot replaces the log by the snapshot that was received completely.
func (n *Node) restoreSnapshot() {
	n.log.restoreSnapshot(n.log.incoming.Snapshot)
	n.assignRole()
	n.rewriteLogFile()
	n.log.awaitSync(n.disk.writtenBatch)
}
