package controller

import (
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	// wallOffsetInterval is the time between two checks of the offset.
	wallOffsetInterval = time.Second
	// maxOffsetDisagreement is the largest difference between two voters' offsets that agree.
	maxOffsetDisagreement = types.WallTime(50 * time.Millisecond)
	// minOffsetChange is the change up to which the offset in the state is kept.
	minOffsetChange = types.WallTime(20 * time.Millisecond)
)

// wallOffset maintains the offset from the cluster clock to the wall clock in the replicated state.
type wallOffset struct {
	checkedAt types.MonoTime
}

// due reports whether the offset should be checked now, and if so restarts the interval.
func (w *wallOffset) due(now types.MonoTime) bool {
	if now.Sub(w.checkedAt) < wallOffsetInterval {
		return false
	}
	w.checkedAt = now
	return true
}

// propose proposes the agreed offset if it has changed by more than minOffsetChange. offsets holds
// the offsets of the voters' clocks in ascending order.
func (w *wallOffset) propose(v *leaderView, log *commandLog, offsets []types.WallTime) {
	offset, ok := agreedOffset(offsets)
	if !ok {
		return
	}
	if change := offset - v.state.WallOffset; change > minOffsetChange || change < -minOffsetChange {
		log.propose(state.Command{WallOffset: &offset})
	}
}

// agreedOffset returns the lowest offset within maxOffsetDisagreement of another one, so that a
// single clock that jumps has no effect. Of the two it returns the lower one, with which nothing
// starts early.
func agreedOffset(offsets []types.WallTime) (types.WallTime, bool) {
	for i := 0; i+1 < len(offsets); i++ {
		if offsets[i+1]-offsets[i] <= maxOffsetDisagreement {
			return offsets[i], true
		}
	}
	return 0, false
}
