package worker

import (
	"math/rand"
	"sort"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

const (
	// stallFactor is how many times as long an attempt takes that stalls.
	stallFactor = 10
	// noLease is the end of a lease that was never granted.
	noLease = types.MonoTime(-1 << 61)
)

// Polling is one process of a worker that polls its agent. It stops what it runs when
// its lease ends, and rejects what does not fit or comes while it leaves.
type Polling struct {
	history.WorkerSpec
	ID        types.ID
	Agent     types.ID // the agent's process that answered last
	Departing bool
	DepartsAt types.MonoTime // when it departs, if it is leaving and said so
	Crashed   bool           // an attempt has ended the process
	HasUpdate bool           // an attempt has ended since the latest poll

	// Planted bugs.
	IgnoresLease    bool // runs on when the lease has ended
	IgnoresCapacity bool // accepts what does not fit, also while it leaves

	random         *rand.Rand
	record         func(history.Event)
	lastPoll       uint64
	leaseEnd       types.MonoTime
	running        map[types.AttemptID]*runningTask
	unacknowledged map[types.AttemptID]protocol.EndedTask
}

// runningTask is an attempt that runs.
type runningTask struct {
	spec    protocol.AttemptSpec
	endsAt  types.MonoTime
	outcome state.Outcome
	crashes bool // it ends the process instead
}

// NewPolling starts a worker process. What happens on it goes to record.
func NewPolling(spec history.WorkerSpec, id types.ID, random *rand.Rand, record func(history.Event)) *Polling {
	if spec.Slowdown == 0 {
		spec.Slowdown = 1
	}
	return &Polling{
		WorkerSpec:     spec,
		ID:             id,
		random:         random,
		record:         record,
		leaseEnd:       noLease,
		running:        map[types.AttemptID]*runningTask{},
		unacknowledged: map[types.AttemptID]protocol.EndedTask{},
	}
}

func (p *Polling) recordAttempt(kind history.Kind, id types.AttemptID, outcome state.Outcome) {
	p.record(history.Event{Kind: kind, Process: string(p.ID), Shard: p.Shard, Attempt: id, Outcome: outcome})
}

// Tick stops what runs if the lease has ended, and otherwise ends what is due.
func (p *Polling) Tick(now types.MonoTime) {
	for _, id := range sortedAttempts(p.running) {
		task := p.running[id]
		switch {
		case now >= p.leaseEnd && !p.IgnoresLease:
			p.endAttempt(task, state.OutcomeStopped)
		case now >= task.endsAt && task.crashes:
			p.Crashed = true
		case now >= task.endsAt:
			p.endAttempt(task, task.outcome)
		}
	}
}

// sortedAttempts returns the keys of a map of attempts, in their order.
func sortedAttempts[T any](attempts map[types.AttemptID]T) []types.AttemptID {
	ids := make([]types.AttemptID, 0, len(attempts))
	for id := range attempts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i].Less(ids[k]) })
	return ids
}

func (p *Polling) endAttempt(task *runningTask, outcome state.Outcome) {
	delete(p.running, task.spec.Attempt)
	p.HasUpdate = true
	p.addUnacknowledgedEnd(task.spec, outcome)
	p.recordAttempt(history.AttemptEnded, task.spec.Attempt, outcome)
}

// finish keeps the end of an attempt until the agent acknowledges it.
func (p *Polling) addUnacknowledgedEnd(spec protocol.AttemptSpec, outcome state.Outcome) {
	p.unacknowledged[spec.Attempt] = protocol.EndedTask{
		RunningTask: protocol.RunningTask{Attempt: spec.Attempt, Resources: spec.Resources},
		Outcome:     outcome,
	}
}

// NextPoll returns the next poll of the agent, with what runs and what has ended.
func (p *Polling) NextPoll(now types.MonoTime) protocol.Poll {
	p.Tick(now)
	p.lastPoll++
	p.HasUpdate = false
	poll := protocol.Poll{
		Worker:    p.ID,
		Agent:     p.Agent,
		Call:      p.lastPoll,
		SentAt:    now,
		Rack:      p.Rack,
		Kinds:     p.Kinds,
		Capacity:  p.Capacity,
		Departing: p.Departing,
	}
	if p.Departing && p.DepartsAt > 0 {
		poll.DepartsInMS = max(1, p.DepartsAt.Sub(now).Milliseconds())
	}
	for _, id := range sortedAttempts(p.running) {
		resources := p.running[id].spec.Resources
		poll.Running = append(poll.Running, protocol.RunningTask{Attempt: id, Resources: resources})
	}
	for _, id := range sortedAttempts(p.unacknowledged) {
		poll.Ended = append(poll.Ended, p.unacknowledged[id])
	}
	return poll
}

// IsLatest reports whether a poll is the last one made.
func (p *Polling) IsLatest(poll protocol.Poll) bool { return poll.Call == p.lastPoll }

// Running returns the number of attempts that run.
func (p *Polling) Running() int { return len(p.running) }

// HandleReply carries out a reply of the agent, if it is to the latest poll.
func (p *Polling) HandleReply(now types.MonoTime, reply protocol.PollReply) {
	p.Tick(now)
	if reply.Call != p.lastPoll {
		return
	}
	p.Agent, p.leaseEnd = reply.Agent, reply.LeaseUntil
	for _, id := range reply.Committed {
		if _, ok := p.unacknowledged[id]; ok {
			delete(p.unacknowledged, id)
			p.recordAttempt(history.EndAcknowledged, id, "")
		}
	}
	for _, id := range reply.Stop {
		if task := p.running[id]; task != nil {
			p.endAttempt(task, state.OutcomeStopped)
		}
	}
	p.Tick(now)
	p.startAttempts(now, reply.Start)
}

// startAttempts starts what is new, fits and comes under the lease; it rejects the rest of
// what is new.
func (p *Polling) startAttempts(now types.MonoTime, starts []protocol.AttemptSpec) {
	free := p.Capacity
	for _, task := range p.running {
		free = free.Sub(task.spec.Resources)
	}
	for _, spec := range starts {
		if _, ended := p.unacknowledged[spec.Attempt]; ended || p.running[spec.Attempt] != nil || now >= p.leaseEnd {
			continue
		}
		if (p.Departing || !free.Contains(spec.Resources)) && !p.IgnoresCapacity {
			p.addUnacknowledgedEnd(spec, state.OutcomeNeverRan)
			p.recordAttempt(history.AttemptRejected, spec.Attempt, state.OutcomeNeverRan)
			continue
		}
		free = free.Sub(spec.Resources)
		p.startAttempt(now, spec)
	}
}

func (p *Polling) startAttempt(now types.MonoTime, spec protocol.AttemptSpec) {
	work := parseWork(spec.Input)
	durationMS := float64(work.DurationMS) * p.Slowdown
	if p.StallRate > 0 && p.random.Float64() < p.StallRate {
		durationMS *= stallFactor
	}
	task := &runningTask{
		spec:    spec,
		endsAt:  now.Add(time.Duration(durationMS * float64(time.Millisecond))),
		outcome: state.OutcomeOK,
		crashes: work.Crash,
	}
	if work.Fail || p.FailureRate > 0 && p.random.Float64() < p.FailureRate {
		task.outcome = state.OutcomeFailed
	}
	p.running[spec.Attempt] = task
	p.recordAttempt(history.AttemptStarted, spec.Attempt, "")
}
