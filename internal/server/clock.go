package server

import (
	"time"

	"coppercourse/internal/types"
)

// processStart is the origin of the monotonic clock, which starts anew with each process.
var processStart = time.Now()

// Now reads the clocks of this daemon. Nothing else does so for a machine.
func Now() types.Now {
	t := time.Now()
	return types.Now{Mono: types.MonoTime(t.Sub(processStart)), Wall: types.WallTime(t.UnixNano())}
}

// MonotonicNow reads the monotonic clock, which counts from the start of the process.
func MonotonicNow() types.MonoTime { return Now().Mono }
