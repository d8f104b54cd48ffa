// Package gateway is the entry point for clients and operators, as one state machine. It
// admits requests, forwards them to the leader and answers each request that it receives:
// with the leader's response or, when it gives up, with when to retry.
//
// gateway.go is the machine, requests.go what it has admitted, forwarding.go how a request
// gets to the leader and its response back, leader_tracker.go how long there has been a leader,
// end_reports.go the reports of ended attempts that a gateway forwards.
package gateway

import (
	"math/rand"
	"net/http"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/configwatch"
	"coppercourse/internal/daemon"
	"coppercourse/internal/membership"
	"coppercourse/internal/policy"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Options are where a gateway runs, and in which cluster.
type Options struct {
	Addr  types.Addr // by which others reach the gateway
	Zone  types.Zone
	Seeds []types.Addr // other daemons, to find the cluster by
	Build string
	// StaleAfter is how old the leader's confirmation of the table may be while requests are
	// still decided by it; 0 is configwatch.DefaultStaleAfter.
	StaleAfter time.Duration
	Policy     policy.Policy
}

// Gateway is the state machine of a gateway.
type Gateway struct {
	Trace    *trace.Ring
	Counters Counters

	core          *daemon.Core
	configWatcher *configwatch.Watcher
	leader        leaderTracker
	requests      *requestTable
	endReports    endReportBuffer
	// roundRobinIndex counts the forwards to controllers in turn, while no leader is known.
	roundRobinIndex int
	policy          policy.Policy
}

// Counters count since the start of the process.
type Counters struct {
	Requests        uint64 `json:"Calls"` // requests received
	Answered        uint64 // admitted requests that were answered
	Rejected        uint64 `json:"Refused"` // requests rejected at once
	GivenUp         uint64 // requests that timed out without a response from a controller
	Forwards        uint64 `json:"Attempts"` // requests sent to controllers, retries included
	TooManyInFlight uint64 `json:"Crowded"`  // of Rejected, those because of MaxPending
}

// New returns a gateway at its start, which knows no other daemon but the seeds.
func New(now types.Now, rnd *rand.Rand, options Options) *Gateway {
	if options.StaleAfter == 0 {
		options.StaleAfter = configwatch.DefaultStaleAfter
	}
	g := &Gateway{
		configWatcher: configwatch.NewWatcher(options.Addr, options.StaleAfter, configwatch.NewNonce(rnd)),
		leader:        leaderTracker{leaderlessSince: now.Mono},
		requests:      newRequestTable(rnd),
		policy:        options.Policy,
	}
	self := membership.MemberInfo{
		Addr: options.Addr, Role: membership.RoleGateway, Zone: options.Zone, Build: options.Build,
	}
	g.core = daemon.NewCore(now, rnd, self, options.Seeds)
	g.Trace = g.core.Trace
	return g
}

// Ready reports whether callers may be sent here: a leader answers and the table is
// confirmed.
func (g *Gateway) Ready() bool {
	isFresh := g.configWatcher.Fresh(g.core.Now().Mono)
	return !g.core.Draining() && g.core.Leader() != "" && g.leaderIsResponsive() && isFresh
}

// Table returns the table as the gateway has it, and whether requests may be decided by it.
func (g *Gateway) Table() (table config.Table, confirmed bool) {
	return g.configWatcher.Table, g.configWatcher.Fresh(g.core.Now().Mono)
}

// ConfirmedUntil returns when the confirmation of the table ends, by the gateway's
// monotonic clock.
func (g *Gateway) ConfirmedUntil() types.MonoTime { return g.configWatcher.ConfirmedUntil() }

// Leader returns the address of the leader as far as the gateway knows, or nothing.
func (g *Gateway) Leader() types.Addr { return g.core.Leader() }

// eventHandlers say which method handles which event of a gateway.
var eventHandlers = daemon.Handlers[*Gateway]{
	Messages: map[wire.Kind]func(*Gateway, wire.Message){
		wire.ConfigWatchReply: (*Gateway).handleConfigWatchReply,
		wire.StatusReport:     (*Gateway).handleStatusReport,
		wire.ForwardReply:     wire.HandlerFor((*Gateway).handleForwardReply),
	},
	Requests:     map[wire.Verb]func(*Gateway, wire.Request){wire.VerbListPeers: (*Gateway).listPeers},
	OtherRequest: (*Gateway).admit,
	Tick:         (*Gateway).tick,
}

// Step takes one event and returns its effects; see wire.Machine.
func (g *Gateway) Step(event wire.Event) wire.Effects {
	eventHandlers.Step(g.core, g, event)
	g.core.Send(g.configWatcher.Tick(g.core.Now().Mono, g.core.Leader())...)
	effects := g.core.TakeEffects()
	effects.Drained = g.core.Draining() && g.requests.inFlight() == 0
	return effects
}

func (g *Gateway) tick() {
	now, leader := g.core.Now().Mono, g.core.Leader()
	g.core.Send(g.endReports.due(now, leader)...)
	previous := g.leader.observe(now, leader)
	g.retryRequests(leader, previous)
}

func (g *Gateway) handleConfigWatchReply(message wire.Message) {
	g.leader.recordReply(g.core.Now().Mono, message.From)
	if g.configWatcher.HandleResponse(message) {
		g.core.Record(trace.TableSubject(g.configWatcher.Table.Version), "table in force")
	}
}

func (g *Gateway) handleStatusReport(message wire.Message) {
	if !g.policy.NoGatewayEndBuffer {
		g.endReports.add(g.core.Now().Mono, message)
	}
}

func (g *Gateway) listPeers(request wire.Request) {
	g.Counters.Requests++
	g.core.Respond(wire.Response{
		Token:      request.Token,
		StatusCode: http.StatusOK,
		Body:       wire.EncodeBody(g.core.Members().Peers()),
	})
}

// StatusView is the status of a gateway, as GET /v1/status shows it.
type StatusView struct {
	Role           membership.Role   `json:"role"`
	Build          string            `json:"program"`
	Ready          bool              `json:"ready"`
	Leader         types.Addr        `json:"leader"`
	LeaderlessMS   int64             `json:"without_leader_ms"` // how long no leader has been known
	TableVersion   types.Version     `json:"table_edition"`
	TableConfirmed bool              `json:"table_confirmed"`
	InFlight       int               `json:"requests_under_way"`
	Peers          []membership.Peer `json:"mates"`
	Counters       Counters          `json:"sums"`
}

// Status returns the gateway's status.
func (g *Gateway) Status() StatusView {
	now := g.core.Now().Mono
	return StatusView{
		Role:           membership.RoleGateway,
		Build:          g.core.Self().Build,
		Ready:          g.Ready(),
		Leader:         g.core.Leader(),
		LeaderlessMS:   g.leader.leaderlessFor(now).Milliseconds(),
		TableVersion:   g.configWatcher.Table.Version,
		TableConfirmed: g.configWatcher.Fresh(now),
		InFlight:       g.requests.inFlight(),
		Peers:          g.core.Members().Peers(),
		Counters:       g.Counters,
	}
}
