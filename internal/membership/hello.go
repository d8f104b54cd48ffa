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
	Self         MemberInfo           `json:"me"`
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
func (ml *MemberList) send(to types.Addr, h hello) {
	ml.outbox = append(ml.outbox, wire.NewMessage(ml.self.Addr, to, wire.Hello, h))
}

// age returns how many milliseconds ago a stamp was.
func (ml *MemberList) age(at types.MonoTime) int64 { return max(0, ml.now.Sub(at).Milliseconds()) }

// newHello returns what every hello holds: the own card, digests, and when the
// controllers were last heard of.
func (ml *MemberList) newHello() hello {
	s := ml.digests
	h := hello{Self: ml.self, Digests: &s, Ages: map[types.Addr]int64{}}
	for _, a := range ml.controllers {
		if e := ml.entries[a]; ml.healthy(e) {
			h.Ages[a] = ml.age(e.heardAt)
		}
	}
	return h
}

// addZones adds, to a hello between controllers, when each zone was last heard of.
func (ml *MemberList) addZones(to types.Addr, h *hello) {
	if e := ml.entries[to]; ml.self.Role != RoleController || e == nil || e.info.Role != RoleController {
		return
	}
	h.ZoneAges = map[types.Zone]int64{}
	for zone, z := range ml.zones {
		if ml.now.Sub(z.heardAt) < HealthyWithin {
			h.ZoneAges[zone] = ml.age(z.heardAt)
		}
	}
}

// ask sends a hello that asks. An agent, or a daemon without a leader, asks for a
// sample too; a daemon that keeps all cards asks the leader for changes.
func (ml *MemberList) ask(to types.Addr) {
	h := ml.newHello()
	h.WantsReply = true
	ml.addZones(to, &h)
	lead := ml.Leader()
	switch {
	case !ml.keepsAll() && len(ml.entries) < 3*sampleSize, ml.keepsAll() && lead == "":
		h.SampleSize = 2 * sampleSize
	case !ml.keepsAll():
		h.SampleSize = 1
	}
	if to == lead {
		ml.askedVersion = ml.self.Version
	}
	if ml.keepsAll() && to == lead && ml.source != to {
		ml.source, ml.sourceSeq, ml.mismatches = to, 0, 0
	}
	if ml.keepsAll() && to == ml.source {
		h.WantsChanges, h.Seq = true, ml.sourceSeq
		if ml.mismatches > maxMismatches && ml.now.Sub(ml.repairedAt) > repairInterval {
			ml.repairedAt, ml.mismatches, ml.sourceSeq = ml.now, 0, 0
			h.Seq, h.FullSync = 0, true
		}
	}
	ml.send(to, h)
}

// HandleMessage handles a hello and reports true for it. Any other message counts as a sign
// of life of its sender only, and false is returned.
func (ml *MemberList) HandleMessage(now types.MonoTime, n wire.Message) bool {
	ml.now = now
	if n.Kind != wire.Hello {
		ml.noteSender(n)
		return false
	}
	h, ok := wire.DecodeBody[hello](n)
	if !ok {
		return true
	}
	if h.KnownVersion > ml.self.Version {
		ml.digests.remove(ml.self)
		ml.self.Version = h.KnownVersion + 1
		ml.digests.add(ml.self)
		ml.ask(n.From)
	}
	later := ml.updateFromOwner(h.Self)
	if h.IsReply && n.From == ml.Leader() {
		ml.ackedVersion = ml.askedVersion
	}
	for _, m := range h.Peers {
		ml.update(m)
	}
	for a, ms := range h.Ages {
		if e := ml.entries[a]; e != nil {
			ml.markHeard(e, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	for zone, ms := range h.ZoneAges {
		if z := ml.zones[zone]; z != nil {
			z.heardAt = max(z.heardAt, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
	if h.IsReply && h.WantsChanges && n.From == ml.source {
		ml.applyChanges(h)
	}
	switch {
	case h.WantsReply:
		ml.answer(n.From, h, later)
	case later > 0:
		ml.send(n.From, hello{Self: ml.self, IsReply: true, KnownVersion: later})
	case !h.IsReply && ml.differs(h):
		ml.ask(n.From)
	}
	return true
}

// noteSender takes any message as a sign of life of its sender, except for status
// reports, which others may have forwarded. An unknown sender is asked for its card.
func (ml *MemberList) noteSender(n wire.Message) {
	if n.Kind == wire.StatusReport {
		return
	}
	if e := ml.entries[n.From]; e != nil {
		e.heardDirectlyAt = ml.now
		ml.markHeard(e, ml.now)
	} else if ml.keepsAll() && n.From != ml.self.Addr {
		ml.ask(n.From)
	}
}

// differs reports whether a peer knows other controllers, or gateways, than this
// daemon does.
func (ml *MemberList) differs(h hello) bool {
	return h.Digests != nil && (h.Digests.Controllers != ml.digests.Controllers || ml.keepsAll() && h.Self.Role != RoleAgent && h.Digests.Gateways != ml.digests.Gateways)
}

// answer replies to a hello that asks.
func (ml *MemberList) answer(to types.Addr, h hello, later uint64) {
	a := ml.newHello()
	a.IsReply, a.KnownVersion = true, later
	ml.addZones(to, &a)
	if ml.differs(h) {
		for _, x := range ml.order {
			c := ml.entries[x].info
			if x != to && (c.Role == RoleController || c.Role == RoleGateway && h.Self.Role != RoleAgent && ml.keepsAll()) {
				a.Peers = append(a.Peers, ml.peer(ml.entries[x]))
			}
		}
		a.WantsReply = !h.IsReply
	}
	ml.addSample(&a, h)
	if h.WantsChanges && ml.keepsAll() {
		a.WantsChanges = true
		a.Peers, a.Seq, a.More = ml.changesSince(a.Peers, h.Seq, h.Digests != nil && h.Digests.Agents == ml.digests.Agents)
	}
	ml.send(to, a)
	if h.FullSync {
		ml.source, ml.sourceSeq = to, 0
		ml.ask(to)
	}
}

// addSample adds random peers to a reply, as many as were asked for. The agent that
// asked before comes first: all ask equally often, so that each is known to about
// as many others.
func (ml *MemberList) addSample(a *hello, h hello) {
	want := min(h.SampleSize, 2*sampleSize)
	if g := ml.lastAsker; want > 0 && g.Addr != "" && g.Addr != h.Self.Addr {
		g.AgeMS = ml.age(ml.lastAskedAt)
		a.Peers, want = append(a.Peers, g), want-1
	}
	if h.Self.Role == RoleAgent {
		ml.lastAsker, ml.lastAskedAt = Peer{MemberInfo: h.Self}, ml.now
	}
	n := len(ml.order)
	if n == 0 || want == 0 || h.SampleSize == 1 {
		return
	}
	from := ml.rnd.Intn(n)
	for i := range min(n, want) {
		if e := ml.entries[ml.order[(from+i)%n]]; e.info.Addr != h.Self.Addr && e.info.Role != RoleController && !e.silent {
			a.Peers = append(a.Peers, ml.peer(e))
		}
	}
}

// changesSince appends the cards that changed after seq, as many as a hello holds,
// and returns the last change covered and whether there are more. With equal
// digests there is nothing to append.
func (ml *MemberList) changesSince(list []Peer, seq uint64, same bool) ([]Peer, uint64, bool) {
	if same && (seq == 0 || seq > ml.lastChange) {
		return list, ml.lastChange, false
	}
	if seq > ml.lastChange { // a number of an earlier process at this address
		seq = 0
	}
	n := 0
	for _, c := range ml.changes[firstChangeAfter(ml.changes, seq):] {
		e := ml.entries[c.addr]
		if e == nil || e.seq != c.seq {
			continue
		}
		if n++; n > changesPerHello {
			return list, seq, true
		}
		list, seq = append(list, ml.peer(e)), c.seq
	}
	return list, ml.lastChange, false
}

// applyChanges takes the leader's reply to a question for changes.
func (ml *MemberList) applyChanges(h hello) {
	for _, m := range h.Peers {
		if e := ml.entries[m.Addr]; e != nil {
			e.silent = ml.now.Sub(e.heardAt) >= silentAfter
		}
	}
	ml.sourceSeq = h.Seq
	if h.More {
		ml.ask(ml.source)
		return
	}
	ml.vouchedAt = ml.now
	switch {
	case h.Digests == nil || h.Digests.Agents == ml.digests.Agents:
		ml.mismatches = 0
	case len(h.Peers) == 0:
		ml.mismatches++
	}
	if ml.self.Leads {
		ml.source = ""
	}
}
