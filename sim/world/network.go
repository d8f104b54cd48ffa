package world

import (
	"math/rand"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	minDelay      = 200 * time.Microsecond // of a packet within a region
	delaySpread   = 2 * time.Millisecond
	maxExtraDelay = 900 * time.Millisecond // of a packet that comes late
	resetRate     = 0.5                    // part of a daemon's connections that one reset ends
)

// NetworkQuality is the parts of all packets that are lost, duplicated and late.
type NetworkQuality struct {
	LossRate, DuplicateRate, DelayRate float64
}

// direction is from one address to another.
type direction struct{ from, to types.Addr }

// Network decides what becomes of packets.
type Network struct {
	Quality     NetworkQuality
	AckLossRate float64                                 // part of the acknowledgements of tables that are lost
	RegionDelay func(from, to types.Addr) time.Duration // beyond that within a region, one way; nil means none

	partitioned map[direction]bool
	extraDelay  map[direction]time.Duration
	resetAt     map[types.Addr]int64 // when a daemon's connections were last reset
}

func newNetwork() *Network {
	return &Network{
		partitioned: map[direction]bool{},
		extraDelay:  map[direction]time.Duration{},
		resetAt:     map[types.Addr]int64{},
	}
}

// SetPartition begins or ends a partition between two groups, one way or both.
func (n *Network) SetPartition(a, b []types.Addr, bothWays, cut bool) {
	for _, from := range a {
		for _, to := range b {
			n.setPartitioned(direction{from, to}, cut)
			if bothWays {
				n.setPartitioned(direction{to, from}, cut)
			}
		}
	}
}

func (n *Network) setPartitioned(d direction, cut bool) {
	if cut {
		n.partitioned[d] = true
	} else {
		delete(n.partitioned, d)
	}
}

// IsPartitioned reports whether nothing gets from one address to another.
func (n *Network) IsPartitioned(from, to types.Addr) bool { return n.partitioned[direction{from, to}] }

// HasPartitions reports whether there are any.
func (n *Network) HasPartitions() bool { return len(n.partitioned) > 0 }

// HealPartitions ends all partitions.
func (n *Network) HealPartitions() { clear(n.partitioned) }

// SetExtraDelay delays all packets from one address to another.
func (n *Network) SetExtraDelay(from, to types.Addr, d time.Duration) {
	n.extraDelay[direction{from, to}] = d
}

// ExtraDelay returns by how much packets from one address to another are delayed.
func (n *Network) ExtraDelay(from, to types.Addr) time.Duration {
	return n.extraDelay[direction{from, to}]
}

// ClearExtraDelays ends all of them.
func (n *Network) ClearExtraDelays() { clear(n.extraDelay) }

// ResetConnections resets a part of the connections of a daemon: of what is in transit
// from or to it, that part is lost.
func (n *Network) ResetConnections(daemon types.Addr, now int64) { n.resetAt[daemon] = now }

// HasResets reports whether connections were reset.
func (n *Network) HasResets() bool { return len(n.resetAt) > 0 }

// ClearResets forgets the resets.
func (n *Network) ClearResets() { clear(n.resetAt) }

// copies draws how often a packet is sent: twice if it is duplicated.
func (n *Network) drawCopies(random *rand.Rand) int {
	if random.Float64() < n.Quality.DuplicateRate {
		return 2
	}
	return 1
}

// loses draws whether a copy of a packet is lost.
func (n *Network) drawLoss(random *rand.Rand) bool { return random.Float64() < n.Quality.LossRate }

// delay draws how long a copy of a packet takes.
func (n *Network) drawDelay(random *rand.Rand, from, to types.Addr) time.Duration {
	d := minDelay + randomBelow(random, delaySpread) + n.extraDelay[direction{from, to}]
	if n.RegionDelay != nil {
		d += n.RegionDelay(from, to)
	}
	if random.Float64() < n.Quality.DelayRate {
		d += randomBelow(random, maxExtraDelay)
	}
	return d
}

// drawResetLoss draws whether a packet is lost because connections were reset in transit.
func (n *Network) drawResetLoss(random *rand.Rand, from, to types.Addr, sentAt, now int64) bool {
	if len(n.resetAt) == 0 {
		return false
	}
	hit := func(daemon types.Addr) bool {
		at, ok := n.resetAt[daemon]
		return ok && at >= sentAt && at <= now
	}
	return (hit(from) || hit(to)) && random.Float64() < resetRate
}

// drawAckLoss draws whether an answer is the acknowledgement of a table and is
// lost.
func (n *Network) drawAckLoss(random *rand.Rand, verb wire.Verb, answer wire.Response) bool {
	return n.AckLossRate > 0 && verb == wire.VerbPutTable && answer.Error == nil && random.Float64() < n.AckLossRate
}

// randomBelow draws a time below a limit.
func randomBelow(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int63n(int64(limit)))
}

// transmit takes a packet from one address to another, once, twice or not at all.
func (w *World) transmit(from, to types.Addr, deliver func()) {
	for range w.Network.drawCopies(w.Random) {
		if w.Network.drawLoss(w.Random) {
			continue
		}
		sentAt := w.now
		w.After(w.Network.drawDelay(w.Random, from, to), func() {
			if !w.Network.IsPartitioned(from, to) && !w.Network.drawResetLoss(w.Random, from, to, sentAt, w.now) {
				deliver()
			}
		})
	}
}
