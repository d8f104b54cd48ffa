// Relief of a leader whose daemon can't keep up: it hands over to a voter that has
// all that is committed and whose loop is clearly less behind. A leader that came
// so must lead for a while before it hands over for the same reason, and for twice
// as long with each such change in a row: where all are as busy, or the work itself
// is too much for any of them, the duty does not go round.
package raft

import (
	"time"

	"coppercourse/internal/types"
)

const (
	reliefRest  = 10 * time.Second // a leader's time before its first relief
	mostReliefs = 5                // doublings of it
	lessBehind  = 2                // a successor's lag is at most this part of the leader's
)

// Lag tells the member how far its daemon's loop is behind with control work.
func (c *Node) Lag(lag time.Duration) { c.lag = lag }

// Tolerance is how far a leader's loop may be behind for long: half of the shortest
// election wait, beyond which its heartbeats are hardly in time.
func (c *Node) Tolerance() time.Duration { return c.pace.Least / 2 }

// Relieve hands over if this leader may and another voter would do better.
func (c *Node) Relieve(now types.Now, led time.Duration) bool {
	if led < reliefRest<<min(c.reliefs, mostReliefs) {
		return false
	}
	c.heirReliefs = c.reliefs + 1
	return c.handOver(now, func(t *track) bool { return t.match >= c.commit && t.lag <= c.lag/lessBehind })
}
