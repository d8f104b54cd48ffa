package membership

// The rosters of a whole cluster in virtual time, with stand-ins for the messages
// by which daemons hear the leader anyway.

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

type testCluster struct {
	now     types.MonoTime
	lists   map[types.Addr]*MemberList
	order   []types.Addr
	dropped func(from, to types.Addr) bool
	count   map[types.Addr]int
	bytes   map[types.Addr]int
}

func newCluster() *testCluster {
	return &testCluster{now: types.MonoTime(time.Hour), lists: map[types.Addr]*MemberList{}, dropped: func(_, _ types.Addr) bool { return false },
		count: map[types.Addr]int{}, bytes: map[types.Addr]int{}}
}

func (t *testCluster) add(role string, i, zones int, seeds ...types.Addr) types.Addr {
	a := types.Addr(fmt.Sprintf("%s%d", role, i))
	if !slices.Contains(t.order, a) {
		t.order = append(t.order, a)
	}
	c := MemberInfo{Addr: a, Role: role, Zone: types.Zone(fmt.Sprint("z", i%zones)), Ready: true}
	if role == "agent" {
		c.Shard = fmt.Sprint("k", i)
	}
	t.lists[a] = New(rand.New(rand.NewSource(int64(len(t.order)))), c, seeds)
	return a
}

// newFleet is three controllers, of which the first leads, three gateways, and agents.
func newFleet(agents, zones int) *testCluster {
	t := newCluster()
	for i := range 3 {
		t.add("controller", i, zones, "controller0", "agent0")
	}
	for i := range 3 {
		t.add("gateway", i, zones, "controller0", "agent0")
	}
	for i := range agents {
		t.add("agent", i, zones, "controller0", "agent0")
	}
	t.elect("controller0", 1)
	return t
}

func (t *testCluster) elect(a types.Addr, term types.Term) {
	c := t.lists[a].self
	c.Leads, c.Term = true, term
	t.lists[a].SetSelf(c)
}

// deliver delivers all that is to be said until nothing is.
func (t *testCluster) deliver(list []wire.OutboundMessage) {
	for len(list) > 0 {
		s := list[0]
		list = list[1:]
		if s.Message.Kind == wire.Hello {
			t.count[s.Message.From]++
			t.bytes[s.Message.From] += len(s.Message.Body)
		}
		if r := t.lists[s.To]; r != nil && !t.dropped(s.Message.From, s.To) {
			r.HandleMessage(t.now, s.Message)
			list = append(list, r.TakeMessages()...)
		}
	}
}

// advance lets time go by; each 300 ms all speak with whom they hold for the leader.
func (t *testCluster) advance(d time.Duration) {
	for end := t.now.Add(d); t.now < end; {
		t.now = t.now.Add(100 * time.Millisecond)
		for _, a := range t.order {
			r := t.lists[a]
			if r == nil {
				continue
			}
			r.Tick(t.now)
			t.deliver(r.TakeMessages())
			if l := r.Leader(); l != "" && l != a && t.now%types.MonoTime(300*time.Millisecond) == 0 {
				t.deliver([]wire.OutboundMessage{wire.NewMessage(a, l, wire.Heartbeat, 0)})
				if !t.dropped(a, l) && t.lists[l] != nil {
					t.deliver([]wire.OutboundMessage{wire.NewMessage(l, a, wire.HeartbeatReply, 0)})
				}
			}
		}
	}
}

func (t *testCluster) knownBy(a types.Addr) (n int) { return len(t.lists[a].Peers()) }

func TestIdleCostDoesNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	var each []float64
	for _, n := range []int{40, 160, 640} {
		f := newFleet(n, 4)
		f.advance(40 * time.Second)
		clear(f.count)
		clear(f.bytes)
		f.advance(16 * time.Second)
		most := 0
		for _, a := range f.order {
			if f.lists[a].self.Role == "agent" {
				most = max(most, f.bytes[a])
			}
		}
		sum, cards := 0, 0
		for a, b := range f.bytes {
			if f.lists[a].self.Role == "agent" {
				sum, cards = sum+b, max(cards, f.knownBy(a))
			}
		}
		each = append(each, float64(sum)/float64(n))
		is.True(cards <= 3+3*sampleSize)
		is.True(most/16 < 500)
		is.True(f.count["gateway0"] < 16)
		is.True(f.bytes["controller0"]/16 < 6000) // the leader answers controllers and gateways, not agents
	}
	is.True(each[2] < 1.2*each[0])
}

func TestAnySeedLeadsToAllMembers(t *testing.T) {
	is := is.New(t)
	f := newCluster()
	last := f.add("agent", 0, 3)
	for i := 1; i < 30; i++ {
		last = f.add("agent", i, 3, last)
	}
	g := f.add("gateway", 0, 3, last)
	for i := range 3 {
		f.add("controller", i, 3, types.Addr(fmt.Sprint("agent", 10*i)))
	}
	f.advance(20 * time.Second)
	for i := range 3 { // before anyone leads the controllers have found each other
		is.Equal(len(f.lists[types.Addr(fmt.Sprint("controller", i))].Controllers()), 2)
	}
	f.elect("controller1", 1)
	f.advance(10 * time.Second)
	for _, a := range []types.Addr{"controller0", "controller1", "controller2", g} {
		is.Equal(f.knownBy(a), len(f.order)-1)
	}
	for _, a := range f.order {
		is.Equal(f.lists[a].Leader(), types.Addr("controller1"))
		is.True(len(f.lists[a].MembersOf("controller")) >= 2)
	}
	f.add("gateway", 7, 3, "agent4") // one address of a daemon that keeps few
	f.advance(3 * time.Second)
	is.Equal(f.knownBy("gateway7"), len(f.order)-1)
}

func TestNewLeaderIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(100, 4)
	f.advance(20 * time.Second)
	delete(f.lists, "controller0")
	f.advance(900 * time.Millisecond)
	f.elect("controller1", 2)
	f.advance(100 * time.Millisecond)
	for _, a := range f.order[1:] {
		is.Equal(f.lists[a].Leader(), types.Addr("controller1"))
	}
	// One that the word does not reach finds out by itself.
	f.dropped = func(_, to types.Addr) bool { return to == "agent3" }
	delete(f.lists, "controller1")
	f.advance(900 * time.Millisecond)
	f.elect("controller2", 3)
	f.advance(100 * time.Millisecond)
	is.Equal(f.lists["agent3"].Leader(), types.Addr("controller1"))
	f.advance(6 * time.Second)
	f.dropped = func(_, _ types.Addr) bool { return false }
	f.advance(600 * time.Millisecond)
	is.Equal(f.lists["agent3"].Leader(), types.Addr("controller2"))
}

func TestRestartedDaemonSupersedesItsOldInfo(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, 4)
	f.advance(10 * time.Second)
	c := f.lists["agent5"].self
	c.Ready = false
	f.lists["agent5"].SetSelf(c)
	f.advance(20 * time.Second)
	was := f.lists["gateway1"].entries["agent5"].info
	is.Equal(was.Ready, false)
	f.add("agent", 5, 4, "controller0")
	f.lists["agent5"].self.Version = 1
	f.advance(3 * time.Second)
	now := f.lists["gateway1"].entries["agent5"].info
	is.Equal(now.Ready, true)
	is.True(now.Version > was.Version)
	// What it said before comes late and changes nothing.
	f.lists["gateway1"].HandleMessage(f.now, wire.NewMessage("agent5", "gateway1", wire.Hello, hello{Self: was}).Message)
	is.Equal(f.lists["gateway1"].entries["agent5"].info, now)
}

// Whichever agent it is, peers that are gone are forgotten, and it never keeps more
// than it may. Some agents lose every peer that they know at once.
func TestAgentForgetsDepartedPeers(t *testing.T) {
	for i := range 12 {
		is := is.New(t)
		f := newFleet(60, 4)
		f.advance(40 * time.Second)
		r := f.lists[types.Addr(fmt.Sprint("agent", i))]
		kept := slices.Clone(r.order)
		for _, a := range kept {
			if r.entries[a].info.Role == "agent" {
				delete(f.lists, a)
			}
		}
		f.advance(5 * time.Minute)
		left := 0
		for _, a := range r.order {
			if r.entries[a].info.Role == "agent" && slices.Contains(kept, a) {
				left++
			}
		}
		is.True(left < sampleSize/2)
		is.True(len(r.order) <= 3+3*sampleSize)
	}
}

func TestMissedChangesAreRepaired(t *testing.T) {
	is := is.New(t)
	f := newFleet(200, 4)
	f.advance(20 * time.Second)
	is.Equal(f.knownBy("gateway0"), len(f.order)-1)
	f.lists["gateway0"].forget("agent7")
	f.lists["controller0"].forget("agent8") // known to the leader no more, and it says nothing
	delete(f.lists, "agent8")
	f.advance(repairInterval + 30*time.Second)
	is.Equal(f.knownBy("gateway0"), len(f.order)-1)
	is.Equal(f.knownBy("controller0"), len(f.order)-1)
}

func TestSilenceIsReportedToDaemonsThatKeepAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(50, 4)
	f.advance(20 * time.Second)
	delete(f.lists, "agent9")
	f.advance(30 * time.Second)
	for _, m := range f.lists["gateway2"].Peers() {
		if m.Addr == "agent9" {
			is.True(m.AgeMS > 25_000)
		} else {
			is.True(m.AgeMS <= 3000)
		}
	}
	g := f.lists["gateway2"]
	for _, e := range g.entries { // as a day later
		e.heardAt = e.heardAt.Add(-ForgetAfter)
	}
	f.advance(time.Minute)
	is.True(f.knownBy("gateway2") >= len(f.order)-2) // nobody who lives is forgotten
	f.add("agent", 9, 4, "gateway1")
	f.advance(5 * time.Second)
	is.True(g.peer(g.entries["agent9"]).AgeMS <= 3000)
}

func TestSilentZoneIsReportedAsPartitioned(t *testing.T) {
	is := is.New(t)
	f := newFleet(40, 4)
	f.advance(10 * time.Second)
	h := f.lists["controller0"]
	delete(f.lists, "agent9")
	f.advance(3 * time.Second)
	is.Equal(h.ZonePartitioned("k9"), false) // others of its zone live
	zone := func(a types.Addr) bool { return f.lists[a] != nil && f.lists[a].self.Zone == "z2" }
	f.dropped = func(from, to types.Addr) bool { return zone(from) != zone(to) }
	f.advance(time.Second)
	is.Equal(h.ZonePartitioned("k6"), false)
	f.advance(2 * time.Second)
	is.Equal(h.ZonePartitioned("k6"), true)
	is.Equal(h.ZonePartitioned("k9"), false)
	is.Equal(h.ZonePartitioned("k0"), false) // its own
	// The leader alone can't reach the zone, but another controller can.
	f.dropped = func(from, to types.Addr) bool {
		return from == "controller0" && zone(to) || zone(from) && to == "controller0"
	}
	f.advance(6 * time.Second)
	for range 20 {
		f.advance(200 * time.Millisecond)
		is.Equal(h.ZonePartitioned("k6"), false)
	}
}

func TestMembersOfOtherClustersAreIgnored(t *testing.T) {
	is := is.New(t)
	r := New(rand.New(rand.NewSource(1)), MemberInfo{Addr: "a", Role: "controller", Name: "one"}, nil)
	r.HandleMessage(1, wire.NewMessage("b", "a", wire.Hello, hello{Self: MemberInfo{Addr: "b", Role: "controller", Name: "two", Version: 3}}).Message)
	r.HandleMessage(1, wire.NewMessage("c", "a", wire.Hello, hello{Self: MemberInfo{Addr: "c", Role: "gateway", Name: "one", Version: 3}}).Message)
	is.Equal(len(r.Peers()), 1)
}
