// The cluster's clock: kept by the leader, followed by the others, never set back.
package raft

import (
	"sort"

	"coppercourse/internal/types"
)

// Clock is the cluster's own time as this member knows it.
func (n *Node) Clock() types.ClusterTime { return n.clock.Add(n.now.Mono.Sub(n.clockSetAt)) }

// followClock takes over the clock of the leader of a term. A leader's value is older by
// its delay, so a follower's clock is never ahead of its leader's; one kept from an
// earlier leader might be, and is dropped. Each new leader has followed the last one
// that committed anything, so the cluster's clock may fall behind at a change of
// leader, by a message's delay, and never runs ahead.
func (n *Node) followClock(t types.Term, tick types.ClusterTime) {
	if t != n.clockTerm {
		n.clockTerm, n.clock, n.clockSetAt = t, tick, n.now.Mono
		return
	}
	n.AdvanceClock(tick)
}

// AdvanceClock moves the clock forward to at least t. The wall offsets of peers were
// counted from the earlier value and move with it.
func (n *Node) AdvanceClock(t types.ClusterTime) {
	by := t - n.Clock()
	if by <= 0 {
		return
	}
	n.clock, n.clockSetAt = t, n.now.Mono
	for _, m := range n.progress {
		m.wallOffset -= types.WallTime(by)
	}
}

// WallOffsets gives how far each voter's wall clock is from this leader's clock. A
// peer's value is older by its delay, so it can only seem too small.
func (n *Node) WallOffsets() []types.WallTime {
	list := []types.WallTime{n.now.Wall - types.WallTime(n.Clock())}
	for id, t := range n.progress {
		if m, ok := n.config.Find(id); ok && m.Voter && id != n.self.ID && n.now.Mono.Sub(t.lastHeardAt) < n.timeouts.StallTimeout {
			list = append(list, t.wallOffset)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
