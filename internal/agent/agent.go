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
	"coppercourse/internal/dispatch/executor"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Options is where an agent runs, and for which worker.
type Options struct {
	Addr         types.Addr // by which others reach the agent
	Zone         types.Zone
	Shard        types.Shard  // the worker's place
	Seeds        []types.Addr // other daemons, to find the cluster by
	BuildVersion string       // build version
	Timeouts     protocol.Timeouts
}

// maxPollWait is how long a worker's poll is held while there is nothing to tell.
const maxPollWait = 150 * time.Millisecond

// Agent is the state machine of one worker's daemon.
type Agent struct {
	options   Options
	now       types.Now
	members   *membership.MemberList
	executor  *executor.Executor
	Trace     *trace.Ring
	pollToken uint64
	pollSince types.MonoTime
	draining  bool
	answers   []wire.Response
	Counters  Counters
}

// Counters are counters since start: polls of the worker, those refused as outdated,
// and orders and stops of the scheduler.
type Counters struct {
	Polls, Stale, Orders, Stops uint64
}

// New returns an agent at its start. Its instance ids are drawn from rnd.
func New(now types.Now, rnd *rand.Rand, p Options) *Agent {
	a := &Agent{options: p, now: now, Trace: trace.New()}
	a.executor = executor.New(now.Mono, p.Timeouts, p.Addr, p.Shard, func() types.ID { return types.NewID(rnd) })
	a.members = membership.New(rnd, a.card(), p.Seeds)
	return a
}

// card returns what this daemon tells the cluster of itself.
func (a *Agent) card() membership.MemberInfo {
	c := membership.MemberInfo{Addr: a.options.Addr, Role: membership.RoleAgent, Zone: a.options.Zone, Shard: string(a.options.Shard), Ready: a.Ready(), Build: a.options.BuildVersion}
	if a.members != nil {
		c.Name = a.members.ClusterName()
	}
	return c
}

// Ready reports whether the agent takes its worker's polls.
func (a *Agent) Ready() bool { return !a.draining }

// Leader returns the address of the leader as far as the agent knows, or nothing.
func (a *Agent) Leader() types.Addr { return a.members.Leader() }

// Step takes one event and returns its effects; see wire.Machine.
func (a *Agent) Step(e wire.Event) wire.Effects {
	a.now = e.Now
	switch {
	case e.Message != nil:
		a.handleMessage(*e.Message)
	case e.Request != nil:
		a.handleRequest(*e.Request)
	case e.WorkerReply != nil:
		a.executor.HandleWorkerReply(a.now.Mono, *e.WorkerReply)
	case e.Shutdown:
		a.draining = true
	default:
		a.tick()
	}
	a.answerPoll()
	out := wire.Effects{
		Messages:  append(a.broadcastEndReports(a.executor.TakeOutput()), a.members.TakeMessages()...),
		Calls:     a.executor.TakeCalls(),
		Responses: a.answers,
		Drained:   a.draining && a.pollToken == 0,
	}
	a.answers = nil
	return out
}

func (a *Agent) tick() {
	a.members.SetSelf(a.card())
	a.members.Tick(a.now.Mono)
	a.executor.Tick(a.now.Mono, a.members.Leader())
}

// answerPoll answers the poll that is held if there is something to tell, or if it
// was held for long enough.
func (a *Agent) answerPoll() {
	if a.pollToken != 0 && (a.executor.HasUpdate() || a.draining || a.now.Mono.Sub(a.pollSince) >= maxPollWait) {
		a.answers = append(a.answers, wire.Response{Token: a.pollToken, StatusCode: http.StatusOK, Body: wire.EncodeBody(a.executor.ReplyToPoll(a.now.Mono))})
		a.pollToken = 0
	}
}

// broadcastEndReports sends status reports to every controller: the leader may be lost, and
// so may this machine before another one leads.
func (a *Agent) broadcastEndReports(list []wire.OutboundMessage) []wire.OutboundMessage {
	for _, s := range list {
		if s.Message.Kind != wire.StatusReport {
			continue
		}
		for _, c := range a.members.MembersOf(membership.RoleController) {
			if c.Addr != s.To {
				list = append(list, wire.OutboundMessage{To: c.Addr, Message: s.Message})
			}
		}
	}
	return list
}

// handleMessage handles a message of another daemon.
func (a *Agent) handleMessage(n wire.Message) {
	if a.members.HandleMessage(a.now.Mono, n) {
		return
	}
	a.executor.HandleMessage(a.now.Mono, n)
	switch n.Kind {
	case wire.RunTask:
		a.Counters.Orders++
		if o, ok := wire.DecodeBody[protocol.RunTask](n); ok {
			a.Trace.Add(a.now.Wall, trace.JobSubject(o.Spec.Attempt.Job), "start order received", "attempt", o.Spec.Attempt)
		}
	case wire.KillTask:
		a.Counters.Stops++
		if s, ok := wire.DecodeBody[protocol.KillTasks](n); ok {
			for _, l := range s.Attempts {
				a.Trace.Add(a.now.Wall, trace.JobSubject(l.Job), "stop order received", "attempt", l)
			}
		}
	}
}

var handlers = map[string]func(*Agent, wire.Request){"poll": (*Agent).poll, "beat": (*Agent).heartbeat, "leave": (*Agent).deregister}

// handleRequest dispatches a request by its verb.
func (a *Agent) handleRequest(ask wire.Request) {
	if handler := handlers[ask.Verb]; handler != nil {
		handler(a, ask)
		return
	}
	a.reject(ask.Token, apierror.New(apierror.NoSuchPath, "", "no such verb"))
}

func (a *Agent) reject(token uint64, err *apierror.Error) {
	a.answers = append(a.answers, wire.Response{Token: token, Error: err})
}

func (a *Agent) acknowledge(token uint64) {
	a.answers = append(a.answers, wire.Response{Token: token, StatusCode: http.StatusOK})
}

// heartbeat takes the heartbeat of an invoked worker.
func (a *Agent) heartbeat(ask wire.Request) {
	var b wire.WorkerHeartbeat
	if json.Unmarshal(ask.Body, &b) != nil || b.Incarnation == "" || b.Addr == "" {
		a.reject(ask.Token, apierror.New(apierror.BadBody, "", "not a worker's beat"))
		return
	}
	a.executor.HandleWorkerHeartbeat(a.now.Mono, b)
	a.acknowledge(ask.Token)
}

// deregister takes the word of a worker process that it ends now.
func (a *Agent) deregister(ask wire.Request) {
	a.executor.HandleDeregistration(a.now.Mono, types.ID(ask.Arg))
	a.acknowledge(ask.Token)
}

// poll takes a worker's poll and holds it; the one held before is refused as stale.
func (a *Agent) poll(ask wire.Request) {
	a.Counters.Polls++
	var p protocol.Poll
	var errs apierror.ErrorList
	if json.Unmarshal(ask.Body, &p) != nil {
		errs.Add(apierror.BadBody, "", "not a worker's call")
	} else {
		p.Validate(&errs)
	}
	if bad := errs.First(); bad != nil {
		a.reject(ask.Token, bad)
		return
	}
	if !a.executor.HandlePoll(a.now.Mono, p) {
		a.Counters.Stale++
		a.reject(ask.Token, apierror.New(apierror.StaleVersion, "call", "older than the latest call, or another worker still holds a lease"))
		return
	}
	if a.pollToken != 0 {
		a.reject(a.pollToken, apierror.New(apierror.StaleVersion, "call", "a newer call has come"))
	}
	for _, e := range p.Ended {
		a.Trace.Add(a.now.Wall, trace.JobSubject(e.Attempt.Job), "attempt end reported by worker", "attempt", e.Attempt, "outcome", e.Outcome)
	}
	a.pollToken, a.pollSince = ask.Token, a.now.Mono
}

// StatusView is the status of an agent, as GET /v1/status shows it.
type StatusView struct {
	Role           string            `json:"role"`
	BuildVersion   string            `json:"program"`
	Ready          bool              `json:"ready"`
	Leader         types.Addr        `json:"leader"`
	WorkerSilentMS int64             `json:"worker_quiet_ms"`
	Executor       executor.View     `json:"account"`
	Peers          []membership.Peer `json:"mates"`
	Counters       Counters          `json:"sums"`
}

// Status returns the agent's status.
func (a *Agent) Status() StatusView {
	return StatusView{Role: "agent", BuildVersion: a.options.BuildVersion, Ready: a.Ready(), Leader: a.members.Leader(),
		WorkerSilentMS: min(1<<40, a.executor.SinceLastHeard(a.now.Mono).Milliseconds()), Executor: a.executor.View(), Peers: a.members.Peers(), Counters: a.Counters}
}
