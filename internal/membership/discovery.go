package membership

import "coppercourse/internal/types"

// sampleSize is how many daemons of each kind an agent keeps.
const sampleSize = 4

// discovery is whom this daemon asked, and who asked it, to come to know others.
type discovery struct {
	lastQueried    types.Addr     // the one of its sample that this agent asked last
	lastQueriedAt  types.MonoTime // when it did
	nextController int            // index of the controller to ask next
	lastRequester  Peer           // the agent that asked this daemon last
	lastRequestAt  types.MonoTime // when it did
}

// discoverLeader asks for the leader: those seeds that are not heard, the controllers (an agent
// asks one of them in turn, since there are many agents), and a random daemon.
func (ml *MemberList) discoverLeader() {
	asked := map[types.Addr]bool{ml.self.Addr: true}
	request := func(addr types.Addr) {
		if !asked[addr] {
			asked[addr] = true
			ml.request(addr)
		}
	}
	for _, seed := range ml.seeds {
		e := ml.table.entries[seed]
		if e == nil || ml.now.Sub(e.lastDirectContactAt) > HealthyWithin {
			request(seed)
		}
	}
	for i, addr := range ml.table.controllers {
		if ml.keepsFullView() || i == ml.discovery.nextController%len(ml.table.controllers) {
			request(addr)
		}
	}
	ml.discovery.nextController++
	if addr, ok := ml.randomMember(""); ok {
		request(addr)
	}
}

// querySample has an agent ask one of its sample. An agent that did not reply to the last
// request, while the leader was heard, is gone and forgotten.
func (ml *MemberList) querySample() {
	d := &ml.discovery
	last := ml.table.entries[d.lastQueried]
	if last != nil && last.info.Role == RoleAgent && last.lastDirectContactAt < d.lastQueriedAt {
		ml.table.remove(d.lastQueried)
	}
	addr, ok := ml.randomMember(RoleAgent)
	if !ok {
		addr, ok = ml.randomMember("")
	}
	if ok {
		d.lastQueried, d.lastQueriedAt = addr, ml.now
		ml.request(addr)
	}
}

// randomMember returns a random daemon of a role, or of any role if that is empty.
func (ml *MemberList) randomMember(role Role) (types.Addr, bool) {
	order := ml.table.order
	if len(order) == 0 {
		return "", false
	}
	start := ml.rnd.Intn(len(order))
	for i := range order {
		addr := order[(start+i)%len(order)]
		if role == "" || ml.table.entries[addr].info.Role == role {
			return addr, true
		}
	}
	return "", false
}

// addSample adds random daemons to a reply, as many as were asked for. The agent that asked
// last comes first: all ask equally often, so each becomes known to about as many others.
func (ml *MemberList) addSample(reply *hello, request hello) {
	d := &ml.discovery
	want := min(request.SampleSize, 2*sampleSize)
	asker := request.Self.Addr
	if last := d.lastRequester; want > 0 && last.Addr != "" && last.Addr != asker {
		last.AgeMS = ml.ageMS(d.lastRequestAt)
		reply.Peers = append(reply.Peers, last)
		want--
	}
	if request.Self.Role == RoleAgent {
		d.lastRequester, d.lastRequestAt = Peer{MemberInfo: request.Self}, ml.now
	}
	order := ml.table.order
	if len(order) == 0 || want == 0 || request.SampleSize == 1 {
		return
	}
	start := ml.rnd.Intn(len(order))
	for i := range min(len(order), want) {
		e := ml.table.entries[order[(start+i)%len(order)]]
		if e.info.Addr != asker && e.info.Role != RoleController && !e.unresponsive {
			reply.Peers = append(reply.Peers, ml.peer(e))
		}
	}
}
