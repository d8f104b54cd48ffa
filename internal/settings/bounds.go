package settings

import "time"

// Bounds are the timing requirements of a cluster's environment, in milliseconds except for the
// last two. 0 is unlimited. The timeouts can be derived from them, so that no time has to be
// configured twice.
type Bounds struct {
	MaxLeaseMS     int     // the longest lease that a worker accepts
	StopMS         int     // time in which a worker ends an attempt after a stop call
	GangWaitMS     int     // how long the members of a gang wait for each other
	CancelMS       int     // time after a cancel from which no task of the job may start
	DrainMS        int     // time after its notice from which a draining worker may get no tasks
	ApplyTableMS   int     // time after which a new table must be in use everywhere
	AckTableMS     int     // time in which a table must be acknowledged
	CatchUpMS      int     // time in which a new or returning member must have caught up
	ReconnectMS    int     // time in which daemons must serve again after a partition heals
	EarlyStartMS   int     // how long before its start time a task may start
	GraceMS        int     // maximum duration of a planned stop
	NoticeMS       int     // time in which callers notice that a daemon is not ready
	CheckpointMS   int     // work time between two checkpoints
	RestoreMS      int     // time to restore from a checkpoint
	RemoteSlowdown float64 // factor by which a task takes longer away from its data
	QuotaExcess    float64 // fraction of its limit by which a tenant may temporarily exceed it
}

// DefaultBounds are the default bounds.
var DefaultBounds = Bounds{
	CancelMS:       3000,
	DrainMS:        2000,
	ApplyTableMS:   2000,
	EarlyStartMS:   250,
	GraceMS:        6000,
	NoticeMS:       700,
	RemoteSlowdown: 1,
}

// ShutdownTimes returns the maximum duration of a planned stop, and the time in which callers
// notice that a daemon is not ready.
func (b Bounds) ShutdownTimes() (grace, notice time.Duration) {
	return milliseconds(b.GraceMS), milliseconds(b.NoticeMS)
}

// minLostMS is the minimum time after which a worker is declared lost, even with a short lease.
const minLostMS = 1000

// DerivedTimeouts are the longest timeouts that DeriveTimeouts returns. Except for an agent's
// lease and LostMS, which follows from it, none is longer than its default and most are shorter:
// in an environment with bounds, a leader failure costs more than frequent heartbeats do. The
// lease is long enough for running tasks to survive a leader failure: its detection, the
// election, and the first heartbeats to the new leader. Where the bounds allow it, tasks also
// survive an outage of all controllers for a second.
var MaxDerivedTimeouts = Timeouts{
	HeartbeatMS:     100,
	UnhealthyMS:     400,
	LostMS:          lostAfterMS(maxLeaseMS),
	LeaseMS:         maxLeaseMS,
	WorkerLeaseMS:   600,
	RetryMS:         100,
	RaftHeartbeatMS: 40,
	ElectionMS:      200,
	StallMS:         400,
	ReplaceAfterMS:  5000,
	StaleAfterMS:    1500,
}

// DeriveTimeouts returns timeouts that respect the bounds: DerivedTimeouts, or shorter ones
// where a bound requires that.
func DeriveTimeouts(b Bounds) Timeouts {
	t := MaxDerivedTimeouts
	t.LeaseMS = min(
		capAtFraction(t.LeaseMS, b.MaxLeaseMS, 8, 10),
		capAtFraction(t.LeaseMS, b.CancelMS, 2, 3))
	t.WorkerLeaseMS = min(t.WorkerLeaseMS, t.LeaseMS*3/4)
	t.StaleAfterMS = capAtFraction(t.StaleAfterMS, b.ApplyTableMS, 3, 4)
	t.ElectionMS = min(
		t.ElectionMS,
		t.LeaseMS/4,
		capAtFraction(t.ElectionMS, b.ReconnectMS, 1, 6),
		capAtFraction(t.ElectionMS, b.AckTableMS, 1, 8),
		capAtFraction(t.ElectionMS, b.CatchUpMS, 1, 17))
	t.RaftHeartbeatMS = max(1, min(t.RaftHeartbeatMS, t.ElectionMS/5))
	t.StallMS = min(t.StallMS, 2*t.ElectionMS)
	t.HeartbeatMS = max(1, min(t.HeartbeatMS, t.LeaseMS*3/20))
	t.RetryMS = min(
		t.RetryMS,
		t.HeartbeatMS,
		capAtFraction(t.RetryMS, b.GangWaitMS, 1, 5))
	t.LostMS = lostAfterMS(t.LeaseMS)
	t.ReplaceAfterMS = max(
		t.StallMS+2*t.ElectionMS+1,
		capAtFraction(t.ReplaceAfterMS, b.CatchUpMS, 3, 8))
	return t
}

// lostAfterMS returns the time after which a worker is declared lost, given its agent's lease.
// The lease has expired by then, even on a slightly slow clock.
func lostAfterMS(leaseMS int) int { return max(minLostMS, (5*leaseMS+3)/4) }

// capAtFraction returns a timeout, or the given fraction of a bound if that is less. A bound of
// 0 is unlimited.
func capAtFraction(timeoutMS, boundMS, numerator, denominator int) int {
	if boundMS == 0 {
		return timeoutMS
	}
	return max(1, min(timeoutMS, boundMS*numerator/denominator))
}
