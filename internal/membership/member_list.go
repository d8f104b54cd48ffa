package membership

import (
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Timings that other packages read.
const (
	// TickInterval is the interval between two ticks that do something.
	TickInterval = 500 * time.Millisecond
	// HealthyWithin is how long a daemon counts as healthy after it was last heard from.
	HealthyWithin = 3 * time.Second
	// ExpireAfter is how long a daemon is kept after it was last heard from.
	ExpireAfter = 24 * time.Hour
)

const (
	// leaderTimeout is the silence after which a daemon looks for the leader.
	leaderTimeout = 1500 * time.Millisecond
	// unresponsiveAfter is the silence after which the leader tells others that a daemon is silent.
	unresponsiveAfter = 10 * time.Second
	// announcePeriod is how long a new leader repeats its announcement to those that it has not
	// heard.
	announcePeriod = 3 * time.Second
	// maxMembers bounds the daemons that are kept.
	maxMembers = 20_000
	// expiryTicks is the number of ticks between two searches for daemons to forget.
	expiryTicks = 64
	// agentHelloTicks is the number of ticks after which a controller sends a hello to a
	// random agent, so that agents come to know of new controllers.
	agentHelloTicks = 2
)

// ticksPerRequest is the number of ticks between two requests of a daemon that hears the leader.
var ticksPerRequest = map[Role]uint64{RoleController: 1, RoleGateway: 4, RoleAgent: 16}

// initialVersionRange bounds the random version that a daemon starts with, so that two processes
// at one address seldom start with the same.
const initialVersionRange = 1 << 20

// MemberList is one daemon's view of the cluster. It is a state machine: HandleMessage,
// SetSelf and Tick are its events, TakeMessages returns what to send.
type MemberList struct {
	rnd      *rand.Rand
	self     MemberInfo
	seeds    []types.Addr
	now      types.MonoTime // of the event
	lastTick types.MonoTime
	ticks    uint64
	outbox   []wire.OutboundMessage

	table     memberTable
	changes   changeLog // for those that follow this daemon; an agent has none
	sync      leaderSync
	discovery discovery

	leaderSince       types.MonoTime // since when this daemon leads
	advertisedVersion uint64         // version of self in the last request to the leader
	ackedVersion      uint64         // version of self that the leader has replied to
}

// New returns the list of a daemon that knows no others but its seeds.
func New(rnd *rand.Rand, self MemberInfo, seeds []types.Addr) *MemberList {
	self.Version = 1 + uint64(rnd.Intn(initialVersionRange))
	ml := &MemberList{
		rnd:         rnd,
		self:        self,
		seeds:       seeds,
		lastTick:    types.DistantPast,
		table:       newMemberTable(),
		sync:        newLeaderSync(),
		leaderSince: types.DistantPast,
	}
	ml.table.digests.add(self)
	return ml
}

// keepsFullView reports whether this daemon keeps all members; an agent keeps a sample.
func (ml *MemberList) keepsFullView() bool { return ml.self.Role != RoleAgent }

// SetSelf sets what this daemon says of itself, and raises its version if that has changed.
// A daemon that has become the leader announces itself to all at once.
func (ml *MemberList) SetSelf(info MemberInfo) {
	info.Version = ml.self.Version
	if !ml.mustAnnounce(info) {
		ml.self = info
		return
	}
	becomesLeader := info.Leads && !ml.self.Leads
	info.Version++
	ml.replaceSelf(info)
	if becomesLeader {
		ml.leaderSince = ml.now
		ml.announceLeadership()
	}
}

// mustAnnounce reports whether others need to know of a change. They take the cluster's name
// from controllers alone, and the term from the leader alone.
func (ml *MemberList) mustAnnounce(info MemberInfo) bool {
	if info.Role != RoleController {
		info.ClusterName = ml.self.ClusterName
	}
	if !info.Leads {
		info.Term = ml.self.Term
	}
	return info != ml.self
}

// replaceSelf replaces what this daemon says of itself.
func (ml *MemberList) replaceSelf(info MemberInfo) {
	ml.table.digests.remove(ml.self)
	ml.self = info
	ml.table.digests.add(info)
}

// announceLeadership sends a hello to all daemons that this one has not heard since it
// leads.
func (ml *MemberList) announceLeadership() {
	message := wire.NewMessage(ml.self.Addr, "", wire.Hello, hello{Self: ml.self}).Message
	for _, addr := range ml.table.order {
		if ml.table.entries[addr].lastDirectContactAt <= ml.leaderSince {
			ml.outbox = append(ml.outbox, wire.OutboundMessage{To: addr, Message: message})
		}
	}
}

// Tick sends what is due at a time.
func (ml *MemberList) Tick(now types.MonoTime) {
	ml.now = now
	if now.Sub(ml.lastTick) < TickInterval {
		return
	}
	ml.lastTick = now
	ml.ticks++
	ml.sendDueRequest()
	if ml.self.Role == RoleController && ml.ticks%agentHelloTicks == 0 {
		if addr, ok := ml.randomMember(RoleAgent); ok {
			ml.send(addr, ml.newHello())
		}
	}
	if ml.ticks%expiryTicks == 0 {
		ml.removeExpired()
	}
}

// ask sends the request that is due: to the leader, to find the leader, or to one of an
// agent's sample.
func (ml *MemberList) sendDueRequest() {
	leader := ml.Leader()
	due := ml.ticks%ticksPerRequest[ml.self.Role] == 0
	switch {
	case leader == ml.self.Addr:
		ml.logLivenessChanges()
	case leader == "" || ml.now.Sub(ml.table.entries[leader].lastDirectContactAt) > leaderTimeout:
		ml.discoverLeader()
	case due && ml.keepsFullView() || ml.ackedVersion != ml.self.Version:
		ml.request(leader)
	case due:
		ml.querySample()
	}
}

// logLivenessChanges is what the leader does on each tick: it logs a change for each daemon that
// has fallen silent or is heard again.
func (ml *MemberList) logLivenessChanges() {
	leadsFor := ml.now.Sub(ml.leaderSince)
	if leadsFor < announcePeriod {
		ml.announceLeadership()
	}
	for _, addr := range ml.table.order {
		e := ml.table.entries[addr]
		silent := ml.now.Sub(e.lastContactAt) >= unresponsiveAfter
		if e.unresponsive != silent && (!silent || leadsFor >= unresponsiveAfter) {
			e.unresponsive = silent
			ml.logChange(e)
		}
	}
}

// removeExpired forgets the daemons that have not been heard from for ExpireAfter.
func (ml *MemberList) removeExpired() {
	for _, addr := range slices.Clone(ml.table.order) {
		if ml.now.Sub(ml.lastContact(ml.table.entries[addr])) > ExpireAfter {
			ml.table.remove(addr)
		}
	}
}

// TakeMessages returns the messages to send since the last call.
func (ml *MemberList) TakeMessages() []wire.OutboundMessage {
	messages := ml.outbox
	ml.outbox = nil
	return messages
}
