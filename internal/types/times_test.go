package types

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against times of the calendar that overflow 64 bits of nanoseconds: a time in the distant
// future became one in the past.
func TestDistantTimesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	previous := -distantWall - 1
	for _, year := range []int{1, 1000, 1900, 1969, 1970, 2026, 2100, 2262, 2263, 9999} {
		at := time.Date(year, 1, 1, 0, 0, 0, 0, time.UTC)
		is.Equal(WallTimeOf(at), WallTimeOfMillis(at.UnixMilli()))
		is.True(WallTimeOf(at) >= previous)
		previous = WallTimeOf(at)
	}
	is.Equal(previous, distantWall)
	is.Equal(WallTimeOf(time.UnixMilli(1<<62)), distantWall)
	is.Equal(WallTimeOf(time.Unix(1_800_000_000, 7)), WallTime(1_800_000_000*time.Second+7))
}
