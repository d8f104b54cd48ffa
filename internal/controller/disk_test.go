package controller

// Members whose disks refuse writes: they have no vote and do not lead, and recover without
// help.

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/wire"
)

// handOverTime is how long it takes until another leads when a leader's disk is full.
func handOverTime(t *testing.T, hidesDiskErrors bool) (time.Duration, *cluster, *member) {
	t.Helper()
	c := newCluster(t, 21, 600)
	c.changes(20, 1000)
	m := c.leader()
	m.diskFull, m.hidesDiskErrors = true, hidesDiskErrors
	change := wire.EncodeBody(table(m.machine.log.state().Table.Version, 1000))
	m.ask(wire.VerbPutTable, "", change, func(wire.Response) {})
	took := c.until(10*time.Second, "another leader", func() bool { l := c.leader(); return l != nil && l != m })
	return took, c, m
}

func TestALeaderWithAFullDiskHandsOverAtOnce(t *testing.T) {
	is := is.New(t)
	took, c, m := handOverTime(t, false)
	is.True(took < 200*time.Millisecond)
	for range 20 {
		c.change(1000)
		c.run(500 * time.Millisecond)
		is.True(!m.machine.raft.IsLeader())
		is.True(!m.machine.Ready())
		is.True(strings.Contains(m.machine.Status().Reason, "no space left"))
	}
	m.diskFull = false
	c.until(time.Second, "caught up", func() bool { return c.caughtUp(m) })
	is.True(m.machine.Ready())
	is.Equal(m.machine.Status().Reason, "")
	is.Equal(m.machine.log.state().Table.Version, c.acknowledged)
	is.Equal(c.violation, "")
}

func TestADiskThatFailsSilentlyIsNoticedLater(t *testing.T) {
	if took, _, _ := handOverTime(t, true); took < 200*time.Millisecond {
		t.Errorf("the planted bug is not caught: %v", took)
	}
}

// Two of three disks are full: nothing is acknowledged that only one could keep,
// and all goes on when they are back.
func TestNothingIsAcknowledgedWithoutAMajorityOfDisks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 22, 600)
	c.changes(20, 1000)
	before := c.change(1000)
	for _, m := range c.members {
		m.diskFull = m != c.leader()
	}
	acknowledged := 0
	for range 20 {
		if m := c.leader(); m != nil {
			change := wire.EncodeBody(table(m.machine.log.state().Table.Version, 1000))
			m.ask(wire.VerbPutTable, "", change, func(a wire.Response) {
				if a.Error == nil {
					acknowledged++
				}
			})
		}
		c.run(500 * time.Millisecond)
	}
	is.Equal(acknowledged, 0)
	for _, m := range c.members { // power goes before the disks are back: what waited is lost
		m.kill()
		m.diskFull = false
	}
	for _, m := range c.members {
		m.start(false)
	}
	c.until(5*time.Second, "a leader", func() bool { return c.leader() != nil })
	is.True(c.leader().machine.log.state().Table.Version >= before)
	c.change(1000)
	is.Equal(c.violation, "")
}

// A member whose disk is full for long keeps a bounded number of records in memory.
func TestWhatWaitsForAFullDiskIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 23, 600)
	m := c.follower()
	m.diskFull = true
	sent := m.appendReplies
	for range 10 {
		c.changes(300, 1000)
		c.run(2 * time.Second)
	}
	is.True(m.machine.raft.MessagesAwaitingSync() < 50)
	is.True(m.appendReplies > sent)
	m.diskFull = false
	c.until(catchUpTime, "caught up", func() bool { return c.caughtUp(m) })
	is.Equal(c.violation, "")
}
