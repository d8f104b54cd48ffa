// The log's way from the leader to the others: rounds, entries, snapshots, and
// the commit that a majority of synced copies makes.
package raft

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	bunch   = 256
	bulk    = 1 << 20 // bytes of entries that one record of the file holds, but for a larger entry
	longest = 120_000 // entries that a log may have before it takes no more
)

const never = types.Stamp(-1 << 62)

func (c *Node) span(d time.Duration) time.Duration { return time.Duration(c.rnd.Int63n(int64(d))) }

// nth gives the value that a majority of voters has reached.
func nth[T cmp.Ordered](c *Node, f func(Member) T) T {
	var list []T
	for _, m := range c.roll {
		if m.Vote {
			list = append(list, f(m))
		}
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

func (c *Node) append(e Entry) types.Index {
	e.Term, e.Index = c.vow.Term, c.last()+1
	c.grown += len(e.Fact)
	c.put([]Entry{e})
	c.write(Record{Entries: []Entry{e}})
	c.marked()
	return e.Index
}

func (c *Node) marked() {
	c.marks = append(c.marks, struct {
		seq uint64
		at  types.Index
	}{c.wrote, c.last()})
}

// Propose puts a fact into the log; false when this member may not.
func (c *Node) Propose(fact json.RawMessage) (types.Index, bool) {
	if c.role != lead || c.heir != "" || len(c.log) > longest {
		return 0, false
	}
	return c.append(Entry{Fact: fact}), true
}

// flush sends each member what it has not been sent. Entries that come while earlier
// ones are on their way wait for the answer, so that under load one message carries
// what one sync of a member's disk can take.
func (c *Node) flush() {
	if c.heir != "" && c.peer(c.heir).match == c.last() {
		m, _ := c.roll.Find(c.heir)
		c.say(m.Addr, wire.Heir, heir{c.name, c.heir, c.vow.Term})
		c.retire()
		return
	}
	due := c.now.Mono.Sub(c.pulse) >= c.pace.Beat
	if due {
		c.pulse = c.now.Mono
	}
	for _, m := range c.roll {
		if m.ID == c.self.ID {
			continue
		}
		t := c.peer(m.ID)
		if c.now.Mono.Sub(t.heard) > c.pace.Least { // silent: only asked whether it is there
			if due {
				t.next, t.flow = t.match+1, flow{}
				c.probe(m, t)
			}
			continue
		}
		if due && t.match+1 < t.next && c.now.Mono.Sub(t.sent) > t.flow.patience(2*c.pace.Beat) {
			t.next = t.match + 1
			t.flow.lost()
		}
		flying := t.match+1 < t.next && c.now.Mono.Sub(t.sent) < c.pace.Beat
		switch {
		case t.match+1 < t.next && t.flow.full():
			if due {
				c.probe(m, t)
			}
		case due || t.next <= c.last() && !flying:
			c.feed(m, t)
		}
	}
}

func (c *Node) push(m Member, prev types.Index) push {
	t, _ := c.term(prev)
	return push{Name: c.name, ID: c.self.ID, To: m.ID, Term: c.vow.Term, Prev: prev, PrevT: t, Commit: c.commit,
		Round: c.now.Mono, Tick: c.Clock()}
}

// probe sends a member no entries, so that nothing piles up on the way to one
// that does not take it.
func (c *Node) probe(m Member, t *track) {
	c.say(m.Addr, wire.Append, c.push(m, max(t.match, c.snap.Index)))
}

func (c *Node) feed(m Member, t *track) {
	p := c.push(m, t.next-1)
	if t.next <= c.snap.Index {
		if c.now.Mono.Sub(t.sent) > t.flow.patience(5*c.pace.Beat) && c.snap.Count > 0 {
			if t.sent != never {
				t.flow.lost()
			}
			t.sent, p.Prev, p.PrevT = c.now.Mono, c.snap.Index, c.snap.Term
			t.flow.sent(c.now.Mono)
			t.part = min(t.part, c.snap.Count-1)
			c.say(m.Addr, wire.Snap, snap{p, c.snap, t.part, c.snap.Parts[t.part]})
		}
		return
	}
	if t.next <= c.last() {
		rest := c.log[t.next-c.snap.Index-1:]
		p.Entries = t.flow.take(c.now.Mono, rest)
		t.next += types.Index(len(p.Entries))
		t.sent = c.now.Mono
	}
	c.say(m.Addr, wire.Append, p)
}

func (c *Node) onPush(from types.Addr, p push) {
	for i, e := range p.Entries {
		if e.Index != p.Prev+types.Index(i)+1 {
			return // not what a leader says
		}
	}
	if !c.meet(from, p) {
		return
	}
	a := taken{Name: c.name, ID: c.self.ID, Term: c.vow.Term, Round: p.Round, Wall: c.now.Wall}
	t, ok := c.term(p.Prev)
	if p.Prev < c.snap.Index {
		skip := min(int(c.snap.Index-p.Prev), len(p.Entries))
		p.Entries, p.Prev = p.Entries[skip:], p.Prev+types.Index(skip)
		ok, t, p.PrevT = true, c.snap.Term, c.snap.Term
	}
	if !ok || t != p.PrevT {
		a.Match = min(c.last(), p.Prev-1)
		c.say(from, wire.Append2, a)
		return
	}
	tip := p.Prev + types.Index(len(p.Entries))
	for i, e := range p.Entries {
		if t, ok := c.term(e.Index); !ok || t != e.Term {
			c.synced = min(c.synced, e.Index-1)
			for j := range c.marks {
				c.marks[j].at = min(c.marks[j].at, e.Index-1)
			}
			c.put(p.Entries[i:])
			c.write(Record{Entries: p.Entries[i:]})
			c.marked()
			c.settle()
			break
		}
	}
	for _, e := range p.Entries {
		c.grown += len(e.Fact)
	}
	c.commit = max(c.commit, min(p.Commit, tip))
	a.OK, a.Match = true, min(tip, c.synced)
	if tip <= c.synced || c.now.Mono.Sub(c.stall) >= c.pace.Beat { // a slow disk is no silence
		c.say(from, wire.Append2, a)
	}
	if tip > c.synced {
		a.Match = tip
		c.hold(c.wrote, from, wire.Append2, a)
	}
}

// meet is what a push and a snapshot have in common: is it for me, is it from
// the leader of now, and if so it is heard.
func (c *Node) meet(from types.Addr, p push) bool {
	if p.To != c.self.ID || c.role == out || c.name != "" && p.Name != c.name {
		return false
	}
	if c.name == "" {
		k := Charter{Name: p.Name}
		if c.pledge != nil && c.pledge.Name == p.Name {
			k = *c.pledge
		}
		c.adopt(k)
	}
	if p.Term < c.vow.Term {
		c.say(from, wire.Append2, taken{Name: c.name, ID: c.self.ID, Term: c.vow.Term})
		return false
	}
	if p.Term > c.vow.Term {
		c.yield(p.Term)
	}
	c.settle()
	c.leader, c.leadAt, c.heard = p.ID, from, c.now.Mono
	c.follow(p.Term, p.Tick)
	c.rest()
	return true
}

func (c *Node) onSnap(from types.Addr, s snap) {
	if !c.meet(from, s.push) {
		return
	}
	a := taken{Name: c.name, ID: c.self.ID, Term: c.vow.Term, OK: true, Match: s.Snap.Index, Round: s.Round, Wall: c.now.Wall}
	if s.Snap.Index > c.commit {
		if x := &c.coming; x.Index != s.Snap.Index || x.Term != s.Snap.Term {
			*x = s.Snap
		}
		if s.No == len(c.coming.Parts) {
			c.coming.Parts = append(c.coming.Parts, s.Part)
		}
		if len(c.coming.Parts) < s.Snap.Count {
			a.Match, a.Parts = 0, len(c.coming.Parts)
			c.say(from, wire.Append2, a)
			return
		}
		c.snap, c.log, c.marks = c.coming, nil, nil
		c.coming, c.grown = Snap{}, 0
		c.commit, c.synced = s.Snap.Index, 0
		c.reroll()
		c.settle()
		c.rewrite()
		c.marked()
	}
	c.hold(c.wrote, from, wire.Append2, a)
}

func (c *Node) onTaken(_ types.Addr, a taken) {
	if a.Name != c.name {
		return
	}
	if a.Term > c.vow.Term {
		c.yield(a.Term)
		return
	}
	if _, ok := c.roll.Find(a.ID); !ok || c.role != lead || a.Term != c.vow.Term {
		return
	}
	t := c.peer(a.ID)
	if a.Round > t.round {
		t.round, t.off = a.Round, a.Wall-types.Wall(c.Clock())
	}
	t.heard = c.now.Mono
	if a.Parts > 0 {
		if a.Parts != t.part { // else it is of a part that was sent twice
			t.flow.answered(c.now.Mono, c.pace.Least)
			t.part, t.sent = a.Parts, never
		}
		return
	}
	if !a.OK {
		t.part, t.flow.flying = 0, 0
		t.match = min(t.match, a.Match)
		t.next = a.Match + 1
		return
	}
	if a.Match > t.match {
		t.match = a.Match
		t.next = max(t.next, t.match+1)
		if t.next == t.match+1 {
			t.flow.answered(c.now.Mono, c.pace.Least)
		}
	}
	c.advance()
}

func (c *Node) advance() {
	to := nth(c, func(m Member) types.Index {
		if m.ID == c.self.ID {
			return c.synced
		}
		return c.peer(m.ID).match
	})
	if t, ok := c.term(to); ok && t == c.vow.Term && to > c.commit {
		c.commit = to
	}
}

// Compact takes a state as of index i in place of the log up to it.
func (c *Node) Compact(i types.Index, parts [][]byte) {
	if i <= c.snap.Index || i > c.commit {
		return
	}
	t, _ := c.term(i)
	roll := c.snap.Roll
	for _, e := range c.log[:i-c.snap.Index] {
		if e.Roll != nil {
			roll = e.Roll
		}
	}
	c.log = slices.Clone(c.log[i-c.snap.Index:])
	c.snap = Snap{Index: i, Term: t, Roll: roll, Count: len(parts), Parts: parts}
	c.grown = 0
	for _, e := range c.log {
		c.grown += len(e.Fact)
	}
	for _, m := range c.peers {
		m.part = 0
	}
	instead := append([]Record{}, c.writes...)
	if c.whole {
		instead = nil
	}
	c.rewrite()
	c.instead = instead
	c.marked()
}

// rewrite gathers the records that stand for everything.
func (c *Node) rewrite() {
	c.writes, c.instead = nil, nil
	v, s := c.vow, c.snap
	c.write(Record{Self: &Self{c.self.ID, c.origin.First}})
	c.write(Record{Charter: &Charter{Name: c.name, Roll: s.Roll}})
	c.write(Record{Vow: &v})
	c.write(Record{Snap: &s})
	for _, b := range s.Parts {
		c.write(Record{part: b})
	}
	for rest := c.log; len(rest) > 0; {
		n := within(rest, bulk)
		c.write(Record{Entries: rest[:n]})
		rest = rest[n:]
	}
	c.whole = true
}

// duty is what the leader does as time passes.
func (c *Node) duty() {
	if c.heir != "" && c.now.Mono >= c.heirBy {
		c.retire()
		return
	}
	if c.now.Mono.Sub(c.round()) > c.pace.Stall && c.now.Mono.Sub(c.peer(c.self.ID).heard) > c.pace.Stall {
		c.retire()
		return
	}
	if c.stuck() && c.heir == "" && !c.HandOver(c.now) {
		c.retire()
		return
	}
	c.tend()
}

func (c *Node) retire() {
	c.heir, c.leader, c.leadAt = "", "", ""
	c.role = follow
	c.settle()
	c.rest()
	c.wait = c.wait.Add(c.pace.Least)
}
