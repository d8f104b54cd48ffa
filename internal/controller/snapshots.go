// Snapshots as the controller makes them and reads them back, both a bounded
// piece a step, so that neither keeps it from answering.
package controller

import (
	"coppercourse/internal/state"
)

// DefaultSnapshotThreshold is how many entries the log grows at least before it is put together,
// unless they are large; and it must have grown to a good part of what it would
// be put together to, so that the file is not rewritten more often than it is worth.
const (
	DefaultSnapshotThreshold   = 4096
	MaxEntriesBetweenSnapshots = 50_000
	largeLogBytes              = 4 << 20   // bytes of entries that are put together before there are Every
	snapshotWriteBytes         = 64 << 10  // about how many bytes of a snapshot one step writes
	snapshotReadBytes          = 256 << 10 // about how many bytes of a snapshot one step reads back
	// maxAppliesPerStep is how many entries one step applies at most.
	maxAppliesPerStep = 512
)

// compactionDue tells whether the log has grown enough to be put together.
func (co *Controller) compactionDue() bool {
	entries, bytes := co.applied-co.snapshotIndex, co.raft.LogBytes()
	every := co.options.SnapshotThreshold
	if every == 0 {
		every = DefaultSnapshotThreshold
	}
	if entries <= every && bytes <= largeLogBytes {
		return false
	}
	return bytes >= co.snapshotBytes/2 || entries >= MaxEntriesBetweenSnapshots
}

// writeSnapshotPart puts the log together, a little a step.
func (co *Controller) writeSnapshotPart() {
	if co.loader != nil {
		return
	}
	if !co.state.SnapshotInProgress() {
		if !co.compactionDue() {
			return
		}
		co.snapshotIndex = co.applied
		co.state.BeginSnapshot()
	}
	if parts := co.state.ContinueSnapshot(snapshotWriteBytes); parts != nil {
		co.snapshotBytes = totalBytes(parts)
		co.raft.Compact(co.snapshotIndex, parts)
	}
}

func totalBytes(parts [][]byte) (bytes int) {
	for _, b := range parts {
		bytes += len(b)
	}
	return bytes
}

// startSnapshotLoad starts to read back the snapshot that the log begins with. Until it
// is done the state is the old one, nothing is applied, and this member does not
// stand for election.
func (co *Controller) startSnapshotLoad() {
	s := co.raft.Snapshot()
	co.loader, co.loadedIndex = state.NewLoader(s.Parts), s.Index
	co.raft.SetStateLoading(true)
}

// loadSnapshotPart reads on, and takes the state over once it is whole.
func (co *Controller) loadSnapshotPart() {
	if co.loader == nil {
		return
	}
	whole, err := co.loader.Load(snapshotReadBytes)
	if err != nil {
		panic(err)
	}
	if whole == nil {
		return
	}
	co.state, co.applied, co.snapshotIndex, co.loader = whole, co.loadedIndex, co.loadedIndex, nil
	co.snapshotBytes = totalBytes(co.raft.Snapshot().Parts)
	co.raft.AdvanceClock(whole.Time)
	co.raft.SetStateLoading(false)
}

// snapshotReplaced tells whether a leader has sent a snapshot in place of what this
// member had.
func (co *Controller) snapshotReplaced() bool {
	return co.raft.Snapshot().Index > max(co.applied, co.loadedIndex)
}

// isLagging tells whether the state lacks something that is committed.
func (co *Controller) isLagging() bool {
	return co.loader != nil || co.applied < co.raft.CommittedIndex()
}
