package state

import (
	"encoding/json"
	"fmt"
)

// partBytes is the maximum size of a part of a snapshot. Only a single larger job exceeds it.
const partBytes = 128 << 10

// snapshotWriter writes a snapshot incrementally, a part of it with each step of the
// controller. The snapshot holds the state at its beginning: a job that is about to change
// and is not yet written is written first (copy on write). Thus no step encodes the whole
// state, and no second copy of it is in memory.
type snapshotWriter struct {
	number  uint64
	pending []*Job // jobs not yet visited; some may already be written
	parts   [][]byte
	buffer  []byte // the part in progress
}

// BeginSnapshot begins a snapshot of the current state. It writes the header and the
// tombstones; ContinueSnapshot writes the jobs.
func (s *State) BeginSnapshot() {
	s.snapshotNumber++
	pending := make([]*Job, 0, len(s.Jobs))
	pending = append(pending, s.index.ended...)
	pending = append(pending, s.LiveJobs()...)
	writer := &snapshotWriter{number: s.snapshotNumber, pending: pending}
	writer.parts = append(writer.parts, mustMarshal(map[string]header{"head": s.header}))
	for _, page := range s.tombstones.pages {
		writer.parts = append(writer.parts, s.tombstones.encode(page))
	}
	s.snapshot = writer
}

// SnapshotInProgress reports whether a snapshot has begun and is not complete.
func (s *State) SnapshotInProgress() bool { return s.snapshot != nil }

// ContinueSnapshot writes about budget bytes of the snapshot in progress, of which there must
// be one. It returns the parts once the snapshot is complete, and nil before.
func (s *State) ContinueSnapshot(budget int) (parts [][]byte) {
	writer := s.snapshot
	limit := writer.size() + budget
	for ; len(writer.pending) > 0; writer.pending = writer.pending[1:] {
		if writer.size() > limit {
			return nil
		}
		s.beforeChange(writer.pending[0])
	}
	writer.flush()
	s.snapshot = nil
	return writer.parts
}

// beforeChange must be called before a job changes. It writes the unchanged job to the
// snapshot in progress, if any, and invalidates the job's ready index.
func (s *State) beforeChange(job *Job) {
	job.readyIndex = nil
	if s.snapshot == nil || job.snapshotNumber >= s.snapshot.number {
		return
	}
	job.snapshotNumber = s.snapshot.number
	s.snapshot.add(mustMarshal(job))
}

// size returns the approximate number of bytes written.
func (w *snapshotWriter) size() int { return len(w.parts)*partBytes + len(w.buffer) }

// add writes an encoded job.
func (w *snapshotWriter) add(job []byte) {
	if len(w.buffer)+len(job) > partBytes {
		w.flush()
	}
	if len(w.buffer) == 0 {
		w.buffer = append(w.buffer, `{"jobs":[`...)
	} else {
		w.buffer = append(w.buffer, ',')
	}
	w.buffer = append(w.buffer, job...)
}

// flush completes the part in progress.
func (w *snapshotWriter) flush() {
	if len(w.buffer) == 0 {
		return
	}
	w.parts = append(w.parts, append(w.buffer, `]}`...))
	w.buffer = nil
}

// mustMarshal encodes a value of this package. All of them can be encoded, so an error is a
// programming error.
func mustMarshal(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("state: encoding %T: %v", v, err))
	}
	return encoded
}
