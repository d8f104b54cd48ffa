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

	"coppercourse/internal/dispatch"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Make is what a worker is made of, and how it misbehaves.
type WorkerSpec struct {
	Shard types.Shard
	Rack  types.Rack
	Kinds []types.ServiceKind
	Room  types.Resources
	Slow  float64 // times the usual length; 0 is 1
	Fails float64 // part of its attempts that fail
	Stall float64 // part of its attempts that take ten times as long

	Labels []string
	Guards bool // of one that is called: it turns away what does not fit
}

type run struct {
	job     dispatch.AttemptSpec
	ends    types.MonoTime
	outcome state.Outcome
	crash   bool
}

// Worker is one stand-in worker process.
type Worker struct {
	WorkerSpec
	ID            types.ID
	Agent         types.ID
	Leave         bool
	Goes          types.MonoTime // when it goes, if it said so
	Crashed       bool
	Deaf, Willing bool // planted bugs: heeds no grant; guards neither room nor leaving
	rnd           *rand.Rand
	call          uint64
	until         types.MonoTime
	runs          map[types.AttemptID]*run
	ends          map[types.AttemptID]dispatch.FinishedTask
	News          bool // an attempt has ended since the latest call
	tell          func(HistoryEvent)
}

// NewWorker starts a worker process; what happens on it goes to tell.
func NewWorker(m WorkerSpec, id types.ID, rnd *rand.Rand, tell func(HistoryEvent)) *Worker {
	if m.Slow == 0 {
		m.Slow = 1
	}
	return &Worker{WorkerSpec: m, ID: id, rnd: rnd, runs: map[types.AttemptID]*run{}, ends: map[types.AttemptID]dispatch.FinishedTask{}, tell: tell, until: -1 << 61}
}

func (w *Worker) say(what EventKind, l types.AttemptID, f state.Outcome) {
	w.tell(HistoryEvent{What: what, Who: string(w.ID), Shard: w.Shard, Attempt: l, Outcome: f})
}

// Tick looks at the grant first, then ends what is due.
func (w *Worker) Tick(now types.MonoTime) {
	for _, l := range w.sorted() {
		r := w.runs[l]
		switch {
		case now >= w.until && !w.Deaf:
			w.end(r, state.OutcomeStopped)
		case now >= r.ends && r.crash:
			w.Crashed = true
		case now >= r.ends:
			w.end(r, r.outcome)
		}
	}
}

func (w *Worker) sorted() []types.AttemptID {
	list := make([]types.AttemptID, 0, len(w.runs))
	for l := range w.runs {
		list = append(list, l)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Less(list[k]) })
	return list
}

func (w *Worker) end(r *run, f state.Outcome) {
	delete(w.runs, r.job.Attempt)
	w.News = true
	w.ends[r.job.Attempt] = dispatch.FinishedTask{Run: dispatch.Run{Attempt: r.job.Attempt, Resources: r.job.Resources}, Outcome: f}
	w.say(Ended, r.job.Attempt, f)
}

// Call makes the next call to the agent.
func (w *Worker) Call(now types.MonoTime) dispatch.Poll {
	w.Tick(now)
	w.call++
	w.News = false
	p := dispatch.Poll{Worker: w.ID, Agent: w.Agent, Call: w.call, SentAt: now, Rack: w.Rack, Kinds: w.Kinds, Capacity: w.Room, Draining: w.Leave}
	if w.Leave && w.Goes > 0 {
		p.DepartsInMS = max(1, w.Goes.Sub(now).Milliseconds())
	}
	for _, l := range w.sorted() {
		p.Running = append(p.Running, dispatch.Run{Attempt: l, Resources: w.runs[l].job.Resources})
	}
	for _, f := range w.ends {
		p.Ended = append(p.Ended, f)
	}
	sort.Slice(p.Ended, func(i, k int) bool { return p.Ended[i].Attempt.Less(p.Ended[k].Attempt) })
	return p
}

// Take heeds an answer, if it is to the latest call.
func (w *Worker) Take(now types.MonoTime, a dispatch.PollReply) {
	w.Tick(now)
	if a.Call != w.call {
		return
	}
	w.Agent, w.until = a.Agent, a.LeaseUntil
	for _, l := range a.Committed {
		if _, ok := w.ends[l]; ok {
			delete(w.ends, l)
			w.say(Settled, l, "")
		}
	}
	for _, l := range a.Stop {
		if r := w.runs[l]; r != nil {
			w.end(r, state.OutcomeStopped)
		}
	}
	w.Tick(now)
	free := w.Room
	for _, r := range w.runs {
		free = free.Sub(r.job.Resources)
	}
	for _, j := range a.Start {
		if _, old := w.ends[j.Attempt]; old || w.runs[j.Attempt] != nil || now >= w.until {
			continue
		}
		if (w.Leave || !free.Contains(j.Resources)) && !w.Willing {
			w.ends[j.Attempt] = dispatch.FinishedTask{Run: dispatch.Run{Attempt: j.Attempt, Resources: j.Resources}, Outcome: state.OutcomeNeverRan}
			w.say(Spared, j.Attempt, state.OutcomeNeverRan)
			continue
		}
		free = free.Sub(j.Resources)
		w.start(now, j)
	}
}

func (w *Worker) start(now types.MonoTime, j dispatch.AttemptSpec) {
	var k Work
	json.Unmarshal(j.Input, &k)
	long := float64(k.MS) * w.Slow
	if w.Stall > 0 && w.rnd.Float64() < w.Stall {
		long *= 10
	}
	r := &run{job: j, ends: now.Add(time.Duration(long * float64(time.Millisecond))), outcome: state.OutcomeOK, crash: k.Crash}
	if k.Fail || w.Fails > 0 && w.rnd.Float64() < w.Fails {
		r.outcome = state.OutcomeFailed
	}
	w.runs[j.Attempt] = r
	w.say(Started, j.Attempt, "")
}
