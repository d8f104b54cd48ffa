// The roll and its changes, one vote at a time: an empty member is let in
// without a vote, learns, and is promoted. One that was not there at the first
// start is a guest until it has replaced one that is gone, which is struck off, or
// has come to stay. None is struck off but by a replacement, however long it is
// silent. Also the table from a note's kind to what a member does with it.
package raft

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	most  = 9  // voters
	crowd = 12 // members
	gap   = 64
	idle  = 30 * time.Second
)

var table = map[string]func(*Node, wire.Message){
	wire.Found:   wire.On((*Node).onFound),
	wire.Join:    wire.On((*Node).onJoin),
	wire.Ballot:  wire.On((*Node).onBallot),
	wire.Vote:    wire.On((*Node).onVote),
	wire.Append:  wire.On((*Node).onPush),
	wire.Append2: wire.On((*Node).onTaken),
	wire.Snap:    wire.On((*Node).onSnap),
	wire.Heir:    wire.On((*Node).onHeir),
	wire.Gone:    wire.On((*Node).onGone),
}

// Take handles a note; false when it is not one for this machine.
func (c *Node) Take(now types.Now, n wire.Message) bool {
	c.now = now
	f, ok := table[n.Kind]
	if ok && c.role != out {
		f(c, n)
	}
	return ok
}

func (c *Node) onGone(_ types.Addr, g gone) {
	if g.Name == c.name && g.ID == c.self.ID && c.role != lead && g.At >= c.commit {
		c.role, c.why = out, "struck off the roll; empty the data folder to come back as a new member"
	}
}

// settled is true for a leader whose roll is committed, and an entry of its term.
func (c *Node) settled() bool { return c.commit >= c.first && c.commit >= c.rollAt && c.heir == "" }

func (c *Node) onJoin(from types.Addr, j join) {
	if c.role != lead || j.Name != c.name || !c.settled() {
		return
	}
	_, ok := c.roll.Find(j.Who.ID)
	if !ok && j.Old && c.Firm() {
		c.say(from, wire.Gone, gone{c.name, j.Who.ID, c.commit})
	}
	if ok || j.Old || len(c.roll) >= crowd {
		return
	}
	j.Who.Vote = false
	c.change(append(c.roll[:len(c.roll):len(c.roll)], j.Who))
}

func (c *Node) change(r Roll) {
	c.append(Entry{Roll: r})
	for _, m := range r {
		c.peer(m.ID)
	}
}

func (c *Node) without(id types.ID) (r Roll) {
	for _, m := range c.roll {
		if m.ID != id {
			r = append(r, m)
		}
	}
	return
}

// quiet is how long a member has not been heard.
func (c *Node) quiet(m Member) time.Duration {
	if m.ID == c.self.ID {
		return 0
	}
	return c.now.Mono.Sub(c.peer(m.ID).heard)
}

// ready is true for a member that answers now and has nearly all of the log.
func (c *Node) ready(m Member) bool {
	if m.ID == c.self.ID {
		return true
	}
	t := c.peer(m.ID)
	return c.quiet(m) < c.pace.Stall && t.match+gap >= c.commit && t.match > 0
}

// tend makes at most one change to the roll.
func (c *Node) tend() {
	if !c.settled() {
		return
	}
	for _, m := range c.roll {
		if o, ok := c.former(m); ok && c.ready(m) {
			c.replace(m, o)
			return
		}
	}
	for _, m := range c.roll {
		if !m.Vote && c.quiet(m) > idle {
			c.change(c.without(m.ID))
			return
		}
		if v, ok := c.dead(m); ok && m.Guest && c.ready(m) {
			c.replace(m, v)
			return
		}
	}
	for i, m := range c.roll {
		if m.Vote || !c.ready(m) || c.roll.Votes() >= most || m.Guest && c.doubt(m) {
			continue
		}
		r := slices.Clone(c.roll)
		r[i].Vote = true
		c.change(r)
		return
	}
	c.welcome()
}

// former is a member at another's address: its disk was lost, since another
// identity answers there.
func (c *Node) former(m Member) (Member, bool) {
	for _, o := range c.roll {
		if o.Addr == m.Addr && o.ID != m.ID && c.quiet(o) > c.quiet(m) {
			return o, true
		}
	}
	return Member{}, false
}

// dead is the voter that a guest replaces: the one of its zone that has been
// silent longest, for long enough; and where there are as many voters as may be, any
// that has been silent for much longer.
func (c *Node) dead(m Member) (worst Member, ok bool) {
	full := !m.Vote && c.roll.Votes() >= most
	for _, v := range c.roll {
		q := c.quiet(v)
		gone := v.Zone == m.Zone && q > c.pace.Dead || full && q > idle
		if v.Vote && v.ID != m.ID && gone && (!ok || q > c.quiet(worst)) {
			worst, ok = v, true
		}
	}
	return
}

// doubt is true while a voter of a guest's zone is silent: it may be the one
// that the guest replaces, or be back soon.
func (c *Node) doubt(m Member) bool {
	return slices.ContainsFunc(c.roll, func(v Member) bool { return v.Vote && v.Zone == m.Zone && c.quiet(v) > c.pace.Least })
}

// replace strikes off one that is gone, for a member that is no guest from then on.
// The vote, where it has none, comes with the next change, so that each is one vote
// apart from the last, and none asks for more of those that live than the last did.
func (c *Node) replace(m, gone Member) {
	r := c.without(gone.ID)
	for i := range r {
		if r[i].ID == m.ID {
			r[i].Guest = m.Guest && (gone.Guest || !gone.Vote)
		}
	}
	c.change(r)
}

// welcome makes a guest that has long voted beside all others, with none of them
// silent, one of them: it has come to stay.
func (c *Node) welcome() {
	for _, m := range c.roll {
		if m.Vote && c.quiet(m) > c.pace.Stall {
			c.calm = c.now.Mono
		}
	}
	if c.now.Mono.Sub(c.calm) < idle {
		return
	}
	r := slices.Clone(c.roll)
	for i := range r {
		if r[i].Vote && r[i].Guest {
			r[i].Guest = false
			c.change(r)
			return
		}
	}
}
