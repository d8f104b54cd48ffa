// What tests of fleets of controllers have in common: starting, waiting, and looking at
// whether all that are there vote.
package sim

import (
	"testing"
	"time"

	"coppercourse/internal/types"
)

// many is a fleet of controllers and two gateways without traffic. The controllers start by hand.
func many(seed int64, controllers, zones int) *Run {
	r := build(Plan{Seed: seed, Quick: true}, Deployment{Size: Size{Zones: zones, Controllers: controllers, Gateways: 2, Founders: 3}})
	for _, n := range r.controllers {
		made := n.make
		n.make = nil
		r.at(301*time.Millisecond, func() { n.make = made })
	}
	r.Run(302 * time.Millisecond)
	return r
}

// start boots the controllers within so long of each other, in an order.
func (r *Run) start(order []int, within time.Duration) {
	for k, i := range order {
		r.at(time.Duration(k)*within/time.Duration(len(order)), r.controllers[i].boot)
	}
}

func (r *Run) wait(d time.Duration) { r.Run(time.Duration(r.now) + d) }

// waits lets the world go on until something holds, for so long at most.
func (r *Run) waits(d time.Duration, ok func() bool) bool {
	for end := r.now + int64(d); r.now < end; r.wait(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// whole is true once the controllers there are all vote, and nobody else does.
func (r *Run) whole(votes int) bool {
	l := r.leader()
	if l == nil {
		return false
	}
	s := r.status(l)
	for _, h := range r.controllers {
		if h.m == nil {
			continue
		}
		m, ok := s.Members.Find(r.status(h).ID)
		if x := r.status(h); !ok || m.Addr != h.addr || x.Cluster != s.Cluster || len(x.Members) != len(s.Members) {
			return false
		}
	}
	return s.Members.Voters() == votes && len(s.Members) == len(r.controllers)
}

// table has an operator put the next table; acked tells whether it was taken.
func (r *Run) table(on types.Version) (acked func() bool) {
	ok := false
	t := Deployments["kingston"].Table()
	t.Version = on
	r.Clients.put(t, "g1", 0, func(b bool) { ok = ok || b })
	return func() bool { return ok }
}

func (r *Run) must(t *testing.T, what string, ok bool) {
	t.Helper()
	if ok {
		return
	}
	for _, h := range r.controllers {
		if h.m != nil {
			s := r.status(h)
			t.Logf("%s %s %s term %d, %q, roll %v", h.addr, s.ID, s.RaftRole, s.Term, s.Reason, s.Members)
		}
	}
	t.Fatalf("%.3f s: not so: %s", float64(r.now)/1e9, what)
}

// sizes are the cores that are looked at: a few where time is dear.
func sizes(least, most int, few ...int) (list []int) {
	if testing.Short() {
		return few
	}
	for n := least; n <= most; n++ {
		list = append(list, n)
	}
	return
}

func upTo(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return
}
