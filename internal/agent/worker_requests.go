package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// maxPollWait is how long a worker's poll is held while there is nothing to start, stop or
// drop.
const maxPollWait = 150 * time.Millisecond

// longPoll is the worker's poll that is held, if one is.
type longPoll struct {
	token uint64 // of the request; 0 if no poll is held
	since types.MonoTime
}

func (p longPoll) held() bool { return p.token != 0 }

// handlePoll handles a worker's poll and holds it; the one held before is rejected as stale.
func (a *Agent) handlePoll(request wire.Request) {
	a.Counters.Polls++
	poll, err := decodePoll(request.Body)
	if err != nil {
		a.core.Reject(request.Token, err)
		return
	}
	now := a.core.Now().Mono
	if !a.executor.HandlePoll(now, poll) {
		a.Counters.Stale++
		a.core.Reject(request.Token, apierror.New(apierror.StaleVersion, "call",
			"older than the latest call, or another worker still holds a lease"))
		return
	}
	if a.poll.held() {
		a.core.Reject(a.poll.token, apierror.New(apierror.StaleVersion, "call", "a newer call has come"))
	}
	for _, end := range poll.Ended {
		a.core.Record(trace.JobSubject(end.Attempt.Job), "attempt end reported by worker",
			"attempt", end.Attempt, "outcome", end.Outcome)
	}
	a.poll = longPoll{token: request.Token, since: now}
}

// decodePoll decodes and checks a poll.
func decodePoll(body []byte) (poll protocol.Poll, err *apierror.Error) {
	if json.Unmarshal(body, &poll) != nil {
		return poll, apierror.New(apierror.BadBody, "", "not a worker's call")
	}
	var errs apierror.ErrorList
	poll.Validate(&errs)
	return poll, errs.First()
}

// answerPoll answers the poll that is held if the worker has something to do, or if it was
// held for maxPollWait.
func (a *Agent) answerPoll() {
	now := a.core.Now().Mono
	if !a.poll.held() {
		return
	}
	if !a.executor.HasUpdate() && !a.core.Draining() && now.Sub(a.poll.since) < maxPollWait {
		return
	}
	a.core.Respond(wire.Response{
		Token:      a.poll.token,
		StatusCode: http.StatusOK,
		Body:       wire.EncodeBody(a.executor.ReplyToPoll(now)),
	})
	a.poll = longPoll{}
}

// handleHeartbeat handles the heartbeat of a worker that the agent calls.
func (a *Agent) handleHeartbeat(request wire.Request) {
	var heartbeat wire.WorkerHeartbeat
	if json.Unmarshal(request.Body, &heartbeat) != nil || heartbeat.Incarnation == "" || heartbeat.Addr == "" {
		a.core.Reject(request.Token, apierror.New(apierror.BadBody, "", "not a worker's beat"))
		return
	}
	a.executor.HandleWorkerHeartbeat(a.core.Now().Mono, heartbeat)
	a.acknowledge(request)
}

// handleDeregistration handles the deregistration of a worker process that shuts down.
func (a *Agent) handleDeregistration(request wire.Request) {
	a.executor.HandleDeregistration(a.core.Now().Mono, types.ID(request.Arg))
	a.acknowledge(request)
}

func (a *Agent) acknowledge(request wire.Request) {
	a.core.Respond(wire.Response{Token: request.Token, StatusCode: http.StatusOK})
}

func (a *Agent) rejectVerb(request wire.Request) {
	a.core.Reject(request.Token, apierror.New(apierror.NoSuchPath, "", "no such verb"))
}
