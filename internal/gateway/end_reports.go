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
	message    wire.Message
	receivedAt types.MonoTime
	sentAt     types.MonoTime
}

func (g *Gateway) bufferEndReport(n wire.Message) {
	same := func(r endReport) bool { return string(r.message.Body) == string(n.Body) }
	if len(g.endReports) < maxReports && !slices.ContainsFunc(g.endReports, same) {
		g.endReports = append(g.endReports, endReport{n, g.now.Mono, -1 << 62})
	}
}

// forwardEndReports tells the leader what was kept.
func (g *Gateway) forwardEndReports() {
	g.endReports = slices.DeleteFunc(g.endReports, func(r endReport) bool { return g.now.Mono.Sub(r.receivedAt) > reportLifetime })
	to := g.members.Leader()
	for i := range g.endReports {
		if r := &g.endReports[i]; to != "" && g.now.Mono.Sub(r.sentAt) >= reportInterval {
			r.sentAt = g.now.Mono
			g.sends = append(g.sends, wire.OutboundMessage{To: to, Message: r.message})
		}
	}
}
