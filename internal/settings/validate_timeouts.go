package settings

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch/protocol"
)

// maxLeaseMS is the longest lease of an agent. It lets a cancel take effect within 3 s even on
// an agent that can't be reached.
const maxLeaseMS = 2500

// validate checks the relations between the timeouts. The proofs of the dispatch protocol and
// of the elections rely on each of them.
func (t Timeouts) validate(errs *apierror.ErrorList) {
	workerStopMS := inMilliseconds(protocol.WorkerStopTime)
	for _, rule := range []struct {
		holds         bool
		field, reason string
	}{
		{t.WorkerLeaseMS < t.LeaseMS, "pace.worker_ms",
			"must be less than grant_ms: the worker's grant ends first"},
		{t.LeaseMS*5 <= t.LostMS*4, "pace.grant_ms",
			"must be at most four fifths of loss_ms: " +
				"an agent's grant ends before it is counted lost, drift included"},
		{t.LeaseMS+workerStopMS < t.LostMS, "pace.loss_ms",
			fmt.Sprintf("must be more than grant_ms and the %d ms that a worker may take to stop", workerStopMS)},
		{t.LeaseMS <= maxLeaseMS, "pace.grant_ms",
			fmt.Sprintf("must be at most %d: a cancel holds within 3 s, however cut", maxLeaseMS)},
		{3*t.HeartbeatMS <= t.UnhealthyMS, "pace.ill_ms", "must be at least three beats"},
		{2*t.UnhealthyMS <= t.LostMS, "pace.loss_ms", "must be at least twice ill_ms"},
		{3*t.RaftHeartbeatMS <= t.ElectionMS, "pace.election_ms", "must be at least three rounds"},
		{2*t.ElectionMS < t.LeaseMS, "pace.election_ms",
			"must be less than half of grant_ms, or every change of leader costs the running work"},
		{t.StallMS >= t.ElectionMS, "pace.stall_ms", "must be at least election_ms"},
		{t.ReplaceAfterMS > t.StallMS+2*t.ElectionMS, "pace.dead_ms",
			"must be more than stall_ms and two election_ms: a voter is not replaced while a leader may be elected"},
		{t.RetryMS <= t.UnhealthyMS, "pace.again_ms", "must be at most ill_ms"},
	} {
		errs.Check(rule.holds, rule.field, rule.reason)
	}
}

// validate checks that the timeouts keep those bounds that are set.
func (b Bounds) validate(t Timeouts, errs *apierror.ErrorList) {
	for _, rule := range []struct {
		boundMS       int
		holds         bool
		field, reason string
	}{
		{b.MaxLeaseMS, 10*t.LeaseMS <= 9*b.MaxLeaseMS, "pace.grant_ms",
			"must be at most nine tenths of the longest lease of a worker"},
		{b.MaxLeaseMS, t.LostMS > t.WorkerLeaseMS*51/50, "pace.loss_ms",
			"must outlast a worker's lease on a clock that is 2% slow"},
		{b.CancelMS, 6*t.LeaseMS <= 5*b.CancelMS, "pace.grant_ms",
			"must be at most five sixths of the time in which a cancel holds"},
		{b.ApplyTableMS, 5*t.StaleAfterMS <= 4*b.ApplyTableMS, "pace.stale_ms",
			"must be at most four fifths of the time in which a table is in use everywhere"},
		{b.ReconnectMS, 4*t.ElectionMS <= b.ReconnectMS, "pace.election_ms",
			"must be at most a quarter of the time after which daemons must serve again"},
		{b.AckTableMS, t.StallMS+2*t.ElectionMS < b.AckTableMS, "pace.stall_ms",
			"must leave time to elect another leader before a table must be acknowledged"},
		{b.CatchUpMS, t.ReplaceAfterMS+2*t.StallMS+4*t.ElectionMS <= b.CatchUpMS, "pace.dead_ms",
			"must leave time to elect a leader and to give a new member its vote before a lost one counts as replaced"},
		{b.GangWaitMS, 4*t.RetryMS <= b.GangWaitMS, "pace.again_ms",
			"must be at most a quarter of the time that members of a gang wait for one another"},
		{b.GraceMS, b.NoticeMS < b.GraceMS, "notice_ms",
			"must be less than the time that a planned stop may take"},
	} {
		errs.Check(rule.boundMS == 0 || rule.holds, rule.field, rule.reason)
	}
}
