// Package gateway is the entry for clients and operators, as one state machine. It
// admits requests, forwards them to the leader and answers each request that it has
// read: with the leader's answer or, when it gives up, with when to retry.
package gateway

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/configwatch"
	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Options are where a gateway runs and what it is told at the start.
type Options struct {
	Addr  types.Addr
	Zone  types.Zone
	Seeds []types.Addr
	Issue string
	Stale time.Duration // how old a confirmation of the table may be; 0 is news.Stale
}

// Bounds and timings, ours.
const (
	MaxCalls       = 512                     // requests under way at once
	AttemptTimeout = 700 * time.Millisecond  // how long one controller is waited for
	CallTimeout    = 2500 * time.Millisecond // how long a request is worked on
	answerMargin   = 50 * time.Millisecond   // before whoever asks has given up
)

type call struct {
	ask      wire.Request
	from     types.MonoTime
	limit    time.Duration
	sent     types.MonoTime
	to       types.Addr
	attempts int
	open     bool // somebody asked before has not answered, and may have taken it
}

// Gateway forwards requests to the leader.
type Gateway struct {
	place  Options
	now    types.Now
	roster *membership.MemberList
	news   *configwatch.Watcher
	Trail  *trace.Ring
	calls  map[uint64]*call
	next   uint64
	turn   int
	was    types.Addr     // who led at the last tick that anybody did
	lost   types.MonoTime // since when no leader is known; 0 when one is
	drain  bool
	told   []endReport
	sends  []wire.OutboundMessage
	outs   []wire.Response
	Sums   Sums
	pace   float64 // requests answered a second, to tell when to come back
	last   types.MonoTime
}

// Sums are counters since start.
type Sums struct {
	Calls, Answered, Refused, GivenUp, Attempts, Crowded uint64
}

// New starts a gateway that knows no other daemon but the seeds.
func New(now types.Now, rnd *rand.Rand, p Options) *Gateway {
	if p.Stale == 0 {
		p.Stale = configwatch.DefaultStaleAfter
	}
	g := &Gateway{place: p, now: now, news: configwatch.NewWatcher(p.Addr, p.Stale, configwatch.NewNonce(rnd)), calls: map[uint64]*call{}, Trail: trace.New(),
		next: rnd.Uint64() >> 12, lost: now.Mono}
	g.roster = membership.New(rnd, g.card(), p.Seeds)
	return g
}

func (g *Gateway) card() membership.Card {
	c := membership.Card{Addr: g.place.Addr, Role: "gateway", Zone: g.place.Zone, Ready: g.Ready(), Build: g.place.Issue}
	if g.roster != nil {
		c.Name = g.roster.ClusterName()
	}
	return c
}

// Ready tells whether the platform may send callers here.
func (g *Gateway) Ready() bool {
	return !g.drain && g.roster != nil && g.roster.Leader() != "" && g.news.Fresh(g.now.Mono)
}

// Table is the table as the gateway has it, and whether it may be decided by.
func (g *Gateway) Table() (config.Table, bool) { return g.news.Table, g.news.Fresh(g.now.Mono) }

// ConfirmedUntil is when the confirmation of the table ends, by the gateway's
// steady clock.
func (g *Gateway) ConfirmedUntil() types.MonoTime { return g.news.ConfirmedUntil() }

// Leader is whom the gateway holds for the leader now.
func (g *Gateway) Leader() types.Addr { return g.roster.Leader() }

// Step takes one event.
func (g *Gateway) Step(e wire.Event) wire.Effects {
	g.now = e.Now
	switch {
	case e.Message != nil:
		g.take(*e.Message)
	case e.Request != nil:
		g.enter(*e.Request)
	case e.Shutdown:
		g.drain = true
	default:
		g.tick()
	}
	g.sends = append(g.sends, g.news.Tick(g.now.Mono, g.roster.Leader())...)
	out := wire.Effects{Messages: append(g.sends, g.roster.TakeMessages()...), Responses: g.outs, Drained: g.drain && len(g.calls) == 0}
	g.sends, g.outs = nil, nil
	return out
}

func (g *Gateway) take(n wire.Message) {
	switch {
	case g.roster.HandleMessage(g.now.Mono, n):
	case n.Kind == wire.ConfigWatchReply:
		if g.news.HandleResponse(n) {
			g.Trail.Add(g.now.Wall, trace.TableSubject(g.news.Table.Version), "in use here")
		}
	case n.Kind == wire.StatusReport:
		g.keep(n)
	case n.Kind == wire.ForwardReply:
		if r, ok := wire.DecodeBody[wire.ForwardedReply](n); ok {
			g.reply(n.From, r)
		}
	}
}

func (g *Gateway) tick() {
	g.roster.SetSelf(g.card())
	g.roster.Tick(g.now.Mono)
	g.repeat()
	lead := g.roster.Leader()
	if lead != "" {
		g.lost = 0
	} else if g.lost == 0 {
		g.lost = g.now.Mono
	}
	for _, id := range slices.Sorted(maps.Keys(g.calls)) {
		c := g.calls[id]
		switch {
		case g.now.Mono.Sub(c.from) >= c.limit:
			g.Sums.GivenUp++
			g.fail(id, g.giveUp(c))
		case c.to == "" || g.now.Mono.Sub(c.sent) >= AttemptTimeout:
			g.send(id, c, "")
		case lead != "" && lead != g.was && c.to == g.was: // another leads now
			g.send(id, c, lead)
		}
	}
	if lead != "" {
		g.was = lead
	}
}

// giveUp says which it is: nobody has seen the request, or somebody may have.
func (g *Gateway) giveUp(c *call) *apierror.Error {
	if c.open || c.to != "" {
		return apierror.New(apierror.OutcomeUnknown, "", "no answer from the leader; the request may have been taken; send the same again").WithRetryAfter(g.back())
	}
	return apierror.New(apierror.NoLeader, "", "no leader can be reached from here").WithRetryAfter(g.back())
}

// back estimates when a leader will be reachable: an election is short, a cut
// that has lasted for long is likely to last as long again.
func (g *Gateway) back() time.Duration {
	if g.lost == 0 {
		return time.Second
	}
	return min(30*time.Second, 2*time.Second+g.now.Mono.Sub(g.lost)/4)
}

// enter grants entry or refuses it.
func (g *Gateway) enter(a wire.Request) {
	g.Sums.Calls++
	switch f := g.refuse(a); {
	case f != nil:
		g.Sums.Refused++
		g.outs = append(g.outs, wire.Response{Token: a.Token, Error: f})
		return
	case a.Verb == "mates":
		g.outs = append(g.outs, wire.Response{Token: a.Token, StatusCode: 200, Body: wire.EncodeBody(g.roster.Peers())})
		return
	}
	g.next++
	c := &call{ask: a, from: g.now.Mono, limit: CallTimeout}
	if a.Timeout > 0 {
		c.limit = min(CallTimeout, max(a.Timeout-answerMargin, a.Timeout/2))
	}
	g.calls[g.next] = c
	if a.Verb == "job.put" {
		g.Trail.Add(g.now.Wall, trace.JobSubject(types.JobID(a.Arg)), "granted entry")
	}
	g.send(g.next, c, "")
}

func (g *Gateway) refuse(a wire.Request) *apierror.Error {
	switch {
	case a.Verb == "mates":
		return nil
	case len(g.calls) >= MaxCalls:
		g.Sums.Crowded++
		return apierror.New(apierror.TooBusy, "", "this gateway has all the requests under way that it may have").
			WithRetryAfter(time.Duration(float64(len(g.calls)) / max(g.pace, 1) * float64(time.Second)))
	case g.lost != 0 && g.now.Mono.Sub(g.lost) > CallTimeout:
		return apierror.New(apierror.NoLeader, "", "no leader can be reached from here").WithRetryAfter(g.back())
	}
	return nil
}

// send hands a call over to the leader, or to the controllers in turn.
func (g *Gateway) send(id uint64, c *call, hint types.Addr) {
	to := hint
	if to == "" {
		to = g.roster.Leader()
	}
	if controllers := g.roster.Controllers(); len(controllers) > 0 && (to == "" || to == c.to && hint == "") {
		g.turn++
		to = controllers[g.turn%len(controllers)].Addr
	}
	if to == "" {
		return
	}
	c.open = c.open || c.to != ""
	c.to, c.sent = to, g.now.Mono
	c.attempts++
	g.Sums.Attempts++
	g.sends = append(g.sends, wire.NewMessage(g.place.Addr, to, wire.ForwardRequest, wire.ForwardedRequest{ID: id, Verb: c.ask.Verb, Arg: c.ask.Arg, Body: c.ask.Body}))
}

func (g *Gateway) reply(from types.Addr, r wire.ForwardedReply) {
	c := g.calls[r.ID]
	switch {
	case c == nil:
	case r.NotLeader:
		other := r.Leader != "" && r.Leader != c.to
		if from == c.to {
			c.to, c.sent = "", g.now.Mono
		}
		if other && c.attempts < 6 {
			g.send(r.ID, c, r.Leader)
		}
	case r.Error != nil && r.Error.Kind == apierror.OutcomeUnknown:
		c.to, c.open = "", true
	case r.Error != nil && (c.open || from != c.to) && mutatingVerbs[c.ask.Verb] && saysNotTaken(r.Error.Kind):
		g.fail(r.ID, apierror.New(apierror.OutcomeUnknown, "", "one controller refused the request, another may have taken it; send the same again").WithRetryAfter(g.back()))
	case r.Error != nil:
		g.fail(r.ID, r.Error)
	default:
		g.end(r.ID, wire.Response{StatusCode: r.StatusCode, Body: r.Body})
	}
}

// untaken tells a refusal by which whoever asked may think that nothing was done.
func saysNotTaken(k apierror.Kind) bool {
	return apierror.Retryable[k] || k == apierror.NoSuchQueue || k == apierror.NeverPlaceable
}

// changes are the verbs that take something in.
var mutatingVerbs = map[string]bool{"job.put": true, "job.cancel": true, "table.put": true}

func (g *Gateway) fail(id uint64, f *apierror.Error) { g.end(id, wire.Response{Error: f}) }

func (g *Gateway) end(id uint64, a wire.Response) {
	a.Token = g.calls[id].ask.Token
	delete(g.calls, id)
	g.Sums.Answered++
	if g.last != 0 {
		g.pace += 0.05 * (1/max(g.now.Mono.Sub(g.last).Seconds(), 0.001) - g.pace)
	}
	g.last = g.now.Mono
	g.outs = append(g.outs, a)
}

// StatusView is a gateway's account of itself.
type StatusView struct {
	Role    string            `json:"role"`
	Program string            `json:"program"`
	Ready   bool              `json:"ready"`
	Leader  types.Addr        `json:"leader"`
	LostMS  int64             `json:"without_leader_ms"`
	Version types.Version     `json:"table_edition"`
	Fresh   bool              `json:"table_confirmed"`
	Under   int               `json:"requests_under_way"`
	Peers   []membership.Peer `json:"mates"`
	Sums    Sums              `json:"sums"`
}

// Status gives the gateway's account of itself.
func (g *Gateway) Status() StatusView {
	v := StatusView{Role: "gateway", Program: g.place.Issue, Ready: g.Ready(), Leader: g.roster.Leader(), Version: g.news.Table.Version,
		Fresh: g.news.Fresh(g.now.Mono), Under: len(g.calls), Peers: g.roster.Peers(), Sums: g.Sums}
	if g.lost != 0 {
		v.LostMS = g.now.Mono.Sub(g.lost).Milliseconds()
	}
	return v
}
