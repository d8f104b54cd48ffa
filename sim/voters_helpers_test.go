// What tests of fleets of controllers have in common: starting, waiting, and looking at
// whether all that are there vote.

package sim

import (
	"testing"
	"time"

	"coppercourse/internal/types"
	"coppercourse/sim/deployment"
)

// newControllerFleet is a fleet of controllers and two gateways without traffic. The controllers start by hand.
func newControllerFleet(seed int64, controllers, zones int) *Run {
	r := newRun(Plan{Seed: seed, Quick: true}, deployment.Deployment{Size: deployment.Size{Zones: zones, Controllers: controllers, Gateways: 2, Founders: 3}})
	for _, n := range r.controllers {
		made := n.NewMachine
		n.NewMachine = nil
		r.After(301*time.Millisecond, func() { n.NewMachine = made })
	}
	r.RunUntil(302 * time.Millisecond)
	return r
}

// startControllers boots the controllers within so long of each other, in an order.
func (r *Run) startControllers(order []int, within time.Duration) {
	for k, i := range order {
		r.After(time.Duration(k)*within/time.Duration(len(order)), r.controllers[i].Boot)
	}
}

func (r *Run) advance(d time.Duration) { r.RunUntil(time.Duration(r.Now()) + d) }

// advanceUntil lets the world go on until something holds, for so long at most.
func (r *Run) advanceUntil(d time.Duration, ok func() bool) bool {
	for end := r.Now() + int64(d); r.Now() < end; r.advance(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// allVoting is true once the controllers there are all vote, and nobody else does.
func (r *Run) allVoting(votes int) bool {
	l := r.leader()
	if l == nil {
		return false
	}
	s := r.controllerStatus(l)
	for _, h := range r.controllers {
		if h.Machine == nil {
			continue
		}
		m, ok := s.Members.Find(r.controllerStatus(h).ID)
		if x := r.controllerStatus(h); !ok || m.Addr != h.Addr || x.Cluster != s.Cluster || len(x.Members) != len(s.Members) {
			return false
		}
	}
	return s.Members.Voters() == votes && len(s.Members) == len(r.controllers)
}

// putTable has an operator put the next table; acked tells whether it was taken.
func (r *Run) putTable(on types.Version) (acked func() bool) {
	ok := false
	t := deployment.Named("kingston").Table()
	t.Version = on
	r.Clients.putTable(t, "g1", 0, func(b bool) { ok = ok || b })
	return func() bool { return ok }
}

func (r *Run) require(t *testing.T, what string, ok bool) {
	t.Helper()
	if ok {
		return
	}
	for _, h := range r.controllers {
		if h.Machine != nil {
			s := r.controllerStatus(h)
			t.Logf("%s %s %s term %d, %q, roll %v", h.Addr, s.ID, s.RaftRole, s.Term, s.Reason, s.Members)
		}
	}
	t.Fatalf("%.3f s: not so: %s", float64(r.Now())/1e9, what)
}

// coreSizes are the cores that are looked at: a few where time is dear.
func coreSizes(least, most int, short ...int) (list []int) {
	if testing.Short() {
		return short
	}
	for n := least; n <= most; n++ {
		list = append(list, n)
	}
	return list
}

func ascending(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}
