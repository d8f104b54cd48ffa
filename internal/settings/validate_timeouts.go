package settings

import (
	"fmt"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch/protocol"
)

// maxLeaseMS is the maximum lease of an agent. It ensures that a cancel takes effect within 3 s
// even on an unreachable agent.
const maxLeaseMS = 2500

// validate checks the relations between the timeouts. The correctness proofs of the dispatch
// protocol and of the elections depend on each of them.
func (t Timeouts) validate(errs *apierror.ErrorList) {
	workerStopMS := inMilliseconds(protocol.WorkerStopTime)
	for _, rule := range []struct {
		holds         bool
		field, reason string
	}{
		{t.WorkerLeaseMS < t.LeaseMS, "pace.worker_ms",
			"must be less than grant_ms: the worker's lease must expire before its agent's"},
		{t.LeaseMS*5 <= t.LostMS*4, "pace.grant_ms",
			"must be at most four fifths of loss_ms: " +
				"an agent's lease must expire before it is declared lost, clock drift included"},
		{t.LeaseMS+workerStopMS < t.LostMS, "pace.loss_ms",
			fmt.Sprintf("must be more than grant_ms and the %d ms that a worker may take to stop", workerStopMS)},
		{t.LeaseMS <= maxLeaseMS, "pace.grant_ms",
			fmt.Sprintf("must be at most %d: cancels take effect within 3 s even on unreachable agents", maxLeaseMS)},
		{3*t.HeartbeatMS <= t.UnhealthyMS, "pace.ill_ms", "must be at least three times beat_ms"},
		{2*t.UnhealthyMS <= t.LostMS, "pace.loss_ms", "must be at least twice ill_ms"},
		{3*t.RaftHeartbeatMS <= t.ElectionMS, "pace.election_ms", "must be at least three times round_ms"},
		{2*t.ElectionMS < t.LeaseMS, "pace.election_ms",
			"must be less than half of grant_ms, or every leader change stops the running tasks"},
		{t.StallMS >= t.ElectionMS, "pace.stall_ms", "must be at least election_ms"},
		{t.ReplaceAfterMS > t.StallMS+2*t.ElectionMS, "pace.dead_ms",
			"must be more than stall_ms and two election_ms: a voter is not replaced while a leader may be elected"},
		{t.RetryMS <= t.UnhealthyMS, "pace.again_ms", "must be at most ill_ms"},
	} {
		errs.Check(rule.holds, rule.field, rule.reason)
	}
}

// validate checks that the timeouts respect the bounds that are set.
func (b Bounds) validate(t Timeouts, errs *apierror.ErrorList) {
	for _, rule := range []struct {
		boundMS       int
		holds         bool
		field, reason string
	}{
		{b.MaxLeaseMS, 10*t.LeaseMS <= 9*b.MaxLeaseMS, "pace.grant_ms",
			"must be at most nine tenths of the longest lease of a worker"},
		{b.MaxLeaseMS, t.LostMS > t.WorkerLeaseMS*51/50, "pace.loss_ms",
			"must exceed a worker's lease on a clock that is 2% slow"},
		{b.CancelMS, 6*t.LeaseMS <= 5*b.CancelMS, "pace.grant_ms",
			"must be at most five sixths of the time after which a cancel must be in effect"},
		{b.ApplyTableMS, 5*t.StaleAfterMS <= 4*b.ApplyTableMS, "pace.stale_ms",
			"must be at most four fifths of the time after which a table must be in use everywhere"},
		{b.ReconnectMS, 4*t.ElectionMS <= b.ReconnectMS, "pace.election_ms",
			"must be at most a quarter of the time after which daemons must serve again"},
		{b.AckTableMS, t.StallMS+2*t.ElectionMS < b.AckTableMS, "pace.stall_ms",
			"must leave time to elect another leader before a table must be acknowledged"},
		{b.CatchUpMS, t.ReplaceAfterMS+2*t.StallMS+4*t.ElectionMS <= b.CatchUpMS, "pace.dead_ms",
			"must leave time to elect a leader and promote a new member to voter before a lost one must be replaced"},
		{b.GangWaitMS, 4*t.RetryMS <= b.GangWaitMS, "pace.again_ms",
			"must be at most a quarter of the time that members of a gang wait for one another"},
		{b.GraceMS, b.NoticeMS < b.GraceMS, "notice_ms",
			"must be less than the time that a planned stop may take"},
	} {
		errs.Check(rule.boundMS == 0 || rule.holds, rule.field, rule.reason)
	}
}
