// Founding and joining. Three empty members that see just each other, and no
// formed cluster, pledge themselves on disk to one charter; the one with the
// least identity, once it has all three pledges, makes it real. A pledge that
// leads nowhere is given up together with the identity that made it, so no
// half-made charter can be completed behind anyone's back. Where a cluster is
// seen, an empty member asks in instead.
package accord

import (
	"time"

	"coppercourse/mark"
	"coppercourse/word"
)

const (
	patience = 5 * time.Second
	again    = 200 * time.Millisecond
)

// Seen is a helm as the roster shows it; Name is empty when it has no cluster.
type Seen struct {
	Member
	Name string
}

// See tells which helms are sound now, this one left out.
func (c *Core) See(list []Seen) { c.seen = list }

func (c *Core) adopt(k Charter) {
	c.name, c.snap.Roll, c.pledge, c.why = k.Name, k.Roll, nil, ""
	c.write(Record{Charter: &k})
	c.reroll()
	c.settle()
	c.rest()
}

func (c *Core) gather() {
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
			c.mint(mark.Mint(c.rnd))
			return
		}
		c.why = "pledged to a founding that is not complete yet"
		c.tell(*k)
		return
	}
	trio := Roll{{c.self.ID, c.self.Addr, c.self.Loc, true}}
	least := true
	for _, s := range c.seen {
		trio = append(trio, Member{s.ID, s.Addr, s.Loc, true})
		least = least && c.self.ID < s.ID
	}
	if len(trio) != 3 {
		c.why = "waiting for three empty helms that see each other, or for a cluster"
		return
	}
	c.why = "three empty helms; founding"
	if least {
		c.promise(Charter{Name: string(mark.Mint(c.rnd)), Roll: trio})
	}
}

// knock asks every formed helm seen to be let in; a voter that has long heard
// no leader asks so whether it still is one, since all whom it knows of may
// have been replaced.
func (c *Core) knock() (any bool) {
	for _, s := range c.seen {
		if s.Name != "" && (c.name == "" || c.name == s.Name) {
			any = true
			c.say(s.Addr, word.Join, join{s.Name, c.self, c.role == follow || c.role == stand})
		}
	}
	return
}

func (c *Core) promise(k Charter) {
	c.pledge, c.pledged, c.offers = &k, c.now.Mono, map[mark.ID]bool{c.self.ID: true}
	c.write(Record{Pledge: &k})
	c.vowSeq = c.wrote
	c.tell(k)
}

// tell repeats this member's part in a founding: the offer or the pledge.
func (c *Core) tell(k Charter) {
	step := "offer"
	for _, m := range k.Roll {
		if m.ID < c.self.ID {
			step = "pledge"
		}
	}
	for _, m := range k.Roll {
		if m.ID != c.self.ID {
			c.say(m.Addr, word.Found, found{k, c.self.ID, step})
		}
	}
}

func (c *Core) onFound(from mark.Addr, f found) {
	if c.name != "" {
		if c.name == f.Charter.Name && f.Step != "done" {
			c.say(from, word.Found, found{f.Charter, c.self.ID, "done"})
		}
		return
	}
	if _, mine := f.Charter.Roll.Find(c.self.ID); !mine || c.role != empty {
		return
	}
	same := c.pledge != nil && c.pledge.Name == f.Charter.Name
	switch f.Step {
	case "offer":
		if c.pledge == nil && c.agrees(f.Charter) {
			c.promise(f.Charter)
		}
	case "pledge":
		if !same {
			return
		}
		c.offers[f.ID] = true
		for _, m := range f.Charter.Roll {
			if !c.offers[m.ID] || m.ID < c.self.ID {
				return
			}
		}
		c.adopt(*c.pledge)
		for _, m := range f.Charter.Roll {
			if m.ID != c.self.ID {
				c.hold(c.wrote, m.Addr, word.Found, found{f.Charter, c.self.ID, "done"})
			}
		}
	case "done":
		if same {
			c.adopt(*c.pledge)
		}
	}
}

// agrees is true when this member itself sees just the three of the charter.
func (c *Core) agrees(k Charter) bool {
	for _, s := range c.seen {
		if _, ok := k.Roll.Find(s.ID); !ok || s.Name != "" {
			return false
		}
	}
	return len(k.Roll) == 3 && len(c.seen) == 2
}
