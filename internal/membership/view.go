package membership

// What other packages read from the roster.

import (
	"coppercourse/internal/types"
)

// lastHeard returns when a peer was last heard of, as far as is known: the leader
// reports those that fell silent, and so vouches for all others.
func (r *MemberList) lastHeard(e *entry) types.MonoTime {
	if e.silent || !r.keepsAll() {
		return e.heardAt
	}
	return max(e.heardAt, r.vouchedAt)
}

// peer returns an entry as other packages see it.
func (r *MemberList) peer(e *entry) Peer { return Peer{e.info, r.age(r.lastHeard(e))} }

// Peers returns all peers that are kept, by address.
func (r *MemberList) Peers() []Peer {
	list := make([]Peer, 0, len(r.entries))
	for _, a := range r.order {
		list = append(list, r.peer(r.entries[a]))
	}
	return list
}

// healthy reports whether a peer was heard of lately.
func (r *MemberList) healthy(e *entry) bool { return r.now.Sub(e.heardAt) <= HealthyWithin }

// Controllers returns the cards of the healthy controllers.
func (r *MemberList) Controllers() (list []Card) {
	for _, a := range r.controllers {
		if e := r.entries[a]; r.healthy(e) {
			list = append(list, e.info)
		}
	}
	return
}

// MembersOf returns the cards of all peers of a role, healthy or not.
func (r *MemberList) MembersOf(role string) (list []Card) {
	from := r.order
	if role == RoleController {
		from = r.controllers
	}
	for _, a := range from {
		if c := r.entries[a].info; c.Role == role {
			list = append(list, c)
		}
	}
	return
}

// RoleOf returns the role of the daemon at an address, or nothing if it is unknown.
func (r *MemberList) RoleOf(a types.Addr) string {
	if e := r.entries[a]; e != nil {
		return e.info.Role
	}
	return ""
}

// minZoneMembers is how many known daemons a zone must have for Apart to judge it.
const minZoneMembers = 3

// ZonePartitioned reports whether a shard's agent fell silent together with every daemon
// known in its zone, as when the zone is partitioned from the rest. The loss of one
// machine leaves others of the zone to be heard.
func (r *MemberList) ZonePartitioned(shard string) bool {
	e := r.agents[shard]
	if e == nil {
		return false
	}
	z := r.zones[e.info.Zone]
	return z.count >= minZoneMembers && r.now.Sub(z.heardAt) >= HealthyWithin/2 && e.info.Zone != r.self.Zone
}

// ClusterName returns the cluster's name, or nothing while no healthy controller is
// known that has one.
func (r *MemberList) ClusterName() string {
	for _, c := range r.Controllers() {
		if c.Name != "" {
			return c.Name
		}
	}
	return ""
}

// Leader returns the address of the leader with the highest term that is known, or
// nothing.
func (r *MemberList) Leader() types.Addr {
	best, term := types.Addr(""), types.Term(0)
	if r.self.Leads {
		best, term = r.self.Addr, r.self.Term
	}
	for _, a := range r.controllers {
		if c := r.entries[a].info; c.Leads && c.Term > term && r.healthy(r.entries[a]) {
			best, term = c.Addr, c.Term
		}
	}
	return best
}
