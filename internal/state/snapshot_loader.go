package state

import (
	"encoding/json"

	"coppercourse/internal/apierror"
)

// Loader restores a snapshot, a bounded number of bytes at a time.
type Loader struct {
	state *State
	parts [][]byte // not yet read
}

// NewLoader returns a loader of a snapshot's parts. Without parts it restores the state before
// the first command.
func NewLoader(parts [][]byte) *Loader { return &Loader{state: New(), parts: parts} }

// Load reads parts until the budget in bytes is used up, but at least one part. It returns
// the state once all parts are read; before, it returns nil without an error. The error is of
// the kind Unusable.
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

// Restore reads all parts of a snapshot at once. The error is of the kind Unusable.
func Restore(parts [][]byte) (*State, error) {
	size := 1
	for _, part := range parts {
		size += len(part)
	}
	return NewLoader(parts).Load(size)
}

// loadPart adds the contents of one part of a snapshot to the state.
func (s *State) loadPart(encoded []byte) error {
	var part struct {
		Header     *header        `json:"head"`
		Jobs       []*Job         `json:"jobs"`
		Tombstones []tombstoneRow `json:"marks"`
	}
	part.Header = &s.header
	if err := json.Unmarshal(encoded, &part); err != nil {
		return apierror.Wrap(apierror.Unusable, err, "reading a part of the snapshot")
	}
	for _, job := range part.Jobs {
		s.Jobs[job.ID] = job
	}
	for _, row := range part.Tombstones {
		s.tombstones.put(row.id, row.tombstone)
	}
	return nil
}
