package membership

// What other packages read from the roster.

import (
	"coppercourse/internal/types"
)

// lastHeard returns when a peer was last heard of, as far as is known: the leader
// reports those that fell silent, and so vouches for all others.
func (ml *MemberList) lastHeard(e *entry) types.MonoTime {
	if e.silent || !ml.keepsAll() {
		return e.heardAt
	}
	return max(e.heardAt, ml.vouchedAt)
}

// peer returns an entry as other packages see it.
func (ml *MemberList) peer(e *entry) Peer { return Peer{e.info, ml.age(ml.lastHeard(e))} }

// Peers returns all peers that are kept, by address.
func (ml *MemberList) Peers() []Peer {
	list := make([]Peer, 0, len(ml.entries))
	for _, a := range ml.order {
		list = append(list, ml.peer(ml.entries[a]))
	}
	return list
}

// healthy reports whether a peer was heard of lately.
func (ml *MemberList) healthy(e *entry) bool { return ml.now.Sub(e.heardAt) <= HealthyWithin }

// Controllers returns the cards of the healthy controllers.
func (ml *MemberList) Controllers() (list []MemberInfo) {
	for _, a := range ml.controllers {
		if e := ml.entries[a]; ml.healthy(e) {
			list = append(list, e.info)
		}
	}
	return
}

// MembersOf returns the cards of all peers of a role, healthy or not.
func (ml *MemberList) MembersOf(role string) (list []MemberInfo) {
	from := ml.order
	if role == RoleController {
		from = ml.controllers
	}
	for _, a := range from {
		if c := ml.entries[a].info; c.Role == role {
			list = append(list, c)
		}
	}
	return
}

// RoleOfFile returns the role of the daemon at an address, or nothing if it is unknown.
func (ml *MemberList) RoleOf(a types.Addr) string {
	if e := ml.entries[a]; e != nil {
		return e.info.Role
	}
	return ""
}

// minZoneMembers is how many known daemons a zone must have for Apart to judge it.
const minZoneMembers = 3

// ZonePartitioned reports whether a shard's agent fell silent together with every daemon
// known in its zone, as when the zone is partitioned from the rest. The loss of one
// machine leaves others of the zone to be heard.
func (ml *MemberList) ZonePartitioned(shard string) bool {
	e := ml.agents[shard]
	if e == nil {
		return false
	}
	z := ml.zones[e.info.Zone]
	return z.count >= minZoneMembers && ml.now.Sub(z.heardAt) >= HealthyWithin/2 && e.info.Zone != ml.self.Zone
}

// ClusterName returns the cluster's name, or nothing while no healthy controller is
// known that has one.
func (ml *MemberList) ClusterName() string {
	for _, c := range ml.Controllers() {
		if c.Name != "" {
			return c.Name
		}
	}
	return ""
}

// Leader returns the address of the leader with the highest term that is known, or
// nothing.
func (ml *MemberList) Leader() types.Addr {
	best, term := types.Addr(""), types.Term(0)
	if ml.self.Leads {
		best, term = ml.self.Addr, ml.self.Term
	}
	for _, a := range ml.controllers {
		if c := ml.entries[a].info; c.Leads && c.Term > term && ml.healthy(ml.entries[a]) {
			best, term = c.Addr, c.Term
		}
	}
	return best
}
