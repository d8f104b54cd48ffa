// The cards that are kept, and what is kept worked out of them: digests, so that
// two daemons tell at a glance whether they know the same; the changes in order;
// and for each zone how many are there and when anyone was last heard of.
package membership

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"coppercourse/internal/types"
)

type entry struct {
	card   Card
	heard  types.Stamp // by anyone
	direct types.Stamp // by this daemon
	seq    uint64      // of its latest change here
	silent bool        // the leader has not heard it for long
}

type zoneState struct {
	count int
	heard types.Stamp
}

type change struct {
	seq  uint64
	addr types.Addr
}

func after(log []change, seq uint64) int {
	return sort.Search(len(log), func(i int) bool { return log[i].seq > seq })
}

// Sums are digests of the versions of all cards known, by role.
type Sums struct {
	Controllers uint32 `json:"controllers,omitempty"`
	Gateways    uint32 `json:"gateways,omitempty"`
	Agents      uint32 `json:"agents,omitempty"`
}

func (s *Sums) of(role string) *uint32 {
	switch role {
	case "controller":
		return &s.Controllers
	case "gateway":
		return &s.Gateways
	}
	return &s.Agents
}

func (c Card) hash() uint32 {
	f := fnv.New32a()
	f.Write([]byte(c.Addr))
	f.Write(strconv.AppendUint(nil, c.V, 10))
	return f.Sum32()
}

func (s *Sums) add(c Card)  { *s.of(c.Role) += c.hash() }
func (s *Sums) drop(c Card) { *s.of(c.Role) -= c.hash() }

// stranger is true for a daemon of another cluster than this one's.
func (r *Roster) stranger(c Card) bool {
	return c.Name != "" && r.me.Name != "" && c.Name != r.me.Name
}

// meet takes a card from its owner. One with a version below the one known is
// an old message or another process: the later version is given back, and an
// owner that does not know of it goes beyond it.
func (r *Roster) meet(c Card) (later uint64) {
	e := r.all[c.Addr]
	switch {
	case e != nil && c.V != 0 && c.V < e.card.V:
		return e.card.V
	case e != nil && c.V == e.card.V && c.V != 0 && !r.stranger(c):
		r.replace(e, c)
	default:
		r.hear(Peer{Card: c})
	}
	if e = r.all[c.Addr]; e != nil {
		e.direct = r.now
		r.lives(e, r.now)
	}
	return 0
}

// hear takes a card from anyone.
func (r *Roster) hear(m Peer) {
	at := r.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	e := r.all[m.Addr]
	switch {
	case m.Addr == r.me.Addr || m.Addr == "" || r.stranger(m.Card) || r.now.Sub(at) > Forget:
		return
	case e == nil && !r.room(m.Card):
		return
	case e == nil:
		e = &entry{card: m.Card, heard: never, direct: never}
		r.all[m.Addr] = e
		insert(&r.list, m.Addr)
		r.enter(e)
		r.changed(e)
	case m.V > e.card.V || m.V == 0 && m.AgeMS == 0 && m.Card != e.card:
		r.replace(e, m.Card)
		r.changed(e)
	}
	if m.V == e.card.V {
		r.lives(e, at)
	}
}

// lives notes that a peer was heard of at some time.
func (r *Roster) lives(e *entry, at types.Stamp) {
	if at <= e.heard {
		return
	}
	e.heard = at
	z := r.zones[e.card.Zone]
	z.heard = max(z.heard, at)
	if e.card.Role == "agent" {
		if o := r.agents[e.card.Part]; o == nil || o.heard <= at {
			r.agents[e.card.Part] = e
		}
	}
}

// room tells whether a card is kept. An agent keeps the controllers and a few others of
// each kind, but for its seeds, which all others know too; a new one takes the
// place of an old one by chance, so that who is gone is forgotten.
func (r *Roster) room(c Card) bool {
	if r.keeps() || c.Role == "controller" {
		return len(r.all) < bound
	}
	if slices.Contains(r.seeds, c.Addr) {
		return false
	}
	kind := func(c Card) string {
		if c.Role == "agent" && c.Zone == r.me.Zone {
			return "near"
		}
		return c.Role
	}
	var same []types.Addr
	for _, a := range r.list {
		if kind(r.all[a].card) == kind(c) {
			same = append(same, a)
		}
	}
	if len(same) >= few && r.rnd.Intn(2) == 0 {
		return false
	}
	if len(same) >= few {
		r.drop(same[r.rnd.Intn(len(same))])
	}
	return true
}

func (r *Roster) enter(e *entry) {
	r.sums.add(e.card)
	z := r.zones[e.card.Zone]
	if z == nil {
		z = &zoneState{heard: never}
		r.zones[e.card.Zone] = z
	}
	z.count++
	if e.card.Role == "controller" {
		insert(&r.controllers, e.card.Addr)
	}
}

func (r *Roster) leave(e *entry) {
	r.sums.drop(e.card)
	r.zones[e.card.Zone].count--
	remove(&r.controllers, e.card.Addr)
	if r.agents[e.card.Part] == e {
		delete(r.agents, e.card.Part)
	}
}

func (r *Roster) replace(e *entry, c Card) {
	r.leave(e)
	e.card = c
	r.enter(e)
	z := r.zones[c.Zone]
	z.heard = max(z.heard, e.heard)
	if c.Role == "agent" && r.agents[c.Part] == nil {
		r.agents[c.Part] = e
	}
}

func (r *Roster) drop(a types.Addr) {
	r.leave(r.all[a])
	delete(r.all, a)
	remove(&r.list, a)
}

// changed puts a card last in the order of changes.
func (r *Roster) changed(e *entry) {
	if !r.keeps() {
		return
	}
	r.seq++
	e.seq = r.seq
	r.log = append(r.log, change{r.seq, e.card.Addr})
	if len(r.log) > 2*len(r.all)+part {
		r.log = slices.DeleteFunc(r.log, func(c change) bool {
			e := r.all[c.addr]
			return e == nil || e.seq != c.seq
		})
	}
}

func insert(list *[]types.Addr, a types.Addr) {
	if i, ok := slices.BinarySearch(*list, a); !ok {
		*list = slices.Insert(*list, i, a)
	}
}

func remove(list *[]types.Addr, a types.Addr) {
	if i, ok := slices.BinarySearch(*list, a); ok {
		*list = slices.Delete(*list, i, i+1)
	}
}
