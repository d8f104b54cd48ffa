// Package kin is the roster: who is there, where, as what, and how sound each
// seems. Every daemon tells a few others what it knows, with ages, so that any
// one live address leads to all the rest, the present helms among them. Nothing
// that must be right rests on it.
package kin

import (
	"math/rand"
	"slices"
	"time"

	"coppercourse/mark"
	"coppercourse/word"
)

// Card is what a daemon says of itself.
type Card struct {
	Addr  mark.Addr     `json:"addr"`
	ID    mark.ID       `json:"id"`
	Role  string        `json:"role"`
	Loc   mark.Locality `json:"locality"`
	Name  string        `json:"cluster,omitempty"`
	Term  mark.Term     `json:"term,omitempty"`
	Leads bool          `json:"leads,omitempty"`
	Part  string        `json:"part,omitempty"`
	Ready bool          `json:"ready"`
	Issue string        `json:"program,omitempty"`
}

// Mate is a card and how long ago its daemon was last heard of.
type Mate struct {
	Card
	AgeMS int64 `json:"age_ms"`
}

type hello struct {
	Me    Card   `json:"me"`
	Mates []Mate `json:"mates"`
	Ask   bool   `json:"ask,omitempty"`
}

// Timings are ours.
const (
	Beat   = 500 * time.Millisecond
	Sound  = 3 * time.Second
	Forget = 24 * time.Hour
	fan    = 3
	bound  = 2000
)

type entry struct {
	card  Card
	heard mark.Stamp
}

// Roster is one daemon's view.
type Roster struct {
	rnd   *rand.Rand
	me    Card
	seeds []mark.Addr
	all   map[mark.Addr]*entry
	list  []mark.Addr // the keys of all, in order
	now   mark.Stamp
	told  mark.Stamp
	sends []word.Send
}

func New(rnd *rand.Rand, me Card, seeds []mark.Addr) *Roster {
	return &Roster{rnd: rnd, me: me, seeds: seeds, all: map[mark.Addr]*entry{}, told: -1 << 62}
}

// Me sets this daemon's card; a new leader is told to all at once.
func (r *Roster) Me(c Card) {
	loud := c.Leads && !r.me.Leads
	r.me = c
	if loud {
		for _, a := range r.list {
			r.greet(a, false)
		}
	}
}

func (r *Roster) greet(to mark.Addr, ask bool) {
	r.sends = append(r.sends, word.Make(r.me.Addr, to, word.Hello, hello{r.me, r.Mates(), ask}))
}

// Tick greets the seeds not yet heard of, and a few mates by chance.
func (r *Roster) Tick(now mark.Stamp) {
	r.now = now
	if now.Sub(r.told) < Beat {
		return
	}
	r.told = now
	for _, s := range r.seeds {
		if e := r.all[s]; s != r.me.Addr && (e == nil || now.Sub(e.heard) > Sound) {
			r.greet(s, true)
		}
	}
	for range min(fan, len(r.list)) {
		r.greet(r.list[r.rnd.Intn(len(r.list))], false)
	}
	r.list = slices.DeleteFunc(r.list, func(a mark.Addr) bool {
		old := now.Sub(r.all[a].heard) > Forget
		if old {
			delete(r.all, a)
		}
		return old
	})
}

// Take handles a hello.
func (r *Roster) Take(now mark.Stamp, n word.Note) bool {
	if n.Kind != word.Hello {
		return false
	}
	r.now = now
	h, ok := word.Read[hello](n)
	if !ok {
		return true
	}
	r.hear(Mate{Card: h.Me})
	for _, m := range h.Mates {
		r.hear(m)
	}
	if h.Ask {
		r.greet(h.Me.Addr, false)
	}
	return true
}

// stranger is true for a daemon of another cluster than this one's.
func (r *Roster) stranger(c Card) bool {
	return c.Name != "" && r.me.Name != "" && c.Name != r.me.Name
}

func (r *Roster) hear(m Mate) {
	at := r.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	e := r.all[m.Addr]
	if m.Addr == r.me.Addr || r.stranger(m.Card) || len(r.all) >= bound && e == nil || r.now.Sub(at) > Forget {
		return
	}
	if e == nil {
		r.all[m.Addr] = &entry{m.Card, at}
		i, _ := slices.BinarySearch(r.list, m.Addr)
		r.list = slices.Insert(r.list, i, m.Addr)
	} else if at > e.heard || m.AgeMS == 0 {
		e.card, e.heard = m.Card, max(e.heard, at)
	}
}

// Out drains what there is to send.
func (r *Roster) Out() []word.Send {
	s := r.sends
	r.sends = nil
	return s
}

// Mates lists all known daemons but this one.
func (r *Roster) Mates() []Mate {
	list := make([]Mate, 0, len(r.all))
	for _, a := range r.list {
		e := r.all[a]
		list = append(list, Mate{e.card, max(0, r.now.Sub(e.heard).Milliseconds())})
	}
	return list
}

func (r *Roster) sound(e *entry) bool { return r.now.Sub(e.heard) <= Sound }

// Helms lists the sound helms.
func (r *Roster) Helms() []Card { return r.Of("helm") }

// Of lists the sound daemons of a role.
func (r *Roster) Of(role string) (list []Card) {
	for _, a := range r.list {
		if e := r.all[a]; e.card.Role == role && r.sound(e) {
			list = append(list, e.card)
		}
	}
	return
}

// Apart tells whether a shard's ward fell silent with all that is known in its
// locality, as when the locality is cut off; one machine's end leaves others.
func (r *Roster) Apart(shard string) bool {
	loc, last := mark.Locality(""), mark.Stamp(-1<<62)
	for _, e := range r.all {
		if e.card.Role == "ward" && e.card.Part == shard && e.heard > last {
			loc, last = e.card.Loc, e.heard
		}
	}
	n := 0
	for _, e := range r.all {
		if e.card.Loc != loc {
			continue
		}
		if n++; r.now.Sub(e.heard) < Sound/2 {
			return false
		}
	}
	return n >= 3 && loc != r.me.Loc
}

// Cluster is the name that formed helms go by, once one was heard of.
func (r *Roster) Cluster() string {
	for _, c := range r.Helms() {
		if c.Name != "" {
			return c.Name
		}
	}
	return ""
}

// Lead is the leader of the highest term that is known of.
func (r *Roster) Lead() mark.Addr {
	best, term := mark.Addr(""), mark.Term(0)
	if r.me.Leads {
		best, term = r.me.Addr, r.me.Term
	}
	for _, a := range r.list {
		if c := r.all[a].card; c.Leads && c.Term > term && r.sound(r.all[a]) {
			best, term = c.Addr, c.Term
		}
	}
	return best
}
