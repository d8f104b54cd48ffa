// What the owner of a node asks between its events.
package raft

import "coppercourse/internal/types"

// Observe takes the time of an event that is not for this node, so that its lease
// is judged by that time and not by the time of the event before.
func (n *Node) Observe(now types.Now) { n.now = now }

// LeaderIsRecent tells whether a leader is known, other than this node, and was
// heard within the time for which it may answer reads.
func (n *Node) LeaderIsRecent() bool {
	return n.role != leader && n.leaderAddr != "" && n.now.Mono.Sub(n.leaderHeardAt) < n.timeouts.ElectionMin
}
