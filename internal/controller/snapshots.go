package controller

import (
	"fmt"

	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	// DefaultSnapshotThreshold is how many entries the log grows by before it is
	// compacted, unless they are large.
	DefaultSnapshotThreshold types.Index = 4096
	// MaxEntriesBetweenSnapshots is how many entries the log grows by at most, however
	// small they are beside the snapshot.
	MaxEntriesBetweenSnapshots types.Index = 50_000

	largeLogBytes             = 4 << 20   // entries of so many bytes are compacted before the threshold
	snapshotWriteBytesPerStep = 64 << 10  // about what one step writes of a snapshot
	snapshotLoadBytesPerStep  = 256 << 10 // about what one step loads of a snapshot
)

// snapshotSchedule keeps when the log is to be compacted. The log must have grown by a
// good part of the snapshot that would replace it, so that the file on disk is not
// rewritten more often than that is worth.
type snapshotSchedule struct {
	threshold types.Index // entries between two snapshots at least
	index     types.Index // last entry in the newest snapshot, or in the one being written
	bytes     int         // size of the newest snapshot
}

// newSnapshotSchedule returns a writer with so many entries between two snapshots at least; 0
// is DefaultSnapshotThreshold.
func newSnapshotSchedule(threshold types.Index) snapshotSchedule {
	if threshold == 0 {
		threshold = DefaultSnapshotThreshold
	}
	return snapshotSchedule{threshold: threshold}
}

// due reports whether the log has grown enough to be compacted.
func (w *snapshotSchedule) due(applied types.Index, logBytes int) bool {
	entries := applied - w.index
	if entries <= w.threshold && logBytes <= largeLogBytes {
		return false
	}
	return logBytes >= w.bytes/2 || entries >= MaxEntriesBetweenSnapshots
}

// begin records that a snapshot of the entries up to an index is being written.
func (w *snapshotSchedule) begin(index types.Index) { w.index = index }

// lastIndex returns the last entry in the newest snapshot, or in the one being written.
func (w *snapshotSchedule) lastIndex() types.Index { return w.index }

// completed records the newest snapshot, written or loaded.
func (w *snapshotSchedule) completed(index types.Index, bytes int) { w.index, w.bytes = index, bytes }

// snapshotLoader restores the state from a snapshot, a bounded part a step.
type snapshotLoader struct {
	decoder *state.Loader // nil unless a snapshot is being loaded
	index   types.Index   // last entry in the snapshot that is being or was last loaded
}

// active reports whether a snapshot is being loaded.
func (s *snapshotLoader) active() bool { return s.decoder != nil }

// lastIndex returns the last entry in the snapshot that is being or was last loaded.
func (s *snapshotLoader) lastIndex() types.Index { return s.index }

// start begins with a snapshot, in place of one that was being loaded.
func (s *snapshotLoader) start(snapshot raft.Snapshot) {
	s.decoder, s.index = state.NewLoader(snapshot.Parts), snapshot.Index
}

// loadPart loads the next part. It returns the state once that is complete, before that
// nil. A snapshot that can't be decoded is a fault of this program and panics.
func (s *snapshotLoader) loadPart() *state.State {
	loaded, err := s.decoder.Load(snapshotLoadBytesPerStep)
	if err != nil {
		panic(fmt.Errorf("load the snapshot up to log entry %d: %w", s.index, err))
	}
	if loaded != nil {
		s.decoder = nil
	}
	return loaded
}

// totalBytes returns the size of a snapshot.
func totalBytes(parts [][]byte) int {
	bytes := 0
	for _, part := range parts {
		bytes += len(part)
	}
	return bytes
}
