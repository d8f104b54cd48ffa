package sim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// A controller that is cut off is asked whether it is there, and sent nothing more:
// what the leader sent it again and again once filled the leader's memory.
func TestASilentControllerIsSentNoEntries(t *testing.T) {
	is := is.New(t)
	r := Build(Plan{Seed: 5, Deployment: "kingston"})
	r.at(5*time.Second, func() { r.Clients.put(r.Clients.deployment.Table(), "g1", 0, func(bool) {}) })
	r.at(7*time.Second, func() {
		for _, f := range r.Clients.deployment.Flows {
			r.Clients.flow(f)
		}
	})
	r.Run(10 * time.Second)
	var lead, away *node
	for _, n := range r.controllers {
		if s := r.status(n); s.RaftRole == "leader" {
			lead = n
		} else {
			away = n
		}
	}
	sent, most := 0, 0
	r.TamperMessage = func(s *wire.OutboundMessage) bool {
		if s.Message.From == lead.addr && s.To == away.addr && s.Message.Kind == wire.AppendEntries {
			sent += len(s.Message.Body)
			most = max(most, len(s.Message.Body))
		}
		return true
	}
	r.Split([]types.Addr{away.addr}, r.order, true, true)
	r.Run(12 * time.Second)
	sent, most = 0, 0
	r.Run(20 * time.Second)
	is.True(sent > 0)   // it is asked
	is.True(most < 500) // with no entries
	r.Split([]types.Addr{away.addr}, r.order, true, false)
	r.Run(30 * time.Second)
	a, b := r.status(lead), r.status(away)
	is.Equal(a.RaftRole, "leader")
	is.True(a.Commit-b.Commit < 100) // it has caught up
	is.True(a.Commit > 500)
}
