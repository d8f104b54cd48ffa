package membership

import (
	"slices"

	"coppercourse/internal/types"
)

// memberTable holds the other daemons that a daemon keeps, with indexes.
type memberTable struct {
	entries     map[types.Addr]*entry
	order       []types.Addr      // the keys of entries, sorted
	controllers []types.Addr      // those of controllers, sorted
	agents      map[string]*entry // agents by shard; of several the one last heard from
	zones       map[types.Zone]*zoneState
	digests     Digests // of all entries, and of this daemon
}

// entry is another daemon, and when it was last heard from.
type entry struct {
	info            MemberInfo
	heardAt         types.MonoTime // by anyone
	heardDirectlyAt types.MonoTime // by this daemon
	lastChange      uint64         // number of its last change in this daemon's log
	silent          bool           // the leader has not heard it for silentAfter
}

// zoneState is how many daemons of a zone are known, and when any was last heard from.
type zoneState struct {
	count   int
	heardAt types.MonoTime
}

func newMemberTable() memberTable {
	return memberTable{
		entries: map[types.Addr]*entry{},
		agents:  map[string]*entry{},
		zones:   map[types.Zone]*zoneState{},
	}
}

// add adds a daemon that has not been heard from yet.
func (t *memberTable) add(info MemberInfo) *entry {
	e := &entry{info: info, heardAt: types.DistantPast, heardDirectlyAt: types.DistantPast}
	t.entries[info.Addr] = e
	insert(&t.order, info.Addr)
	t.index(e)
	return e
}

// forget removes a daemon.
func (t *memberTable) forget(addr types.Addr) {
	t.unindex(t.entries[addr])
	delete(t.entries, addr)
	remove(&t.order, addr)
}

// replace replaces what a daemon says of itself.
func (t *memberTable) replace(e *entry, info MemberInfo) {
	t.unindex(e)
	e.info = info
	t.index(e)
	zone := t.zones[info.Zone]
	zone.heardAt = max(zone.heardAt, e.heardAt)
	if info.Role == RoleAgent && t.agents[info.Detail] == nil {
		t.agents[info.Detail] = e
	}
}

// index enters a daemon into all indexes but order and agents.
func (t *memberTable) index(e *entry) {
	t.digests.add(e.info)
	zone := t.zones[e.info.Zone]
	if zone == nil {
		zone = &zoneState{heardAt: types.DistantPast}
		t.zones[e.info.Zone] = zone
	}
	zone.count++
	if e.info.Role == RoleController {
		insert(&t.controllers, e.info.Addr)
	}
}

// unindex removes a daemon from all indexes but order.
func (t *memberTable) unindex(e *entry) {
	t.digests.remove(e.info)
	t.zones[e.info.Zone].count--
	remove(&t.controllers, e.info.Addr)
	if t.agents[e.info.Detail] == e {
		delete(t.agents, e.info.Detail)
	}
}

// markHeard records that a daemon was heard from at a time.
func (t *memberTable) markHeard(e *entry, at types.MonoTime) {
	if at <= e.heardAt {
		return
	}
	e.heardAt = at
	zone := t.zones[e.info.Zone]
	zone.heardAt = max(zone.heardAt, at)
	if e.info.Role != RoleAgent {
		return
	}
	if other := t.agents[e.info.Detail]; other == nil || other.heardAt <= at {
		t.agents[e.info.Detail] = e
	}
}

// latest returns the entry that a change is the last one of, or nil if there was a later
// one or the daemon is forgotten.
func (t *memberTable) latest(c change) *entry {
	if e := t.entries[c.addr]; e != nil && e.lastChange == c.number {
		return e
	}
	return nil
}

// insert adds an address to a sorted list.
func insert(list *[]types.Addr, addr types.Addr) {
	if i, found := slices.BinarySearch(*list, addr); !found {
		*list = slices.Insert(*list, i, addr)
	}
}

// remove removes an address from a sorted list.
func remove(list *[]types.Addr, addr types.Addr) {
	if i, found := slices.BinarySearch(*list, addr); found {
		*list = slices.Delete(*list, i, i+1)
	}
}
