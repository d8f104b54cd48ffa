// What others ask of the roster.
package membership

import (
	"coppercourse/internal/types"
)

// last is when a peer was last heard of, as far as is known: the leader tells
// who fell silent, and so vouches for all others.
func (r *Roster) last(e *entry) types.Stamp {
	if e.silent || !r.keeps() {
		return e.heard
	}
	return max(e.heard, r.vouch)
}

func (r *Roster) peer(e *entry) Peer { return Peer{e.card, r.age(r.last(e))} }

// Mates lists all that are kept but this daemon itself.
func (r *Roster) Peers() []Peer {
	list := make([]Peer, 0, len(r.all))
	for _, a := range r.list {
		list = append(list, r.peer(r.all[a]))
	}
	return list
}

func (r *Roster) healthy(e *entry) bool { return r.now.Sub(e.heard) <= Healthy }

// Controllers lists the sound controllers.
func (r *Roster) Controllers() (list []Card) {
	for _, a := range r.controllers {
		if e := r.all[a]; r.healthy(e) {
			list = append(list, e.card)
		}
	}
	return
}

// Known lists all of a role that are not forgotten, sound or not.
func (r *Roster) Known(role string) (list []Card) {
	from := r.list
	if role == "controller" {
		from = r.controllers
	}
	for _, a := range from {
		if c := r.all[a].card; c.Role == role {
			list = append(list, c)
		}
	}
	return
}

// Role is what the daemon at an address is, if that is known.
func (r *Roster) Role(a types.Addr) string {
	if e := r.all[a]; e != nil {
		return e.card.Role
	}
	return ""
}

// Apart tells whether a shard's agent fell silent with all that is known in its
// zone, as when the zone is cut off; one machine's end leaves others.
func (r *Roster) Apart(shard string) bool {
	e := r.agents[shard]
	if e == nil {
		return false
	}
	z := r.zones[e.card.Zone]
	return z.count >= 3 && r.now.Sub(z.heard) >= Healthy/2 && e.card.Zone != r.me.Zone
}

// Cluster is the name that formed controllers go by, once one was heard of.
func (r *Roster) Cluster() string {
	for _, c := range r.Controllers() {
		if c.Name != "" {
			return c.Name
		}
	}
	return ""
}

// Lead is the leader of the highest term that is known of.
func (r *Roster) Lead() types.Addr {
	best, term := types.Addr(""), types.Term(0)
	if r.me.Leads {
		best, term = r.me.Addr, r.me.Term
	}
	for _, a := range r.controllers {
		if c := r.all[a].card; c.Leads && c.Term > term && r.healthy(r.all[a]) {
			best, term = c.Addr, c.Term
		}
	}
	return best
}
