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
	info                MemberInfo
	lastContactAt       types.MonoTime // by anyone
	lastDirectContactAt types.MonoTime // by this daemon
	lastChange          uint64         // number of its last change in this daemon's log
	unresponsive        bool           // the leader has not heard it for unresponsiveAfter
}

// zoneState is how many daemons of a zone are known, and when any was last heard from.
type zoneState struct {
	count         int
	lastContactAt types.MonoTime
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
	e := &entry{info: info, lastContactAt: types.DistantPast, lastDirectContactAt: types.DistantPast}
	t.entries[info.Addr] = e
	insertSorted(&t.order, info.Addr)
	t.index(e)
	return e
}

// forget removes a daemon.
func (t *memberTable) remove(addr types.Addr) {
	t.unindex(t.entries[addr])
	delete(t.entries, addr)
	removeSorted(&t.order, addr)
}

// replace replaces what a daemon says of itself.
func (t *memberTable) replace(e *entry, info MemberInfo) {
	t.unindex(e)
	e.info = info
	t.index(e)
	zone := t.zones[info.Zone]
	zone.lastContactAt = max(zone.lastContactAt, e.lastContactAt)
	if info.Role == RoleAgent && t.agents[info.Detail] == nil {
		t.agents[info.Detail] = e
	}
}

// index enters a daemon into all indexes but order and agents.
func (t *memberTable) index(e *entry) {
	t.digests.add(e.info)
	zone := t.zones[e.info.Zone]
	if zone == nil {
		zone = &zoneState{lastContactAt: types.DistantPast}
		t.zones[e.info.Zone] = zone
	}
	zone.count++
	if e.info.Role == RoleController {
		insertSorted(&t.controllers, e.info.Addr)
	}
}

// unindex removes a daemon from all indexes but order.
func (t *memberTable) unindex(e *entry) {
	t.digests.remove(e.info)
	t.zones[e.info.Zone].count--
	removeSorted(&t.controllers, e.info.Addr)
	if t.agents[e.info.Detail] == e {
		delete(t.agents, e.info.Detail)
	}
}

// recordContact records that a daemon was heard from at a time.
func (t *memberTable) recordContact(e *entry, at types.MonoTime) {
	if at <= e.lastContactAt {
		return
	}
	e.lastContactAt = at
	zone := t.zones[e.info.Zone]
	zone.lastContactAt = max(zone.lastContactAt, at)
	if e.info.Role != RoleAgent {
		return
	}
	if other := t.agents[e.info.Detail]; other == nil || other.lastContactAt <= at {
		t.agents[e.info.Detail] = e
	}
}

// latest returns the entry that a change is the last one of, or nil if there was a later
// one or the daemon is forgotten.
func (t *memberTable) currentEntry(c change) *entry {
	if e := t.entries[c.addr]; e != nil && e.lastChange == c.number {
		return e
	}
	return nil
}

// insert adds an address to a sorted list.
func insertSorted(list *[]types.Addr, addr types.Addr) {
	if i, found := slices.BinarySearch(*list, addr); !found {
		*list = slices.Insert(*list, i, addr)
	}
}

// remove removes an address from a sorted list.
func removeSorted(list *[]types.Addr, addr types.Addr) {
	if i, found := slices.BinarySearch(*list, addr); found {
		*list = slices.Delete(*list, i, i+1)
	}
}
