package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
)

// aLeader is one of three voters, of which the others have so much of the log and
// are so far behind with their work.
func aLeader(match [2]types.Index, lags [2]time.Duration) *Node {
	n := &Node{timeouts: Defaults, role: leader, self: Member{ID: "a"}, commitIndex: 10, lag: time.Second, progress: map[types.ID]*progress{},
		config: Configuration{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}}
	for i, id := range []types.ID{"b", "c"} {
		n.progress[id] = &progress{match: match[i], lag: lags[i]}
	}
	return n
}

func TestAnOverloadedLeaderTransfersToOneThatIsLessBehindAndHasAllThatIsCommitted(t *testing.T) {
	const led = overloadRest
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
		n := aLeader(c.match, c.lags)
		is.Equal(n.TransferOverloaded(types.Now{}, led), c.heir != "")
		is.Equal(n.transferTarget, c.heir)
	}
}

// A duty that is handed on again and again stays longer each time.
func TestOverloadTransfersDoNotGoRound(t *testing.T) {
	is := is.New(t)
	rest := overloadRest
	for reliefs := range 8 {
		n := aLeader([2]types.Index{10, 10}, [2]time.Duration{})
		n.overloadTransfers = reliefs
		is.True(!n.TransferOverloaded(types.Now{}, rest-1))
		is.True(n.TransferOverloaded(types.Now{}, rest))
		is.Equal(n.announcedTransfers, reliefs+1)
		if reliefs < maxOverloadDoublings {
			rest *= 2
		}
	}
	is.Equal(rest, overloadRest<<maxOverloadDoublings)
	n := aLeader([2]types.Index{10, 10}, [2]time.Duration{})
	n.overloadTransfers = 3
	is.True(n.TransferLeadership(types.Now{})) // a planned stop waits for nothing
	is.Equal(n.announcedTransfers, 0)          // and what follows begins anew
}
