package raft

import (
	"slices"

	"coppercourse/internal/types"
)

// clusterClock is the cluster's own time, kept by the leader and followed by the others.
// Within a term it is never set back. Each new leader has followed the last one that
// committed anything, so the cluster's time may fall behind at a change of leader, by a
// message's delay, and never runs ahead.
type clusterClock struct {
	value types.ClusterTime
	setAt types.MonoTime // when it had that value
	term  types.Term     // of the leader that it follows
}

// at is the cluster's time at a time of this member's own clock.
func (c *clusterClock) at(now types.MonoTime) types.ClusterTime {
	return c.value.Add(now.Sub(c.setAt))
}

// set sets the cluster's time.
func (c *clusterClock) set(now types.MonoTime, value types.ClusterTime) {
	c.value, c.setAt = value, now
}

// Clock is the cluster's own time as this member knows it.
func (n *Node) Clock() types.ClusterTime { return n.clock.at(n.now.Mono) }

// adoptLeaderClock takes over the clock of the leader of a term. A leader's value is older by
// its delay, so a follower's clock is never ahead of its leader's; one kept from an earlier
// leader might be, and is dropped.
func (n *Node) adoptLeaderClock(term types.Term, leaderTime types.ClusterTime) {
	if term != n.clock.term {
		n.clock.term = term
		n.clock.set(n.now.Mono, leaderTime)
		return
	}
	n.AdvanceClock(leaderTime)
}

// AdvanceClock moves the clock forward to at least t. The wall offsets of peers were
// counted from the earlier value and move with it.
func (n *Node) AdvanceClock(t types.ClusterTime) {
	by := t - n.Clock()
	if by <= 0 {
		return
	}
	n.clock.set(n.now.Mono, t)
	for _, p := range n.leadership.progress {
		p.wallOffset -= types.WallTime(by)
	}
}

// WallOffsets gives how far each voter's wall clock is from this leader's clock, in
// ascending order and without the voters that are silent. A peer's value is older by its
// delay, so it can only seem too small.
func (n *Node) WallOffsets() []types.WallTime {
	offsets := []types.WallTime{n.now.Wall - types.WallTime(n.Clock())}
	for id, p := range n.leadership.progress {
		m, ok := n.log.config.Find(id)
		if !ok || !m.Voter || id == n.self.ID || n.now.Mono.Sub(p.lastHeardAt) >= n.timeouts.StallTimeout {
			continue
		}
		offsets = append(offsets, p.wallOffset)
	}
	slices.Sort(offsets)
	return offsets
}
