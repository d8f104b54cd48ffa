// Package settings defines the settings of one daemon. A settings file (Read) overrides the
// defaults, and command-line flags, which set fields directly, override the file. Validate then
// checks all settings and reports all errors at once, each with its field.
//
// The timeouts of a cluster depend on each other (Timeouts). On the users' platform they
// are derived from the requirements of its environment (Bounds, DeriveTimeouts).
package settings

import (
	"time"

	"coppercourse/internal/configwatch"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/raft"
	"coppercourse/internal/types"
)

// Settings are the settings of one daemon. Addresses are IP:port.
type Settings struct {
	Listen       string   // the address to listen on
	Address      string   // the advertised address; Listen if empty
	Source       string   // the source IP of outgoing connections; any if empty
	Zone         string   // the daemon's zone
	Seeds        []string // addresses of other daemons for discovery
	Data         string   // of a controller: its data directory
	Shard        string   // of an agent: the name of its worker
	Log          string   // log level: info or debug
	Founders     []string // controllers that bootstrap a new cluster; optional
	FirstCluster bool     // no cluster existed before
	MaxLosses    int      // number of controllers that may be lost at once, including their disks
	MaxConns     int      // concurrent connections on one address; 0 is the server's default
	Bounds       Bounds
	Timeouts     Timeouts
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Listen:   "127.0.0.1:7400",
		Log:      "info",
		Bounds:   DefaultBounds,
		Timeouts: defaultTimeouts(),
	}
}

func defaultTimeouts() Timeouts {
	dispatch, consensus := protocol.DefaultTimeouts, raft.DefaultTimeouts
	return Timeouts{
		HeartbeatMS:     inMilliseconds(dispatch.HeartbeatInterval),
		UnhealthyMS:     inMilliseconds(dispatch.UnhealthyAfter),
		LostMS:          inMilliseconds(dispatch.LostAfter),
		LeaseMS:         inMilliseconds(dispatch.AgentLease),
		WorkerLeaseMS:   inMilliseconds(dispatch.WorkerLease),
		RetryMS:         inMilliseconds(dispatch.RetryInterval),
		RaftHeartbeatMS: inMilliseconds(consensus.HeartbeatInterval),
		ElectionMS:      inMilliseconds(consensus.MinElectionTimeout),
		StallMS:         inMilliseconds(consensus.StallTimeout),
		ReplaceAfterMS:  inMilliseconds(consensus.ReplaceAfter),
		StaleAfterMS:    inMilliseconds(configwatch.DefaultStaleAfter),
	}
}

// AdvertisedAddr returns the address at which other daemons reach this one.
func (s Settings) AdvertisedAddr() types.Addr { return types.Addr(s.Address) }

// ZoneName returns the daemon's zone.
func (s Settings) ZoneName() types.Zone { return types.Zone(s.Zone) }

// ShardName returns the name of an agent's worker.
func (s Settings) ShardName() types.Shard { return types.Shard(s.Shard) }

// SeedAddrs returns the addresses of the seeds.
func (s Settings) SeedAddrs() []types.Addr { return addrs(s.Seeds) }

// Bootstrap returns the options for the bootstrap of a new cluster.
func (s Settings) Bootstrap() raft.BootstrapOptions {
	return raft.BootstrapOptions{FirstStart: s.FirstCluster, Founders: addrs(s.Founders)}
}

// Dispatch returns the timeouts of the dispatch protocol for an agent. For a controller,
// Timeouts.Dispatch is used, which lacks the drain time.
func (s Settings) Dispatch() protocol.Timeouts {
	timeouts := s.Timeouts.Dispatch()
	timeouts.DepartureTime = milliseconds(s.Bounds.DrainMS)
	return timeouts
}

func addrs(texts []string) []types.Addr {
	var list []types.Addr
	for _, text := range texts {
		list = append(list, types.Addr(text))
	}
	return list
}

func inMilliseconds(d time.Duration) int { return int(d / time.Millisecond) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
