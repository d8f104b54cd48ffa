// Snapshots as the controller makes them and reads them back, both a bounded
// piece a step, so that neither keeps it from answering.
package controller

import (
	"coppercourse/internal/state"
)

// Every is how many entries the log grows at least before it is put together,
// unless they are large; and it must have grown to a good part of what it would
// be put together to, so that the file is not rewritten more often than it is worth.
const (
	Every     = 4096
	Far       = 50_000
	largeLog  = 4 << 20   // bytes of entries that are put together before there are Every
	writePart = 64 << 10  // about how many bytes of a snapshot one step writes
	readPart  = 256 << 10 // about how many bytes of a snapshot one step reads back
	// applyAtOnce is how many entries one step applies at most.
	applyAtOnce = 512
)

// compactionDue tells whether the log has grown enough to be put together.
func (co *Controller) compactionDue() bool {
	entries, bytes := co.applied-co.since, co.raft.LogBytes()
	every := co.options.Every
	if every == 0 {
		every = Every
	}
	if entries <= every && bytes <= largeLog {
		return false
	}
	return bytes >= co.shot/2 || entries >= Far
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
		co.since = co.applied
		co.state.BeginSnapshot()
	}
	if parts := co.state.ContinueSnapshot(writePart); parts != nil {
		co.shot = sizeOf(parts)
		co.raft.Compact(co.since, parts)
	}
}

func sizeOf(parts [][]byte) (bytes int) {
	for _, b := range parts {
		bytes += len(b)
	}
	return bytes
}

// beginLoad starts to read back the snapshot that the log begins with. Until it
// is done the state is the old one, nothing is applied, and this member does not
// stand for election.
func (co *Controller) beginLoad() {
	s := co.raft.Snapshot()
	co.loader, co.loaded = state.NewLoader(s.Parts), s.Index
	co.raft.SetStateLoading(true)
}

// loadPart reads on, and takes the state over once it is whole.
func (co *Controller) loadPart() {
	if co.loader == nil {
		return
	}
	whole, err := co.loader.Load(readPart)
	if err != nil {
		panic(err)
	}
	if whole == nil {
		return
	}
	co.state, co.applied, co.since, co.loader = whole, co.loaded, co.loaded, nil
	co.shot = sizeOf(co.raft.Snapshot().Parts)
	co.raft.AdvanceClock(whole.Time)
	co.raft.SetStateLoading(false)
}

// replaced tells whether a leader has sent a snapshot in place of what this
// member had.
func (co *Controller) replaced() bool {
	return co.raft.Snapshot().Index > max(co.applied, co.loaded)
}

// lags tells whether the state lacks something that is committed.
func (co *Controller) lags() bool { return co.loader != nil || co.applied < co.raft.CommittedIndex() }
