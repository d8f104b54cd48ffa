package gateway

// Reports of ends that controllers without a leader pass on: a gateway keeps them
// for a while and repeats them to the leader, since the controller that was told,
// the agent and the worker may all be gone by then.

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	reportLifetime = 15 * time.Second
	reportInterval = time.Second
	maxReports     = 1024
)

type endReport struct {
	message wire.Message
	at      types.MonoTime
	sent    types.MonoTime
}

func (g *Gateway) keep(n wire.Message) {
	same := func(r endReport) bool { return string(r.message.Body) == string(n.Body) }
	if len(g.told) < maxReports && !slices.ContainsFunc(g.told, same) {
		g.told = append(g.told, endReport{n, g.now.Mono, -1 << 62})
	}
}

// repeat tells the leader what was kept.
func (g *Gateway) repeat() {
	g.told = slices.DeleteFunc(g.told, func(r endReport) bool { return g.now.Mono.Sub(r.at) > reportLifetime })
	to := g.roster.Leader()
	for i := range g.told {
		if r := &g.told[i]; to != "" && g.now.Mono.Sub(r.sent) >= reportInterval {
			r.sent = g.now.Mono
			g.sends = append(g.sends, wire.OutboundMessage{To: to, Message: r.message})
		}
	}
}
