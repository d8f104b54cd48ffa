// The roll and its changes, one vote at a time: an empty member is let in
// without a vote, learns, is promoted where a voter of its locality is dead,
// and then the dead one is struck off. Also the table from a note's kind to
// what a member does with it.
package accord

import (
	"time"

	"coppercourse/mark"
	"coppercourse/word"
)

const (
	seats = 3
	gap   = 64
	idle  = 30 * time.Second
)

var table = map[string]func(*Core, word.Note){
	word.Found:   word.On((*Core).onFound),
	word.Join:    word.On((*Core).onJoin),
	word.Ballot:  word.On((*Core).onBallot),
	word.Vote:    word.On((*Core).onVote),
	word.Append:  word.On((*Core).onPush),
	word.Append2: word.On((*Core).onTaken),
	word.Snap:    word.On((*Core).onSnap),
	word.Heir:    word.On((*Core).onHeir),
	word.Gone:    word.On((*Core).onGone),
}

// Take handles a note; false when it is not one for this machine.
func (c *Core) Take(now mark.Now, n word.Note) bool {
	c.now = now
	f, ok := table[n.Kind]
	if ok && c.role != out {
		f(c, n)
	}
	return ok
}

func (c *Core) onGone(_ mark.Addr, g gone) {
	if g.Name == c.name && g.ID == c.self.ID && c.role != lead && g.At >= c.commit {
		c.role, c.why = out, "struck off the roll; empty the data folder to come back as a new member"
	}
}

func (c *Core) settled() bool { return c.commit >= c.first && c.commit >= c.rollAt && c.heir == "" }

func (c *Core) onJoin(from mark.Addr, j join) {
	if c.role != lead || j.Name != c.name || !c.settled() {
		return
	}
	_, ok := c.roll.Find(j.Who.ID)
	if !ok && j.Old && c.Firm() {
		c.say(from, word.Gone, gone{c.name, j.Who.ID, c.commit})
	}
	if ok || j.Old || len(c.roll) >= 2*seats {
		return
	}
	j.Who.Vote = false
	c.change(append(c.roll[:len(c.roll):len(c.roll)], j.Who))
}

func (c *Core) change(r Roll) {
	c.append(Entry{Roll: r})
	for _, m := range r {
		c.mate(m.ID)
	}
}

func (c *Core) without(id mark.ID) (r Roll) {
	for _, m := range c.roll {
		if m.ID != id {
			r = append(r, m)
		}
	}
	return
}

// tend makes at most one change to the roll.
func (c *Core) tend() {
	if !c.settled() {
		return
	}
	quiet := func(m Member) time.Duration {
		if m.ID == c.self.ID {
			return 0
		}
		return c.now.Mono.Sub(c.mate(m.ID).heard)
	}
	here := map[mark.Locality]int{}
	for _, m := range c.roll {
		if m.Vote {
			here[m.Loc]++
		}
	}
	var worst *Member
	for i, m := range c.roll {
		if m.Vote && m.ID != c.self.ID && (quiet(m) > c.pace.Dead || here[m.Loc] > 1) &&
			(worst == nil || quiet(m) > quiet(*worst)) {
			worst = &c.roll[i]
		}
	}
	if c.roll.Votes() > seats && worst != nil {
		c.change(c.without(worst.ID))
		return
	}
	for i, m := range c.roll {
		if m.Vote {
			continue
		}
		if quiet(m) > idle {
			c.change(c.without(m.ID))
			return
		}
		ready := quiet(m) < c.pace.Stall && c.mate(m.ID).match+gap >= c.commit && c.mate(m.ID).match > 0
		need := c.roll.Votes() < seats
		for _, v := range c.roll {
			need = need || v.Vote && v.Loc == m.Loc && quiet(v) > c.pace.Dead
		}
		if ready && need {
			r := append(Roll{}, c.roll...)
			r[i].Vote = true
			c.change(r)
			return
		}
	}
}
