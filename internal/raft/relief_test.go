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
	c := &Node{pace: Defaults, role: lead, self: Member{ID: "a"}, commit: 10, lag: time.Second, peers: map[types.ID]*track{},
		roll: Roll{{ID: "a", Vote: true}, {ID: "b", Vote: true}, {ID: "c", Vote: true}}}
	for i, id := range []types.ID{"b", "c"} {
		c.peers[id] = &track{match: match[i], lag: lags[i]}
	}
	return c
}

func TestALeaderIsRelievedByOneThatIsLessBehindAndHasAllThatIsCommitted(t *testing.T) {
	const led = reliefRest
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
		is.Equal(n.Relieve(types.Now{}, led), c.heir != "")
		is.Equal(n.heir, c.heir)
	}
}

// A duty that is handed on again and again stays longer each time.
func TestReliefDoesNotGoRound(t *testing.T) {
	is := is.New(t)
	rest := reliefRest
	for reliefs := range 8 {
		n := aLeader([2]types.Index{10, 10}, [2]time.Duration{})
		n.reliefs = reliefs
		is.True(!n.Relieve(types.Now{}, rest-1))
		is.True(n.Relieve(types.Now{}, rest))
		is.Equal(n.heirReliefs, reliefs+1)
		if reliefs < mostReliefs {
			rest *= 2
		}
	}
	is.Equal(rest, reliefRest<<mostReliefs)
	n := aLeader([2]types.Index{10, 10}, [2]time.Duration{})
	n.reliefs = 3
	is.True(n.HandOver(types.Now{})) // a planned stop waits for nothing
	is.Equal(n.heirReliefs, 0)       // and what follows begins anew
}
