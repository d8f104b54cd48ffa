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
	"coppercourse/internal/dispatch"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
)

// Settings is a daemon's place and pace.
type Settings struct {
	Listen   string
	Address  string
	Source   string
	Zone     string
	Seeds    []string
	Data     string
	Shard    string
	Log      string
	Founders []string // controllers that found a cluster together, where settings name them
	First    bool     // no cluster has been before
	Loses    int      // controllers that may be lost at once, disk and all
	Conns    int      // connections at once on one address; 0 is the daemon's own bound
	Bounds   Bounds
	Pace     Timeouts
}

// Timeouts is every timing an operator may set, in milliseconds.
type Timeouts struct {
	Beat, Ill, Loss, Grant, Worker, Again int
	Round, Election, Stall, Dead, Stale   int
}

func ms(d time.Duration) int { return int(d / time.Millisecond) }
func un(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Defaults are the settings before file and flags.
func Defaults() Settings {
	t, a := dispatch.Defaults, raft.DefaultTimeouts
	return Settings{Listen: "127.0.0.1:7400", Log: "info", Bounds: Usual, Pace: Timeouts{Beat: ms(t.HeartbeatInterval), Ill: ms(t.UnhealthyAfter), Loss: ms(t.LostAfter),
		Grant: ms(t.AgentLease), Worker: ms(t.WorkerLease), Again: ms(t.RetryInterval), Round: ms(a.HeartbeatInterval), Election: ms(a.MinElectionTimeout),
		Stall: ms(a.StallTimeout), Dead: ms(a.ReplaceAfter), Stale: ms(configwatch.DefaultStaleAfter)}}
}

// ReadSettings lays a file over the defaults.
func Read(b []byte, s *Settings, heap *apierror.ErrorList) {
	r := config.NewReader(b, heap)
	any := func(string) string { return "" }
	p := &s.Pace
	num := func(to *int) config.Field { return config.Int(r, to, 1, 3_600_000) }
	r.ReadDocument(map[string]config.Field{
		"listen":    config.Text(r, &s.Listen, any),
		"address":   config.Text(r, &s.Address, any),
		"source":    config.Text(r, &s.Source, any),
		"locality":  config.Text(r, &s.Zone, any),
		"data":      config.Text(r, &s.Data, any),
		"shard":     config.Text(r, &s.Shard, any),
		"log":       config.Text(r, &s.Log, any),
		"seeds":     addrs(r, &s.Seeds),
		"founders":  addrs(r, &s.Founders),
		"first":     config.Bool(r, &s.First),
		"losses":    config.Int(r, &s.Loses, 0, 4),
		"grace_ms":  num(&s.Bounds.Grace),
		"notice_ms": num(&s.Bounds.Notice),
		"pace": func(at string) {
			r.Object(at, map[string]config.Field{"beat_ms": num(&p.Beat), "ill_ms": num(&p.Ill), "loss_ms": num(&p.Loss),
				"grant_ms": num(&p.Grant), "worker_ms": num(&p.Worker), "again_ms": num(&p.Again), "round_ms": num(&p.Round),
				"election_ms": num(&p.Election), "stall_ms": num(&p.Stall), "dead_ms": num(&p.Dead), "stale_ms": num(&p.Stale)})
		},
	})
}

func addrs(r *config.Reader, to *[]string) config.Field {
	return func(at string) {
		*to = nil
		r.Array(at, 16, func(at string, _ int) {
			var a string
			config.Text(r, &a, func(string) string { return "" })(at)
			*to = append(*to, a)
		})
	}
}

// Check tells all that is wrong with the settings of a role.
func (s *Settings) Check(role string, heap *apierror.ErrorList) {
	if s.Address == "" {
		s.Address = s.Listen
	}
	addr := func(field, a string) {
		p, err := netip.ParseAddrPort(a)
		heap.Check(err == nil && p.Port() != 0, field, "want IP:port, got "+fmt.Sprintf("%q", a))
	}
	addr("listen", s.Listen)
	addr("address", s.Address)
	if s.Source != "" {
		_, err := netip.ParseAddr(s.Source)
		heap.Check(err == nil, "source", "want an IP number")
	}
	bad := config.CheckName(s.Zone)
	heap.Check(bad == "", "locality", bad)
	heap.Check(len(s.Seeds) > 0, "seeds", "missing: give the addresses of up to three other daemons")
	for i, a := range s.Seeds {
		addr(fmt.Sprintf("seeds[%d]", i), a)
	}
	for i, a := range s.Founders {
		addr(fmt.Sprintf("founders[%d]", i), a)
	}
	heap.Check((s.Data != "") == (role == "controller"), "data", "a controller needs a data folder, and no other daemon may have one")
	if role == "agent" {
		bad := config.CheckName(s.Shard)
		heap.Check(bad == "", "shard", bad)
	} else {
		heap.Check(s.Shard == "", "shard", "only an agent has one")
	}
	heap.Check(s.Log == "info" || s.Log == "debug", "log", "want info or debug")
	s.Pace.check(heap)
	s.Bounds.check(s.Pace, heap)
}

// check ties the timings together: each line is a rule that the proofs of the
// dispatcher and of the elections rest on.
func (t Timeouts) check(h *apierror.ErrorList) {
	h.Check(t.Worker < t.Grant, "pace.worker_ms", "must be less than grant_ms: the worker's grant ends first")
	h.Check(t.Grant*5 <= t.Loss*4, "pace.grant_ms", "must be at most four fifths of loss_ms: an agent's grant ends before it is counted lost, drift included")
	h.Check(t.Grant+ms(dispatch.WorkerStopTime) < t.Loss, "pace.loss_ms", "must be more than grant_ms and the 150 ms that a worker may take to stop")
	h.Check(t.Grant <= 2500, "pace.grant_ms", "must be at most 2500: a cancel holds within 3 s, however cut")
	h.Check(3*t.Beat <= t.Ill, "pace.ill_ms", "must be at least three beats")
	h.Check(2*t.Ill <= t.Loss, "pace.loss_ms", "must be at least twice ill_ms")
	h.Check(3*t.Round <= t.Election, "pace.election_ms", "must be at least three rounds")
	h.Check(2*t.Election < t.Grant, "pace.election_ms", "must be less than half of grant_ms, or every change of leader costs the running work")
	h.Check(t.Stall >= t.Election, "pace.stall_ms", "must be at least election_ms")
	h.Check(t.Dead > t.Loss, "pace.dead_ms", "must be more than loss_ms")
	h.Check(t.Again <= t.Ill, "pace.again_ms", "must be at most ill_ms")
}

// Truth and Core give the paces that the machines take.
func (t Timeouts) Truth() dispatch.Timeouts {
	return dispatch.Timeouts{HeartbeatInterval: un(t.Beat), UnhealthyAfter: un(t.Ill), LostAfter: un(t.Loss), AgentLease: un(t.Grant), WorkerLease: un(t.Worker), RetryInterval: un(t.Again)}
}

func (t Timeouts) Core() raft.Timeouts {
	return raft.Timeouts{HeartbeatInterval: un(t.Round), MinElectionTimeout: un(t.Election), StallTimeout: un(t.Stall), ReplaceAfter: un(t.Dead), AuthorityLease: un(t.Grant)}
}

// Dispatch is the pace of attempts, with what is known of the workers.
func (s Settings) Dispatch() dispatch.Timeouts {
	timeouts := s.Pace.Truth()
	timeouts.DrainTime = un(s.Bounds.Drain)
	return timeouts
}

// News is how old a gateway's confirmation of the table may be.
func (t Timeouts) News() time.Duration { return un(t.Stale) }

// Stops bounds a planned stop.
func (b Bounds) Stops() (grace, notice time.Duration) { return un(b.Grace), un(b.Notice) }

func (s Settings) Addr() types.Addr { return types.Addr(s.Address) }

func (s Settings) Near() (list []types.Addr) {
	for _, a := range s.Seeds {
		list = append(list, types.Addr(a))
	}
	return
}

// Begin is what the settings say of the cluster's beginning.
func (s Settings) Begin() (o raft.BootstrapOptions) {
	o.FirstStart = s.First
	for _, a := range s.Founders {
		o.Founders = append(o.Founders, types.Addr(a))
	}
	return
}

func (s Settings) ZoneName() types.Zone   { return types.Zone(s.Zone) }
func (s Settings) ShardName() types.Shard { return types.Shard(s.Shard) }
