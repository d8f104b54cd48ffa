// Faults of the time of day on machines.

package sim

import "time"

const (
	maxClockJump    = 2 * time.Hour
	clockStep       = 2 * time.Second
	steppedFraction = 0.3 // of the daemons, whose clocks step at once
)

// jumpClock sets the time of day of one machine at random, forwards or back.
func jumpClock(r *Run, _ time.Duration) func() {
	n := r.Nodes[pickOne(r.Random, r.NodeOrder)]
	n.WallOffset = time.Duration(r.Random.Int63n(int64(2*maxClockJump))) - maxClockJump
	return noOpEnd
}

// stepClocks has the time of day step on a part of all machines, and back at the end.
func stepClocks(r *Run, _ time.Duration) func() {
	stepped := r.sample(r.daemons(), steppedFraction)
	step := clockStep
	if r.Random.Intn(2) == 0 {
		step = -step
	}
	for _, n := range stepped {
		n.WallOffset += step
	}
	return func() {
		for _, n := range stepped {
			n.WallOffset -= step
		}
	}
}
