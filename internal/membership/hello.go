// What daemons say to one another here, and what they make of it. A hello that
// asks is answered; an answer may ask back once where the two know different
// controllers, so that both come to know all.
package membership

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type hello struct {
	Me    Card                 `json:"me"`
	Peers []Peer               `json:"mates,omitempty"`
	Ask   bool                 `json:"ask,omitempty"`
	Reply bool                 `json:"reply,omitempty"`
	Have  uint64               `json:"have,omitempty"`  // a later version of the other's card is known
	Sums  *Sums                `json:"sums,omitempty"`  // of the cards known
	Ages  map[types.Addr]int64 `json:"ages,omitempty"`  // of the controllers heard of lately, ms
	Zones map[types.Zone]int64 `json:"zones,omitempty"` // since anyone there was heard of, ms; between controllers
	Want  int                  `json:"want,omitempty"`  // mates by chance
	// Between those that keep all cards: asks for what changed after a number,
	// and answers how far that goes. All asks the other to do so too, from the start.
	Follow bool   `json:"follow,omitempty"`
	Seq    uint64 `json:"seq,omitempty"`
	More   bool   `json:"more,omitempty"`
	All    bool   `json:"all,omitempty"`
}

func (r *Roster) say(to types.Addr, h hello) {
	r.sends = append(r.sends, wire.Make(r.me.Addr, to, wire.Hello, h))
}

func (r *Roster) age(at types.Stamp) int64 { return max(0, r.now.Sub(at).Milliseconds()) }

func (r *Roster) base() hello {
	s := r.sums
	h := hello{Me: r.me, Sums: &s, Ages: map[types.Addr]int64{}}
	for _, a := range r.controllers {
		if e := r.all[a]; r.healthy(e) {
			h.Ages[a] = r.age(e.heard)
		}
	}
	return h
}

// near adds what controllers tell one another of the zones.
func (r *Roster) near(to types.Addr, h *hello) {
	if e := r.all[to]; r.me.Role != "controller" || e == nil || e.card.Role != "controller" {
		return
	}
	h.Zones = map[types.Zone]int64{}
	for zone, z := range r.zones {
		if r.now.Sub(z.heard) < Healthy {
			h.Zones[zone] = r.age(z.heard)
		}
	}
}

func (r *Roster) ask(to types.Addr) {
	h := r.base()
	h.Ask = true
	r.near(to, &h)
	lead := r.Lead()
	switch {
	case !r.keeps() && len(r.all) < 3*few, r.keeps() && lead == "":
		h.Want = 2 * few
	case !r.keeps():
		h.Want = 1
	}
	if to == lead {
		r.asked = r.me.V
	}
	if r.keeps() && to == lead && r.followed != to {
		r.followed, r.taken, r.odd = to, 0, 0
	}
	if r.keeps() && to == r.followed {
		h.Follow, h.Seq = true, r.taken
		if r.odd > 4 && r.now.Sub(r.whole) > repair {
			r.whole, r.odd, r.taken = r.now, 0, 0
			h.Seq, h.All = 0, true
		}
	}
	r.say(to, h)
}

// Take handles a hello, and counts any other note as a sign of life.
func (r *Roster) Take(now types.Stamp, n wire.Message) bool {
	r.now = now
	if n.Kind != wire.Hello {
		r.touch(n)
		return false
	}
	h, ok := wire.Read[hello](n)
	if !ok {
		return true
	}
	if h.Have > r.me.V {
		r.sums.drop(r.me)
		r.me.V = h.Have + 1
		r.sums.add(r.me)
		r.ask(n.From)
	}
	later := r.meet(h.Me)
	if h.Reply && n.From == r.Lead() {
		r.known = r.asked
	}
	for _, m := range h.Peers {
		r.hear(m)
	}
	for a, ms := range h.Ages {
		if e := r.all[a]; e != nil {
			r.lives(e, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	for zone, ms := range h.Zones {
		if z := r.zones[zone]; z != nil {
			z.heard = max(z.heard, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	if h.Reply && h.Follow && n.From == r.followed {
		r.follow(h)
	}
	switch {
	case h.Ask:
		r.answer(n.From, h, later)
	case later > 0:
		r.say(n.From, hello{Me: r.me, Reply: true, Have: later})
	case !h.Reply && r.other(h):
		r.ask(n.From)
	}
	return true
}

// touch takes any message as a sign of life of its sender, but for reports that
// others may have passed on. Who is not known is asked for its card.
func (r *Roster) touch(n wire.Message) {
	if n.Kind == wire.Status {
		return
	}
	if e := r.all[n.From]; e != nil {
		e.direct = r.now
		r.lives(e, r.now)
	} else if r.keeps() && n.From != r.me.Addr {
		r.ask(n.From)
	}
}

// other tells whether a peer knows other controllers, or gateways, than this daemon.
func (r *Roster) other(h hello) bool {
	return h.Sums != nil && (h.Sums.Controllers != r.sums.Controllers || r.keeps() && h.Me.Role != "agent" && h.Sums.Gateways != r.sums.Gateways)
}

func (r *Roster) answer(to types.Addr, h hello, later uint64) {
	a := r.base()
	a.Reply, a.Have = true, later
	r.near(to, &a)
	if r.other(h) {
		for _, x := range r.list {
			c := r.all[x].card
			if x != to && (c.Role == "controller" || c.Role == "gateway" && h.Me.Role != "agent" && r.keeps()) {
				a.Peers = append(a.Peers, r.peer(r.all[x]))
			}
		}
		a.Ask = !h.Reply
	}
	r.introduce(&a, h)
	if h.Follow && r.keeps() {
		a.Follow = true
		a.Peers, a.Seq, a.More = r.since(a.Peers, h.Seq, h.Sums != nil && h.Sums.Agents == r.sums.Agents)
	}
	r.say(to, a)
	if h.All {
		r.followed, r.taken = to, 0
		r.ask(to)
	}
}

// introduce names peers to one that wants some. The agent that asked before it
// comes first: all ask equally often, so none is known to more than others are.
func (r *Roster) introduce(a *hello, h hello) {
	want := min(h.Want, 2*few)
	if g := r.guest; want > 0 && g.Addr != "" && g.Addr != h.Me.Addr {
		g.AgeMS = r.age(r.came)
		a.Peers, want = append(a.Peers, g), want-1
	}
	if h.Me.Role == "agent" {
		r.guest, r.came = Peer{Card: h.Me}, r.now
	}
	n := len(r.list)
	if n == 0 || want == 0 || h.Want == 1 {
		return
	}
	from := r.rnd.Intn(n)
	for i := range min(n, want) {
		if e := r.all[r.list[(from+i)%n]]; e.card.Addr != h.Me.Addr && e.card.Role != "controller" && !e.silent {
			a.Peers = append(a.Peers, r.peer(e))
		}
	}
}

// since adds the cards that changed after a number, as many as a hello has, and
// tells how far they go. Where both know the same there is nothing to tell.
func (r *Roster) since(list []Peer, seq uint64, same bool) ([]Peer, uint64, bool) {
	if same && (seq == 0 || seq > r.seq) {
		return list, r.seq, false
	}
	if seq > r.seq { // of an earlier process here
		seq = 0
	}
	n := 0
	for _, c := range r.log[after(r.log, seq):] {
		e := r.all[c.addr]
		if e == nil || e.seq != c.seq {
			continue
		}
		if n++; n > part {
			return list, seq, true
		}
		list, seq = append(list, r.peer(e)), c.seq
	}
	return list, r.seq, false
}

// follow takes the leader's changes: what it told, how far that goes, and
// whether it is all.
func (r *Roster) follow(h hello) {
	for _, m := range h.Peers {
		if e := r.all[m.Addr]; e != nil {
			e.silent = r.now.Sub(e.heard) >= silent
		}
	}
	r.taken = h.Seq
	if h.More {
		r.ask(r.followed)
		return
	}
	r.vouch = r.now
	switch {
	case h.Sums == nil || h.Sums.Agents == r.sums.Agents:
		r.odd = 0
	case len(h.Peers) == 0:
		r.odd++
	}
	if r.me.Leads {
		r.followed = ""
	}
}
