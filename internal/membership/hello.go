package membership

// The hello message and its handling. A hello that asks is replied to; the reply
// may ask back once if the two daemons know different controllers, so that both
// come to know all of them.

import (
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// hello is the one message of this package: a question, or its reply.
type hello struct {
	Me     Card                 `json:"me"`
	Peers  []Peer               `json:"mates,omitempty"`
	Ask    bool                 `json:"ask,omitempty"`
	Reply  bool                 `json:"reply,omitempty"`
	Later  uint64               `json:"have,omitempty"`  // the later version that is known of the receiver's card
	Sums   *Sums                `json:"sums,omitempty"`  // digests of the cards known
	Ages   map[types.Addr]int64 `json:"ages,omitempty"`  // since the healthy controllers were heard of, ms
	Zones  map[types.Zone]int64 `json:"zones,omitempty"` // since anyone there was heard of, ms; between controllers
	Sample int                  `json:"want,omitempty"`  // how many random peers to name in the reply
	// Between daemons that keep all cards: Follow asks for the changes after Seq;
	// the reply's Seq is the last change that it covers, and More says that there
	// are others. All asks the receiver to follow in turn, from the start.
	Follow bool   `json:"follow,omitempty"`
	Seq    uint64 `json:"seq,omitempty"`
	More   bool   `json:"more,omitempty"`
	All    bool   `json:"all,omitempty"`
}

// send queues a hello.
func (r *Roster) send(to types.Addr, h hello) {
	r.sends = append(r.sends, wire.Make(r.me.Addr, to, wire.Hello, h))
}

// age returns how many milliseconds ago a stamp was.
func (r *Roster) age(at types.MonoTime) int64 { return max(0, r.now.Sub(at).Milliseconds()) }

// newHello returns what every hello holds: the own card, digests, and when the
// controllers were last heard of.
func (r *Roster) newHello() hello {
	s := r.sums
	h := hello{Me: r.me, Sums: &s, Ages: map[types.Addr]int64{}}
	for _, a := range r.controllers {
		if e := r.entries[a]; r.healthy(e) {
			h.Ages[a] = r.age(e.heard)
		}
	}
	return h
}

// addZones adds, to a hello between controllers, when each zone was last heard of.
func (r *Roster) addZones(to types.Addr, h *hello) {
	if e := r.entries[to]; r.me.Role != RoleController || e == nil || e.card.Role != RoleController {
		return
	}
	h.Zones = map[types.Zone]int64{}
	for zone, z := range r.zones {
		if r.now.Sub(z.heard) < Healthy {
			h.Zones[zone] = r.age(z.heard)
		}
	}
}

// ask sends a hello that asks. An agent, or a daemon without a leader, asks for a
// sample too; a daemon that keeps all cards asks the leader for changes.
func (r *Roster) ask(to types.Addr) {
	h := r.newHello()
	h.Ask = true
	r.addZones(to, &h)
	lead := r.Lead()
	switch {
	case !r.keepsAll() && len(r.entries) < 3*sampleSize, r.keepsAll() && lead == "":
		h.Sample = 2 * sampleSize
	case !r.keepsAll():
		h.Sample = 1
	}
	if to == lead {
		r.askedVersion = r.me.V
	}
	if r.keepsAll() && to == lead && r.source != to {
		r.source, r.sourceSeq, r.mismatches = to, 0, 0
	}
	if r.keepsAll() && to == r.source {
		h.Follow, h.Seq = true, r.sourceSeq
		if r.mismatches > mostMismatches && r.now.Sub(r.repairedAt) > repairInterval {
			r.repairedAt, r.mismatches, r.sourceSeq = r.now, 0, 0
			h.Seq, h.All = 0, true
		}
	}
	r.send(to, h)
}

// Take handles a hello and reports true for it. Any other message counts as a sign
// of life of its sender only, and false is returned.
func (r *Roster) Take(now types.MonoTime, n wire.Message) bool {
	r.now = now
	if n.Kind != wire.Hello {
		r.touch(n)
		return false
	}
	h, ok := wire.Read[hello](n)
	if !ok {
		return true
	}
	if h.Later > r.me.V {
		r.sums.drop(r.me)
		r.me.V = h.Later + 1
		r.sums.add(r.me)
		r.ask(n.From)
	}
	later := r.takeOwn(h.Me)
	if h.Reply && n.From == r.Lead() {
		r.ackedVersion = r.askedVersion
	}
	for _, m := range h.Peers {
		r.takeCard(m)
	}
	for a, ms := range h.Ages {
		if e := r.entries[a]; e != nil {
			r.markHeard(e, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	for zone, ms := range h.Zones {
		if z := r.zones[zone]; z != nil {
			z.heard = max(z.heard, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	if h.Reply && h.Follow && n.From == r.source {
		r.applyChanges(h)
	}
	switch {
	case h.Ask:
		r.answer(n.From, h, later)
	case later > 0:
		r.send(n.From, hello{Me: r.me, Reply: true, Later: later})
	case !h.Reply && r.differs(h):
		r.ask(n.From)
	}
	return true
}

// touch takes any message as a sign of life of its sender, except for status
// reports, which others may have forwarded. An unknown sender is asked for its card.
func (r *Roster) touch(n wire.Message) {
	if n.Kind == wire.Status {
		return
	}
	if e := r.entries[n.From]; e != nil {
		e.direct = r.now
		r.markHeard(e, r.now)
	} else if r.keepsAll() && n.From != r.me.Addr {
		r.ask(n.From)
	}
}

// differs reports whether a peer knows other controllers, or gateways, than this
// daemon does.
func (r *Roster) differs(h hello) bool {
	return h.Sums != nil && (h.Sums.Controllers != r.sums.Controllers || r.keepsAll() && h.Me.Role != RoleAgent && h.Sums.Gateways != r.sums.Gateways)
}

// answer replies to a hello that asks.
func (r *Roster) answer(to types.Addr, h hello, later uint64) {
	a := r.newHello()
	a.Reply, a.Later = true, later
	r.addZones(to, &a)
	if r.differs(h) {
		for _, x := range r.order {
			c := r.entries[x].card
			if x != to && (c.Role == RoleController || c.Role == RoleGateway && h.Me.Role != RoleAgent && r.keepsAll()) {
				a.Peers = append(a.Peers, r.peer(r.entries[x]))
			}
		}
		a.Ask = !h.Reply
	}
	r.addSample(&a, h)
	if h.Follow && r.keepsAll() {
		a.Follow = true
		a.Peers, a.Seq, a.More = r.changesSince(a.Peers, h.Seq, h.Sums != nil && h.Sums.Agents == r.sums.Agents)
	}
	r.send(to, a)
	if h.All {
		r.source, r.sourceSeq = to, 0
		r.ask(to)
	}
}

// addSample adds random peers to a reply, as many as were asked for. The agent that
// asked before comes first: all ask equally often, so that each is known to about
// as many others.
func (r *Roster) addSample(a *hello, h hello) {
	want := min(h.Sample, 2*sampleSize)
	if g := r.lastAsker; want > 0 && g.Addr != "" && g.Addr != h.Me.Addr {
		g.AgeMS = r.age(r.lastAskedAt)
		a.Peers, want = append(a.Peers, g), want-1
	}
	if h.Me.Role == RoleAgent {
		r.lastAsker, r.lastAskedAt = Peer{Card: h.Me}, r.now
	}
	n := len(r.order)
	if n == 0 || want == 0 || h.Sample == 1 {
		return
	}
	from := r.rnd.Intn(n)
	for i := range min(n, want) {
		if e := r.entries[r.order[(from+i)%n]]; e.card.Addr != h.Me.Addr && e.card.Role != RoleController && !e.silent {
			a.Peers = append(a.Peers, r.peer(e))
		}
	}
}

// changesSince appends the cards that changed after seq, as many as a hello holds,
// and returns the last change covered and whether there are more. With equal
// digests there is nothing to append.
func (r *Roster) changesSince(list []Peer, seq uint64, same bool) ([]Peer, uint64, bool) {
	if same && (seq == 0 || seq > r.seq) {
		return list, r.seq, false
	}
	if seq > r.seq { // a number of an earlier process at this address
		seq = 0
	}
	n := 0
	for _, c := range r.log[after(r.log, seq):] {
		e := r.entries[c.addr]
		if e == nil || e.seq != c.seq {
			continue
		}
		if n++; n > changesPerHello {
			return list, seq, true
		}
		list, seq = append(list, r.peer(e)), c.seq
	}
	return list, r.seq, false
}

// applyChanges takes the leader's reply to a question for changes.
func (r *Roster) applyChanges(h hello) {
	for _, m := range h.Peers {
		if e := r.entries[m.Addr]; e != nil {
			e.silent = r.now.Sub(e.heard) >= silentAfter
		}
	}
	r.sourceSeq = h.Seq
	if h.More {
		r.ask(r.source)
		return
	}
	r.vouchedAt = r.now
	switch {
	case h.Sums == nil || h.Sums.Agents == r.sums.Agents:
		r.mismatches = 0
	case len(h.Peers) == 0:
		r.mismatches++
	}
	if r.me.Leads {
		r.source = ""
	}
}
