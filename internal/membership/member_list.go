// Package membership keeps each daemon's view of the cluster: who is there, in
// which role and zone, and when each was last heard of. Any one live address leads
// to all the others. It is a hint for finding peers; no decision that must be
// correct rests on it.
//
// The traffic of a daemon does not grow with the cluster. Any message from a peer
// shows that it lives. Gateways and controllers ask the leader for the cards that
// changed since they last asked. Agents keep the controllers and a small sample of
// other daemons, and ask one of the sample now and then. A daemon that hears of no
// leader asks more widely, and a new leader announces itself to all.
//
// roster.go says when something is sent, hello.go what is sent and how it is
// received, cards.go what is kept, view.go what other packages read.
package membership

import (
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// The roles of a daemon.
const (
	RoleController = "controller"
	RoleGateway    = "gateway"
	RoleAgent      = "agent"
)

// MemberInfo is what a daemon says of itself. V is the card's version. Only its owner
// raises it, also beyond the version that others have from an earlier process at
// the same address.
type MemberInfo struct {
	Addr    types.Addr `json:"addr"`
	ID      types.ID   `json:"id,omitempty"` // of a controller: its member identity
	Role    string     `json:"role"`
	Zone    types.Zone `json:"locality"`
	Name    string     `json:"cluster,omitempty"` // the cluster's name, once one was formed
	Term    types.Term `json:"term,omitempty"`    // of a controller: its election term
	Leads   bool       `json:"leads,omitempty"`
	Shard   string     `json:"part,omitempty"` // of an agent: its worker's shard
	Ready   bool       `json:"ready"`
	Build   string     `json:"program,omitempty"` // build version
	Version uint64     `json:"v,omitempty"`
}

// Peer is another daemon's card, and how many milliseconds ago it was last heard
// of.
type Peer struct {
	MemberInfo
	AgeMS int64 `json:"age_ms"`
}

// Timings that other packages read.
const (
	// TickInterval is the interval between two looks at what is due.
	TickInterval = 500 * time.Millisecond
	// HealthyWithin is how long after its last message a peer counts as healthy.
	HealthyWithin = 3 * time.Second
	// ForgetAfter is how long after its last message a peer is forgotten.
	ForgetAfter = 24 * time.Hour
)

// Timings and bounds of the exchange.
const (
	leaderTimeout    = 1500 * time.Millisecond // silence after which the leader is looked for
	silentAfter      = 10 * time.Second        // silence after which the leader tells others that a peer is silent
	repairInterval   = 10 * time.Minute        // least time between two exchanges of all cards with the leader
	announceFor      = 3 * time.Second         // how long a new leader repeats its announcement to those it has not heard
	sampleSize       = 4                       // peers of each kind that an agent keeps
	changesPerHello  = 64                      // changed cards in one hello
	maxMismatches    = 4                       // replies with other digests after which all cards are asked for
	maxMembers       = 20_000                  // cards that are kept
	forgetEveryTicks = 64                      // beats between two searches for peers to forget
)

// ticksPerAsk is how many beats lie between two questions of a daemon that hears
// the leader.
var ticksPerAsk = map[string]uint64{RoleController: 1, RoleGateway: 4, RoleAgent: 16}

// MemberList is one daemon's view of the cluster. It is a state machine: Take and Tick
// are its events, Out returns what to send.
type MemberList struct {
	rnd          *rand.Rand
	self         MemberInfo
	seeds        []types.Addr
	now          types.MonoTime
	lastTick     types.MonoTime
	ticks        uint64
	leadsSince   types.MonoTime // since when this daemon leads
	askedVersion uint64         // version of this daemon's card in its last question to the leader
	ackedVersion uint64         // the version that the leader has answered to
	outbox       []wire.OutboundMessage
	memberTable
	following
	gossip
}

// following is how far this daemon has followed the leader's log of changes.
type following struct {
	source     types.Addr     // the leader whose changes are followed
	sourceSeq  uint64         // number of the last change applied
	mismatches int            // replies in a row after which the digests still differed
	repairedAt types.MonoTime // when all cards were last asked for
	vouchedAt  types.MonoTime // when the leader last said that there are no more changes
}

// gossip is the state of the exchange among agents.
type gossip struct {
	gossipPeer     types.Addr     // the peer that this agent asked last
	gossipAt       types.MonoTime // and when
	nextController int            // index of the controller to ask next
	lastAsker      Peer           // the agent that asked this daemon last
	lastAskedAt    types.MonoTime // and when
}

// never lies before all stamps, and far enough from them to be subtracted.
const never = types.MonoTime(-1 << 61)

// versionSpread bounds the random version that a card starts with, so that two
// processes at one address seldom start with the same.
const versionSpread = 1 << 20

// New returns the roster of a daemon that knows nobody but its seeds.
func New(rnd *rand.Rand, me MemberInfo, seeds []types.Addr) *MemberList {
	me.Version = 1 + uint64(rnd.Intn(versionSpread))
	r := &MemberList{rnd: rnd, self: me, seeds: seeds, lastTick: never, leadsSince: never,
		memberTable: memberTable{entries: map[types.Addr]*entry{}, agents: map[string]*entry{}, zones: map[types.Zone]*zoneState{}},
		following:   following{repairedAt: never, vouchedAt: never}}
	r.digests.add(me)
	return r
}

// keepsAll reports whether this daemon keeps all cards; an agent keeps a sample.
func (ml *MemberList) keepsAll() bool { return ml.self.Role != RoleAgent }

// SetSelf sets this daemon's own card and raises its version if anything changed. A
// daemon that has become the leader announces itself to all at once.
func (ml *MemberList) SetSelf(c MemberInfo) {
	c.Version = ml.self.Version
	same := c
	if c.Role != RoleController {
		same.Name = ml.self.Name // only a controller's word for the name counts
	}
	if !c.Leads {
		same.Term = ml.self.Term
	}
	if same == ml.self {
		ml.self = c
		return
	}
	leads := c.Leads && !ml.self.Leads
	ml.digests.remove(ml.self)
	c.Version++
	ml.self = c
	ml.digests.add(c)
	if leads {
		ml.leadsSince = ml.now
		ml.announceLeadership()
	}
}

// announceLeadership sends this daemon's card to all peers that it has not heard
// since it leads.
func (ml *MemberList) announceLeadership() {
	n := wire.NewMessage(ml.self.Addr, "", wire.Hello, hello{Self: ml.self}).Message
	for _, a := range ml.order {
		if ml.entries[a].heardDirectlyAt <= ml.leadsSince {
			ml.outbox = append(ml.outbox, wire.OutboundMessage{To: a, Message: n})
		}
	}
}

// Tick sends what is due at the time now.
func (ml *MemberList) Tick(now types.MonoTime) {
	ml.now = now
	if now.Sub(ml.lastTick) < TickInterval {
		return
	}
	ml.lastTick = now
	ml.ticks++
	lead := ml.Leader()
	switch due := ml.ticks%ticksPerAsk[ml.self.Role] == 0; {
	case lead == ml.self.Addr:
		ml.watchSilence()
	case lead == "" || now.Sub(ml.entries[lead].heardDirectlyAt) > leaderTimeout:
		ml.seekLeader()
	case due && ml.keepsAll() || ml.ackedVersion != ml.self.Version:
		ml.ask(lead)
	case due:
		ml.askSample()
	}
	if ml.self.Role == RoleController && ml.ticks%2 == 0 {
		if a, ok := ml.randomPeer(RoleAgent); ok { // so that agents come to know of new controllers
			ml.send(a, ml.newHello())
		}
	}
	if ml.ticks%forgetEveryTicks == 0 {
		for _, a := range slices.Clone(ml.order) {
			if now.Sub(ml.lastHeard(ml.entries[a])) > ForgetAfter {
				ml.forget(a)
			}
		}
	}
}

// watchSilence is run by the leader: it logs a change for each peer that has
// fallen silent or is heard again.
func (ml *MemberList) watchSilence() {
	if ml.now.Sub(ml.leadsSince) < announceFor {
		ml.announceLeadership()
	}
	for _, a := range ml.order {
		e := ml.entries[a]
		gone := ml.now.Sub(e.heardAt) >= silentAfter
		if e.silent != gone && (!gone || ml.now.Sub(ml.leadsSince) >= silentAfter) {
			e.silent = gone
			ml.logChange(e)
		}
	}
}

// seekLeader asks for the leader: seeds, controllers (an agent asks one of them in
// turn, since there are many agents), and a random peer.
func (ml *MemberList) seekLeader() {
	asked := map[types.Addr]bool{ml.self.Addr: true}
	ask := func(a types.Addr) {
		if !asked[a] {
			asked[a] = true
			ml.ask(a)
		}
	}
	for _, s := range ml.seeds {
		if e := ml.entries[s]; e == nil || ml.now.Sub(e.heardDirectlyAt) > HealthyWithin {
			ask(s)
		}
	}
	for i, a := range ml.controllers {
		if ml.keepsAll() || i == ml.nextController%len(ml.controllers) {
			ask(a)
		}
	}
	ml.nextController++
	if a, ok := ml.randomPeer(""); ok {
		ask(a)
	}
}

// askSample is an agent's question to one peer of its sample. A peer that left the
// last question unanswered while the leader was heard is gone, and forgotten.
func (ml *MemberList) askSample() {
	if e := ml.entries[ml.gossipPeer]; e != nil && e.info.Role == RoleAgent && e.heardDirectlyAt < ml.gossipAt {
		ml.forget(ml.gossipPeer)
	}
	a, ok := ml.randomPeer(RoleAgent)
	if !ok {
		a, ok = ml.randomPeer("")
	}
	if ok {
		ml.gossipPeer, ml.gossipAt = a, ml.now
		ml.ask(a)
	}
}

// randomPeer picks a random peer of a role, or of any role if that is empty.
func (ml *MemberList) randomPeer(role string) (types.Addr, bool) {
	if len(ml.order) == 0 {
		return "", false
	}
	from := ml.rnd.Intn(len(ml.order))
	for i := range ml.order {
		if a := ml.order[(from+i)%len(ml.order)]; role == "" || ml.entries[a].info.Role == role {
			return a, true
		}
	}
	return "", false
}

// TakeMessages returns the messages to send since the last call.
func (ml *MemberList) TakeMessages() []wire.OutboundMessage {
	s := ml.outbox
	ml.outbox = nil
	return s
}
