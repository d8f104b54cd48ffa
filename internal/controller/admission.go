package controller

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// admit reports whether a request is served. One that isn't is answered here, before
// anything is done: it is redirected by a controller that does not lead, and else rejected.
func (a *api) admit(r request) bool {
	if !a.leader.active() || !a.raft.HoldsReadLease() {
		a.outbox.redirect(r.caller, a.otherLeader())
		return false
	}
	switch {
	case a.mustShed(r):
		a.rejectOverloaded(r.caller)
	case verbHandlers[r.verb] == nil:
		a.outbox.replyError(r.caller, apierror.New(apierror.NoSuchPath, "", "no such verb"))
	case a.requests.full():
		a.outbox.replyError(r.caller, apierror.New(apierror.TooBusy, "", "too many changes wait for the log").
			WithRetryAfter(logBusyRetryAfter))
	default:
		return true
	}
	return false
}

// otherLeader returns the address of the leader that a caller should ask instead, or empty
// if none is known. A leader that was last heard longer ago than its lease lasts may no
// longer be one, and this controller itself can't be the one to ask.
func (a *api) otherLeader() types.Addr {
	if a.raft.ClusterName() == "" {
		if leader := a.members.Leader(); leader != a.self {
			return leader
		}
		return ""
	}
	if !a.raft.HasRecentLeader() {
		return ""
	}
	return a.raft.LeaderAddr()
}

// mustShed reports whether a request must be rejected because the event loop is behind.
// Only new work is shed: a job that is known already is answered, and so are reads, cancels
// and operators.
func (a *api) mustShed(r request) bool {
	if !wire.SubmitsWork(r.verb) || r.verb == wire.VerbSubmitJob && a.log.state().Find(types.JobID(r.arg)) != nil {
		return false
	}
	return a.overload.shedsWork()
}

// rejectOverloaded rejects a request, unexamined, because the event loop is behind.
func (a *api) rejectOverloaded(from caller) {
	a.counters.Shed++
	a.outbox.replyError(from, apierror.New(apierror.TooBusy, "",
		"the controller is behind with its work; the request was not taken").WithRetryAfter(a.overload.retryAfter()))
}

// rejectExpired rejects all forwarded requests that have waited too long for a step.
func (a *api) rejectExpired(messages []wire.Message) {
	for _, message := range messages {
		if r, ok := wire.DecodeBody[wire.ForwardedRequest](message); ok {
			a.counters.Requests++
			a.rejectOverloaded(caller{gateway: message.From, requestID: r.ID})
		}
	}
}
