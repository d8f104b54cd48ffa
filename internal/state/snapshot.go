package state

// The snapshot, put together a little a step. Every job is written as it was
// when the snapshot began: one that is about to change before its turn is
// written first. So no step ever writes out everything, no second copy of the
// state is held, and all runs in one goroutine, in the simulator too.

import (
	"encoding/json"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

type header struct {
	Time         types.ClusterTime                `json:"tick"`
	WallOffset   types.WallTime                   `json:"off"`
	Table        config.Table                     `json:"table"`
	WorkerShapes map[types.Shard]WorkerShape      `json:"shapes"`
	LastSeq      uint64                           `json:"seq"`
	History      History                          `json:"past"`
	QueueCounts  map[types.QueueName]*QueueCounts `json:"count"`
	Drains       []Drain                          `json:"drains,omitempty"`
	Calendars    []Calendar                       `json:"plans,omitempty"`
	// Retired are the rows of queues that were left out with unfinished jobs.
	RemovedQueues map[types.QueueName]config.Queue `json:"retired,omitempty"`
}

type snapshotWriter struct {
	number  uint64
	pending []*Job
	parts   [][]byte
	buffer  []byte
}

// partBytes is how much one part of a snapshot holds at most, but for one job.
const partBytes = 128 << 10

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// BeginSnapshot starts a snapshot of the state as it is now.
func (s *State) BeginSnapshot() {
	s.snapshotNumber++
	writer := &snapshotWriter{number: s.snapshotNumber, pending: append(append(make([]*Job, 0, len(s.Jobs)), s.endedJobs...), s.LiveJobs()...)}
	writer.parts = append(writer.parts, mustMarshal(map[string]header{"head": s.header}))
	for _, p := range s.tombstones.pages {
		writer.parts = append(writer.parts, s.tombstones.encode(p))
	}
	s.snapshot = writer
}

// SnapshotInProgress tells whether a snapshot is under way.
func (s *State) SnapshotInProgress() bool { return s.snapshot != nil }

// ContinueSnapshot goes on with the snapshot for about so many bytes; its parts come once
// it is whole.
func (s *State) ContinueSnapshot(budget int) (parts [][]byte) {
	writer := s.snapshot
	for from := len(writer.parts)*partBytes + len(writer.buffer); len(writer.pending) > 0; writer.pending = writer.pending[1:] {
		if len(writer.parts)*partBytes+len(writer.buffer)-from > budget {
			return nil
		}
		s.beforeChange(writer.pending[0])
	}
	writer.flush()
	s.snapshot = nil
	return writer.parts
}

// beforeChange is called before a job changes: a snapshot under way gets it as it is.
func (s *State) beforeChange(j *Job) {
	j.readyCache = nil
	writer := s.snapshot
	if writer == nil || j.snapshotNumber >= writer.number {
		return
	}
	j.snapshotNumber = writer.number
	b := mustMarshal(j)
	if len(writer.buffer)+len(b) > partBytes {
		writer.flush()
	}
	if len(writer.buffer) == 0 {
		writer.buffer = append(writer.buffer, `{"jobs":[`...)
	} else {
		writer.buffer = append(writer.buffer, ',')
	}
	writer.buffer = append(writer.buffer, b...)
}

func (s *snapshotWriter) flush() {
	if len(s.buffer) > 0 {
		s.parts, s.buffer = append(s.parts, append(s.buffer, `]}`...)), nil
	}
}

// Loader reads a snapshot back, a bounded piece at a time.
type Loader struct {
	state *State
	parts [][]byte
}

// NewLoader starts reading a snapshot's parts; none gives the state before the
// first fact.
func NewLoader(parts [][]byte) *Loader { return &Loader{state: New(), parts: parts} }

// Load reads parts for about so many bytes, one at least, and gives the state
// once it is whole.
func (l *Loader) Load(budget int) (*State, error) {
	for budget > 0 && len(l.parts) > 0 {
		budget -= len(l.parts[0])
		if err := l.state.loadPart(l.parts[0]); err != nil {
			return nil, err
		}
		l.parts = l.parts[1:]
	}
	if len(l.parts) > 0 {
		return nil, nil
	}
	l.state.buildIndexes()
	return l.state, nil
}

// Restore reads all of a snapshot at once.
func Restore(parts [][]byte) (*State, error) {
	size := 1
	for _, b := range parts {
		size += len(b)
	}
	return NewLoader(parts).Load(size)
}

// loadSnapshotPart takes over one part.
func (s *State) loadPart(b []byte) error {
	var part struct {
		Head  *header        `json:"head"`
		Jobs  []*Job         `json:"jobs"`
		Marks []tombstoneRow `json:"marks"`
	}
	part.Head = &s.header
	if err := json.Unmarshal(b, &part); err != nil {
		return apierror.Wrap(apierror.Unusable, err, "snapshot")
	}
	for _, j := range part.Jobs {
		s.Jobs[j.ID] = j
	}
	for _, l := range part.Marks {
		s.tombstones.put(l.id, l.tombstone)
	}
	return nil
}
