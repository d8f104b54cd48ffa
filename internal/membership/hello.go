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
	Self         Card                 `json:"me"`
	Peers        []Peer               `json:"mates,omitempty"`
	WantsReply   bool                 `json:"ask,omitempty"`
	IsReply      bool                 `json:"reply,omitempty"`
	KnownVersion uint64               `json:"have,omitempty"`  // the later version that is known of the receiver's card
	Digests      *Digests             `json:"sums,omitempty"`  // digests of the cards known
	Ages         map[types.Addr]int64 `json:"ages,omitempty"`  // since the healthy controllers were heard of, ms
	ZoneAges     map[types.Zone]int64 `json:"zones,omitempty"` // since anyone there was heard of, ms; between controllers
	SampleSize   int                  `json:"want,omitempty"`  // how many random peers to name in the reply
	// Between daemons that keep all cards: Follow asks for the changes after Seq;
	// the reply's Seq is the last change that it covers, and More says that there
	// are others. All asks the receiver to follow in turn, from the start.
	WantsChanges bool   `json:"follow,omitempty"`
	Seq          uint64 `json:"seq,omitempty"`
	More         bool   `json:"more,omitempty"`
	FullSync     bool   `json:"all,omitempty"`
}

// send queues a hello.
func (r *MemberList) send(to types.Addr, h hello) {
	r.outbox = append(r.outbox, wire.NewMessage(r.self.Addr, to, wire.Hello, h))
}

// age returns how many milliseconds ago a stamp was.
func (r *MemberList) age(at types.MonoTime) int64 { return max(0, r.now.Sub(at).Milliseconds()) }

// newHello returns what every hello holds: the own card, digests, and when the
// controllers were last heard of.
func (r *MemberList) newHello() hello {
	s := r.digests
	h := hello{Self: r.self, Digests: &s, Ages: map[types.Addr]int64{}}
	for _, a := range r.controllers {
		if e := r.entries[a]; r.healthy(e) {
			h.Ages[a] = r.age(e.heardAt)
		}
	}
	return h
}

// addZones adds, to a hello between controllers, when each zone was last heard of.
func (r *MemberList) addZones(to types.Addr, h *hello) {
	if e := r.entries[to]; r.self.Role != RoleController || e == nil || e.info.Role != RoleController {
		return
	}
	h.ZoneAges = map[types.Zone]int64{}
	for zone, z := range r.zones {
		if r.now.Sub(z.heardAt) < HealthyWithin {
			h.ZoneAges[zone] = r.age(z.heardAt)
		}
	}
}

// ask sends a hello that asks. An agent, or a daemon without a leader, asks for a
// sample too; a daemon that keeps all cards asks the leader for changes.
func (r *MemberList) ask(to types.Addr) {
	h := r.newHello()
	h.WantsReply = true
	r.addZones(to, &h)
	lead := r.Leader()
	switch {
	case !r.keepsAll() && len(r.entries) < 3*sampleSize, r.keepsAll() && lead == "":
		h.SampleSize = 2 * sampleSize
	case !r.keepsAll():
		h.SampleSize = 1
	}
	if to == lead {
		r.askedVersion = r.self.Version
	}
	if r.keepsAll() && to == lead && r.source != to {
		r.source, r.sourceSeq, r.mismatches = to, 0, 0
	}
	if r.keepsAll() && to == r.source {
		h.WantsChanges, h.Seq = true, r.sourceSeq
		if r.mismatches > maxMismatches && r.now.Sub(r.repairedAt) > repairInterval {
			r.repairedAt, r.mismatches, r.sourceSeq = r.now, 0, 0
			h.Seq, h.FullSync = 0, true
		}
	}
	r.send(to, h)
}

// HandleMessage handles a hello and reports true for it. Any other message counts as a sign
// of life of its sender only, and false is returned.
func (r *MemberList) HandleMessage(now types.MonoTime, n wire.Message) bool {
	r.now = now
	if n.Kind != wire.Hello {
		r.noteSender(n)
		return false
	}
	h, ok := wire.DecodeBody[hello](n)
	if !ok {
		return true
	}
	if h.KnownVersion > r.self.Version {
		r.digests.remove(r.self)
		r.self.Version = h.KnownVersion + 1
		r.digests.add(r.self)
		r.ask(n.From)
	}
	later := r.updateFromOwner(h.Self)
	if h.IsReply && n.From == r.Leader() {
		r.ackedVersion = r.askedVersion
	}
	for _, m := range h.Peers {
		r.update(m)
	}
	for a, ms := range h.Ages {
		if e := r.entries[a]; e != nil {
			r.markHeard(e, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	for zone, ms := range h.ZoneAges {
		if z := r.zones[zone]; z != nil {
			z.heardAt = max(z.heardAt, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	if h.IsReply && h.WantsChanges && n.From == r.source {
		r.applyChanges(h)
	}
	switch {
	case h.WantsReply:
		r.answer(n.From, h, later)
	case later > 0:
		r.send(n.From, hello{Self: r.self, IsReply: true, KnownVersion: later})
	case !h.IsReply && r.differs(h):
		r.ask(n.From)
	}
	return true
}

// noteSender takes any message as a sign of life of its sender, except for status
// reports, which others may have forwarded. An unknown sender is asked for its card.
func (r *MemberList) noteSender(n wire.Message) {
	if n.Kind == wire.StatusReport {
		return
	}
	if e := r.entries[n.From]; e != nil {
		e.heardDirectlyAt = r.now
		r.markHeard(e, r.now)
	} else if r.keepsAll() && n.From != r.self.Addr {
		r.ask(n.From)
	}
}

// differs reports whether a peer knows other controllers, or gateways, than this
// daemon does.
func (r *MemberList) differs(h hello) bool {
	return h.Digests != nil && (h.Digests.Controllers != r.digests.Controllers || r.keepsAll() && h.Self.Role != RoleAgent && h.Digests.Gateways != r.digests.Gateways)
}

// answer replies to a hello that asks.
func (r *MemberList) answer(to types.Addr, h hello, later uint64) {
	a := r.newHello()
	a.IsReply, a.KnownVersion = true, later
	r.addZones(to, &a)
	if r.differs(h) {
		for _, x := range r.order {
			c := r.entries[x].info
			if x != to && (c.Role == RoleController || c.Role == RoleGateway && h.Self.Role != RoleAgent && r.keepsAll()) {
				a.Peers = append(a.Peers, r.peer(r.entries[x]))
			}
		}
		a.WantsReply = !h.IsReply
	}
	r.addSample(&a, h)
	if h.WantsChanges && r.keepsAll() {
		a.WantsChanges = true
		a.Peers, a.Seq, a.More = r.changesSince(a.Peers, h.Seq, h.Digests != nil && h.Digests.Agents == r.digests.Agents)
	}
	r.send(to, a)
	if h.FullSync {
		r.source, r.sourceSeq = to, 0
		r.ask(to)
	}
}

// addSample adds random peers to a reply, as many as were asked for. The agent that
// asked before comes first: all ask equally often, so that each is known to about
// as many others.
func (r *MemberList) addSample(a *hello, h hello) {
	want := min(h.SampleSize, 2*sampleSize)
	if g := r.lastAsker; want > 0 && g.Addr != "" && g.Addr != h.Self.Addr {
		g.AgeMS = r.age(r.lastAskedAt)
		a.Peers, want = append(a.Peers, g), want-1
	}
	if h.Self.Role == RoleAgent {
		r.lastAsker, r.lastAskedAt = Peer{Card: h.Self}, r.now
	}
	n := len(r.order)
	if n == 0 || want == 0 || h.SampleSize == 1 {
		return
	}
	from := r.rnd.Intn(n)
	for i := range min(n, want) {
		if e := r.entries[r.order[(from+i)%n]]; e.info.Addr != h.Self.Addr && e.info.Role != RoleController && !e.silent {
			a.Peers = append(a.Peers, r.peer(e))
		}
	}
}

// changesSince appends the cards that changed after seq, as many as a hello holds,
// and returns the last change covered and whether there are more. With equal
// digests there is nothing to append.
func (r *MemberList) changesSince(list []Peer, seq uint64, same bool) ([]Peer, uint64, bool) {
	if same && (seq == 0 || seq > r.lastChange) {
		return list, r.lastChange, false
	}
	if seq > r.lastChange { // a number of an earlier process at this address
		seq = 0
	}
	n := 0
	for _, c := range r.changes[firstChangeAfter(r.changes, seq):] {
		e := r.entries[c.addr]
		if e == nil || e.seq != c.seq {
			continue
		}
		if n++; n > changesPerHello {
			return list, seq, true
		}
		list, seq = append(list, r.peer(e)), c.seq
	}
	return list, r.lastChange, false
}

// applyChanges takes the leader's reply to a question for changes.
func (r *MemberList) applyChanges(h hello) {
	for _, m := range h.Peers {
		if e := r.entries[m.Addr]; e != nil {
			e.silent = r.now.Sub(e.heardAt) >= silentAfter
		}
	}
	r.sourceSeq = h.Seq
	if h.More {
		r.ask(r.source)
		return
	}
	r.vouchedAt = r.now
	switch {
	case h.Digests == nil || h.Digests.Agents == r.digests.Agents:
		r.mismatches = 0
	case len(h.Peers) == 0:
		r.mismatches++
	}
	if r.self.Leads {
		r.source = ""
	}
}
