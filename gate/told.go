// Reports of ends that helms without a leader pass on: a gate keeps them for a
// while and repeats them to whoever leads, since the helm that was told, the
// ward and the worker may all be gone by then.
package gate

import (
	"slices"
	"time"

	"coppercourse/mark"
	"coppercourse/word"
)

const (
	keeps   = 15 * time.Second
	repeats = time.Second
	most    = 1024
)

type report struct {
	note word.Note
	at   mark.Stamp
	sent mark.Stamp
}

func (g *Gate) keep(n word.Note) {
	same := func(r report) bool { return string(r.note.Body) == string(n.Body) }
	if len(g.told) < most && !slices.ContainsFunc(g.told, same) {
		g.told = append(g.told, report{n, g.now.Mono, -1 << 62})
	}
}

// repeat tells the leader what was kept.
func (g *Gate) repeat() {
	g.told = slices.DeleteFunc(g.told, func(r report) bool { return g.now.Mono.Sub(r.at) > keeps })
	to := g.kin.Lead()
	for i := range g.told {
		if r := &g.told[i]; to != "" && g.now.Mono.Sub(r.sent) >= repeats {
			r.sent = g.now.Mono
			g.sends = append(g.sends, word.Send{To: to, Note: r.note})
		}
	}
}
