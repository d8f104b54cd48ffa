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
	maxBatch      = 256
	bulk          = 1 << 20 // bytes of entries that one record of the file holds, but for a larger entry
	maxLogEntries = 120_000 // entries that a log may have before it takes no more
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
	e.Term, e.Index = n.voteRecord.Term, n.lastIndex()+1
	n.logBytes += len(e.Data)
	n.storeEntries([]Entry{e})
	n.write(Record{Entries: []Entry{e}})
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
func (n *Node) Propose(fact json.RawMessage) (types.Index, bool) {
	if n.role != leader || n.transferTarget != "" || len(n.log) > maxLogEntries {
		return 0, false
	}
	return n.appendEntry(Entry{Data: fact}), true
}

// replicate sends each member what it has not been sent. Entries that come while earlier
// ones are in flight wait for the answer, so that under load one message carries what
// one sync of a member's disk can take.
func (n *Node) replicate() {
	if n.transferTarget != "" && n.progressOf(n.transferTarget).match == n.lastIndex() {
		m, _ := n.config.Find(n.transferTarget)
		n.send(m.Addr, wire.Heir, timeoutNow{n.name, n.transferTarget, n.voteRecord.Term, n.announcedTransfers})
		n.stepDown()
		return
	}
	due := n.now.Mono.Sub(n.lastRoundAt) >= n.timeouts.Heartbeat
	if due {
		n.lastRoundAt = n.now.Mono
	}
	for _, m := range n.config {
		if m.ID == n.self.ID {
			continue
		}
		t := n.progressOf(m.ID)
		if n.now.Mono.Sub(t.heardAt) > n.timeouts.ElectionMin { // silent: only asked whether it is there
			if due {
				t.next, t.flow = t.match+1, flow{}
				n.probe(m, t)
			}
			continue
		}
		if due && t.match+1 < t.next && n.now.Mono.Sub(t.sentAt) > t.flow.patience(2*n.timeouts.Heartbeat) {
			t.next = t.match + 1
			t.flow.lost()
		}
		flying := t.match+1 < t.next && n.now.Mono.Sub(t.sentAt) < n.timeouts.Heartbeat
		switch {
		case t.match+1 < t.next && t.flow.full():
			if due {
				n.probe(m, t)
			}
		case due || t.next <= n.lastIndex() && !flying:
			n.sendNext(m, t)
		}
	}
}

func (n *Node) newAppend(m Member, prev types.Index) appendEntries {
	t, _ := n.termAt(prev)
	return appendEntries{Name: n.name, ID: n.self.ID, To: m.ID, Term: n.voteRecord.Term, PrevIndex: prev, PrevTerm: t, Commit: n.commitIndex,
		Round: n.now.Mono, Tick: n.Clock()}
}

// probe sends a silent member no entries, so that nothing piles up in flight.
func (n *Node) probe(m Member, t *progress) {
	n.send(m.Addr, wire.Append, n.newAppend(m, max(t.match, n.snapshot.Index)))
}

func (n *Node) sendNext(m Member, t *progress) {
	p := n.newAppend(m, t.next-1)
	if t.next <= n.snapshot.Index {
		if n.now.Mono.Sub(t.sentAt) > t.flow.patience(5*n.timeouts.Heartbeat) && n.snapshot.Count > 0 {
			if t.sentAt != never {
				t.flow.lost()
			}
			t.sentAt, p.PrevIndex, p.PrevTerm = n.now.Mono, n.snapshot.Index, n.snapshot.Term
			t.flow.sent(n.now.Mono)
			t.part = min(t.part, n.snapshot.Count-1)
			n.send(m.Addr, wire.Snap, installSnapshot{p, n.snapshot, t.part, n.snapshot.Parts[t.part]})
		}
		return
	}
	if t.next <= n.lastIndex() {
		rest := n.log[t.next-n.snapshot.Index-1:]
		p.Entries = t.flow.take(n.now.Mono, rest)
		t.next += types.Index(len(p.Entries))
		t.sentAt = n.now.Mono
	}
	n.send(m.Addr, wire.Append, p)
}

func (n *Node) onAppendEntries(from types.Addr, p appendEntries) {
	for i, e := range p.Entries {
		if e.Index != p.PrevIndex+types.Index(i)+1 {
			return // not what a leader says
		}
	}
	if !n.acceptLeader(from, p) {
		return
	}
	a := appendReply{Name: n.name, ID: n.self.ID, Term: n.voteRecord.Term, Round: p.Round, Wall: n.now.Wall, LagMS: n.lag.Milliseconds(), Leaving: n.stopping}
	t, ok := n.termAt(p.PrevIndex)
	if p.PrevIndex < n.snapshot.Index {
		skip := min(int(n.snapshot.Index-p.PrevIndex), len(p.Entries))
		p.Entries, p.PrevIndex = p.Entries[skip:], p.PrevIndex+types.Index(skip)
		ok, t, p.PrevTerm = true, n.snapshot.Term, n.snapshot.Term
	}
	if !ok || t != p.PrevTerm {
		a.Match = min(n.lastIndex(), p.PrevIndex-1)
		n.send(from, wire.Append2, a)
		return
	}
	tip := p.PrevIndex + types.Index(len(p.Entries))
	for i, e := range p.Entries {
		if t, ok := n.termAt(e.Index); !ok || t != e.Term {
			n.syncedIndex = min(n.syncedIndex, e.Index-1)
			for j := range n.unsynced {
				n.unsynced[j].at = min(n.unsynced[j].at, e.Index-1)
			}
			n.storeEntries(p.Entries[i:])
			n.write(Record{Entries: p.Entries[i:]})
			n.trackSync()
			n.assignRole()
			break
		}
	}
	for _, e := range p.Entries {
		n.logBytes += len(e.Data)
	}
	n.commitIndex = max(n.commitIndex, min(p.Commit, tip))
	a.OK, a.Match = true, min(tip, n.syncedIndex)
	if tip <= n.syncedIndex || n.now.Mono.Sub(n.diskAnsweredAt) >= n.timeouts.Heartbeat { // a slow disk is no silence
		n.send(from, wire.Append2, a)
	}
	if tip > n.syncedIndex {
		a.Match = tip
		n.sendAfter(n.writtenBatch, from, wire.Append2, a)
	}
}

// acceptLeader is the part common to entries and snapshots: false unless the message is
// for this node and from the leader of the current term.
func (n *Node) acceptLeader(from types.Addr, p appendEntries) bool {
	if p.To != n.self.ID || n.name != "" && p.Name != n.name {
		return false
	}
	if n.name == "" {
		k := BootstrapConfig{Name: p.Name}
		if n.promised != nil && n.promised.Name == p.Name {
			k = *n.promised
		}
		n.adoptBootstrap(k)
	}
	if p.Term < n.voteRecord.Term {
		n.send(from, wire.Append2, appendReply{Name: n.name, ID: n.self.ID, Term: n.voteRecord.Term})
		return false
	}
	if p.Term > n.voteRecord.Term {
		n.becomeFollower(p.Term)
	}
	if n.role == removed {
		n.role, n.reason = learner, "" // let in again
	}
	n.assignRole()
	n.leaderID, n.leaderAddr, n.leaderHeardAt = p.ID, from, n.now.Mono
	n.followClock(p.Term, p.Tick)
	n.resetElectionTimer()
	return true
}

func (n *Node) onInstallSnapshot(from types.Addr, s installSnapshot) {
	if !n.acceptLeader(from, s.appendEntries) {
		return
	}
	a := appendReply{Name: n.name, ID: n.self.ID, Term: n.voteRecord.Term, OK: true, Match: s.Snap.Index, Round: s.Round, Wall: n.now.Wall, Leaving: n.stopping}
	if s.Snap.Index > n.commitIndex {
		if x := &n.incoming; x.Index != s.Snap.Index || x.Term != s.Snap.Term {
			*x = s.Snap
		}
		if s.PartNo == len(n.incoming.Parts) {
			n.incoming.Parts = append(n.incoming.Parts, s.Part)
		}
		if len(n.incoming.Parts) < s.Snap.Count {
			a.Match, a.Parts = 0, len(n.incoming.Parts)
			n.send(from, wire.Append2, a)
			return
		}
		n.snapshot, n.log, n.unsynced = n.incoming, nil, nil
		n.incoming, n.logBytes = Snapshot{}, 0
		n.commitIndex, n.syncedIndex = s.Snap.Index, 0
		n.reloadConfig()
		n.assignRole()
		n.rewrite()
		n.trackSync()
	}
	n.sendAfter(n.writtenBatch, from, wire.Append2, a)
}

func (n *Node) onAppendReply(_ types.Addr, a appendReply) {
	if a.Name != n.name {
		return
	}
	if a.Term > n.voteRecord.Term {
		n.becomeFollower(a.Term)
		return
	}
	if _, ok := n.config.Find(a.ID); !ok || n.role != leader || a.Term != n.voteRecord.Term {
		return
	}
	t := n.progressOf(a.ID)
	if a.Round > t.round {
		t.round, t.wallOffset = a.Round, a.Wall-types.WallTime(n.Clock())
	}
	t.heardAt, t.lag, t.leaving = n.now.Mono, time.Duration(a.LagMS)*time.Millisecond, a.Leaving
	if a.Parts > 0 {
		if a.Parts != t.part { // else it is of a part that was sent twice
			t.flow.answered(n.now.Mono, n.timeouts.ElectionMin)
			t.part, t.sentAt = a.Parts, never
		}
		return
	}
	if !a.OK {
		t.part, t.flow.flying = 0, 0
		t.match = min(t.match, a.Match)
		t.next = a.Match + 1
		return
	}
	if a.Match > t.match {
		t.match = a.Match
		t.next = max(t.next, t.match+1)
		if t.next == t.match+1 {
			t.flow.answered(n.now.Mono, n.timeouts.ElectionMin)
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
	if t, ok := n.termAt(to); ok && t == n.voteRecord.Term && to > n.commitIndex {
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
	n.snapshot = Snapshot{Index: i, Term: t, Config: config, Count: len(parts), Parts: parts}
	n.logBytes = 0
	for _, e := range n.log {
		n.logBytes += len(e.Data)
	}
	for _, m := range n.progress {
		m.part = 0
	}
	instead := append([]Record{}, n.writes...)
	if n.replacesFile {
		instead = nil
	}
	n.rewrite()
	n.instead = instead
	n.trackSync()
}

// rewrite collects the records that replace the whole file.
func (n *Node) rewrite() {
	n.writes, n.instead = nil, nil
	v, s := n.voteRecord, n.snapshot
	n.write(Record{Identity: &Identity{n.self.ID, n.bootstrap.First}})
	n.write(Record{Bootstrap: &BootstrapConfig{Name: n.name, Config: s.Config}})
	n.write(Record{Vote: &v})
	n.write(Record{Snapshot: &s})
	for _, b := range s.Parts {
		n.write(Record{part: b})
	}
	for rest := n.log; len(rest) > 0; {
		count := within(rest, bulk)
		n.write(Record{Entries: rest[:count]})
		rest = rest[count:]
	}
	n.replacesFile = true
}

// leaderTick is what the leader does as time passes.
func (n *Node) leaderTick() {
	if n.transferTarget != "" && n.now.Mono >= n.transferDeadline {
		n.stepDown()
		return
	}
	if n.now.Mono.Sub(n.quorumRound()) > n.timeouts.Stall && n.now.Mono.Sub(n.progressOf(n.self.ID).heardAt) > n.timeouts.Stall {
		n.stepDown()
		return
	}
	if n.diskStalled() && n.transferTarget == "" && !n.TransferLeadership(n.now) {
		n.stepDown()
		return
	}
	n.maintainMembers()
}

func (n *Node) stepDown() {
	n.transferTarget, n.leaderID, n.leaderAddr = "", "", ""
	n.role = follower
	n.assignRole()
	n.resetElectionTimer()
	n.electionDeadline = n.electionDeadline.Add(n.timeouts.ElectionMin)
}
