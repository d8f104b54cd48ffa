package membership

import (
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// hello is the one message of this package: an announcement, a request, or a reply.
type hello struct {
	Self         MemberInfo           `json:"me"`
	Peers        []Peer               `json:"mates,omitempty"`
	WantsReply   bool                 `json:"ask,omitempty"`
	IsReply      bool                 `json:"reply,omitempty"`
	KnownVersion uint64               `json:"have,omitempty"`  // of the receiver, if that is beyond the one it gave
	Digests      *Digests             `json:"sums,omitempty"`  // of all members that the sender knows
	Ages         map[types.Addr]int64 `json:"ages,omitempty"`  // ms since the healthy controllers were last heard from
	ZoneAges     map[types.Zone]int64 `json:"zones,omitempty"` // the same of zones, between controllers
	SampleSize   int                  `json:"want,omitempty"`  // how many random members the reply should have

	// Between daemons that keep all members: a request asks for the changes after Seq, and
	// the reply has them, up to its own Seq. FullSync asks the receiver to follow the sender
	// in turn, from the start.
	WantsChanges bool   `json:"follow,omitempty"`
	Seq          uint64 `json:"seq,omitempty"`
	More         bool   `json:"more,omitempty"` // there are later changes
	FullSync     bool   `json:"all,omitempty"`
}

// send queues a hello.
func (ml *MemberList) send(to types.Addr, h hello) {
	ml.outbox = append(ml.outbox, wire.NewMessage(ml.self.Addr, to, wire.Hello, h))
}

// newHello returns what every hello holds: this daemon, the digests, and when the
// controllers were last heard from.
func (ml *MemberList) newHello() hello {
	digests := ml.table.digests
	h := hello{Self: ml.self, Digests: &digests, Ages: map[types.Addr]int64{}}
	for _, addr := range ml.table.controllers {
		if e := ml.table.entries[addr]; ml.healthy(e) {
			h.Ages[addr] = ml.ageMS(e.lastContactAt)
		}
	}
	return h
}

// addZoneAges adds, to a hello between controllers, when each zone was last heard from.
func (ml *MemberList) addZoneAges(h *hello, to types.Addr) {
	if ml.self.Role != RoleController || ml.RoleOf(to) != RoleController {
		return
	}
	h.ZoneAges = map[types.Zone]int64{}
	for name, zone := range ml.table.zones {
		if ml.now.Sub(zone.lastContactAt) < HealthyWithin {
			h.ZoneAges[name] = ml.ageMS(zone.lastContactAt)
		}
	}
}

// request sends a hello that wants a reply. An agent asks for a sample, and for a large one
// while it knows few daemons; so does a daemon without a leader. A daemon that keeps all
// members asks the leader for changes.
func (ml *MemberList) request(to types.Addr) {
	h := ml.newHello()
	h.WantsReply = true
	ml.addZoneAges(&h, to)
	leader := ml.Leader()
	switch {
	case !ml.keepsFullView() && len(ml.table.entries) < 3*sampleSize, ml.keepsFullView() && leader == "":
		h.SampleSize = 2 * sampleSize
	case !ml.keepsFullView():
		h.SampleSize = 1
	}
	if to == leader {
		ml.advertisedVersion = ml.self.Version
	}
	if ml.keepsFullView() {
		ml.sync.addChangeRequest(&h, to, to == leader, ml.now)
	}
	ml.send(to, h)
}

// reply replies to a hello. The reply wants a reply itself if the two daemons know different
// controllers, or gateways, so that both come to know all of them; but a reply to a reply
// does not.
func (ml *MemberList) reply(to types.Addr, request hello, knownVersion uint64) {
	reply := ml.newHello()
	reply.IsReply, reply.KnownVersion = true, knownVersion
	ml.addZoneAges(&reply, to)
	if ml.digestsDiffer(request) {
		ml.addServers(&reply, to, request)
		reply.WantsReply = !request.IsReply
	}
	ml.addSample(&reply, request)
	if request.WantsChanges && ml.keepsFullView() {
		ml.addChanges(&reply, request)
	}
	ml.send(to, reply)
	if request.FullSync {
		ml.sync.followFromStart(to)
		ml.request(to)
	}
}

// differs reports whether the sender of a hello knows other controllers than this daemon
// does or, where both keep all members, other gateways.
func (ml *MemberList) digestsDiffer(h hello) bool {
	if h.Digests == nil {
		return false
	}
	if h.Digests.Controllers != ml.table.digests.Controllers {
		return true
	}
	return ml.keepsFullView() && h.Self.Role != RoleAgent && h.Digests.Gateways != ml.table.digests.Gateways
}

// addServers adds all controllers to a reply and, where both daemons keep all members, all
// gateways.
func (ml *MemberList) addServers(reply *hello, to types.Addr, request hello) {
	withGateways := request.Self.Role != RoleAgent && ml.keepsFullView()
	for _, addr := range ml.table.order {
		e := ml.table.entries[addr]
		wanted := e.info.Role == RoleController || e.info.Role == RoleGateway && withGateways
		if wanted && addr != to {
			reply.Peers = append(reply.Peers, ml.peer(e))
		}
	}
}
