package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/membership"
	"coppercourse/internal/raft"
	"coppercourse/internal/state"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// verbHandlers serve the verbs. One that changes something replies once its command is
// committed; one that reads replies at once, under the leader's read lease.
var verbHandlers = map[wire.Verb]func(*api, request){
	wire.VerbSubmitJob:      (*api).submitJob,
	wire.VerbGetJob:         (*api).getJob,
	wire.VerbCancelJob:      (*api).cancelJob,
	wire.VerbPutTable:       (*api).putTable,
	wire.VerbGetTable:       (*api).getTable,
	wire.VerbListQueues:     (*api).listQueues,
	wire.VerbCountQueue:     (*api).countQueue,
	wire.VerbListWorkers:    (*api).listWorkers,
	wire.VerbWorkerGone:     (*api).confirmWorkerGone,
	wire.VerbStartDrain:     (*api).startDrain,
	wire.VerbCancelDrain:    (*api).cancelDrain,
	wire.VerbListDrains:     (*api).listDrains,
	wire.VerbPutCalendar:    (*api).putCalendar,
	wire.VerbDeleteCalendar: (*api).deleteCalendar,
	wire.VerbListCalendars:  (*api).listCalendars,
	wire.VerbStatus:         (*api).getStatus,
}

// logBusyRetryAfter is the Retry-After of a change that the log could not accept.
const logBusyRetryAfter = 2 * time.Second

// request is one request of a caller or an operator.
type request struct {
	caller caller
	now    types.Now
	verb   wire.Verb
	arg    string           // what it is about, such as a job's ID
	tenant types.TenantName // whose request it is; empty for an operator's, or one without a key
	body   json.RawMessage
}

// statusReporter returns the status of this controller.
type statusReporter interface{ Status() StatusView }

// api replies to requests. Only the leader serves them; any other controller redirects the
// caller to the leader.
type api struct {
	self     types.Addr
	raft     *raft.Node
	members  *membership.MemberList
	log      *commandLog
	leader   *leader
	requests *requestTable
	// forwarded remembers the submissions that gateways have forwarded to this process.
	forwarded *forwardedSubmissions
	rates     *tenantRates
	overload  *overload
	outbox    *outbox
	trace     *trace.Ring
	status    statusReporter
	counters  *Counters
}

func newAPI(c *Controller) *api {
	return &api{
		self:      c.options.Addr,
		raft:      c.raft,
		members:   c.members,
		log:       c.log,
		leader:    c.leader,
		requests:  c.requests,
		forwarded: newForwardedSubmissions(),
		rates:     newTenantRates(),
		overload:  c.overload,
		outbox:    c.outbox,
		trace:     c.Trace,
		status:    c,
		counters:  &c.Counters,
	}
}

// handleForwarded handles a request that a gateway forwarded.
func (a *api) handleForwarded(now types.Now, message wire.Message) {
	if r, ok := forwardedRequest(now, message); ok {
		a.handle(r)
	}
}

// forwardedRequest decodes a request that a gateway forwarded.
func forwardedRequest(now types.Now, message wire.Message) (request, bool) {
	r, ok := wire.DecodeBody[wire.ForwardedRequest](message)
	from := caller{gateway: message.From, requestID: r.ID}
	return request{caller: from, now: now, verb: r.Verb, arg: r.Arg, tenant: r.Tenant, body: r.Body}, ok
}

// handleClient handles a request of a client of this daemon.
func (a *api) handleClient(now types.Now, r wire.Request) {
	from := caller{token: r.Token}
	a.handle(request{caller: from, now: now, verb: r.Verb, arg: r.Arg, tenant: r.Tenant, body: r.Body})
}

// handle serves a request that admit lets through.
func (a *api) handle(r request) {
	a.counters.Requests++
	if a.admit(r) {
		verbHandlers[r.verb](a, r)
	}
}

// propose proposes a command; the caller gets the reply once it is committed. It reports
// whether the command is in the log.
func (a *api) propose(from caller, command state.Command) bool {
	index, ok := a.log.propose(command)
	if !ok {
		a.outbox.replyError(from, apierror.New(apierror.NoLeader, "", "the log takes nothing now").
			WithRetryAfter(logBusyRetryAfter))
		return false
	}
	a.requests.add(index, a.raft.Term(), from)
	return true
}

// commandApplied replies to the caller, if any, who waits for an entry whose command was
// just applied; rejection is why the state rejected it, or nil.
func (a *api) commandApplied(now types.Now, e raft.Entry, command state.Command, rejection *apierror.Error) {
	if command.Job != nil {
		a.rates.applied(command.Job)
	}
	from, isOwn, ok := a.requests.takeCommitted(e.Index, e.Term)
	switch {
	case !ok:
	case !isOwn:
		a.outbox.replyError(from, errLeaderChanged())
	case rejection != nil:
		a.outbox.replyError(from, a.withRetryAfter(now, rejection, command))
	default:
		a.replyCommitted(now, from, command)
	}
}

// replyCommitted replies to a change that is in force.
func (a *api) replyCommitted(now types.Now, from caller, command state.Command) {
	switch {
	case command.Table != nil:
		a.outbox.replyOK(from, http.StatusOK, command.Table.Accepted())
	case command.Drain != nil:
		a.outbox.replyOK(from, http.StatusOK, a.drains())
	case command.Calendar != nil:
		a.outbox.replyOK(from, http.StatusOK, a.calendars())
	case command.ExitedWorker != "":
		a.outbox.replyOK(from, http.StatusOK, a.leader.workerViews(now.Mono))
	case command.Job != nil:
		a.outbox.replyOK(from, http.StatusCreated, jobView(a.log.state(), command.Job.ID))
	case command.Cancel != "":
		a.outbox.replyOK(from, http.StatusAccepted, jobView(a.log.state(), command.Cancel))
	}
}

// replyReads answers the reads whose barrier has been applied.
func (a *api) replyReads() {
	a.requests.releaseReads(a.log.applied(), a.replyJob)
}

// failPendingRequests answers all requests that wait, as this controller does not lead.
func (a *api) failPendingRequests() {
	a.rates.abandon()
	changes, reads := a.requests.takeAll()
	for _, from := range changes {
		a.outbox.replyError(from, errLeaderChanged())
	}
	for _, from := range reads {
		a.outbox.redirect(from, a.otherLeader())
	}
}

// getStatus replies with the status of this controller.
func (a *api) getStatus(r request) { a.outbox.replyOK(r.caller, http.StatusOK, a.status.Status()) }

// decodeBody decodes the body of a request; what names it for the error.
func decodeBody[T any](r request, what string) (T, *apierror.Error) {
	var value T
	if json.Unmarshal(r.body, &value) != nil {
		return value, apierror.New(apierror.BadBody, "", "not a "+what)
	}
	return value, nil
}
