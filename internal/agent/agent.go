// Package agent is the daemon beside each worker, as one state machine. It joins the
// executor (the worker half of the dispatcher, see package dispatch), the membership, and
// the requests of the worker: long polls of one that polls, each held until the worker has
// something to start, stop or drop; heartbeats of one that the agent calls.
//
// agent.go is the machine, worker_requests.go the worker's requests.
package agent

import (
	"math/rand"

	"coppercourse/internal/daemon"
	"coppercourse/internal/dispatch/executor"
	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/membership"
	"coppercourse/internal/policy"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Options are where an agent runs, and for which worker.
type Options struct {
	Addr     types.Addr // by which others reach the agent
	Zone     types.Zone
	Shard    types.Shard  // the worker's name
	Seeds    []types.Addr // other daemons, to find the cluster by
	Build    string
	Timeouts protocol.Timeouts
	Policy   policy.Policy
}

// Agent is the state machine of one worker's daemon.
type Agent struct {
	Trace    *trace.Ring
	Counters Counters

	core     *daemon.Core
	executor *executor.Executor
	poll     longPoll
	policy   policy.Policy
}

// Counters count since the start of the process.
type Counters struct {
	Polls  uint64 // polls of the worker
	Stale  uint64 // polls that were rejected as outdated
	Orders uint64 // orders to start an attempt (RunTask) received
	Stops  uint64 // orders to stop attempts (KillTask) received
}

// New returns an agent at its start. Its instance ids are drawn from rnd.
func New(now types.Now, rnd *rand.Rand, options Options) *Agent {
	newID := func() types.ID { return types.NewID(rnd) }
	a := &Agent{
		executor: executor.New(now.Mono, options.Timeouts, options.Addr, options.Shard, newID),
		policy:   options.Policy,
	}
	a.executor.Policy = options.Policy
	self := membership.MemberInfo{
		Addr:   options.Addr,
		Role:   membership.RoleAgent,
		Zone:   options.Zone,
		Detail: string(options.Shard),
		Ready:  true,
		Build:  options.Build,
	}
	a.core = daemon.NewCore(now, rnd, self, options.Seeds)
	a.Trace = a.core.Trace
	return a
}

// Ready reports whether the agent accepts its worker's polls: until it is shutting down.
func (a *Agent) Ready() bool { return !a.core.Draining() }

// Leader returns the address of the leader as far as the agent knows, or nothing.
func (a *Agent) Leader() types.Addr { return a.core.Leader() }

// eventHandlers say which method handles which event of an agent.
var eventHandlers = daemon.Handlers[*Agent]{
	Messages: map[wire.Kind]func(*Agent, wire.Message){
		wire.RunTask:  (*Agent).handleRunTask,
		wire.KillTask: (*Agent).handleKillTask,
	},
	OtherMessage: (*Agent).passToExecutor,
	Requests: map[wire.Verb]func(*Agent, wire.Request){
		wire.VerbPoll:       (*Agent).handlePoll,
		wire.VerbHeartbeat:  (*Agent).handleHeartbeat,
		wire.VerbDeregister: (*Agent).handleDeregistration,
	},
	OtherRequest: (*Agent).rejectVerb,
	WorkerReply:  (*Agent).handleWorkerReply,
	Tick:         (*Agent).tick,
}

// Step takes one event and returns its effects; see wire.Machine.
func (a *Agent) Step(event wire.Event) wire.Effects {
	eventHandlers.Step(a.core, a, event)
	a.answerPoll()
	a.core.Send(a.broadcastEndReports(a.executor.TakeOutput())...)
	effects := a.core.TakeEffects()
	effects.Calls = a.executor.TakeCalls()
	effects.Drained = a.core.Draining() && !a.poll.held()
	return effects
}

func (a *Agent) tick() {
	a.executor.Tick(a.core.Now().Mono, a.core.Leader())
}

func (a *Agent) handleWorkerReply(reply wire.WorkerReply) {
	a.executor.HandleWorkerReply(a.core.Now().Mono, reply)
	for _, end := range a.executor.TakeReportedEnds() {
		a.core.Record(trace.JobSubject(end.Attempt.Job), "attempt end reported by worker",
			"attempt", end.Attempt, "outcome", end.Reason)
	}
}

func (a *Agent) passToExecutor(message wire.Message) {
	a.executor.HandleMessage(a.core.Now().Mono, message)
}

func (a *Agent) handleRunTask(message wire.Message) {
	a.passToExecutor(message)
	a.Counters.Orders++
	if order, ok := wire.DecodeBody[protocol.RunTask](message); ok {
		attempt := order.Spec.Attempt
		a.core.Record(trace.JobSubject(attempt.Job), "start order received", "attempt", attempt)
	}
}

func (a *Agent) handleKillTask(message wire.Message) {
	a.passToExecutor(message)
	a.Counters.Stops++
	if order, ok := wire.DecodeBody[protocol.KillTask](message); ok {
		for _, attempt := range order.Attempts {
			a.core.Record(trace.JobSubject(attempt.Job), "stop order received", "attempt", attempt)
		}
	}
}

// broadcastEndReports sends reports of ended attempts to every controller: the leader may be
// lost, and so may this machine before another one leads.
func (a *Agent) broadcastEndReports(messages []wire.OutboundMessage) []wire.OutboundMessage {
	for _, m := range messages {
		if m.Message.Kind != wire.StatusReport || a.policy.NoEndBroadcast {
			continue
		}
		for _, controller := range a.core.Members().MembersOf(membership.RoleController) {
			if controller.Addr != m.To {
				messages = append(messages, wire.OutboundMessage{To: controller.Addr, Message: m.Message})
			}
		}
	}
	return messages
}

// StatusView is the status of an agent, as GET /v1/status shows it.
type StatusView struct {
	Role                 membership.Role   `json:"role"`
	Build                string            `json:"program"`
	Ready                bool              `json:"ready"`
	Leader               types.Addr        `json:"leader"`
	SinceWorkerContactMS int64             `json:"worker_quiet_ms"` // since the worker was last heard from
	Executor             executor.View     `json:"account"`
	Peers                []membership.Peer `json:"mates"`
	Counters             Counters          `json:"sums"`
}

// maxSinceContactMS bounds SinceWorkerContactMS, for a worker that was never heard.
const maxSinceContactMS = 1 << 40

// Status returns the agent's status.
func (a *Agent) Status() StatusView {
	return StatusView{
		Role:                 membership.RoleAgent,
		Build:                a.core.Self().Build,
		Ready:                a.Ready(),
		Leader:               a.core.Leader(),
		SinceWorkerContactMS: min(maxSinceContactMS, a.executor.SinceLastContact(a.core.Now().Mono).Milliseconds()),
		Executor:             a.executor.View(),
		Peers:                a.core.Members().Peers(),
		Counters:             a.Counters,
	}
}
