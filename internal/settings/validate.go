package settings

import (
	"fmt"
	"net/netip"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/membership"
)

// maxLeaseMS bounds an agent's lease, so that a cancel holds within 3 s even for an agent
// that it can't reach.
const maxLeaseMS = 2500

// Validate checks the settings of a role and adds every error to errs. It sets Address
// where that is missing.
func (s *Settings) Validate(role membership.Role, errs *apierror.ErrorList) {
	if s.Address == "" {
		s.Address = s.Listen
	}
	s.validateOwnAddrs(errs)
	reason := config.CheckName(s.Zone)
	errs.Check(reason == "", "locality", reason)
	s.validatePeerAddrs(errs)
	s.validateRole(role, errs)
	errs.Check(s.Log == "info" || s.Log == "debug", "log", "want info or debug")
	s.Timeouts.validate(errs)
	s.Bounds.validate(s.Timeouts, errs)
}

func (s *Settings) validateOwnAddrs(errs *apierror.ErrorList) {
	checkAddr("listen", s.Listen, errs)
	checkAddr("address", s.Address, errs)
	if s.Source != "" {
		_, err := netip.ParseAddr(s.Source)
		errs.Check(err == nil, "source", "want an IP number")
	}
}

func (s *Settings) validatePeerAddrs(errs *apierror.ErrorList) {
	errs.Check(len(s.Seeds) > 0, "seeds", "missing: give the addresses of up to three other daemons")
	for i, addr := range s.Seeds {
		checkAddr(fmt.Sprintf("seeds[%d]", i), addr, errs)
	}
	for i, addr := range s.Founders {
		checkAddr(fmt.Sprintf("founders[%d]", i), addr, errs)
	}
}

// validateRole checks the settings that only daemons of one role have.
func (s *Settings) validateRole(role membership.Role, errs *apierror.ErrorList) {
	errs.Check((s.Data != "") == (role == membership.RoleController), "data",
		"a controller needs a data folder, and no other daemon may have one")
	if role == membership.RoleAgent {
		reason := config.CheckName(s.Shard)
		errs.Check(reason == "", "shard", reason)
	} else {
		errs.Check(s.Shard == "", "shard", "only an agent has one")
	}
}

func checkAddr(field, addr string, errs *apierror.ErrorList) {
	parsed, err := netip.ParseAddrPort(addr)
	errs.Check(err == nil && parsed.Port() != 0, field, fmt.Sprintf("want IP:port, got %q", addr))
}

// validate checks how the timeouts depend on each other. The proofs of the dispatch
// protocol and of the elections rest on each of these rules.
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
		{t.ReplaceAfterMS > t.LostMS, "pace.dead_ms", "must be more than loss_ms"},
		{t.RetryMS <= t.UnhealthyMS, "pace.again_ms", "must be at most ill_ms"},
	} {
		errs.Check(rule.holds, rule.field, rule.reason)
	}
}

// validate checks that the timeouts keep the bounds that are set.
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
