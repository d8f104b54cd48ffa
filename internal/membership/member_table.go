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

// memberTable is the set of cards that a daemon keeps of others, with its indexes.
type memberTable struct {
	entries     map[types.Addr]*entry
	order       []types.Addr      // the keys of entries, sorted
	controllers []types.Addr      // those of controllers, sorted
	agents      map[string]*entry // agents by shard
	zones       map[types.Zone]*zoneState
	digests     Digests
	lastChange  uint64   // number of the last change
	changes     []change // changes in order; of each card only the last one counts
}

// entry is one card and when its daemon was last heard of.
type entry struct {
	info            MemberInfo
	heardAt         types.MonoTime // by anyone
	heardDirectlyAt types.MonoTime // by this daemon
	seq             uint64         // of its latest change here
	silent          bool           // the leader has not heard it for long
}

// zoneState is how many daemons of a zone are known, and when any was last heard of.
type zoneState struct {
	count   int
	heardAt types.MonoTime
}

// change says that a card changed. It is outdated once the entry has a later seq.
type change struct {
	seq  uint64
	addr types.Addr
}

// firstChangeAfter returns the index of the first change after seq.
func firstChangeAfter(log []change, seq uint64) int {
	return sort.Search(len(log), func(i int) bool { return log[i].seq > seq })
}

// Digests are digests of the versions of all cards known, by role: sums of the cards'
// hashes, so that a card can be added and removed.
type Digests struct {
	Controllers uint32 `json:"controllers,omitempty"`
	Gateways    uint32 `json:"gateways,omitempty"`
	Agents      uint32 `json:"agents,omitempty"`
}

func (d *Digests) ofRole(role string) *uint32 {
	switch role {
	case RoleController:
		return &d.Controllers
	case RoleGateway:
		return &d.Gateways
	}
	return &d.Agents
}

// hash is a hash of the card's address and version.
func (c MemberInfo) hash() uint32 {
	f := fnv.New32a()
	f.Write([]byte(c.Addr))
	f.Write(strconv.AppendUint(nil, c.Version, 10))
	return f.Sum32()
}

func (d *Digests) add(c MemberInfo)    { *d.ofRole(c.Role) += c.hash() }
func (d *Digests) remove(c MemberInfo) { *d.ofRole(c.Role) -= c.hash() }

// inOtherCluster reports whether the card's daemon belongs to another cluster.
func (ml *MemberList) inOtherCluster(c MemberInfo) bool {
	return c.Name != "" && ml.self.Name != "" && c.Name != ml.self.Name
}

// updateFromOwner takes a card from its owner. One with a version below the known one is
// an old message or from a new process: the known version is returned, so that an
// owner that does not know of it can go beyond it.
func (ml *MemberList) updateFromOwner(c MemberInfo) (later uint64) {
	e := ml.entries[c.Addr]
	switch {
	case e != nil && c.Version != 0 && c.Version < e.info.Version:
		return e.info.Version
	case e != nil && c.Version == e.info.Version && c.Version != 0 && !ml.inOtherCluster(c):
		ml.replace(e, c)
	default:
		ml.update(Peer{MemberInfo: c})
	}
	if e = ml.entries[c.Addr]; e != nil {
		e.heardDirectlyAt = ml.now
		ml.markHeard(e, ml.now)
	}
	return 0
}

// update takes a card from anyone.
func (ml *MemberList) update(m Peer) {
	at := ml.now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	e := ml.entries[m.Addr]
	switch {
	case m.Addr == ml.self.Addr || m.Addr == "" || ml.inOtherCluster(m.MemberInfo) || ml.now.Sub(at) > ForgetAfter:
		return
	case e == nil && !ml.makeRoom(m.MemberInfo):
		return
	case e == nil:
		e = &entry{info: m.MemberInfo, heardAt: never, heardDirectlyAt: never}
		ml.entries[m.Addr] = e
		insert(&ml.order, m.Addr)
		ml.index(e)
		ml.logChange(e)
	case m.Version > e.info.Version || m.Version == 0 && m.AgeMS == 0 && m.MemberInfo != e.info:
		ml.replace(e, m.MemberInfo)
		ml.logChange(e)
	}
	if m.Version == e.info.Version {
		ml.markHeard(e, at)
	}
}

// markHeard records that a peer was last heard of at a time.
func (ml *MemberList) markHeard(e *entry, at types.MonoTime) {
	if at <= e.heardAt {
		return
	}
	e.heardAt = at
	z := ml.zones[e.info.Zone]
	z.heardAt = max(z.heardAt, at)
	if e.info.Role == RoleAgent {
		if o := ml.agents[e.info.Shard]; o == nil || o.heardAt <= at {
			ml.agents[e.info.Shard] = e
		}
	}
}

// makeRoom reports whether a new card is kept. An agent keeps the controllers and
// a sample of each other kind, without its seeds, which all others know too. A new
// card replaces a random old one with a chance of one half, so that peers that are
// gone are forgotten.
func (ml *MemberList) makeRoom(c MemberInfo) bool {
	if ml.keepsAll() || c.Role == RoleController {
		return len(ml.entries) < maxMembers
	}
	if slices.Contains(ml.seeds, c.Addr) {
		return false
	}
	kind := func(c MemberInfo) string {
		if c.Role == RoleAgent && c.Zone == ml.self.Zone {
			return "near"
		}
		return c.Role
	}
	var same []types.Addr
	for _, a := range ml.order {
		if kind(ml.entries[a].info) == kind(c) {
			same = append(same, a)
		}
	}
	if len(same) >= sampleSize && ml.rnd.Intn(2) == 0 {
		return false
	}
	if len(same) >= sampleSize {
		ml.forget(same[ml.rnd.Intn(len(same))])
	}
	return true
}

// index enters a card into all indexes but entries and order.
func (m *memberTable) index(e *entry) {
	m.digests.add(e.info)
	z := m.zones[e.info.Zone]
	if z == nil {
		z = &zoneState{heardAt: never}
		m.zones[e.info.Zone] = z
	}
	z.count++
	if e.info.Role == RoleController {
		insert(&m.controllers, e.info.Addr)
	}
}

// unindex reverts index.
func (m *memberTable) unindex(e *entry) {
	m.digests.remove(e.info)
	m.zones[e.info.Zone].count--
	remove(&m.controllers, e.info.Addr)
	if m.agents[e.info.Shard] == e {
		delete(m.agents, e.info.Shard)
	}
}

// replace puts a new card in the place of the known one.
func (ml *MemberList) replace(e *entry, c MemberInfo) {
	ml.unindex(e)
	e.info = c
	ml.index(e)
	z := ml.zones[c.Zone]
	z.heardAt = max(z.heardAt, e.heardAt)
	if c.Role == RoleAgent && ml.agents[c.Shard] == nil {
		ml.agents[c.Shard] = e
	}
}

// forget forgets a peer.
func (m *memberTable) forget(a types.Addr) {
	m.unindex(m.entries[a])
	delete(m.entries, a)
	remove(&m.order, a)
}

// logChange appends a change of a card, and compacts the log once it has grown to
// twice the cards. Agents keep no log.
func (ml *MemberList) logChange(e *entry) {
	if !ml.keepsAll() {
		return
	}
	ml.lastChange++
	e.seq = ml.lastChange
	ml.changes = append(ml.changes, change{ml.lastChange, e.info.Addr})
	if len(ml.changes) > 2*len(ml.entries)+changesPerHello {
		ml.changes = slices.DeleteFunc(ml.changes, func(c change) bool {
			e := ml.entries[c.addr]
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
