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
	case a.isForwardedSubmission(r) && a.forwarded.isRejected(r.caller):
		a.reject(r, a.errOverloaded())
	case a.shouldShed(r):
		a.rejectOverloaded(r)
	case verbHandlers[r.verb] == nil:
		a.outbox.replyError(r.caller, apierror.New(apierror.NoSuchPath, "", "no such verb"))
	case a.requests.full():
		a.reject(r, apierror.New(apierror.TooBusy, "", "too many changes wait for the log").
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

// shouldShed reports whether a request must be rejected because the event loop is behind.
// Only new work is shed: a job that is known already is answered, and so are reads, cancels
// and operators.
func (a *api) shouldShed(r request) bool {
	if !wire.SubmitsWork(r.verb) || r.verb == wire.VerbSubmitJob && a.log.state().Find(types.JobID(r.arg)) != nil {
		return false
	}
	return a.overload.shouldShed()
}

// rejectOverloaded rejects a request, unexamined, because the event loop is behind.
func (a *api) rejectOverloaded(r request) {
	a.counters.Shed++
	a.reject(r, a.errOverloaded())
}

func (a *api) errOverloaded() *apierror.Error {
	return apierror.New(apierror.TooBusy, "", "the controller is behind with its work; the request was not taken").
		WithRetryAfter(a.overload.retryAfter())
}

// isForwardedSubmission reports whether a request is a job that a gateway forwarded.
func (a *api) isForwardedSubmission(r request) bool {
	return r.verb == wire.VerbSubmitJob && r.caller.token == 0
}

// refuse rejects a request that was not taken. A forwarded submission is refused for good
// where that can be promised: this controller leads, its state holds all that any leader
// before it can have accepted, and the job is not in it. An entry of an earlier term that
// is not in its log by now is never committed (Leader Completeness).
func (a *api) reject(r request, err *apierror.Error) {
	leads := a.leader.active() && a.raft.HoldsReadLease() && !a.log.isLagging()
	unknown := a.log.state().Find(types.JobID(r.arg)) == nil
	final := a.isForwardedSubmission(r) && leads && unknown && a.forwarded.reject(r.now.Mono, r.caller)
	a.outbox.reply(r.caller, wire.ForwardedReply{Error: err, Final: final})
}

// rejectExpired rejects all forwarded requests that have waited too long for a step.
func (a *api) rejectExpired(now types.Now, messages []wire.Message) {
	for _, message := range messages {
		if r, ok := forwardedRequest(now, message); ok {
			a.counters.Requests++
			a.rejectOverloaded(r)
		}
	}
}
