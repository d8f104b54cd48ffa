// Package agent is the daemon beside each worker, as one state machine. It joins
// the dispatcher's executor (the worker side of the paper's protocol), the
// membership roster, and the worker's long polls, each held until there is
// something to tell the worker.
package agent

import (
	"encoding/json"
	"math/rand"
	"net/http"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch"
	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Place is where an agent runs, and for which worker.
type Place struct {
	Addr  types.Addr // by which others reach the agent
	Zone  types.Zone
	Shard types.Shard  // the worker's place
	Seeds []types.Addr // other daemons, to find the cluster by
	Issue string       // build version
	Truth dispatch.Timeouts
}

// pollWait is how long a worker's poll is held while there is nothing to tell.
const pollWait = 150 * time.Millisecond

// Agent is the state machine of one worker's daemon.
type Agent struct {
	place     Place
	now       types.Now
	roster    *membership.MemberList
	executor  *dispatch.Executor
	Trail     *trace.Ring
	pollToken uint64
	pollSince types.MonoTime
	closing   bool
	answers   []wire.Response
	Sums      Sums
}

// Sums are counters since start: polls of the worker, those refused as outdated,
// and orders and stops of the scheduler.
type Sums struct {
	Polls, Stale, Orders, Stops uint64
}

// New returns an agent at its start. Its instance ids are drawn from rnd.
func New(now types.Now, rnd *rand.Rand, p Place) *Agent {
	a := &Agent{place: p, now: now, Trail: trace.New()}
	a.executor = dispatch.NewExecutor(now.Mono, p.Truth, p.Addr, p.Shard, func() types.ID { return types.NewID(rnd) })
	a.roster = membership.New(rnd, a.card(), p.Seeds)
	return a
}

// card returns what this daemon tells the cluster of itself.
func (a *Agent) card() membership.Card {
	c := membership.Card{Addr: a.place.Addr, Role: membership.RoleAgent, Zone: a.place.Zone, Shard: string(a.place.Shard), Ready: a.Ready(), Build: a.place.Issue}
	if a.roster != nil {
		c.Name = a.roster.ClusterName()
	}
	return c
}

// Ready reports whether the agent takes its worker's polls.
func (a *Agent) Ready() bool { return !a.closing }

// Leader returns the address of the leader as far as the agent knows, or nothing.
func (a *Agent) Leader() types.Addr { return a.roster.Leader() }

// Step takes one event and returns its effects; see wire.Machine.
func (a *Agent) Step(e wire.Event) wire.Effects {
	a.now = e.Now
	switch {
	case e.Message != nil:
		a.take(*e.Message)
	case e.Request != nil:
		a.handle(*e.Request)
	case e.WorkerReply != nil:
		a.executor.HandleWorkerReply(a.now.Mono, *e.WorkerReply)
	case e.Shutdown:
		a.closing = true
	default:
		a.tick()
	}
	a.answerPoll()
	out := wire.Effects{
		Messages:  append(a.copyReports(a.executor.TakeOutput()), a.roster.TakeMessages()...),
		Calls:     a.executor.TakeCalls(),
		Responses: a.answers,
		Drained:   a.closing && a.pollToken == 0,
	}
	a.answers = nil
	return out
}

func (a *Agent) tick() {
	a.roster.SetSelf(a.card())
	a.roster.Tick(a.now.Mono)
	a.executor.Tick(a.now.Mono, a.roster.Leader())
}

// answerPoll answers the poll that is held if there is something to tell, or if it
// was held for long enough.
func (a *Agent) answerPoll() {
	if a.pollToken != 0 && (a.executor.HasUpdate() || a.closing || a.now.Mono.Sub(a.pollSince) >= pollWait) {
		a.answers = append(a.answers, wire.Response{Token: a.pollToken, StatusCode: http.StatusOK, Body: wire.EncodeBody(a.executor.ReplyToPoll(a.now.Mono))})
		a.pollToken = 0
	}
}

// copyReports sends status reports to every controller: the leader may be lost, and
// so may this machine before another one leads.
func (a *Agent) copyReports(list []wire.OutboundMessage) []wire.OutboundMessage {
	for _, s := range list {
		if s.Message.Kind != wire.StatusReport {
			continue
		}
		for _, c := range a.roster.MembersOf(membership.RoleController) {
			if c.Addr != s.To {
				list = append(list, wire.OutboundMessage{To: c.Addr, Message: s.Message})
			}
		}
	}
	return list
}

// take handles a message of another daemon.
func (a *Agent) take(n wire.Message) {
	if a.roster.HandleMessage(a.now.Mono, n) {
		return
	}
	a.executor.HandleMessage(a.now.Mono, n)
	switch n.Kind {
	case wire.RunTask:
		a.Sums.Orders++
		if o, ok := wire.DecodeBody[dispatch.RunTask](n); ok {
			a.Trail.Add(a.now.Wall, trace.JobSubject(o.Spec.Attempt.Job), "order received", "attempt", o.Spec.Attempt)
		}
	case wire.KillTask:
		a.Sums.Stops++
		if s, ok := wire.DecodeBody[dispatch.KillTasks](n); ok {
			for _, l := range s.Attempts {
				a.Trail.Add(a.now.Wall, trace.JobSubject(l.Job), "stop received", "attempt", l)
			}
		}
	}
}

var handlers = map[string]func(*Agent, wire.Request){"poll": (*Agent).poll, "beat": (*Agent).beat, "leave": (*Agent).leave}

// handle dispatches a request by its verb.
func (a *Agent) handle(ask wire.Request) {
	if handler := handlers[ask.Verb]; handler != nil {
		handler(a, ask)
		return
	}
	a.refuse(ask.Token, apierror.New(apierror.NoSuchPath, "", "no such verb"))
}

func (a *Agent) refuse(token uint64, err *apierror.Error) {
	a.answers = append(a.answers, wire.Response{Token: token, Error: err})
}

func (a *Agent) accept(token uint64) {
	a.answers = append(a.answers, wire.Response{Token: token, StatusCode: http.StatusOK})
}

// beat takes the heartbeat of an invoked worker.
func (a *Agent) beat(ask wire.Request) {
	var b wire.WorkerHeartbeat
	if json.Unmarshal(ask.Body, &b) != nil || b.Incarnation == "" || b.Addr == "" {
		a.refuse(ask.Token, apierror.New(apierror.BadBody, "", "not a worker's beat"))
		return
	}
	a.executor.HandleWorkerHeartbeat(a.now.Mono, b)
	a.accept(ask.Token)
}

// leave takes the word of a worker process that it ends now.
func (a *Agent) leave(ask wire.Request) {
	a.executor.HandleDeregistration(a.now.Mono, types.ID(ask.Arg))
	a.accept(ask.Token)
}

// poll takes a worker's poll and holds it; the one held before is refused as stale.
func (a *Agent) poll(ask wire.Request) {
	a.Sums.Polls++
	var p dispatch.Poll
	var errs apierror.ErrorList
	if json.Unmarshal(ask.Body, &p) != nil {
		errs.Add(apierror.BadBody, "", "not a worker's call")
	} else {
		p.Validate(&errs)
	}
	if bad := errs.First(); bad != nil {
		a.refuse(ask.Token, bad)
		return
	}
	if !a.executor.HandlePoll(a.now.Mono, p) {
		a.Sums.Stale++
		a.refuse(ask.Token, apierror.New(apierror.StaleVersion, "call", "older than the latest call, or another worker still holds a lease"))
		return
	}
	if a.pollToken != 0 {
		a.refuse(a.pollToken, apierror.New(apierror.StaleVersion, "call", "a newer call has come"))
	}
	for _, e := range p.Ended {
		a.Trail.Add(a.now.Wall, trace.JobSubject(e.Attempt.Job), "worker reported an end", "attempt", e.Attempt, "outcome", e.Outcome)
	}
	a.pollToken, a.pollSince = ask.Token, a.now.Mono
}

// StatusView is the status of an agent, as GET /v1/status shows it.
type StatusView struct {
	Role    string                `json:"role"`
	Program string                `json:"program"`
	Ready   bool                  `json:"ready"`
	Leader  types.Addr            `json:"leader"`
	QuietMS int64                 `json:"worker_quiet_ms"`
	Account dispatch.ExecutorView `json:"account"`
	Peers   []membership.Peer     `json:"mates"`
	Sums    Sums                  `json:"sums"`
}

// Status returns the agent's status.
func (a *Agent) Status() StatusView {
	return StatusView{Role: "agent", Program: a.place.Issue, Ready: a.Ready(), Leader: a.roster.Leader(),
		QuietMS: min(1<<40, a.executor.SinceLastHeard(a.now.Mono).Milliseconds()), Account: a.executor.View(), Peers: a.roster.Peers(), Sums: a.Sums}
}
