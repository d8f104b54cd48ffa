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

type cluster struct {
	now   types.MonoTime
	by    map[types.Addr]*Roster
	order []types.Addr
	lost  func(from, to types.Addr) bool
	count map[types.Addr]int
	bytes map[types.Addr]int
}

func newCluster() *cluster {
	return &cluster{now: types.MonoTime(time.Hour), by: map[types.Addr]*Roster{}, lost: func(_, _ types.Addr) bool { return false },
		count: map[types.Addr]int{}, bytes: map[types.Addr]int{}}
}

func (cl *cluster) add(role string, i, zones int, seeds ...types.Addr) types.Addr {
	a := types.Addr(fmt.Sprintf("%s%d", role, i))
	if !slices.Contains(cl.order, a) {
		cl.order = append(cl.order, a)
	}
	c := Card{Addr: a, Role: role, Zone: types.Zone(fmt.Sprint("z", i%zones)), Ready: true}
	if role == "agent" {
		c.Part = fmt.Sprint("k", i)
	}
	cl.by[a] = New(rand.New(rand.NewSource(int64(len(cl.order)))), c, seeds)
	return a
}

// fleet is three controllers, of which the first leads, three gateways, and agents.
func fleet(agents, zones int) *cluster {
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
	t.lead("controller0", 1)
	return t
}

func (cl *cluster) lead(a types.Addr, term types.Term) {
	c := cl.by[a].me
	c.Leads, c.Term = true, term
	cl.by[a].Me(c)
}

// post delivers all that is to be said until nothing is.
func (cl *cluster) post(list []wire.Send) {
	for len(list) > 0 {
		s := list[0]
		list = list[1:]
		if s.Message.Kind == wire.Hello {
			cl.count[s.Message.From]++
			cl.bytes[s.Message.From] += len(s.Message.Body)
		}
		if r := cl.by[s.To]; r != nil && !cl.lost(s.Message.From, s.To) {
			r.Take(cl.now, s.Message)
			list = append(list, r.Out()...)
		}
	}
}

// pass lets time go by; each 300 ms all speak with whom they hold for the leader.
func (cl *cluster) pass(d time.Duration) {
	for end := cl.now.Add(d); cl.now < end; {
		cl.now = cl.now.Add(100 * time.Millisecond)
		for _, a := range cl.order {
			r := cl.by[a]
			if r == nil {
				continue
			}
			r.Tick(cl.now)
			cl.post(r.Out())
			if l := r.Lead(); l != "" && l != a && cl.now%types.MonoTime(300*time.Millisecond) == 0 {
				cl.post([]wire.Send{wire.Make(a, l, wire.Beat, 0)})
				if !cl.lost(a, l) && cl.by[l] != nil {
					cl.post([]wire.Send{wire.Make(l, a, wire.Beaten, 0)})
				}
			}
		}
	}
}

func (cl *cluster) knows(a types.Addr) (n int) { return len(cl.by[a].Peers()) }

func TestIdleCostDoesNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	var each []float64
	for _, n := range []int{40, 160, 640} {
		f := fleet(n, 4)
		f.pass(40 * time.Second)
		clear(f.count)
		clear(f.bytes)
		f.pass(16 * time.Second)
		most := 0
		for _, a := range f.order {
			if f.by[a].me.Role == "agent" {
				most = max(most, f.bytes[a])
			}
		}
		sum, cards := 0, 0
		for a, b := range f.bytes {
			if f.by[a].me.Role == "agent" {
				sum, cards = sum+b, max(cards, f.knows(a))
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

func TestAnyOneAddressLeadsToAllTheRest(t *testing.T) {
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
	f.pass(20 * time.Second)
	for i := range 3 { // before anyone leads the controllers have found each other
		is.Equal(len(f.by[types.Addr(fmt.Sprint("controller", i))].Controllers()), 2)
	}
	f.lead("controller1", 1)
	f.pass(10 * time.Second)
	for _, a := range []types.Addr{"controller0", "controller1", "controller2", g} {
		is.Equal(f.knows(a), len(f.order)-1)
	}
	for _, a := range f.order {
		is.Equal(f.by[a].Lead(), types.Addr("controller1"))
		is.True(len(f.by[a].Known("controller")) >= 2)
	}
	f.add("gateway", 7, 3, "agent4") // one address of a daemon that keeps few
	f.pass(3 * time.Second)
	is.Equal(f.knows("gateway7"), len(f.order)-1)
}

func TestNewLeaderIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	f := fleet(100, 4)
	f.pass(20 * time.Second)
	delete(f.by, "controller0")
	f.pass(900 * time.Millisecond)
	f.lead("controller1", 2)
	f.pass(100 * time.Millisecond)
	for _, a := range f.order[1:] {
		is.Equal(f.by[a].Lead(), types.Addr("controller1"))
	}
	// One that the word does not reach finds out by itself.
	f.lost = func(_, to types.Addr) bool { return to == "agent3" }
	delete(f.by, "controller1")
	f.pass(900 * time.Millisecond)
	f.lead("controller2", 3)
	f.pass(100 * time.Millisecond)
	is.Equal(f.by["agent3"].Lead(), types.Addr("controller1"))
	f.pass(6 * time.Second)
	f.lost = func(_, _ types.Addr) bool { return false }
	f.pass(600 * time.Millisecond)
	is.Equal(f.by["agent3"].Lead(), types.Addr("controller2"))
}

func TestARestartedDaemonGoesBeyondItsOldCard(t *testing.T) {
	is := is.New(t)
	f := fleet(20, 4)
	f.pass(10 * time.Second)
	c := f.by["agent5"].me
	c.Ready = false
	f.by["agent5"].Me(c)
	f.pass(20 * time.Second)
	was := f.by["gateway1"].entries["agent5"].card
	is.Equal(was.Ready, false)
	f.add("agent", 5, 4, "controller0")
	f.by["agent5"].me.V = 1
	f.pass(3 * time.Second)
	now := f.by["gateway1"].entries["agent5"].card
	is.Equal(now.Ready, true)
	is.True(now.V > was.V)
	// What it said before comes late and changes nothing.
	f.by["gateway1"].Take(f.now, wire.Make("agent5", "gateway1", wire.Hello, hello{Me: was}).Message)
	is.Equal(f.by["gateway1"].entries["agent5"].card, now)
}

// Whichever agent it is, peers that are gone are forgotten, and it never keeps more
// than it may. Some agents lose every peer that they know at once.
func TestAgentForgetsPeersThatAreGone(t *testing.T) {
	for i := range 12 {
		is := is.New(t)
		f := fleet(60, 4)
		f.pass(40 * time.Second)
		r := f.by[types.Addr(fmt.Sprint("agent", i))]
		kept := slices.Clone(r.order)
		for _, a := range kept {
			if r.entries[a].card.Role == "agent" {
				delete(f.by, a)
			}
		}
		f.pass(5 * time.Minute)
		left := 0
		for _, a := range r.order {
			if r.entries[a].card.Role == "agent" && slices.Contains(kept, a) {
				left++
			}
		}
		is.True(left < sampleSize/2)
		is.True(len(r.order) <= 3+3*sampleSize)
	}
}

func TestWhatWasMissedIsRepaired(t *testing.T) {
	is := is.New(t)
	f := fleet(200, 4)
	f.pass(20 * time.Second)
	is.Equal(f.knows("gateway0"), len(f.order)-1)
	f.by["gateway0"].drop("agent7")
	f.by["controller0"].drop("agent8") // known to the leader no more, and it says nothing
	delete(f.by, "agent8")
	f.pass(repairInterval + 30*time.Second)
	is.Equal(f.knows("gateway0"), len(f.order)-1)
	is.Equal(f.knows("controller0"), len(f.order)-1)
}

func TestSilenceIsToldToThoseWhoKeepAll(t *testing.T) {
	is := is.New(t)
	f := fleet(50, 4)
	f.pass(20 * time.Second)
	delete(f.by, "agent9")
	f.pass(30 * time.Second)
	for _, m := range f.by["gateway2"].Peers() {
		if m.Addr == "agent9" {
			is.True(m.AgeMS > 25_000)
		} else {
			is.True(m.AgeMS <= 3000)
		}
	}
	g := f.by["gateway2"]
	for _, e := range g.entries { // as a day later
		e.heard = e.heard.Add(-Forget)
	}
	f.pass(time.Minute)
	is.True(f.knows("gateway2") >= len(f.order)-2) // nobody who lives is forgotten
	f.add("agent", 9, 4, "gateway1")
	f.pass(5 * time.Second)
	is.True(g.peer(g.entries["agent9"]).AgeMS <= 3000)
}

func TestWholeZoneSilentIsToldApart(t *testing.T) {
	is := is.New(t)
	f := fleet(40, 4)
	f.pass(10 * time.Second)
	h := f.by["controller0"]
	delete(f.by, "agent9")
	f.pass(3 * time.Second)
	is.Equal(h.Apart("k9"), false) // others of its zone live
	zone := func(a types.Addr) bool { return f.by[a] != nil && f.by[a].me.Zone == "z2" }
	f.lost = func(from, to types.Addr) bool { return zone(from) != zone(to) }
	f.pass(time.Second)
	is.Equal(h.Apart("k6"), false)
	f.pass(2 * time.Second)
	is.Equal(h.Apart("k6"), true)
	is.Equal(h.Apart("k9"), false)
	is.Equal(h.Apart("k0"), false) // its own
	// The leader alone can't reach the zone, but another controller can.
	f.lost = func(from, to types.Addr) bool {
		return from == "controller0" && zone(to) || zone(from) && to == "controller0"
	}
	f.pass(6 * time.Second)
	for range 20 {
		f.pass(200 * time.Millisecond)
		is.Equal(h.Apart("k6"), false)
	}
}

func TestStrangersAreNotTakenIn(t *testing.T) {
	is := is.New(t)
	r := New(rand.New(rand.NewSource(1)), Card{Addr: "a", Role: "controller", Name: "one"}, nil)
	r.Take(1, wire.Make("b", "a", wire.Hello, hello{Me: Card{Addr: "b", Role: "controller", Name: "two", V: 3}}).Message)
	r.Take(1, wire.Make("c", "a", wire.Hello, hello{Me: Card{Addr: "c", Role: "gateway", Name: "one", V: 3}}).Message)
	is.Equal(len(r.Peers()), 1)
}
