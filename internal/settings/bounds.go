// Bounds are what the surroundings of a cluster ask of it: how long a worker runs
// on without a word, by when a cancel or a table must hold, how long a planned
// stop may take. The pace is derived from them, so that a timing is said once.
package settings

import "coppercourse/internal/apierror"

// Bounds are in milliseconds; 0 is one that nobody asks for.
type Bounds struct {
	MaxLeaseMS     int     // the longest lease of a worker
	StopMS         int     // a worker's attempt to end what it was told to stop
	GangWaitMS     int     // how long members of a gang wait for one another
	CancelMS       int     // from when nothing of a cancelled job may start
	DrainMS        int     // from when a leaving worker may be given nothing
	ApplyTableMS   int     // from when a table must be in use everywhere
	AckTableMS     int     // by when a table must be acknowledged
	CatchUpMS      int     // until a member that is new, or back, counts as there
	ReconnectMS    int     // after which daemons that reach each other again must serve
	EarlyStartMS   int     // how far ahead of its time a task may start
	GraceMS        int     // from the warning of a planned stop to its end
	NoticeMS       int     // until callers know that a daemon is not ready
	CheckpointMS   int     // work between two times that progress is kept
	RestoreMS      int     // to go on from kept progress
	RemoteSlowdown float64 // how many times as long a task takes away from its data
}

// DefaultBounds are the bounds where nobody gives others.
var DefaultBounds = Bounds{CancelMS: 3000, DrainMS: 2000, ApplyTableMS: 2000, EarlyStartMS: 250, GraceMS: 6000, NoticeMS: 700, RemoteSlowdown: 1}

// scaledBound is a part of a bound, or the default where the bound asks for nothing less.
func scaledBound(usual, bound, times, of int) int {
	if bound == 0 {
		return usual
	}
	return max(1, min(usual, bound*times/of))
}

// QuickTimeouts is the pace where the surroundings give bounds: a lost worker or leader
// costs less there than beats do.
var QuickTimeouts = Timeouts{HeartbeatMS: 100, UnhealthyMS: 400, LostMS: 1000, LeaseMS: 800, WorkerLeaseMS: 600, RetryMS: 100, RaftHeartbeatMS: 40, ElectionMS: 200, StallMS: 400,
	ReplaceAfterMS: 5000, StaleAfterMS: 1500}

// DeriveTimeouts makes a pace that holds within the bounds: the quick one, or less of it.
func DeriveTimeouts(bounds Bounds) Timeouts {
	timeouts := QuickTimeouts
	timeouts.LeaseMS = min(scaledBound(timeouts.LeaseMS, bounds.MaxLeaseMS, 8, 10), scaledBound(timeouts.LeaseMS, bounds.CancelMS, 2, 3))
	timeouts.WorkerLeaseMS = min(timeouts.WorkerLeaseMS, timeouts.LeaseMS*3/4)
	timeouts.StaleAfterMS = scaledBound(timeouts.StaleAfterMS, bounds.ApplyTableMS, 3, 4)
	timeouts.ElectionMS = min(timeouts.ElectionMS, timeouts.LeaseMS/4, scaledBound(timeouts.ElectionMS, bounds.ReconnectMS, 1, 6), scaledBound(timeouts.ElectionMS, bounds.AckTableMS, 1, 8), scaledBound(timeouts.ElectionMS, bounds.CatchUpMS, 1, 17))
	timeouts.RaftHeartbeatMS = max(1, min(timeouts.RaftHeartbeatMS, timeouts.ElectionMS/5))
	timeouts.StallMS = min(timeouts.StallMS, 2*timeouts.ElectionMS)
	timeouts.HeartbeatMS = max(1, min(timeouts.HeartbeatMS, timeouts.LeaseMS*3/20))
	timeouts.RetryMS = min(timeouts.RetryMS, timeouts.HeartbeatMS, scaledBound(timeouts.RetryMS, bounds.GangWaitMS, 1, 5))
	timeouts.LostMS = max(timeouts.LostMS, (5*timeouts.LeaseMS+3)/4)
	timeouts.ReplaceAfterMS = max(timeouts.LostMS+1, scaledBound(timeouts.ReplaceAfterMS, bounds.CatchUpMS, 3, 8))
	return timeouts
}

// check ties bounds and pace together.
func (b Bounds) check(timeouts Timeouts, errs *apierror.ErrorList) {
	within := func(bound int, ok bool, field, reason string) { errs.Check(bound == 0 || ok, field, reason) }
	within(b.MaxLeaseMS, 10*timeouts.LeaseMS <= 9*b.MaxLeaseMS, "pace.grant_ms", "must be at most nine tenths of the longest lease of a worker")
	within(b.MaxLeaseMS, timeouts.LostMS > timeouts.WorkerLeaseMS*51/50, "pace.loss_ms", "must outlast a worker's lease on a clock that is 2% slow")
	within(b.CancelMS, 6*timeouts.LeaseMS <= 5*b.CancelMS, "pace.grant_ms", "must be at most five sixths of the time in which a cancel holds")
	within(b.ApplyTableMS, 5*timeouts.StaleAfterMS <= 4*b.ApplyTableMS, "pace.stale_ms", "must be at most four fifths of the time in which a table is in use everywhere")
	within(b.ReconnectMS, 4*timeouts.ElectionMS <= b.ReconnectMS, "pace.election_ms", "must be at most a quarter of the time after which daemons must serve again")
	within(b.AckTableMS, timeouts.StallMS+2*timeouts.ElectionMS < b.AckTableMS, "pace.stall_ms", "must leave time to elect another leader before a table must be acknowledged")
	within(b.CatchUpMS, timeouts.ReplaceAfterMS+2*timeouts.StallMS+4*timeouts.ElectionMS <= b.CatchUpMS, "pace.dead_ms", "must leave time to elect a leader and to give a new member its vote before a lost one counts as replaced")
	within(b.GangWaitMS, 4*timeouts.RetryMS <= b.GangWaitMS, "pace.again_ms", "must be at most a quarter of the time that members of a gang wait for one another")
	within(b.GraceMS, b.NoticeMS < b.GraceMS, "notice_ms", "must be less than the time that a planned stop may take")
}
