// Elections: a pre-vote that disturbs nobody, then a vote that is on disk
// before it is told. A member that hears a live leader, or that has only just
// started, gives no vote, which is what makes the leader's read grant sound;
// a successor named by the leader itself is excused from that.
package raft

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func (c *Node) campaign(pre, named bool) {
	c.rest()
	c.role, c.pre, c.votes = stand, pre, map[types.ID]bool{c.self.ID: true}
	c.leader, c.leadAt = "", ""
	next := c.vow.Term + 1
	c.ruled = max(c.heard, c.led)
	if !pre {
		c.swear(Vow{Term: next, For: c.self.ID})
	}
	t, _ := c.term(c.last())
	for _, m := range c.roll {
		if m.Vote && m.ID != c.self.ID {
			c.say(m.Addr, wire.Ballot, ballot{c.name, c.self.ID, m.ID, next, c.last(), t, pre, named})
		}
	}
}

func (c *Node) onBallot(from types.Addr, b ballot) {
	if b.Name != c.name || b.To != c.self.ID || c.name == "" {
		return
	}
	if c.role == lead {
		if _, ok := c.roll.Find(b.ID); !ok && c.Firm() && c.settled() {
			c.say(from, wire.Gone, gone{c.name, b.ID, c.commit})
			return
		}
	}
	calm := c.now.Mono.Sub(c.heard) >= c.pace.Least && c.now.Mono.Sub(c.boot) >= c.pace.Least && c.role != lead
	t, _ := c.term(c.last())
	newer := b.LastT > t || b.LastT == t && b.Last >= c.last()
	if b.Pre {
		yes := calm && newer && b.Term > c.vow.Term
		c.say(from, wire.Vote, vote{Name: c.name, ID: c.self.ID, Term: b.Term, Pre: true, Yes: yes})
		if !yes && b.Term <= c.vow.Term {
			c.say(from, wire.Vote, vote{Name: c.name, ID: c.self.ID, Term: c.vow.Term})
		}
		return
	}
	if !calm && !b.Heir {
		return
	}
	if b.Term > c.vow.Term {
		c.yield(b.Term)
	}
	yes := b.Term == c.vow.Term && newer && (c.vow.For == "" || c.vow.For == b.ID) && c.role != lead
	if yes && c.vow.For == "" {
		c.swear(Vow{Term: b.Term, For: b.ID})
		c.rest()
	}
	c.say(from, wire.Vote, vote{Name: c.name, ID: c.self.ID, Term: c.vow.Term, Yes: yes, Quiet: c.now.Mono.Sub(max(c.heard, c.led)).Milliseconds()})
}

func (c *Node) onVote(_ types.Addr, v vote) {
	if v.Name != c.name {
		return
	}
	if !v.Pre && v.Term > c.vow.Term {
		c.yield(v.Term)
		return
	}
	want := c.vow.Term
	if c.pre {
		want++
	}
	if c.role != stand || v.Pre != c.pre || v.Term != want || !v.Yes {
		return
	}
	c.votes[v.ID] = true
	c.ruled = max(c.ruled, c.now.Mono.Add(-time.Duration(v.Quiet)*time.Millisecond))
	n := 0
	for _, m := range c.roll {
		if m.Vote && c.votes[m.ID] {
			n++
		}
	}
	if n <= c.roll.Votes()/2 {
		return
	}
	if c.pre {
		c.campaign(false, false)
		return
	}
	c.crown()
}

// yield takes a higher term and gives up whatever this member was.
func (c *Node) yield(t types.Term) {
	c.swear(Vow{Term: t})
	c.leader, c.leadAt = "", ""
	c.settle()
	c.rest()
}

func (c *Node) crown() {
	c.role, c.leader, c.leadAt = lead, c.self.ID, c.self.Addr
	c.heir, c.pulse, c.calm = "", 0, c.now.Mono
	c.peers = map[types.ID]*track{}
	for _, m := range c.roll {
		c.peer(m.ID)
	}
	c.append(Entry{Roll: c.roll})
	c.first = c.last()
}

func (c *Node) peer(id types.ID) *track {
	t, ok := c.peers[id]
	if !ok {
		t = &track{next: c.last() + 1, heard: c.now.Mono, round: -1 << 62}
		c.peers[id] = t
	}
	return t
}

// round is the start of the newest round that a majority has answered.
func (c *Node) round() types.Stamp {
	return nth(c, func(m Member) types.Stamp {
		if m.ID == c.self.ID {
			return c.now.Mono
		}
		return c.peer(m.ID).round
	})
}

// Ruled is when an earlier leader can last have had authority: a majority's last
// answer to it came from one of those who voted for this one.
func (c *Node) Ruled() types.Stamp { return c.ruled }

// Firm says whether answers may be given as the leader: a majority confirmed
// it within the shortest election wait, and an entry of its term is committed.
func (c *Node) Firm() bool {
	return c.role == lead && c.heir == "" && c.commit >= c.first &&
		c.now.Mono.Sub(c.round()) < c.pace.Least*9/10
}

// Grace is how much longer this leader may let others act on its word.
func (c *Node) Grace() time.Duration {
	if c.role != lead {
		return 0
	}
	return max(0, c.round().Add(c.pace.Hold).Sub(c.now.Mono))
}

// Leave takes no duty from now on and hands over the one held.
func (c *Node) Leave(now types.Now) {
	c.going = true
	c.HandOver(now)
}

// HandOver names a successor: the voter that is furthest on and heard of last.
func (c *Node) HandOver(now types.Now) bool {
	c.now = now
	if c.role != lead || c.heir != "" {
		return false
	}
	var best *track
	for _, m := range c.roll {
		t := c.peer(m.ID)
		if m.Vote && m.ID != c.self.ID && now.Mono.Sub(t.heard) < c.pace.Least && (best == nil || t.match > best.match) {
			best, c.heir = t, m.ID
		}
	}
	c.heirBy = now.Mono.Add(c.pace.Least)
	return c.heir != ""
}

func (c *Node) onHeir(_ types.Addr, h heir) {
	if h.Name == c.name && h.To == c.self.ID && h.Term == c.vow.Term && c.role == follow && !c.stuck() && !c.loading && !c.going {
		c.campaign(false, true)
	}
}
