// Package settings holds the settings of one daemon. Defaults are overridden by a settings
// file (Read), and that by command-line flags, which set fields directly. Validate then
// checks all settings and reports every error at once, each with its field.
//
// The timeouts of a cluster depend on each other (Timeouts). On the users' platform they
// are derived from what its surroundings require (Bounds, DeriveTimeouts).
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
	Address      string   // the address by which other daemons reach this one; Listen if empty
	Source       string   // the IP that connections are made from; any if empty
	Zone         string   // the zone that the daemon is in
	Seeds        []string // addresses of other daemons, to find the cluster by
	Data         string   // of a controller: the folder of its log
	Shard        string   // of an agent: the name of its worker
	Log          string   // level of the log: info or debug
	Founders     []string // controllers that form a new cluster together, if they are named
	FirstCluster bool     // there was never a cluster before
	MaxLosses    int      // how many controllers may be lost at once, with their disks
	MaxConns     int      // connections at once on one address; 0 is the server's default
	Bounds       Bounds
	Timeouts     Timeouts
}

// Defaults returns the settings of a daemon without a file and without flags.
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

// AdvertisedAddr returns the address by which other daemons reach this one.
func (s Settings) AdvertisedAddr() types.Addr { return types.Addr(s.Address) }

// ZoneName returns the zone that the daemon is in.
func (s Settings) ZoneName() types.Zone { return types.Zone(s.Zone) }

// ShardName returns the name of an agent's worker.
func (s Settings) ShardName() types.Shard { return types.Shard(s.Shard) }

// SeedAddrs returns the addresses to find the cluster by.
func (s Settings) SeedAddrs() []types.Addr { return addrs(s.Seeds) }

// Bootstrap returns how a new cluster is formed.
func (s Settings) Bootstrap() raft.BootstrapOptions {
	return raft.BootstrapOptions{FirstStart: s.FirstCluster, Founders: addrs(s.Founders)}
}

// Dispatch returns the timeouts of the dispatch protocol for an agent. Those of a
// controller (Timeouts.Dispatch) lack the drain time.
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
