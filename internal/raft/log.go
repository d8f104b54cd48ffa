package raft

import (
	"encoding/json"

	"coppercourse/internal/types"
)

// Entry is one entry of the log: a command of the state machine in Data, or a
// configuration, or neither.
type Entry struct {
	Term   types.Term      `json:"term"`
	Index  types.Index     `json:"index"`
	Data   json.RawMessage `json:"data,omitempty"`
	Config Configuration   `json:"config,omitempty"`
}

// raftLog is the log from the last snapshot on, and what follows from its content.
//
// Entry i of the log is entries[i-snapshot.Index-1]. At any time
// snapshot.Index <= commitIndex <= lastIndex, and no entry up to commitIndex is ever
// replaced (Leader Completeness and State Machine Safety, section 3.6 of the thesis).
type raftLog struct {
	snapshot Snapshot
	entries  []Entry // those after the snapshot
	// bytes estimates the size of the entries, for the decision to compact. Entries that
	// are received again count again, and those that were read back from disk do not count.
	bytes int

	// config is the latest configuration in the log, committed or not, and configIndex the
	// entry that has it. A member uses it from the moment it is in its log (section
	// 4.1 of the thesis).
	config      Configuration
	configIndex types.Index

	commitIndex types.Index // highest entry known to be committed
	syncedIndex types.Index // highest entry known to be on this member's disk
	unsynced    []unsyncedTail

	incoming incomingSnapshot
}

// unsyncedTail says that the log up to an index is on disk once a batch is synced.
type unsyncedTail struct {
	batch uint64
	index types.Index
}

// lastIndex is the index of the last entry, or of the snapshot if there is none after it.
func (l *raftLog) lastIndex() types.Index {
	return l.snapshot.Index + types.Index(len(l.entries))
}

// term is the term of an entry; false if the log has no such entry, or no longer.
func (l *raftLog) term(i types.Index) (types.Term, bool) {
	switch {
	case i == l.snapshot.Index:
		return l.snapshot.Term, true
	case i < l.snapshot.Index || i > l.lastIndex():
		return 0, false
	}
	return l.entry(i).Term, true
}

// entry is the entry at an index, which is after the snapshot and in the log.
func (l *raftLog) entry(i types.Index) Entry {
	return l.entries[i-l.snapshot.Index-1]
}

// lastTerm is the term of the entry at lastIndex.
func (l *raftLog) lastTerm() types.Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// matches tells whether the log has an entry of such an index and term. One that is within
// the snapshot is committed, so that a leader has the same one.
func (l *raftLog) matches(i types.Index, term types.Term) bool {
	if i < l.snapshot.Index {
		return true
	}
	own, ok := l.term(i)
	return ok && own == term
}

// entriesFrom returns the entries from an index on, which is after the snapshot.
func (l *raftLog) entriesFrom(i types.Index) []Entry {
	return l.entries[i-l.snapshot.Index-1:]
}

// isUpToDate tells whether a log that ends with an entry of such a term and index is at
// least as up to date as this one (section 3.6.1 of the thesis).
func (l *raftLog) isUpToDate(lastTerm types.Term, lastIndex types.Index) bool {
	own := l.lastTerm()
	return lastTerm > own || lastTerm == own && lastIndex >= l.lastIndex()
}

// firstConflict is the position of the first of some entries that the log does not have,
// or has from another term; false if it has all of them.
func (l *raftLog) firstConflict(entries []Entry) (int, bool) {
	for i, e := range entries {
		if term, ok := l.term(e.Index); !ok || term != e.Term {
			return i, true
		}
	}
	return 0, false
}

// truncateAndAppend replaces the log from the first of some entries on. Entries that
// begin within the snapshot are ignored: what they say is known already.
func (l *raftLog) truncateAndAppend(entries []Entry) {
	first := entries[0].Index
	if first <= l.snapshot.Index {
		return
	}
	l.entries = append(l.entries[:first-l.snapshot.Index-1], entries...)
	if first <= l.configIndex {
		l.recomputeConfiguration()
		return
	}
	l.applyConfigurations(entries)
}

// recomputeConfiguration finds the configuration in force after entries were removed.
func (l *raftLog) recomputeConfiguration() {
	l.config, l.configIndex = l.snapshot.Config, l.snapshot.Index
	l.applyConfigurations(l.entries)
}

// applyConfigurations puts the last configuration in some entries in force, if they have one.
func (l *raftLog) applyConfigurations(entries []Entry) {
	for _, e := range entries {
		if e.Config != nil {
			l.config, l.configIndex = e.Config, e.Index
		}
	}
}

// configurationAt is the configuration that was in force at an entry of the log.
func (l *raftLog) configurationAt(i types.Index) Configuration {
	config := l.snapshot.Config
	for _, e := range l.entries[:i-l.snapshot.Index] {
		if e.Config != nil {
			config = e.Config
		}
	}
	return config
}

// commitTo raises the commit index; it never falls.
func (l *raftLog) commitTo(i types.Index) {
	l.commitIndex = max(l.commitIndex, i)
}

// awaitSync notes that the log as it is now is on disk once a batch is synced.
func (l *raftLog) awaitSync(batch uint64) {
	l.unsynced = append(l.unsynced, unsyncedTail{batch, l.lastIndex()})
}

// onSynced raises the synced index to what a batch has brought to disk.
func (l *raftLog) onSynced(batch uint64) {
	for len(l.unsynced) > 0 && l.unsynced[0].batch <= batch {
		l.syncedIndex = max(l.syncedIndex, l.unsynced[0].index)
		l.unsynced = l.unsynced[1:]
	}
}

// markUnsyncedFrom forgets that entries from an index on are synced, or will be with the
// batches written so far: they are about to be replaced.
func (l *raftLog) markUnsyncedFrom(i types.Index) {
	l.syncedIndex = min(l.syncedIndex, i-1)
	for k := range l.unsynced {
		l.unsynced[k].index = min(l.unsynced[k].index, i-1)
	}
}

// dataBytes adds up the sizes of the entries' data.
func dataBytes(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Data)
	}
	return total
}
