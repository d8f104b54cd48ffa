// Disks lost right after an acknowledgement while every other machine loses power, as
// it may come at the end of a day.

package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
	"coppercourse/sim/world"
)

// maxPowerOff is the longest that a machine stays without power.
const maxPowerOff = 2 * time.Second

// The acknowledged table outlives the loss of as many disks as a cluster tolerates while
// all other machines, gateways among them, are without power; also right after a member
// was replaced, and where the disks that go are the leader's and the oldest.
func TestAcknowledgedTableOutlivesLostDisksWithoutPower(t *testing.T) {
	cases := []struct {
		name        string
		controllers int
		lost        int
		replace     func(*Run, *world.Node) *world.Node // a member just before, or nil
		leaderToo   bool
	}{
		{"3, any disk", 3, 1, nil, false},
		{"3, the leader's disk", 3, 1, nil, true},
		{"3, a disk after a replacement", 3, 1, replaceLost, false},
		{"3, the leader's disk after a planned replacement", 3, 1, replaceWarned, true},
		{"5, any disks", 5, 2, nil, false},
		{"5, the leader's disk among them", 5, 2, nil, true},
		{"5, disks after a replacement", 5, 2, replaceLost, false},
		{"5, the leader's after a planned replacement", 5, 2, replaceWarned, true},
		{"7, any disks", 7, 3, nil, false},
		{"7, the leader's disk among them", 7, 3, nil, true},
		{"7, disks after a replacement", 7, 3, replaceLost, true},
		{"7, disks after a planned replacement", 7, 3, replaceWarned, false},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedsOf(6, 1) {
				loseDisksWithoutPower(t, int64(100*i+seed), c.controllers, c.lost, c.replace, c.leaderToo)
			}
		})
	}
}

// seedsOf is how many seeds are played: fewer where time is dear.
func seedsOf(usual, short int) int {
	if testing.Short() {
		return short
	}
	return usual
}

func loseDisksWithoutPower(t *testing.T, seed int64, controllers, lost int, replace func(*Run, *world.Node) *world.Node, leaderToo bool) {
	is := is.New(t)
	r := newControllerFleet(seed, controllers, 3)
	r.startControllers(r.Random.Perm(controllers), 300*time.Millisecond)
	allVote := func() bool { return r.allVoting(controllers) }
	r.require(t, "all vote", r.advanceUntil(5*time.Second, allVote))
	r.advance(time.Second)
	version := types.Version(0)
	if replace != nil {
		acked := r.putTable(version)
		r.require(t, "a table is taken", r.advanceUntil(9*time.Second, acked))
		version++
		i := r.Random.Intn(controllers)
		r.controllers[i] = replace(r, r.controllers[i])
		r.advance(2 * time.Second)
		r.require(t, "all vote after the replacement", r.advanceUntil(10*time.Second, allVote))
	}
	acked := r.putTable(version)
	for i := 0; !acked(); i++ {
		r.advance(time.Millisecond)
		r.require(t, "the table is acknowledged", i < 9000)
	}
	version++
	r.advance(time.Duration(r.Random.Int63n(int64(maxKillDelay))))
	wiped := r.drawDisks(lost, leaderToo)
	r.cutPower(r.daemons())
	for _, n := range wiped {
		n.Disk.Wipe()
	}
	for _, n := range r.daemons() {
		r.After(time.Duration(r.Random.Int63n(int64(maxPowerOff))), func() { bootIfDown(n) })
	}
	r.advance(maxPowerOff)
	r.require(t, fmt.Sprint("all vote again, seed ", seed), r.advanceUntil(10*time.Second, allVote))
	r.advance(time.Second)
	known, ok := r.readVersion(3 * time.Second)
	is.True(ok)
	is.Equal(known, version)
}

// drawDisks draws the controllers whose disks are lost.
func (r *Run) drawDisks(count int, leaderToo bool) (drawn []*world.Node) {
	if l := r.leader(); leaderToo && l != nil {
		drawn = append(drawn, l)
	}
	for _, i := range r.Random.Perm(len(r.controllers)) {
		if n := r.controllers[i]; len(drawn) < count && !slices.Contains(drawn, n) {
			drawn = append(drawn, n)
		}
	}
	return drawn
}

// replaceLost has a controller go for good and an empty one come at another address.
func replaceLost(r *Run, n *world.Node) *world.Node {
	n.Kill()
	n.NewMachine = nil
	fresh := r.World.AddController(n.Addr+"x", n.Zone)
	fresh.Boot()
	return fresh
}

// replaceWarned has the empty one come first; then the other is told to stop.
func replaceWarned(r *Run, n *world.Node) *world.Node {
	fresh := r.World.AddController(n.Addr+"x", n.Zone)
	fresh.Boot()
	r.After(time.Second, func() {
		r.Shutdown(n)
		n.NewMachine = nil
	})
	return fresh
}
