// Reports of ends that controllers without a leader pass on: a gateway keeps them for a
// while and repeats them to whoever leads, since the controller that was told, the
// agent and the worker may all be gone by then.
package gateway

import (
	"slices"
	"time"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	keeps   = 15 * time.Second
	repeats = time.Second
	most    = 1024
)

type report struct {
	message wire.Message
	at      types.Stamp
	sent    types.Stamp
}

func (g *Gateway) keep(n wire.Message) {
	same := func(r report) bool { return string(r.message.Body) == string(n.Body) }
	if len(g.told) < most && !slices.ContainsFunc(g.told, same) {
		g.told = append(g.told, report{n, g.now.Mono, -1 << 62})
	}
}

// repeat tells the leader what was kept.
func (g *Gateway) repeat() {
	g.told = slices.DeleteFunc(g.told, func(r report) bool { return g.now.Mono.Sub(r.at) > keeps })
	to := g.roster.Lead()
	for i := range g.told {
		if r := &g.told[i]; to != "" && g.now.Mono.Sub(r.sent) >= repeats {
			r.sent = g.now.Mono
			g.sends = append(g.sends, wire.Send{To: to, Message: r.message})
		}
	}
}
