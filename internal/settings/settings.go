// Package settings is a daemon's settings: from a file, from flags that go before the file, and
// from defaults of ours. All faults are told at once, with field and reason.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/configwatch"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
)

// Settings is a daemon's place and pace.
type Settings struct {
	Listen       string
	Address      string
	Source       string
	Zone         string
	Seeds        []string
	Data         string
	Shard        string
	Log          string
	Founders     []string // controllers that found a cluster together, where settings name them
	FirstCluster bool     // no cluster has been before
	MaxLosses    int      // controllers that may be lost at once, disk and all
	MaxConns     int      // connections at once on one address; 0 is the daemon's own bound
	Bounds       Bounds
	Timeouts     Timeouts
}

// Timeouts is every timing an operator may set, in milliseconds.
type Timeouts struct {
	HeartbeatMS, UnhealthyMS, LostMS, LeaseMS, WorkerLeaseMS, RetryMS  int
	RaftHeartbeatMS, ElectionMS, StallMS, ReplaceAfterMS, StaleAfterMS int
}

func inMilliseconds(d time.Duration) int { return int(d / time.Millisecond) }
func milliseconds(n int) time.Duration   { return time.Duration(n) * time.Millisecond }

// Defaults are the settings before file and flags.
func Defaults() Settings {
	t, a := protocol.DefaultTimeouts, raft.DefaultTimeouts
	return Settings{Listen: "127.0.0.1:7400", Log: "info", Bounds: DefaultBounds, Timeouts: Timeouts{HeartbeatMS: inMilliseconds(t.HeartbeatInterval), UnhealthyMS: inMilliseconds(t.UnhealthyAfter), LostMS: inMilliseconds(t.LostAfter),
		LeaseMS: inMilliseconds(t.AgentLease), WorkerLeaseMS: inMilliseconds(t.WorkerLease), RetryMS: inMilliseconds(t.RetryInterval), RaftHeartbeatMS: inMilliseconds(a.HeartbeatInterval), ElectionMS: inMilliseconds(a.MinElectionTimeout),
		StallMS: inMilliseconds(a.StallTimeout), ReplaceAfterMS: inMilliseconds(a.ReplaceAfter), StaleAfterMS: inMilliseconds(configwatch.DefaultStaleAfter)}}
}

// ReadSettings lays a file over the defaults.
func Read(b []byte, s *Settings, errs *apierror.ErrorList) {
	r := config.NewReader(b, errs)
	anyText := func(string) string { return "" }
	p := &s.Timeouts
	milliseconds := func(to *int) config.Field { return config.Int(r, to, 1, 3_600_000) }
	r.ReadDocument(map[string]config.Field{
		"listen":    config.Text(r, &s.Listen, anyText),
		"address":   config.Text(r, &s.Address, anyText),
		"source":    config.Text(r, &s.Source, anyText),
		"locality":  config.Text(r, &s.Zone, anyText),
		"data":      config.Text(r, &s.Data, anyText),
		"shard":     config.Text(r, &s.Shard, anyText),
		"log":       config.Text(r, &s.Log, anyText),
		"seeds":     addrList(r, &s.Seeds),
		"founders":  addrList(r, &s.Founders),
		"first":     config.Bool(r, &s.FirstCluster),
		"losses":    config.Int(r, &s.MaxLosses, 0, 4),
		"grace_ms":  milliseconds(&s.Bounds.GraceMS),
		"notice_ms": milliseconds(&s.Bounds.NoticeMS),
		"pace": func(at string) {
			r.Object(at, map[string]config.Field{"beat_ms": milliseconds(&p.HeartbeatMS), "ill_ms": milliseconds(&p.UnhealthyMS), "loss_ms": milliseconds(&p.LostMS),
				"grant_ms": milliseconds(&p.LeaseMS), "worker_ms": milliseconds(&p.WorkerLeaseMS), "again_ms": milliseconds(&p.RetryMS), "round_ms": milliseconds(&p.RaftHeartbeatMS),
				"election_ms": milliseconds(&p.ElectionMS), "stall_ms": milliseconds(&p.StallMS), "dead_ms": milliseconds(&p.ReplaceAfterMS), "stale_ms": milliseconds(&p.StaleAfterMS)})
		},
	})
}

func addrList(r *config.Reader, to *[]string) config.Field {
	return func(at string) {
		*to = nil
		r.Array(at, 16, func(at string, _ int) {
			var a string
			config.Text(r, &a, func(string) string { return "" })(at)
			*to = append(*to, a)
		})
	}
}

// Validate tells all that is wrong with the settings of a role.
func (s *Settings) Validate(role string, errs *apierror.ErrorList) {
	if s.Address == "" {
		s.Address = s.Listen
	}
	checkAddr := func(field, a string) {
		p, err := netip.ParseAddrPort(a)
		errs.Check(err == nil && p.Port() != 0, field, "want IP:port, got "+fmt.Sprintf("%q", a))
	}
	checkAddr("listen", s.Listen)
	checkAddr("address", s.Address)
	if s.Source != "" {
		_, err := netip.ParseAddr(s.Source)
		errs.Check(err == nil, "source", "want an IP number")
	}
	bad := config.CheckName(s.Zone)
	errs.Check(bad == "", "locality", bad)
	errs.Check(len(s.Seeds) > 0, "seeds", "missing: give the addresses of up to three other daemons")
	for i, a := range s.Seeds {
		checkAddr(fmt.Sprintf("seeds[%d]", i), a)
	}
	for i, a := range s.Founders {
		checkAddr(fmt.Sprintf("founders[%d]", i), a)
	}
	errs.Check((s.Data != "") == (role == "controller"), "data", "a controller needs a data folder, and no other daemon may have one")
	if role == "agent" {
		bad := config.CheckName(s.Shard)
		errs.Check(bad == "", "shard", bad)
	} else {
		errs.Check(s.Shard == "", "shard", "only an agent has one")
	}
	errs.Check(s.Log == "info" || s.Log == "debug", "log", "want info or debug")
	s.Timeouts.check(errs)
	s.Bounds.check(s.Timeouts, errs)
}

// check ties the timings together: each line is a rule that the proofs of the
// dispatcher and of the elections rest on.
func (t Timeouts) check(errs *apierror.ErrorList) {
	errs.Check(t.WorkerLeaseMS < t.LeaseMS, "pace.worker_ms", "must be less than grant_ms: the worker's grant ends first")
	errs.Check(t.LeaseMS*5 <= t.LostMS*4, "pace.grant_ms", "must be at most four fifths of loss_ms: an agent's grant ends before it is counted lost, drift included")
	errs.Check(t.LeaseMS+inMilliseconds(protocol.WorkerStopTime) < t.LostMS, "pace.loss_ms", "must be more than grant_ms and the 150 ms that a worker may take to stop")
	errs.Check(t.LeaseMS <= 2500, "pace.grant_ms", "must be at most 2500: a cancel holds within 3 s, however cut")
	errs.Check(3*t.HeartbeatMS <= t.UnhealthyMS, "pace.ill_ms", "must be at least three beats")
	errs.Check(2*t.UnhealthyMS <= t.LostMS, "pace.loss_ms", "must be at least twice ill_ms")
	errs.Check(3*t.RaftHeartbeatMS <= t.ElectionMS, "pace.election_ms", "must be at least three rounds")
	errs.Check(2*t.ElectionMS < t.LeaseMS, "pace.election_ms", "must be less than half of grant_ms, or every change of leader costs the running work")
	errs.Check(t.StallMS >= t.ElectionMS, "pace.stall_ms", "must be at least election_ms")
	errs.Check(t.ReplaceAfterMS > t.LostMS, "pace.dead_ms", "must be more than loss_ms")
	errs.Check(t.RetryMS <= t.UnhealthyMS, "pace.again_ms", "must be at most ill_ms")
}

// Dispatch and Core give the paces that the machines take.
func (t Timeouts) Dispatch() protocol.Timeouts {
	return protocol.Timeouts{HeartbeatInterval: milliseconds(t.HeartbeatMS), UnhealthyAfter: milliseconds(t.UnhealthyMS), LostAfter: milliseconds(t.LostMS), AgentLease: milliseconds(t.LeaseMS), WorkerLease: milliseconds(t.WorkerLeaseMS), RetryInterval: milliseconds(t.RetryMS)}
}

func (t Timeouts) Raft() raft.Timeouts {
	return raft.Timeouts{HeartbeatInterval: milliseconds(t.RaftHeartbeatMS), MinElectionTimeout: milliseconds(t.ElectionMS), StallTimeout: milliseconds(t.StallMS), ReplaceAfter: milliseconds(t.ReplaceAfterMS), AuthorityLease: milliseconds(t.LeaseMS)}
}

// Dispatch is the pace of attempts, with what is known of the workers.
func (s Settings) Dispatch() protocol.Timeouts {
	timeouts := s.Timeouts.Dispatch()
	timeouts.DrainTime = milliseconds(s.Bounds.DrainMS)
	return timeouts
}

// StaleAfter is how old a gateway's confirmation of the table may be.
func (t Timeouts) StaleAfter() time.Duration { return milliseconds(t.StaleAfterMS) }

// ShutdownTimes bounds a planned stop.
func (b Bounds) ShutdownTimes() (grace, notice time.Duration) {
	return milliseconds(b.GraceMS), milliseconds(b.NoticeMS)
}

func (s Settings) AdvertisedAddr() types.Addr { return types.Addr(s.Address) }

func (s Settings) SeedAddrs() (list []types.Addr) {
	for _, a := range s.Seeds {
		list = append(list, types.Addr(a))
	}
	return
}

// Bootstrap is what the settings say of the cluster's beginning.
func (s Settings) Bootstrap() (o raft.BootstrapOptions) {
	o.FirstStart = s.FirstCluster
	for _, a := range s.Founders {
		o.Founders = append(o.Founders, types.Addr(a))
	}
	return
}

func (s Settings) ZoneName() types.Zone   { return types.Zone(s.Zone) }
func (s Settings) ShardName() types.Shard { return types.Shard(s.Shard) }
