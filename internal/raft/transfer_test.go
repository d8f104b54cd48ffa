package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// newTestLeader is one of three voters, of which the others have so much of the log and
// are so far behind with their work.
func newTestLeader(match [2]types.Index, lags [2]time.Duration) *Node {
	n := &Node{
		timeouts: DefaultTimeouts,
		self:     Member{ID: "a"},
		role:     roleLeader,
		log: raftLog{
			commitIndex: 10,
			config:      Configuration{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}},
		},
		daemon:  daemonState{loopLag: time.Second},
		leading: leadership{progress: map[types.ID]*progress{}},
	}
	for i, id := range []types.ID{"b", "c"} {
		n.leading.progress[id] = &progress{match: match[i], loopLag: lags[i]}
	}
	return n
}

func TestOverloadedLeaderTransfersToUpToDateLessLoadedVoter(t *testing.T) {
	const led = minOverloadedTenure
	for _, c := range []struct {
		match [2]types.Index
		lags  [2]time.Duration
		heir  types.ID
	}{
		{[2]types.Index{10, 10}, [2]time.Duration{0, time.Second}, "b"},
		{[2]types.Index{10, 12}, [2]time.Duration{0, 100 * time.Millisecond}, "c"},
		{[2]types.Index{9, 10}, [2]time.Duration{0, 100 * time.Millisecond}, "c"},
		{[2]types.Index{9, 9}, [2]time.Duration{0, 0}, ""},
		{[2]types.Index{10, 10}, [2]time.Duration{time.Second, 600 * time.Millisecond}, ""}, // no better off
	} {
		is := is.New(t)
		n := newTestLeader(c.match, c.lags)
		is.Equal(n.TransferWhenOverloaded(types.Now{}, led), c.heir != "")
		is.Equal(n.transfer.target, c.heir)
	}
}

// A duty that is handed on again and again stays longer each time.
func TestOverloadTransfersBackOff(t *testing.T) {
	is := is.New(t)
	rest := minOverloadedTenure
	for reliefs := range 8 {
		n := newTestLeader([2]types.Index{10, 10}, [2]time.Duration{})
		n.transfer.overloadCount = reliefs
		is.True(!n.TransferWhenOverloaded(types.Now{}, rest-1))
		is.True(n.TransferWhenOverloaded(types.Now{}, rest))
		is.Equal(n.transfer.announcedCount, reliefs+1)
		if reliefs < maxOverloadDoublings {
			rest *= 2
		}
	}
	is.Equal(rest, minOverloadedTenure<<maxOverloadDoublings)
	n := newTestLeader([2]types.Index{10, 10}, [2]time.Duration{})
	n.transfer.overloadCount = 3
	is.True(n.TransferLeadership(types.Now{})) // a planned stop waits for nothing
	is.Equal(n.transfer.announcedCount, 0)     // and what follows begins anew
}
