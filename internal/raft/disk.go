// What a member does about a disk that is slow, stalls or refuses: it has no
// duty and no vote to give until what it wrote is synced.
package raft

import (
	"slices"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// stuck is true when the disk has not answered for as long as a duty may wait.
func (c *Node) stuck() bool {
	return c.wrote > c.done && c.now.Mono.Sub(c.stall) > c.pace.Stall
}

// Stuck tells whether the disk holds this member up.
func (c *Node) Stuck() bool { return c.stuck() }

// DiskFailed tells that the disk refuses what it was given and is tried again:
// that counts as a wait that has already been too long.
func (c *Node) DiskFailed(now types.Now) {
	c.now = now
	if c.wrote == c.done {
		return
	}
	c.stall = now.Mono.Add(-c.pace.Stall - 1)
	if c.role == lead {
		c.duty()
	}
}

// Loading tells whether the state is still being read back: a member without it
// could lead and serve nobody, so it doesn't stand for election.
func (c *Node) Loading(yes bool) { c.loading = yes }

// Instead is what would be appended in place of the compaction in this step, for
// a disk without room for a second file; nil where there is no other way. It is
// asked for before Out.
func (c *Node) Instead() [][]byte {
	if c.instead == nil {
		return nil
	}
	return append([][]byte{}, encode(c.instead)...)
}

// dropHeld forgets answers to a leader that wait for the disk and that a newer
// one makes needless, so that a disk in trouble for hours takes no memory.
func (c *Node) dropHeld(newer wire.Send) {
	c.held = slices.DeleteFunc(c.held, func(h held) bool {
		return h.send.To == newer.To && h.send.Message.Kind == newer.Message.Kind
	})
}

// Waiting counts the messages that wait for the disk.
func (c *Node) Waiting() int { return len(c.held) }
