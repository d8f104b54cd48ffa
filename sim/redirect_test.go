// Responses of controllers to direct requests of operators: a leader does not answer after its lease
// has expired, and no controller redirects to a leader without recent contact with it.

package sim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/world"
)

// requestFrom sends a request to a controller, and returns the response if it arrives in time.
func (r *Run) requestFrom(n *world.Node, verb wire.Verb, body any, within time.Duration) (a wire.Response, ok bool) {
	r.Request("operator", n.Addr, verb, "", wire.EncodeBody(body), func(b wire.Response) { a, ok = b, true })
	r.RunUntil(time.Duration(r.Now()) + within)
	return a, ok
}

// changedTable returns the deployment's table, based on a version, with another weight of its first
// queue.
func (r *Run) changedTable(base types.Version, weight int) config.Table {
	t := r.Clients.Deployment.Table()
	t.Version, t.Queues[0].Weight = base, weight
	return t
}

// A leader is frozen while another leader is elected and commits a change. When it resumes, its
// first event may be a request that arrived in between. It must check its lease against the current
// time, and must not answer from its stale state.
func TestThawedLeaderDoesNotAnswerFromStaleState(t *testing.T) {
	t.Parallel()
	for _, verb := range []wire.Verb{"table.get", "table.put", "job.get"} {
		t.Run(string(verb), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, acked := newControlRun(t, 91)
			r.RunUntil(8 * time.Second)
			is.True(acked())
			old := r.leader()
			old.Pause()
			var a wire.Response
			got := false
			var body any
			if verb == "table.put" {
				body = r.changedTable(2, 7)
			}
			recordResponse := func(b wire.Response) { a, got = b, true }
			r.Request("operator", old.Addr, verb, "", wire.EncodeBody(body), recordResponse) // the first event
			r.RunUntil(18 * time.Second)
			var successor *world.Node
			for _, h := range r.controllers {
				if h != old && r.controllerStatus(h).RaftRole == "leader" {
					successor = h
				}
			}
			is.True(successor != nil)
			b, ok := r.requestFrom(successor, "table.put", r.changedTable(1, 5), time.Second)
			is.True(ok && b.Error == nil)
			old.Resume()
			r.RunUntil(time.Duration(r.Now()) + 500*time.Millisecond)
			is.True(got)
			is.True(a.Error != nil)
			is.Equal(a.Error.Kind, apierror.NoLeader) // neither the stale table nor a rejection based on it
		})
	}
}

// A controller redirects only to a leader that it is in contact with, and never to itself. A
// controller without a leader responds immediately.
func TestNoRedirectToUnreachableLeader(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		sides    func(r *Run, l *world.Node) (a, b []types.Addr)
		bothWays bool
	}{
		{"follower is partitioned", func(r *Run, l *world.Node) (a, b []types.Addr) {
			for _, h := range r.controllers {
				if h != l {
					return []types.Addr{h.Addr}, r.allExcept(h.Addr)
				}
			}
			return a, b
		}, true},
		{"leader is partitioned", separatedFromPeers, true},
		{"no peer receives from the leader", separatedFromPeers, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, _ := newControlRun(t, 92)
			r.Network.Quality = world.NetworkQuality{} // no request or response is lost
			r.RunUntil(8 * time.Second)
			l := r.leader()
			a, b := c.sides(r, l)
			r.Network.SetPartition(a, b, c.bothWays, true)
			from := r.Now()
			for r.Now() < from+int64(20*time.Second) {
				r.RunUntil(time.Duration(r.Now()) + 250*time.Millisecond)
				for _, h := range r.controllers {
					began := r.Now()
					answer, ok := r.requestFrom(h, "table.get", nil, 60*time.Millisecond)
					is.True(ok) // immediately
					is.True(answer.Leader != h.Addr)
					if answer.Leader != "" { // the hinted leader may have led within its lease
						is.True(answer.Error.Kind == apierror.NoLeader)
						reached := !r.Network.IsPartitioned(answer.Leader, h.Addr)
						is.True(reached || began-from < int64(r.RaftTimeouts.MinElectionTimeout+100*time.Millisecond))
					}
					if answer.Error != nil && answer.Leader == "" {
						is.True(answer.Error.RetryAfterSeconds > 0)
					}
				}
			}
		})
	}
}
