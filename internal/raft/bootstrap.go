// Founding and joining. The founders that the settings name, where they say that
// no cluster has been before, or else three empty members that see just each
// other, pledge themselves on disk to one charter; the one with the least identity,
// once it has all pledges, makes it real. A pledge that leads nowhere is given up
// together with the identity that made it, so no half-made charter can be completed
// behind anyone's back. Where a cluster is seen, an empty member asks in instead,
// and so do all others that started with the founders.
package raft

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	patience = 5 * time.Second
	again    = 200 * time.Millisecond
)

// Seen is a controller as the roster shows it; Name is empty when it has no cluster.
type Seen struct {
	Member
	Name string
}

// See tells which controllers are sound now, this one left out, and, while there is no
// cluster, where other daemons than controllers are.
func (c *Node) See(list []Seen, others []types.Addr) { c.seen, c.others = list, others }

func (c *Node) adopt(k Charter) {
	c.name, c.snap.Roll, c.pledge, c.why = k.Name, k.Roll, nil, ""
	c.write(Record{Charter: &k})
	c.reroll()
	c.settle()
	c.rest()
}

func (c *Node) gather() {
	if c.now.Mono.Sub(c.asked) < again {
		return
	}
	c.asked = c.now.Mono
	if c.knock() {
		c.why = "a cluster exists; waiting to be let in"
		return
	}
	if k := c.pledge; k != nil {
		if c.now.Mono.Sub(c.pledged) > patience {
			c.mint(types.Mint(c.rnd))
			return
		}
		c.why = "pledged to a founding that is not complete yet"
		c.tell(*k)
		return
	}
	var roll Roll
	if roll, c.why = c.founders(); roll == nil {
		return
	}
	for _, m := range roll {
		if m.ID < c.self.ID {
			return
		}
	}
	c.promise(Charter{Name: string(types.Mint(c.rnd)), Roll: roll})
	c.complete()
}

// founders lists the members of the cluster that this one would found now, itself
// among them, in an order that all of them agree on; or tells why it founds none.
func (c *Node) founders() (Roll, string) {
	me := c.self
	me.Vote, me.Guest = true, false
	roll := Roll{me}
	for _, s := range c.seen {
		if s.Name != "" {
			return nil, "a cluster exists; waiting to be let in"
		}
		if c.origin.Founders == nil || slices.Contains(c.origin.Founders, s.Addr) {
			roll = append(roll, Member{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Vote: true})
		}
	}
	slices.SortFunc(roll, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	want := 3
	if list := c.origin.Founders; list != nil {
		switch {
		case !c.origin.First:
			return nil, "waiting for a cluster: one has been before"
		case !slices.Contains(list, c.self.Addr):
			return nil, "waiting for the founders: " + fmt.Sprint(list)
		}
		want = 0
		for _, a := range list {
			if !slices.Contains(c.others, a) {
				want++
			}
		}
	}
	if len(roll) != want {
		return nil, fmt.Sprintf("waiting for %d empty controllers that see each other, or for a cluster", want)
	}
	return roll, fmt.Sprintf("%d empty controllers; founding", want)
}

// knock asks every formed controller seen to be let in; a voter that has long heard
// no leader asks so whether it still is one, since all whom it knows of may
// have been replaced.
func (c *Node) knock() (any bool) {
	for _, s := range c.seen {
		if s.Name != "" && (c.name == "" || c.name == s.Name) {
			any = true
			c.say(s.Addr, wire.Join, join{s.Name, c.self, c.role == follow || c.role == stand})
		}
	}
	return
}

func (c *Node) promise(k Charter) {
	c.pledge, c.pledged, c.offers = &k, c.now.Mono, map[types.ID]bool{c.self.ID: true}
	c.write(Record{Pledge: &k})
	c.vowSeq = c.wrote
	c.tell(k)
}

// tell repeats this member's part in a founding: the offer or the pledge.
func (c *Node) tell(k Charter) {
	step := "offer"
	for _, m := range k.Roll {
		if m.ID < c.self.ID {
			step = "pledge"
		}
	}
	for _, m := range k.Roll {
		if m.ID != c.self.ID {
			c.say(m.Addr, wire.Found, found{k, c.self.ID, step})
		}
	}
}

func (c *Node) onFound(from types.Addr, f found) {
	if c.name != "" {
		if c.name == f.Charter.Name && f.Step != "done" {
			c.say(from, wire.Found, found{f.Charter, c.self.ID, "done"})
		}
		return
	}
	if _, mine := f.Charter.Roll.Find(c.self.ID); !mine || c.role != empty {
		return
	}
	same := c.pledge != nil && c.pledge.Name == f.Charter.Name
	switch f.Step {
	case "offer":
		if roll, _ := c.founders(); c.pledge == nil && slices.Equal(roll, f.Charter.Roll) {
			c.promise(f.Charter)
		}
	case "pledge":
		if same {
			c.offers[f.ID] = true
			c.complete()
		}
	case "done":
		if same {
			c.adopt(*c.pledge)
		}
	}
}

// complete makes the charter real, once the member with the least identity has
// all pledges.
func (c *Node) complete() {
	k := *c.pledge
	for _, m := range k.Roll {
		if !c.offers[m.ID] || m.ID < c.self.ID {
			return
		}
	}
	c.adopt(k)
	for _, m := range k.Roll {
		if m.ID != c.self.ID {
			c.hold(c.wrote, m.Addr, wire.Found, found{k, c.self.ID, "done"})
		}
	}
}
