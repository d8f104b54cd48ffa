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
	Addr         types.Addr
	Zone         types.Zone
	Seeds        []types.Addr
	BuildVersion string
	StaleAfter   time.Duration // how old a confirmation of the table may be; 0 is news.Stale
}

// Bounds and timings, ours.
const (
	MaxPending     = 512                     // requests under way at once
	AttemptTimeout = 700 * time.Millisecond  // how long one controller is waited for
	RequestTimeout = 2500 * time.Millisecond // how long a request is worked on
	responseMargin = 50 * time.Millisecond   // before whoever asks has given up
)

type pendingRequest struct {
	request    wire.Request
	receivedAt types.MonoTime
	timeout    time.Duration
	sentAt     types.MonoTime
	target     types.Addr
	attempts   int
	unresolved bool // somebody asked before has not answered, and may have taken it
}

// Gateway forwards requests to the leader.
type Gateway struct {
	options         Options
	now             types.Now
	members         *membership.MemberList
	configWatcher   *configwatch.Watcher
	Trace           *trace.Ring
	pending         map[uint64]*pendingRequest
	lastID          uint64
	controllerTurn  int
	lastLeader      types.Addr     // who led at the last tick that anybody did
	leaderlessSince types.MonoTime // since when no leader is known; 0 when one is
	draining        bool
	endReports      []endReport
	sends           []wire.OutboundMessage
	answers         []wire.Response
	Counters        Counters
	answerRate      float64 // requests answered a second, to tell when to come back
	lastAnswerAt    types.MonoTime
}

// Counters are counters since start.
type Counters struct {
	Calls, Answered, Refused, GivenUp, Attempts, Crowded uint64
}

// New starts a gateway that knows no other daemon but the seeds.
func New(now types.Now, rnd *rand.Rand, p Options) *Gateway {
	if p.StaleAfter == 0 {
		p.StaleAfter = configwatch.DefaultStaleAfter
	}
	g := &Gateway{options: p, now: now, configWatcher: configwatch.NewWatcher(p.Addr, p.StaleAfter, configwatch.NewNonce(rnd)), pending: map[uint64]*pendingRequest{}, Trace: trace.New(),
		lastID: rnd.Uint64() >> 12, leaderlessSince: now.Mono}
	g.members = membership.New(rnd, g.card(), p.Seeds)
	return g
}

func (g *Gateway) card() membership.MemberInfo {
	c := membership.MemberInfo{Addr: g.options.Addr, Role: "gateway", Zone: g.options.Zone, Ready: g.Ready(), Build: g.options.BuildVersion}
	if g.members != nil {
		c.Name = g.members.ClusterName()
	}
	return c
}

// Ready tells whether the platform may send callers here.
func (g *Gateway) Ready() bool {
	return !g.draining && g.members != nil && g.members.Leader() != "" && g.configWatcher.Fresh(g.now.Mono)
}

// Table is the table as the gateway has it, and whether it may be decided by.
func (g *Gateway) Table() (config.Table, bool) {
	return g.configWatcher.Table, g.configWatcher.Fresh(g.now.Mono)
}

// ConfirmedUntil is when the confirmation of the table ends, by the gateway's
// steady clock.
func (g *Gateway) ConfirmedUntil() types.MonoTime { return g.configWatcher.ConfirmedUntil() }

// Leader is whom the gateway holds for the leader now.
func (g *Gateway) Leader() types.Addr { return g.members.Leader() }

// Step takes one event.
func (g *Gateway) Step(e wire.Event) wire.Effects {
	g.now = e.Now
	switch {
	case e.Message != nil:
		g.handleMessage(*e.Message)
	case e.Request != nil:
		g.admit(*e.Request)
	case e.Shutdown:
		g.draining = true
	default:
		g.tick()
	}
	g.sends = append(g.sends, g.configWatcher.Tick(g.now.Mono, g.members.Leader())...)
	out := wire.Effects{Messages: append(g.sends, g.members.TakeMessages()...), Responses: g.answers, Drained: g.draining && len(g.pending) == 0}
	g.sends, g.answers = nil, nil
	return out
}

func (g *Gateway) handleMessage(n wire.Message) {
	switch {
	case g.members.HandleMessage(g.now.Mono, n):
	case n.Kind == wire.ConfigWatchReply:
		if g.configWatcher.HandleResponse(n) {
			g.Trace.Add(g.now.Wall, trace.TableSubject(g.configWatcher.Table.Version), "table in force")
		}
	case n.Kind == wire.StatusReport:
		g.bufferEndReport(n)
	case n.Kind == wire.ForwardReply:
		if r, ok := wire.DecodeBody[wire.ForwardedReply](n); ok {
			g.handleReply(n.From, r)
		}
	}
}

func (g *Gateway) tick() {
	g.members.SetSelf(g.card())
	g.members.Tick(g.now.Mono)
	g.forwardEndReports()
	lead := g.members.Leader()
	if lead != "" {
		g.leaderlessSince = 0
	} else if g.leaderlessSince == 0 {
		g.leaderlessSince = g.now.Mono
	}
	for _, id := range slices.Sorted(maps.Keys(g.pending)) {
		c := g.pending[id]
		switch {
		case g.now.Mono.Sub(c.receivedAt) >= c.timeout:
			g.Counters.GivenUp++
			g.reject(id, g.timeoutError(c))
		case c.target == "" || g.now.Mono.Sub(c.sentAt) >= AttemptTimeout:
			g.forward(id, c, "")
		case lead != "" && lead != g.lastLeader && c.target == g.lastLeader: // another leads now
			g.forward(id, c, lead)
		}
	}
	if lead != "" {
		g.lastLeader = lead
	}
}

// timeoutError says which it is: nobody has seen the request, or somebody may have.
func (g *Gateway) timeoutError(c *pendingRequest) *apierror.Error {
	if c.unresolved || c.target != "" {
		return apierror.New(apierror.OutcomeUnknown, "", "no answer from the leader; the request may have been taken; send the same again").WithRetryAfter(g.retryAfter())
	}
	return apierror.New(apierror.NoLeader, "", "no leader can be reached from here").WithRetryAfter(g.retryAfter())
}

// retryAfter estimates when a leader will be reachable: an election is short, a cut
// that has lasted for long is likely to last as long again.
func (g *Gateway) retryAfter() time.Duration {
	if g.leaderlessSince == 0 {
		return time.Second
	}
	return min(30*time.Second, 2*time.Second+g.now.Mono.Sub(g.leaderlessSince)/4)
}

// admit grants entry or refuses it.
func (g *Gateway) admit(a wire.Request) {
	g.Counters.Calls++
	switch f := g.admissionError(a); {
	case f != nil:
		g.Counters.Refused++
		g.answers = append(g.answers, wire.Response{Token: a.Token, Error: f})
		return
	case a.Verb == "mates":
		g.answers = append(g.answers, wire.Response{Token: a.Token, StatusCode: 200, Body: wire.EncodeBody(g.members.Peers())})
		return
	}
	g.lastID++
	c := &pendingRequest{request: a, receivedAt: g.now.Mono, timeout: RequestTimeout}
	if a.Timeout > 0 {
		c.timeout = min(RequestTimeout, max(a.Timeout-responseMargin, a.Timeout/2))
	}
	g.pending[g.lastID] = c
	if a.Verb == "job.put" {
		g.Trace.Add(g.now.Wall, trace.JobSubject(types.JobID(a.Arg)), "request admitted")
	}
	g.forward(g.lastID, c, "")
}

func (g *Gateway) admissionError(a wire.Request) *apierror.Error {
	switch {
	case a.Verb == "mates":
		return nil
	case len(g.pending) >= MaxPending:
		g.Counters.Crowded++
		return apierror.New(apierror.TooBusy, "", "this gateway has all the requests under way that it may have").
			WithRetryAfter(time.Duration(float64(len(g.pending)) / max(g.answerRate, 1) * float64(time.Second)))
	case g.leaderlessSince != 0 && g.now.Mono.Sub(g.leaderlessSince) > RequestTimeout:
		return apierror.New(apierror.NoLeader, "", "no leader can be reached from here").WithRetryAfter(g.retryAfter())
	}
	return nil
}

// forward hands a call over to the leader, or to the controllers in turn.
func (g *Gateway) forward(id uint64, c *pendingRequest, hint types.Addr) {
	to := hint
	if to == "" {
		to = g.members.Leader()
	}
	if controllers := g.members.Controllers(); len(controllers) > 0 && (to == "" || to == c.target && hint == "") {
		g.controllerTurn++
		to = controllers[g.controllerTurn%len(controllers)].Addr
	}
	if to == "" {
		return
	}
	c.unresolved = c.unresolved || c.target != ""
	c.target, c.sentAt = to, g.now.Mono
	c.attempts++
	g.Counters.Attempts++
	g.sends = append(g.sends, wire.NewMessage(g.options.Addr, to, wire.ForwardRequest, wire.ForwardedRequest{ID: id, Verb: c.request.Verb, Arg: c.request.Arg, Body: c.request.Body}))
}

func (g *Gateway) handleReply(from types.Addr, r wire.ForwardedReply) {
	c := g.pending[r.ID]
	switch {
	case c == nil:
	case r.NotLeader:
		other := r.Leader != "" && r.Leader != c.target
		if from == c.target {
			c.target, c.sentAt = "", g.now.Mono
		}
		if other && c.attempts < 6 {
			g.forward(r.ID, c, r.Leader)
		}
	case r.Error != nil && r.Error.Kind == apierror.OutcomeUnknown:
		c.target, c.unresolved = "", true
	case r.Error != nil && (c.unresolved || from != c.target) && mutatingVerbs[c.request.Verb] && saysNotTaken(r.Error.Kind):
		g.reject(r.ID, apierror.New(apierror.OutcomeUnknown, "", "one controller refused the request, another may have taken it; send the same again").WithRetryAfter(g.retryAfter()))
	case r.Error != nil:
		g.reject(r.ID, r.Error)
	default:
		g.answer(r.ID, wire.Response{StatusCode: r.StatusCode, Body: r.Body})
	}
}

// untaken tells a refusal by which whoever asked may think that nothing was done.
func saysNotTaken(k apierror.Kind) bool {
	return apierror.Retryable[k] || k == apierror.NoSuchQueue || k == apierror.NeverPlaceable
}

// changes are the verbs that take something in.
var mutatingVerbs = map[string]bool{"job.put": true, "job.cancel": true, "table.put": true}

func (g *Gateway) reject(id uint64, f *apierror.Error) { g.answer(id, wire.Response{Error: f}) }

func (g *Gateway) answer(id uint64, a wire.Response) {
	a.Token = g.pending[id].request.Token
	delete(g.pending, id)
	g.Counters.Answered++
	if g.lastAnswerAt != 0 {
		g.answerRate += 0.05 * (1/max(g.now.Mono.Sub(g.lastAnswerAt).Seconds(), 0.001) - g.answerRate)
	}
	g.lastAnswerAt = g.now.Mono
	g.answers = append(g.answers, a)
}

// StatusView is a gateway's account of itself.
type StatusView struct {
	Role           string            `json:"role"`
	BuildVersion   string            `json:"program"`
	Ready          bool              `json:"ready"`
	Leader         types.Addr        `json:"leader"`
	LeaderlessMS   int64             `json:"without_leader_ms"`
	TableVersion   types.Version     `json:"table_edition"`
	TableConfirmed bool              `json:"table_confirmed"`
	InFlight       int               `json:"requests_under_way"`
	Peers          []membership.Peer `json:"mates"`
	Counters       Counters          `json:"sums"`
}

// Status gives the gateway's account of itself.
func (g *Gateway) Status() StatusView {
	v := StatusView{Role: "gateway", BuildVersion: g.options.BuildVersion, Ready: g.Ready(), Leader: g.members.Leader(), TableVersion: g.configWatcher.Table.Version,
		TableConfirmed: g.configWatcher.Fresh(g.now.Mono), InFlight: len(g.pending), Peers: g.members.Peers(), Counters: g.Counters}
	if g.leaderlessSince != 0 {
		v.LeaderlessMS = g.now.Mono.Sub(g.leaderlessSince).Milliseconds()
	}
	return v
}
