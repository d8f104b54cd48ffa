package server

import (
	"time"

	"coppercourse/internal/types"
)

// processStart is the origin of the monotonic clock, which restarts with each process.
var processStart = time.Now()

// Now reads the clocks of this daemon. It is the only source of time for the daemon's state machine.
func Now() types.Now {
	t := time.Now()
	return types.Now{Mono: types.MonoTime(t.Sub(processStart)), Wall: types.WallTime(t.UnixNano())}
}

// MonotonicNow reads the monotonic clock, which counts from the start of the process.
func MonotonicNow() types.MonoTime { return Now().Mono }
