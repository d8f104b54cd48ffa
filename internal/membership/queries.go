package membership

import (
	"coppercourse/internal/types"
)

// minZoneMembers is how many daemons of a zone must be known for ZonePartitioned to judge
// it.
const minZoneMembers = 3

// Peers returns all daemons that are kept, by address.
func (ml *MemberList) Peers() []Peer {
	peers := make([]Peer, 0, len(ml.table.entries))
	for _, addr := range ml.table.order {
		peers = append(peers, ml.peer(ml.table.entries[addr]))
	}
	return peers
}

// Controllers returns the healthy controllers.
func (ml *MemberList) Controllers() (controllers []MemberInfo) {
	for _, addr := range ml.table.controllers {
		if e := ml.table.entries[addr]; ml.healthy(e) {
			controllers = append(controllers, e.info)
		}
	}
	return controllers
}

// MembersOf returns all daemons of a role that are kept, healthy or not.
func (ml *MemberList) MembersOf(role Role) (members []MemberInfo) {
	addrs := ml.table.order
	if role == RoleController {
		addrs = ml.table.controllers
	}
	for _, addr := range addrs {
		if info := ml.table.entries[addr].info; info.Role == role {
			members = append(members, info)
		}
	}
	return members
}

// RoleOf returns the role of the daemon at an address; it is empty if that is unknown.
func (ml *MemberList) RoleOf(addr types.Addr) Role {
	if e := ml.table.entries[addr]; e != nil {
		return e.info.Role
	}
	return ""
}

// ClusterName returns the cluster's name; it is empty while no healthy controller is known
// that has one.
func (ml *MemberList) ClusterName() string {
	for _, controller := range ml.Controllers() {
		if controller.ClusterName != "" {
			return controller.ClusterName
		}
	}
	return ""
}

// Leader returns the address of the healthy leader with the highest term; it is empty if
// none is known.
func (ml *MemberList) Leader() types.Addr {
	var leader types.Addr
	var term types.Term
	if ml.self.Leads {
		leader, term = ml.self.Addr, ml.self.Term
	}
	for _, addr := range ml.table.controllers {
		e := ml.table.entries[addr]
		if e.info.Leads && e.info.Term > term && ml.healthy(e) {
			leader, term = e.info.Addr, e.info.Term
		}
	}
	return leader
}

// LastDirectContact returns when this daemon itself last received a hello of another, or
// types.DistantPast.
func (ml *MemberList) LastDirectContact(addr types.Addr) types.MonoTime {
	if e := ml.table.entries[addr]; e != nil {
		return e.lastDirectContactAt
	}
	return types.DistantPast
}

// ZonePartitioned reports whether a shard's agent fell silent together with every daemon
// known in its zone, as when a network partition cuts the zone off. The loss of one machine
// leaves others of its zone to be heard.
func (ml *MemberList) ZonePartitioned(shard string) bool {
	e := ml.table.agents[shard]
	if e == nil || e.info.Zone == ml.self.Zone {
		return false
	}
	zone := ml.table.zones[e.info.Zone]
	return zone.count >= minZoneMembers && ml.now.Sub(zone.lastContactAt) >= HealthyWithin/2
}

// healthy reports whether a daemon was heard from lately.
func (ml *MemberList) healthy(e *entry) bool { return ml.now.Sub(e.lastContactAt) <= HealthyWithin }

// lastContact returns when a daemon was last heard from. The leader confirms all that it did
// not report as silent.
func (ml *MemberList) lastContact(e *entry) types.MonoTime {
	if e.unresponsive || !ml.keepsFullView() {
		return e.lastContactAt
	}
	return max(e.lastContactAt, ml.sync.confirmedAt)
}

// peer returns a daemon as other packages and other daemons see it.
func (ml *MemberList) peer(e *entry) Peer {
	return Peer{MemberInfo: e.info, AgeMS: ml.ageMS(ml.lastContact(e))}
}

// ageMS returns how many milliseconds ago a time was.
func (ml *MemberList) ageMS(at types.MonoTime) int64 {
	return max(0, ml.now.Sub(at).Milliseconds())
}
