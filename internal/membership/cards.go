package membership

// The cards that are kept, and what is derived from them: digests, by which two
// daemons compare what they know; a log of changes; and for each zone how many
// daemons it has and when any of them was last heard of.

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"coppercourse/internal/types"
)

// cards is the set of cards that a daemon keeps of others, with its indexes.
type cards struct {
	entries     map[types.Addr]*entry
	order       []types.Addr      // the keys of entries, sorted
	controllers []types.Addr      // those of controllers, sorted
	agents      map[string]*entry // agents by shard
	zones       map[types.Zone]*zoneState
	sums        Sums
	seq         uint64   // number of the last change
	log         []change // changes in order; of each card only the last one counts
}

// entry is one card and when its daemon was last heard of.
type entry struct {
	card   Card
	heard  types.MonoTime // by anyone
	direct types.MonoTime // by this daemon
	seq    uint64         // of its latest change here
	silent bool           // the leader has not heard it for long
}

// zoneState is how many daemons of a zone are known, and when any was last heard of.
type zoneState struct {
	count int
	heard types.MonoTime
}

// change says that a card changed. It is outdated once the entry has a later seq.
type change struct {
	seq  uint64
	addr types.Addr
}

// after returns the index of the first change after seq.
func after(log []change, seq uint64) int {
	return sort.Search(len(log), func(i int) bool { return log[i].seq > seq })
}

// Sums are digests of the versions of all cards known, by role: sums of the cards'
// hashes, so that a card can be added and removed.
type Sums struct {
	Controllers uint32 `json:"controllers,omitempty"`
	Gateways    uint32 `json:"gateways,omitempty"`
	Agents      uint32 `json:"agents,omitempty"`
}

func (s *Sums) of(role string) *uint32 {
	switch role {
	case RoleController:
		return &s.Controllers
	case RoleGateway:
		return &s.Gateways
	}
	return &s.Agents
}

// hash is a hash of the card's address and version.
func (c Card) hash() uint32 {
	f := fnv.New32a()
	f.Write([]byte(c.Addr))
	f.Write(strconv.AppendUint(nil, c.V, 10))
	return f.Sum32()
}

func (s *Sums) add(c Card)  { *s.of(c.Role) += c.hash() }
func (s *Sums) drop(c Card) { *s.of(c.Role) -= c.hash() }

// otherCluster reports whether the card's daemon belongs to another cluster.
func (r *Roster) otherCluster(c Card) bool {
	return c.Name != "" && r.me.Name != "" && c.Name != r.me.Name
}

// takeOwn takes a card from its owner. One with a version below the known one is
// an old message or from a new process: the known version is returned, so that an
// owner that does not know of it can go beyond it.
func (r *Roster) takeOwn(c Card) (later uint64) {
	e := r.entries[c.Addr]
	switch {
	case e != nil && c.V != 0 && c.V < e.card.V:
		return e.card.V
	case e != nil && c.V == e.card.V && c.V != 0 && !r.otherCluster(c):
		r.replace(e, c)
	default:
		r.takeCard(Peer{Card: c})
	}
	if e = r.entries[c.Addr]; e != nil {
		e.direct = r.now
		r.markHeard(e, r.now)
	}
	return 0
}

// takeCard takes a card from anyone.
func (r *Roster) takeCard(m Peer) {
	at := r.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	e := r.entries[m.Addr]
	switch {
	case m.Addr == r.me.Addr || m.Addr == "" || r.otherCluster(m.Card) || r.now.Sub(at) > Forget:
		return
	case e == nil && !r.makeRoom(m.Card):
		return
	case e == nil:
		e = &entry{card: m.Card, heard: never, direct: never}
		r.entries[m.Addr] = e
		insert(&r.order, m.Addr)
		r.index(e)
		r.logChange(e)
	case m.V > e.card.V || m.V == 0 && m.AgeMS == 0 && m.Card != e.card:
		r.replace(e, m.Card)
		r.logChange(e)
	}
	if m.V == e.card.V {
		r.markHeard(e, at)
	}
}

// markHeard records that a peer was last heard of at a time.
func (r *Roster) markHeard(e *entry, at types.MonoTime) {
	if at <= e.heard {
		return
	}
	e.heard = at
	z := r.zones[e.card.Zone]
	z.heard = max(z.heard, at)
	if e.card.Role == RoleAgent {
		if o := r.agents[e.card.Part]; o == nil || o.heard <= at {
			r.agents[e.card.Part] = e
		}
	}
}

// makeRoom reports whether a new card is kept. An agent keeps the controllers and
// a sample of each other kind, without its seeds, which all others know too. A new
// card replaces a random old one with a chance of one half, so that peers that are
// gone are forgotten.
func (r *Roster) makeRoom(c Card) bool {
	if r.keepsAll() || c.Role == RoleController {
		return len(r.entries) < mostCards
	}
	if slices.Contains(r.seeds, c.Addr) {
		return false
	}
	kind := func(c Card) string {
		if c.Role == RoleAgent && c.Zone == r.me.Zone {
			return "near"
		}
		return c.Role
	}
	var same []types.Addr
	for _, a := range r.order {
		if kind(r.entries[a].card) == kind(c) {
			same = append(same, a)
		}
	}
	if len(same) >= sampleSize && r.rnd.Intn(2) == 0 {
		return false
	}
	if len(same) >= sampleSize {
		r.drop(same[r.rnd.Intn(len(same))])
	}
	return true
}

// index enters a card into all indexes but entries and order.
func (c *cards) index(e *entry) {
	c.sums.add(e.card)
	z := c.zones[e.card.Zone]
	if z == nil {
		z = &zoneState{heard: never}
		c.zones[e.card.Zone] = z
	}
	z.count++
	if e.card.Role == RoleController {
		insert(&c.controllers, e.card.Addr)
	}
}

// unindex reverts index.
func (c *cards) unindex(e *entry) {
	c.sums.drop(e.card)
	c.zones[e.card.Zone].count--
	remove(&c.controllers, e.card.Addr)
	if c.agents[e.card.Part] == e {
		delete(c.agents, e.card.Part)
	}
}

// replace puts a new card in the place of the known one.
func (r *Roster) replace(e *entry, c Card) {
	r.unindex(e)
	e.card = c
	r.index(e)
	z := r.zones[c.Zone]
	z.heard = max(z.heard, e.heard)
	if c.Role == RoleAgent && r.agents[c.Part] == nil {
		r.agents[c.Part] = e
	}
}

// drop forgets a peer.
func (c *cards) drop(a types.Addr) {
	c.unindex(c.entries[a])
	delete(c.entries, a)
	remove(&c.order, a)
}

// logChange appends a change of a card, and compacts the log once it has grown to
// twice the cards. Agents keep no log.
func (r *Roster) logChange(e *entry) {
	if !r.keepsAll() {
		return
	}
	r.seq++
	e.seq = r.seq
	r.log = append(r.log, change{r.seq, e.card.Addr})
	if len(r.log) > 2*len(r.entries)+changesPerHello {
		r.log = slices.DeleteFunc(r.log, func(c change) bool {
			e := r.entries[c.addr]
			return e == nil || e.seq != c.seq
		})
	}
}

// insert adds an address to a sorted list.
func insert(list *[]types.Addr, a types.Addr) {
	if i, ok := slices.BinarySearch(*list, a); !ok {
		*list = slices.Insert(*list, i, a)
	}
}

// remove takes an address from a sorted list.
func remove(list *[]types.Addr, a types.Addr) {
	if i, ok := slices.BinarySearch(*list, a); ok {
		*list = slices.Delete(*list, i, i+1)
	}
}
