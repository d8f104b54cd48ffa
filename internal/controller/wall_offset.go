package controller

import (
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	// wallOffsetInterval is the time between two checks of the offset.
	wallOffsetInterval = time.Second
	// maxOffsetDisagreement is how far two voters' offsets may be apart to agree.
	maxOffsetDisagreement = types.WallTime(50 * time.Millisecond)
	// minOffsetChange is the change below which the offset in the state is kept.
	minOffsetChange = types.WallTime(20 * time.Millisecond)
)

// wallOffset keeps in the replicated state the offset from the cluster's clock to the wall
// clocks.
type wallOffset struct {
	checkedAt types.MonoTime
}

// due reports whether the offset should be checked now, and if so counts it as done.
func (w *wallOffset) due(now types.MonoTime) bool {
	if now.Sub(w.checkedAt) < wallOffsetInterval {
		return false
	}
	w.checkedAt = now
	return true
}

// propose proposes the offset if it has changed; offsets are those of the voters' clocks,
// in ascending order.
func (w *wallOffset) propose(v *leaderView, log *commandLog, offsets []types.WallTime) {
	offset, ok := agreedOffset(offsets)
	if !ok {
		return
	}
	if change := offset - v.state.WallOffset; change > minOffsetChange || change < -minOffsetChange {
		log.propose(state.Command{WallOffset: &offset})
	}
}

// agreedOffset returns the lowest offset that another one agrees with closely, so that a
// single clock that jumps moves nothing; of the two it is the one that lets nothing start
// early.
func agreedOffset(offsets []types.WallTime) (types.WallTime, bool) {
	for i := 0; i+1 < len(offsets); i++ {
		if offsets[i+1]-offsets[i] <= maxOffsetDisagreement {
			return offsets[i], true
		}
	}
	return 0, false
}
