package membership

// What other packages read from the roster.

import (
	"coppercourse/internal/types"
)

// lastHeard returns when a peer was last heard of, as far as is known: the leader
// reports those that fell silent, and so vouches for all others.
func (r *Roster) lastHeard(e *entry) types.MonoTime {
	if e.silent || !r.keepsAll() {
		return e.heard
	}
	return max(e.heard, r.vouchedAt)
}

// peer returns an entry as other packages see it.
func (r *Roster) peer(e *entry) Peer { return Peer{e.card, r.age(r.lastHeard(e))} }

// Peers returns all peers that are kept, by address.
func (r *Roster) Peers() []Peer {
	list := make([]Peer, 0, len(r.entries))
	for _, a := range r.order {
		list = append(list, r.peer(r.entries[a]))
	}
	return list
}

// healthy reports whether a peer was heard of lately.
func (r *Roster) healthy(e *entry) bool { return r.now.Sub(e.heard) <= Healthy }

// Controllers returns the cards of the healthy controllers.
func (r *Roster) Controllers() (list []Card) {
	for _, a := range r.controllers {
		if e := r.entries[a]; r.healthy(e) {
			list = append(list, e.card)
		}
	}
	return
}

// Known returns the cards of all peers of a role, healthy or not.
func (r *Roster) Known(role string) (list []Card) {
	from := r.order
	if role == RoleController {
		from = r.controllers
	}
	for _, a := range from {
		if c := r.entries[a].card; c.Role == role {
			list = append(list, c)
		}
	}
	return
}

// Role returns the role of the daemon at an address, or nothing if it is unknown.
func (r *Roster) Role(a types.Addr) string {
	if e := r.entries[a]; e != nil {
		return e.card.Role
	}
	return ""
}

// fewestInZone is how many known daemons a zone must have for Apart to judge it.
const fewestInZone = 3

// Apart reports whether a shard's agent fell silent together with every daemon
// known in its zone, as when the zone is partitioned from the rest. The loss of one
// machine leaves others of the zone to be heard.
func (r *Roster) Apart(shard string) bool {
	e := r.agents[shard]
	if e == nil {
		return false
	}
	z := r.zones[e.card.Zone]
	return z.count >= fewestInZone && r.now.Sub(z.heard) >= Healthy/2 && e.card.Zone != r.me.Zone
}

// Cluster returns the cluster's name, or nothing while no healthy controller is
// known that has one.
func (r *Roster) Cluster() string {
	for _, c := range r.Controllers() {
		if c.Name != "" {
			return c.Name
		}
	}
	return ""
}

// Lead returns the address of the leader with the highest term that is known, or
// nothing.
func (r *Roster) Lead() types.Addr {
	best, term := types.Addr(""), types.Term(0)
	if r.me.Leads {
		best, term = r.me.Addr, r.me.Term
	}
	for _, a := range r.controllers {
		if c := r.entries[a].card; c.Leads && c.Term > term && r.healthy(r.entries[a]) {
			best, term = c.Addr, c.Term
		}
	}
	return best
}
