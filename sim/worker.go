// Package sim is the proof: stand-in workers and callers, a simulator that
// drives the very machines of the daemons under faults, a fleet of real
// processes, and the checker of the history that workers and callers saw. This
// file is the worker: it runs attempts by the clock and guards its own room.
package sim

import (
	"encoding/json"
	"math/rand"
	"sort"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/sim/history"
)

type runningTask struct {
	job     protocol.AttemptSpec
	endsAt  types.MonoTime
	outcome state.Outcome
	crashes bool
}

// Worker is one stand-in worker process.
type Worker struct {
	history.WorkerSpec
	ID                            types.ID
	Agent                         types.ID
	Leaving                       bool
	DepartsAt                     types.MonoTime // when it goes, if it said so
	Crashed                       bool
	IgnoresLease, IgnoresCapacity bool // planted bugs: heeds no grant; guards neither room nor leaving
	random                        *rand.Rand
	lastPoll                      uint64
	leaseEnd                      types.MonoTime
	running                       map[types.AttemptID]*runningTask
	unacknowledged                map[types.AttemptID]protocol.EndedTask
	HasUpdate                     bool // an attempt has ended since the latest call
	record                        func(history.Event)
}

// NewWorkerClient starts a worker process; what happens on it goes to tell.
func NewWorker(spec history.WorkerSpec, id types.ID, random *rand.Rand, record func(history.Event)) *Worker {
	if spec.Slowdown == 0 {
		spec.Slowdown = 1
	}
	return &Worker{WorkerSpec: spec, ID: id, random: random, running: map[types.AttemptID]*runningTask{}, unacknowledged: map[types.AttemptID]protocol.EndedTask{}, record: record, leaseEnd: -1 << 61}
}

func (w *Worker) recordAttempt(what history.Kind, l types.AttemptID, f state.Outcome) {
	w.record(history.Event{Kind: what, Process: string(w.ID), Shard: w.Shard, Attempt: l, Outcome: f})
}

// Tick looks at the grant first, then ends what is due.
func (w *Worker) Tick(now types.MonoTime) {
	for _, l := range w.runningAttempts() {
		r := w.running[l]
		switch {
		case now >= w.leaseEnd && !w.IgnoresLease:
			w.endAttempt(r, state.OutcomeStopped)
		case now >= r.endsAt && r.crashes:
			w.Crashed = true
		case now >= r.endsAt:
			w.endAttempt(r, r.outcome)
		}
	}
}

func (w *Worker) runningAttempts() []types.AttemptID {
	list := make([]types.AttemptID, 0, len(w.running))
	for l := range w.running {
		list = append(list, l)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Less(list[k]) })
	return list
}

func (w *Worker) endAttempt(r *runningTask, f state.Outcome) {
	delete(w.running, r.job.Attempt)
	w.HasUpdate = true
	w.unacknowledged[r.job.Attempt] = protocol.EndedTask{RunningTask: protocol.RunningTask{Attempt: r.job.Attempt, Resources: r.job.Resources}, Outcome: f}
	w.recordAttempt(history.AttemptEnded, r.job.Attempt, f)
}

// NextPoll makes the next call to the agent.
func (w *Worker) NextPoll(now types.MonoTime) protocol.Poll {
	w.Tick(now)
	w.lastPoll++
	w.HasUpdate = false
	p := protocol.Poll{Worker: w.ID, Agent: w.Agent, Call: w.lastPoll, SentAt: now, Rack: w.Rack, Kinds: w.Kinds, Capacity: w.Capacity, Draining: w.Leaving}
	if w.Leaving && w.DepartsAt > 0 {
		p.DepartsInMS = max(1, w.DepartsAt.Sub(now).Milliseconds())
	}
	for _, l := range w.runningAttempts() {
		p.Running = append(p.Running, protocol.RunningTask{Attempt: l, Resources: w.running[l].job.Resources})
	}
	for _, f := range w.unacknowledged {
		p.Ended = append(p.Ended, f)
	}
	sort.Slice(p.Ended, func(i, k int) bool { return p.Ended[i].Attempt.Less(p.Ended[k].Attempt) })
	return p
}

// HandleAnswer heeds an answer, if it is to the latest call.
func (w *Worker) HandleAnswer(now types.MonoTime, a protocol.PollReply) {
	w.Tick(now)
	if a.Call != w.lastPoll {
		return
	}
	w.Agent, w.leaseEnd = a.Agent, a.LeaseUntil
	for _, l := range a.Committed {
		if _, ok := w.unacknowledged[l]; ok {
			delete(w.unacknowledged, l)
			w.recordAttempt(history.EndAcknowledged, l, "")
		}
	}
	for _, l := range a.Stop {
		if r := w.running[l]; r != nil {
			w.endAttempt(r, state.OutcomeStopped)
		}
	}
	w.Tick(now)
	free := w.Capacity
	for _, r := range w.running {
		free = free.Sub(r.job.Resources)
	}
	for _, j := range a.Start {
		if _, old := w.unacknowledged[j.Attempt]; old || w.running[j.Attempt] != nil || now >= w.leaseEnd {
			continue
		}
		if (w.Leaving || !free.Contains(j.Resources)) && !w.IgnoresCapacity {
			w.unacknowledged[j.Attempt] = protocol.EndedTask{RunningTask: protocol.RunningTask{Attempt: j.Attempt, Resources: j.Resources}, Outcome: state.OutcomeNeverRan}
			w.recordAttempt(history.AttemptRejected, j.Attempt, state.OutcomeNeverRan)
			continue
		}
		free = free.Sub(j.Resources)
		w.startAttempt(now, j)
	}
}

func (w *Worker) startAttempt(now types.MonoTime, j protocol.AttemptSpec) {
	var k Work
	json.Unmarshal(j.Input, &k)
	long := float64(k.MS) * w.Slowdown
	if w.StallRate > 0 && w.random.Float64() < w.StallRate {
		long *= 10
	}
	r := &runningTask{job: j, endsAt: now.Add(time.Duration(long * float64(time.Millisecond))), outcome: state.OutcomeOK, crashes: k.Crash}
	if k.Fail || w.FailureRate > 0 && w.random.Float64() < w.FailureRate {
		r.outcome = state.OutcomeFailed
	}
	w.running[j.Attempt] = r
	w.recordAttempt(history.AttemptStarted, j.Attempt, "")
}
