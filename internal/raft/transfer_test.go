package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// newTestLeader is one of three voters; the other two, b and c, have so much of the log, and
// their event loops lag so far behind.
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
	for _, c := range []struct {
		name   string
		match  [2]types.Index
		lags   [2]time.Duration
		target types.ID
	}{
		{"one is as loaded", [2]types.Index{10, 10}, [2]time.Duration{0, time.Second}, "b"},
		{"one has more of the log", [2]types.Index{10, 12}, [2]time.Duration{0, 100 * time.Millisecond}, "c"},
		{"one lacks a committed entry", [2]types.Index{9, 10}, [2]time.Duration{0, 100 * time.Millisecond}, "c"},
		{"both lack a committed entry", [2]types.Index{9, 9}, [2]time.Duration{0, 0}, ""},
		{"neither is less loaded", [2]types.Index{10, 10}, [2]time.Duration{time.Second, 600 * time.Millisecond}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newTestLeader(c.match, c.lags)
			is.Equal(n.TransferWhenOverloaded(types.Now{}, minOverloadedTenure), c.target != "")
			is.Equal(n.transfer.target, c.target)
		})
	}
}

// TestOverloadTransfersBackOff: leadership that is transferred again and again since each
// leader is overloaded stays longer each time.
func TestOverloadTransfersBackOff(t *testing.T) {
	is := is.New(t)
	tenure := minOverloadedTenure
	for transfers := range 8 {
		n := newTestLeader([2]types.Index{10, 10}, [2]time.Duration{})
		n.transfer.overloadCount = transfers
		is.True(!n.TransferWhenOverloaded(types.Now{}, tenure-1))
		is.True(n.TransferWhenOverloaded(types.Now{}, tenure))
		is.Equal(n.transfer.announcedCount, transfers+1)
		if transfers < maxOverloadDoublings {
			tenure *= 2
		}
	}
	is.Equal(tenure, minOverloadedTenure<<maxOverloadDoublings)
}

// TestPlannedTransferResetsBackOff: a transfer for another reason waits for nothing, and what
// follows begins anew.
func TestPlannedTransferResetsBackOff(t *testing.T) {
	is := is.New(t)
	n := newTestLeader([2]types.Index{10, 10}, [2]time.Duration{})
	n.transfer.overloadCount = 3
	is.True(n.TransferLeadership(types.Now{}))
	is.Equal(n.transfer.announcedCount, 0)
}
