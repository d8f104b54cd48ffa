package raft

import (
	"encoding/json"

	"coppercourse/internal/types"
)

// Entry is a log entry. It holds a state machine command in Data, a configuration, or neither.
type Entry struct {
	Term   types.Term      `json:"term"`
	Index  types.Index     `json:"index"`
	Data   json.RawMessage `json:"data,omitempty"`
	Config Configuration   `json:"config,omitempty"`
}

// raftLog is the log after the last snapshot, with the state derived from its content.
//
// Entry i of the log is entries[i-snapshot.Index-1]. At any time snapshot.Index <= commitIndex <=
// lastIndex, and no entry up to commitIndex is ever replaced (Leader Completeness and State
// Machine Safety, section 3.6 of the thesis).
type raftLog struct {
	snapshot Snapshot
	entries  []Entry // entries after the snapshot
	// bytes estimates the size of the entries and triggers compaction. Entries that are received
	// again are counted again, and entries restored from disk are not counted.
	bytes int

	// config is the latest configuration in the log, committed or not, and configIndex is the
	// index of its entry. A member uses a configuration as soon as it is in its log (section 4.1
	// of the thesis).
	config      Configuration
	configIndex types.Index

	commitIndex types.Index // index of the highest entry known to be committed
	syncedIndex types.Index // index of the highest entry known to be on this member's disk
	unsynced    []unsyncedTail

	incoming incomingSnapshot
}

// unsyncedTail records that the log up to index is on disk once batch is synced.
type unsyncedTail struct {
	batch uint64
	index types.Index
}

// lastIndex returns the index of the last entry, or of the snapshot if no entry follows it.
func (l *raftLog) lastIndex() types.Index {
	return l.snapshot.Index + types.Index(len(l.entries))
}

// term returns the term of the entry at an index, or false if the log does not contain that entry
// or has compacted it.
func (l *raftLog) term(i types.Index) (types.Term, bool) {
	switch {
	case i == l.snapshot.Index:
		return l.snapshot.Term, true
	case i < l.snapshot.Index || i > l.lastIndex():
		return 0, false
	}
	return l.entry(i).Term, true
}

// entry returns the entry at an index, which must be after the snapshot and in the log.
func (l *raftLog) entry(i types.Index) Entry {
	return l.entries[i-l.snapshot.Index-1]
}

// lastTerm returns the term of the entry at lastIndex.
func (l *raftLog) lastTerm() types.Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// matches reports whether the log contains an entry with this index and term. An entry within the
// snapshot is committed, so the leader has the same one.
func (l *raftLog) matches(i types.Index, term types.Term) bool {
	if i < l.snapshot.Index {
		return true
	}
	own, ok := l.term(i)
	return ok && own == term
}

// entriesFrom returns the entries from an index on, which must be after the snapshot.
func (l *raftLog) entriesFrom(i types.Index) []Entry {
	return l.entries[i-l.snapshot.Index-1:]
}

// isUpToDate reports whether a log that ends with this term and index is at least as up to date as
// this log (section 3.6.1 of the thesis).
func (l *raftLog) isUpToDate(lastTerm types.Term, lastIndex types.Index) bool {
	own := l.lastTerm()
	return lastTerm > own || lastTerm == own && lastIndex >= l.lastIndex()
}

// firstConflict returns the position of the first of the given entries that the log lacks or has
// with another term, or false if the log contains all of them.
func (l *raftLog) firstConflict(entries []Entry) (int, bool) {
	for i, e := range entries {
		if term, ok := l.term(e.Index); !ok || term != e.Term {
			return i, true
		}
	}
	return 0, false
}

// truncateAndAppend truncates the log at the first of the given entries and appends them. Entries
// that start within the snapshot are ignored, since the snapshot covers committed entries only.
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

// recomputeConfiguration determines the configuration in force after entries were removed.
func (l *raftLog) recomputeConfiguration() {
	l.config, l.configIndex = l.snapshot.Config, l.snapshot.Index
	l.applyConfigurations(l.entries)
}

// applyConfigurations puts the last configuration in the given entries in force, if there is one.
func (l *raftLog) applyConfigurations(entries []Entry) {
	for _, e := range entries {
		if e.Config != nil {
			l.config, l.configIndex = e.Config, e.Index
		}
	}
}

// configurationAt returns the configuration in force at the entry with an index.
func (l *raftLog) configurationAt(i types.Index) Configuration {
	config := l.snapshot.Config
	for _, e := range l.entries[:i-l.snapshot.Index] {
		if e.Config != nil {
			config = e.Config
		}
	}
	return config
}

// commitTo raises the commit index, which never decreases.
func (l *raftLog) commitTo(i types.Index) {
	l.commitIndex = max(l.commitIndex, i)
}

// awaitSync records that the current log is on disk once a batch is synced.
func (l *raftLog) awaitSync(batch uint64) {
	l.unsynced = append(l.unsynced, unsyncedTail{batch, l.lastIndex()})
}

// onSynced raises the synced index to the last entry covered by the synced batches.
func (l *raftLog) onSynced(batch uint64) {
	for len(l.unsynced) > 0 && l.unsynced[0].batch <= batch {
		l.syncedIndex = max(l.syncedIndex, l.unsynced[0].index)
		l.unsynced = l.unsynced[1:]
	}
}

// markUnsyncedFrom marks the entries from an index on as not synced, now or by any batch written
// so far, because they are about to be replaced.
func (l *raftLog) markUnsyncedFrom(i types.Index) {
	l.syncedIndex = min(l.syncedIndex, i-1)
	for k := range l.unsynced {
		l.unsynced[k].index = min(l.unsynced[k].index, i-1)
	}
}

// dataBytes returns the total size of the entries' data.
func dataBytes(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Data)
	}
	return total
}
