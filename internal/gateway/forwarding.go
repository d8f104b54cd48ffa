package gateway

import (
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/membership"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

const (
	// ForwardTimeout is how long a controller's reply is waited for before the request is
	// forwarded again.
	ForwardTimeout = 700 * time.Millisecond
	// maxRedirects bounds the forwards of one request that follow each other at once,
	// each by the hint of a controller that does not lead. After that the request is
	// forwarded again by ForwardTimeout only.
	maxRedirects = 6
	// notLeaderRetryInterval is the time between two forwards of a request that controllers
	// reject because they don't lead.
	notLeaderRetryInterval = 60 * time.Millisecond
	// leaderlessTimeout is how long a change that no controller can have accepted waits for a
	// leader. Elections are shorter; in a longer loss its client has time to come back.
	leaderlessTimeout = 700 * time.Millisecond
)

// retryRequests gives up the requests that have timed out, and forwards again those that a
// controller has not answered within AttemptTimeout, or that went to the previous leader.
func (g *Gateway) retryRequests(leader, previous types.Addr) {
	now := g.core.Now().Mono
	for _, p := range g.requests.oldestFirst() {
		switch {
		case now.Sub(p.receivedAt) >= g.effectiveTimeout(p):
			g.rejectTimedOut(p)
		case p.target == "" && (leader != previous || now.Sub(p.sentAt) >= notLeaderRetryInterval):
			g.forward(p, "")
		case now.Sub(p.sentAt) >= ForwardTimeout:
			g.forward(p, "")
		case leader != "" && leader != previous && p.target == previous:
			g.forward(p, leader)
		}
	}
}

// patience returns how long after its arrival a request is given up.
func (g *Gateway) effectiveTimeout(p *pendingRequest) time.Duration {
	if mutatingVerbs[p.Verb] && !p.maybeAccepted() && !g.leaderIsResponsive() {
		return min(p.timeout, leaderlessTimeout)
	}
	return p.timeout
}

// leaderIsResponsive reports whether there is a leader that this gateway has heard itself, and that
// answers. Of one that it has only been told of it may be cut off.
func (g *Gateway) leaderIsResponsive() bool {
	if g.policy.NoSilenceDetection {
		return true
	}
	leader, now := g.core.Leader(), g.core.Now().Mono
	if leader == "" || g.leader.isUnresponsive(now, leader) {
		return false
	}
	heardAt := max(g.core.Members().LastDirectContact(leader), g.leader.lastReplyOf(leader))
	return now.Sub(heardAt) <= membership.HealthyWithin
}

// rejectTimedOut rejects a request that has timed out. The error says whether a controller may have
// accepted it.
func (g *Gateway) rejectTimedOut(p *pendingRequest) {
	g.Counters.GivenUp++
	if p.maybeAccepted() {
		g.reject(p, g.errOutcomeUnknown(
			"no answer from the leader; the request may have been taken; send the same again"))
		return
	}
	g.reject(p, g.errNoLeader())
}

// forward sends a request to the controller at the address hint. Without a hint it goes to
// the leader or, if none is known or the leader has not answered, to the controllers in
// turn. A change that none has been sent yet waits for a leader that answers: so its
// rejection can say that it was not accepted.
func (g *Gateway) forward(p *pendingRequest, hint types.Addr) {
	if hint == "" && mutatingVerbs[p.Verb] && !p.maybeAccepted() && !g.leaderIsResponsive() {
		return
	}
	to := hint
	if to == "" {
		to = g.core.Leader()
	}
	if to == "" || to == p.target && hint == "" {
		to = g.roundRobinController(to)
	}
	if to == "" {
		return
	}
	p.unresolved = p.maybeAccepted()
	p.target, p.sentAt = to, g.core.Now().Mono
	p.forwards++
	p.unanswered[to]++
	if to == g.core.Leader() {
		g.leader.recordForward(p.sentAt, to)
	}
	g.Counters.Forwards++
	body := wire.ForwardedRequest{ID: p.id, Verb: p.Verb, Arg: p.Arg, Tenant: p.Tenant, Body: p.Body}
	g.core.Send(wire.NewMessage(g.core.Self().Addr, to, wire.ForwardRequest, body))
}

// roundRobinController returns the next of the known controllers, or the default if there are
// none.
func (g *Gateway) roundRobinController(byDefault types.Addr) types.Addr {
	controllers := g.core.Members().Controllers()
	if len(controllers) == 0 {
		return byDefault
	}
	g.roundRobinIndex++
	return controllers[g.roundRobinIndex%len(controllers)].Addr
}

// handleForwardReply handles a controller's reply to a request. Replies to requests that are
// answered already are dropped.
func (g *Gateway) handleForwardReply(from types.Addr, reply wire.ForwardedReply) {
	g.leader.recordReply(g.core.Now().Mono, from)
	p := g.requests.pending[reply.ID]
	if p == nil {
		return
	}
	p.recordAnswer(from, reply.Final)
	switch {
	case reply.NotLeader:
		g.handleNotLeader(p, from, reply.Leader)
	case reply.Error == nil:
		g.respond(p, wire.Response{StatusCode: reply.StatusCode, Body: reply.Body})
	case reply.Error.Kind == apierror.OutcomeUnknown:
		p.target, p.unresolved, p.outcomeUnknown = "", true, true
	case impliesNotAccepted(reply.Error.Kind) && mutatingVerbs[p.Verb] && !p.provesNotAccepted(from, reply.Final):
		g.reject(p, g.errOutcomeUnknown(
			"one controller refused the request, another may have taken it; send the same again"))
	default:
		g.reject(p, reply.Error)
	}
}

// provesNotAccepted reports whether the rejection by a controller proves that no controller
// has accepted the request: it is the only one that was asked, or its answer covers all
// copies that it was sent and the others have answered theirs.
func (p *pendingRequest) provesNotAccepted(from types.Addr, final bool) bool {
	if final && !p.outcomeUnknown && len(p.unanswered) == 0 {
		return true
	}
	return !p.unresolved && from == p.target
}

// handleNotLeader handles the reply of a controller that does not lead, and so has not
// accepted the request; it may know the leader.
func (g *Gateway) handleNotLeader(p *pendingRequest, from, leader types.Addr) {
	hinted := leader != "" && leader != p.target
	if from == p.target {
		p.target, p.sentAt = "", g.core.Now().Mono
	}
	if hinted && p.forwards < maxRedirects {
		g.forward(p, leader)
	}
}

// impliesNotAccepted reports whether the client may conclude from an error of this kind that
// the request was not accepted.
func impliesNotAccepted(kind apierror.Kind) bool {
	switch kind {
	case apierror.NoSuchQueue, apierror.NeverPlaceable, apierror.Unauthorized:
		return true
	default:
		return apierror.Retryable[kind]
	}
}

// mutatingVerbs are the verbs of requests that change the state.
var mutatingVerbs = map[wire.Verb]bool{wire.VerbSubmitJob: true, wire.VerbCancelJob: true, wire.VerbPutTable: true}
