package types

import "time"

type (
	// MonoTime is a reading of a process's monotonic clock, in nanoseconds.
	MonoTime int64
	// ClusterTime is a reading of the cluster's clock, in nanoseconds.
	ClusterTime int64
	// WallTime is a reading of a wall clock, in nanoseconds since 1970 (UTC).
	WallTime int64
)

// DistantPast is before every time that a process reads, and its difference from them does
// not overflow. It is the time of an event that has not happened yet.
const DistantPast = MonoTime(-1 << 61)

// DistantFuture is after every time of a cluster's clock: the time of an event that will not
// happen.
const DistantFuture = ClusterTime(1 << 62)

// distantWall is after every time that a wall clock shows, and its negative is before them. Differences
// and small sums of these do not overflow.
const distantWall = WallTime(1 << 62)

// distantWallMillis is distantWall in milliseconds since 1970 (UTC).
const distantWallMillis = int64(distantWall) / int64(time.Millisecond)

// WallTimeOfMillis returns the time that is a number of milliseconds after 1970 (UTC). It rounds
// times before 1824 and after 2116 towards 1970, to distantWall or its negative.
func WallTimeOfMillis(milliseconds int64) WallTime {
	switch {
	case milliseconds >= distantWallMillis:
		return distantWall
	case milliseconds <= -distantWallMillis:
		return -distantWall
	}
	return WallTime(milliseconds * int64(time.Millisecond))
}

// WallTimeOf returns a time of the calendar, rounded as by WallTimeOfMillis if it is distant.
func WallTimeOf(t time.Time) WallTime {
	if milliseconds := t.UnixMilli(); max(milliseconds, -milliseconds) >= distantWallMillis {
		return WallTimeOfMillis(milliseconds)
	}
	return WallTime(t.UnixNano())
}

// Now is the current time that is passed to a state machine with each step.
type Now struct {
	Mono MonoTime
	Wall WallTime
}

// Add returns the time d later.
func (m MonoTime) Add(d time.Duration) MonoTime { return m + MonoTime(d) }

// Sub returns how much later m is than earlier, both of the same process.
func (m MonoTime) Sub(earlier MonoTime) time.Duration { return time.Duration(m - earlier) }

// Add returns the time d later.
func (c ClusterTime) Add(d time.Duration) ClusterTime { return c + ClusterTime(d) }

// Sub returns how much later c is than earlier.
func (c ClusterTime) Sub(earlier ClusterTime) time.Duration { return time.Duration(c - earlier) }
