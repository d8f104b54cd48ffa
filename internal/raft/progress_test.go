package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

const testElectionTimeout = 500 * time.Millisecond

// TestProgressOnRejected: the leader goes back to where the logs may match, also behind what
// has matched before: a late rejection only delays.
func TestProgressOnRejected(t *testing.T) {
	for _, c := range []struct {
		name      string
		match     types.Index
		rejected  types.Index
		wantMatch types.Index
		wantNext  types.Index
	}{
		{"log is shorter", 5, 8, 5, 9},
		{"late rejection", 5, 2, 2, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &progress{match: c.match, next: 20, snapshotParts: 3, window: sendWindow{inFlightBytes: 100}}
			p.onRejected(c.rejected)
			is.Equal(p.match, c.wantMatch)
			is.Equal(p.next, c.wantNext)
			is.Equal(p.snapshotParts, 0)
			is.Equal(p.window.inFlightBytes, 0)
		})
	}
}

// TestProgressOnMatched: a late reply takes nothing back, and the window opens only when all
// that was sent is acknowledged.
func TestProgressOnMatched(t *testing.T) {
	for _, c := range []struct {
		name      string
		matched   types.Index
		wantMatch types.Index
		wantNext  types.Index
		inFlight  bool
	}{
		{"late reply", 4, 5, 11, true},
		{"part of what was sent", 8, 8, 11, true},
		{"all that was sent", 10, 10, 11, false},
		{"more than was sent since", 14, 14, 15, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &progress{match: 5, next: 11, window: sendWindow{inFlightBytes: 100}}
			p.onMatched(1, c.matched, testElectionTimeout)
			is.Equal(p.match, c.wantMatch)
			is.Equal(p.next, c.wantNext)
			is.Equal(p.hasInFlight(), c.inFlight)
			is.Equal(p.window.inFlightBytes > 0, c.inFlight)
		})
	}
}

// TestProgressOnSnapshotPart: the next part may go out at once, but not for the reply to a
// part that was sent twice.
func TestProgressOnSnapshotPart(t *testing.T) {
	is := is.New(t)
	p := &progress{lastSentAt: 7}
	p.onSnapshotPart(8, 1, testElectionTimeout)
	is.Equal(p.snapshotParts, 1)
	is.Equal(p.lastSentAt, never)
	p.lastSentAt = 9
	p.onSnapshotPart(10, 1, testElectionTimeout)
	is.Equal(p.lastSentAt, types.MonoTime(9))
}
