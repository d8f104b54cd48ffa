// What a member does about a disk that is slow, stalls or refuses: it has no
// duty and no vote to give until what it wrote is synced.
package raft

import (
	"slices"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// stuck is true when the disk has not answered for as long as a duty may wait.
func (n *Node) diskStalled() bool {
	return n.writtenBatch > n.syncedBatch && n.now.Mono.Sub(n.diskAnsweredAt) > n.timeouts.StallTimeout
}

// DiskStalled tells whether the disk holds this member up.
func (n *Node) DiskStalled() bool { return n.diskStalled() }

// DiskFailed tells that the disk refuses what it was given and is tried again:
// that counts as a wait that has already been too long.
func (n *Node) DiskFailed(now types.Now) {
	n.now = now
	if n.writtenBatch == n.syncedBatch {
		return
	}
	n.diskAnsweredAt = now.Mono.Add(-n.timeouts.StallTimeout - 1)
	if n.role == roleLeader {
		n.tickLeader()
	}
}

// SetStateLoading tells whether the state is still being read back: a member without it
// could lead and serve nobody, so it doesn't stand for election.
func (n *Node) SetStateLoading(loading bool) { n.stateLoading = loading }

// dropSuperseded forgets answers to a leader that wait for the disk and that a newer
// one makes needless, so that a disk in trouble for hours takes no memory.
func (n *Node) dropSuperseded(newer wire.OutboundMessage) {
	n.pendingSends = slices.DeleteFunc(n.pendingSends, func(h pendingSend) bool {
		return h.send.To == newer.To && h.send.Message.Kind == newer.Message.Kind
	})
}

// MessagesAwaitingSync counts the messages that wait for the disk.
func (n *Node) MessagesAwaitingSync() int { return len(n.pendingSends) }
