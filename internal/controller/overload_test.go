package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

func stamp(ms int) types.MonoTime { return types.MonoTime(time.Duration(ms) * time.Millisecond) }

// Work is placed in any step while the loop keeps up; otherwise only so often that
// other events get three quarters of the time, or 500 ms have passed.
func TestPlacementLeavesRoomForWhatWaits(t *testing.T) {
	for _, c := range []struct{ cost, least, most int }{{1, 100, 101}, {40, 160, 200}, {200, 500, 700}} {
		is := is.New(t)
		var o overload
		now, placed := 0, -1
		gaps := 0
		for now < 10_000 {
			load := wire.Load{ControlAge: time.Second, EventAge: time.Duration(c.cost) * time.Millisecond}
			o.measure(stamp(now), load)
			if !o.mayPlace(stamp(now)) {
				now++
				continue
			}
			if gaps > 1 { // the first cost is not known before its round
				is.True(now-placed >= c.least)
				is.True(now-placed <= c.most)
			}
			gaps++
			o.startPlacement(stamp(now))
			placed = now
			now += c.cost
		}
		o.measure(stamp(now), wire.Load{MoreWaiting: true, ControlAge: maxPlacementLag})
		is.True(o.mayPlace(stamp(now))) // it keeps up
	}
}

func TestALoopIsBehindOnlyAfterAWhileAndUntilItHasCaughtUp(t *testing.T) {
	is := is.New(t)
	var o overload
	const tolerance = 100 * time.Millisecond
	at := func(ms, lag int) bool {
		o.measure(stamp(ms), wire.Load{ControlAge: time.Duration(lag) * time.Millisecond})
		o.update(stamp(ms), tolerance)
		return o.isOverloaded()
	}
	is.True(!at(1000, 5000)) // one long step
	is.True(!at(1020, 0))
	is.True(!at(2100, 150))
	is.True(!at(3099, 150))
	is.True(at(3100, 150))
	is.True(at(3200, 80)) // not yet caught up
	is.True(!at(3300, 50))
	is.True(!at(3400, 150)) // and again only after a while
}
