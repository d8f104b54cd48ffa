// Transfer of leadership from a leader whose daemon can't keep up: to a voter that has
// all that is committed and whose event loop is clearly less behind. A leader elected
// that way must lead for a while before it transfers for the same reason, and for twice
// as long with each such transfer in a row: where all are as busy, or the work itself
// is too much for any of them, leadership does not go round.
package raft

import (
	"time"

	"coppercourse/internal/types"
)

const (
	minOverloadedTenure  = 10 * time.Second // a leader's time before its first such transfer
	maxOverloadDoublings = 5                // of that time
	targetLagDivisor     = 2                // a target's lag is at most this part of the leader's
)

// SetLoopLag tells the node how far its daemon's event loop is behind with control work.
func (n *Node) SetLoopLag(lag time.Duration) { n.loopLag = lag }

// MaxLoopLag is how far a leader's loop may be behind for long: half of the shortest
// election timeout, beyond which its heartbeats are hardly in time.
func (n *Node) MaxLoopLag() time.Duration { return n.timeouts.MinElectionTimeout / 2 }

// TransferWhenOverloaded transfers leadership if this leader has led for long enough and
// another voter would do better.
func (n *Node) TransferWhenOverloaded(now types.Now, led time.Duration) bool {
	if led < minOverloadedTenure<<min(n.overloadTransfers, maxOverloadDoublings) {
		return false
	}
	n.announcedTransfers = n.overloadTransfers + 1
	return n.transferTo(now, func(p *progress) bool {
		return p.match >= n.commitIndex && p.loopLag <= n.loopLag/targetLagDivisor
	})
}
