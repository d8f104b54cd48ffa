package gateway

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Bounds of requests.
const (
	// MaxPending is how many requests may be in flight at once.
	MaxPending = 512
	// RequestTimeout bounds the time from a request's arrival to its response.
	RequestTimeout = 2500 * time.Millisecond
	// responseMargin is how long before its client's timeout a request is given up.
	responseMargin = 50 * time.Millisecond
)

// pendingRequest is a request that was admitted and is not answered yet.
type pendingRequest struct {
	wire.Request
	id         uint64 // the gateway's own number for it, by which controllers answer
	receivedAt types.MonoTime
	timeout    time.Duration
	target     types.Addr     // the controller that is to answer, or none
	sentAt     types.MonoTime // when it was last forwarded
	forwards   int            // how often it was forwarded
	// unresolved says that a controller that was asked before target has not answered, and
	// may have accepted the request.
	unresolved bool
	// unanswered counts the copies that each controller was sent and has not answered.
	unanswered map[types.Addr]int
	// outcomeUnknown says that a controller has answered that it may have accepted the request.
	outcomeUnknown bool
}

// recordAnswer notes that a controller has answered one copy, or that its answer holds for
// all copies that it was sent.
func (p *pendingRequest) recordAnswer(from types.Addr, all bool) {
	if p.unanswered[from]--; all || p.unanswered[from] <= 0 {
		delete(p.unanswered, from)
	}
}

// maybeAccepted reports whether a controller that has not answered may have accepted the
// request.
func (p *pendingRequest) maybeAccepted() bool { return p.unresolved || p.target != "" }

// requestTable holds the requests in flight.
type requestTable struct {
	pending map[uint64]*pendingRequest
	lastID  uint64
	rate    responseRate
}

// idBits are the bits of the first request's id. Ids begin at a random number, so that a
// response to an earlier process at the same address belongs to no request of this one.
const idBits = 52

func newRequestTable(rnd *rand.Rand) *requestTable {
	return &requestTable{pending: map[uint64]*pendingRequest{}, lastID: rnd.Uint64() >> (64 - idBits)}
}

func (rt *requestTable) inFlight() int { return len(rt.pending) }

func (rt *requestTable) add(now types.MonoTime, request wire.Request) *pendingRequest {
	rt.lastID++
	p := &pendingRequest{
		Request:    request,
		id:         rt.lastID,
		receivedAt: now,
		timeout:    RequestTimeout,
		unanswered: map[types.Addr]int{},
	}
	if request.Timeout > 0 {
		p.timeout = min(RequestTimeout, max(request.Timeout-responseMargin, request.Timeout/2))
	}
	rt.pending[p.id] = p
	return p
}

func (rt *requestTable) remove(now types.MonoTime, p *pendingRequest) {
	delete(rt.pending, p.id)
	rt.rate.observe(now)
}

// oldestFirst returns the requests, oldest first.
func (rt *requestTable) oldestFirst() []*pendingRequest {
	return slices.SortedFunc(maps.Values(rt.pending), func(a, b *pendingRequest) int {
		return cmp.Compare(a.id, b.id)
	})
}

// drainTime estimates how long it takes until all requests are answered.
func (rt *requestTable) drainTime() time.Duration {
	return time.Duration(float64(len(rt.pending)) / max(rt.rate.perSecond, 1) * float64(time.Second))
}

// responseRate is a moving average of the responses a second.
type responseRate struct {
	perSecond float64
	lastAt    types.MonoTime
}

const (
	rateWeight         = 0.05  // of the newest interval between two responses
	minIntervalSeconds = 0.001 // a shorter interval counts as this
)

func (r *responseRate) observe(now types.MonoTime) {
	if r.lastAt != 0 {
		interval := max(now.Sub(r.lastAt).Seconds(), minIntervalSeconds)
		r.perSecond += rateWeight * (1/interval - r.perSecond)
	}
	r.lastAt = now
}

// admit admits a request and forwards it, or rejects it.
func (g *Gateway) admit(request wire.Request) {
	g.Counters.Requests++
	if err := g.admissionError(); err != nil {
		g.Counters.Rejected++
		g.core.Reject(request.Token, err)
		return
	}
	p := g.requests.add(g.core.Now().Mono, request)
	if request.Verb == wire.VerbSubmitJob {
		g.core.Record(trace.JobSubject(types.JobID(request.Arg)), "request admitted")
	}
	g.forward(p, "")
}

// admissionError returns why no request is admitted now, or nil.
func (g *Gateway) admissionError() *apierror.Error {
	now := g.core.Now().Mono
	switch {
	case g.requests.inFlight() >= MaxPending:
		g.Counters.TooManyInFlight++
		return apierror.New(apierror.TooBusy, "", "this gateway has all the requests under way that it may have").
			WithRetryAfter(g.requests.drainTime())
	case g.leader.leaderlessFor(now) > RequestTimeout:
		return g.errNoLeader()
	}
	return nil
}

// respond answers a request and forgets it, so that later replies to it are dropped.
func (g *Gateway) respond(p *pendingRequest, response wire.Response) {
	response.Token = p.Token
	g.requests.remove(g.core.Now().Mono, p)
	g.Counters.Answered++
	g.core.Respond(response)
}

func (g *Gateway) reject(p *pendingRequest, err *apierror.Error) {
	g.respond(p, wire.Response{Error: err})
}

func (g *Gateway) errNoLeader() *apierror.Error {
	return apierror.New(apierror.NoLeader, "", "no leader can be reached from here").
		WithRetryAfter(g.leader.retryAfter(g.core.Now().Mono))
}

func (g *Gateway) errOutcomeUnknown(reason string) *apierror.Error {
	return apierror.New(apierror.OutcomeUnknown, "", reason).
		WithRetryAfter(g.leader.retryAfter(g.core.Now().Mono))
}
