// Faults of the controllers' disks, and replacements of controllers.

package sim

import (
	"slices"
	"time"

	"coppercourse/internal/controller"
	"coppercourse/internal/types"
	"coppercourse/sim/world"
)

const (
	minDiskLatencyMillis   = 20
	diskLatencyRangeMillis = 200

	replacementOverlap = time.Second // from the start of a replacement until the old one is warned
)

// slowDisk makes the disk of a controller slower.
func slowDisk(r *Run, _ time.Duration) func() {
	d := r.anyController().Disk
	millis := minDiskLatencyMillis + r.Random.Intn(diskLatencyRangeMillis)
	d.ExtraLatency = time.Duration(millis) * time.Millisecond
	return func() { d.ExtraLatency = 0 }
}

// stallDisk has the disk of a controller finish no write while the fault lasts.
func stallDisk(r *Run, duration time.Duration) func() {
	d := r.anyController().Disk
	d.StalledUntil = r.Now() + int64(duration)
	return noOpEnd
}

// fillDisk fills the disk of a controller.
func fillDisk(r *Run, _ time.Duration) func() { return fillDiskOf(r.anyController()) }

// fillLeaderDisk fills the disk of the leader.
func fillLeaderDisk(_ *Run, leader *world.Node, _ time.Duration) func() { return fillDiskOf(leader) }

// fillDiskOf fills a disk, and returns what frees it.
func fillDiskOf(n *world.Node) (end func()) {
	n.Disk.Full = true
	return func() { n.Disk.Full = false }
}

// diskLossFault has a controller lose its disk, if all controllers vote.
func diskLossFault(pick func(*Run) *world.Node, lose func(*Run, *world.Node) (end func())) Fault {
	return func(r *Run, _ time.Duration) func() {
		if !r.allControllersVote() {
			return nil
		}
		n := pick(r)
		if n == nil {
			return nil
		}
		return lose(r, n)
	}
}

// allControllersVote reports whether every controller runs and is a voter, with no other
// members, so that one of them may be lost.
func (r *Run) allControllersVote() bool {
	for _, n := range r.controllers {
		if n.Machine == nil || n.Paused {
			return false
		}
		s := n.Machine.(*controller.Controller).Status()
		votes := s.RaftRole == "leader" || s.RaftRole == "follower"
		if !votes || len(s.Members) != len(r.controllers) {
			return false
		}
	}
	return true
}

// loseDisk wipes a controller's disk. The controller boots with an empty one when the fault
// ends.
func (r *Run) loseDisk(n *world.Node) (end func()) {
	n.Kill()
	n.Disk.Wipe()
	return func() { bootIfDown(n) }
}

// replaceController destroys a controller with its disk. One at another address boots in its
// place when the fault ends.
func (r *Run) replaceController(n *world.Node) (end func()) {
	n.Kill()
	n.Disk.Wipe()
	n.Stopping, n.NewMachine = true, nil
	return r.addReplacement(n, "x").Start
}

// replacePlanned boots a new controller, and shuts the one that it replaces down a little
// later.
func replacePlanned(r *Run, _ time.Duration) func() {
	if !r.allControllersVote() {
		return nil
	}
	n := r.anyController()
	r.addReplacement(n, "p").Start()
	r.After(replacementOverlap, func() {
		n.NewMachine = nil
		if n.Machine != nil {
			r.Shutdown(n)
		}
	})
	return noOpEnd
}

// addReplacement adds a controller in place of another, at an address with a suffix. It is
// not running yet.
func (r *Run) addReplacement(n *world.Node, suffix types.Addr) *world.Node {
	replacement := r.AddController(n.Addr+suffix, n.Zone)
	r.controllers[slices.Index(r.controllers, n)] = replacement
	r.zones[n.Zone] = append(r.zones[n.Zone], replacement.Addr)
	return replacement
}
