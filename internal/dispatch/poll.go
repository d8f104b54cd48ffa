// What an agent and its worker say. The worker calls, again and again; the agent
// answers at once when there is news and otherwise after a short hold. Calls
// are numbered: an answer counts only for the worker's latest call, and a call
// older than the agent's latest is let fall. So an attempt that was in an answer and
// is not in the next call was not started and never will be.
package dispatch

import (
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// Poll is the worker's call.
type Poll struct {
	Worker types.ID            `json:"worker"`
	Agent  types.ID            `json:"agent"`
	Call   uint64              `json:"call"`
	Stamp  types.MonoTime      `json:"stamp"`
	Rack   types.Rack          `json:"rack"`
	Kinds  []types.ServiceKind `json:"kinds"`
	Room   types.Resources     `json:"room"`
	Leave  bool                `json:"leaving"`
	GoMS   int64               `json:"leave_in_ms"`
	Runs   []Run               `json:"running"`
	Ends   []Finish            `json:"ended"`
}

// Finish is an ended attempt that the worker keeps until it is settled.
type Finish struct {
	Run
	Outcome state.Outcome `json:"fate"`
}

// Answer is what the agent answers. Until is on the worker's own clock: past it
// the worker stops everything by itself.
type Answer struct {
	Agent   types.ID          `json:"agent"`
	Call    uint64            `json:"call"`
	Until   types.MonoTime    `json:"until"`
	Start   []Job             `json:"start"`
	Stop    []types.AttemptID `json:"stop"`
	Settled []types.AttemptID `json:"settled"`
}

// Check tells what is wrong with a call; nothing of a bad one is taken.
func (p Poll) Check(h *apierror.ErrorList) {
	h.Check(p.Worker != "" && len(p.Worker) <= 128, "worker", "want 1 to 128 characters")
	h.Check(p.Room.Contains(types.Resources{}), "room", "want no negative numbers")
	h.Check(len(p.Kinds) <= 64, "kinds", "more than 64")
	h.Check(p.GoMS >= 0 && p.GoMS <= 86_400_000, "leave_in_ms", "want 0 to a day")
	h.Check(p.GoMS == 0 || p.Leave, "leave_in_ms", "only for a worker that is leaving")
	h.Check(len(p.Runs)+len(p.Ends) <= 2000, "running", "more than 2000 legs")
	for i, k := range p.Kinds {
		h.Check(config.CheckName(string(k)) == "", fmt.Sprintf("kinds[%d]", i), "not a name")
	}
	attempt := func(at string, r Run) {
		h.Check(config.CheckName(string(r.Attempt.Job)) == "" && r.Attempt.Number >= 0 && r.Attempt.Attempt >= 1, at+".leg", "no such leg can be")
		h.Check(r.Room.Contains(types.Resources{}), at+".room", "want no negative numbers")
	}
	for i, r := range p.Runs {
		attempt(fmt.Sprintf("running[%d]", i), r)
	}
	for i, e := range p.Ends {
		at := fmt.Sprintf("ended[%d]", i)
		attempt(at, e.Run)
		h.Check(slices.Contains(outcomes, e.Outcome), at+".fate", "want ok, failed, stopped or refused")
	}
}

var outcomes = []state.Outcome{state.OutcomeOK, state.OutcomeFailed, state.OutcomeStopped, state.OutcomeNeverRan}

// Poll takes a worker's call; false means that it is not to be answered.
func (ex *Executor) Poll(now types.MonoTime, p Poll) bool {
	ex.now = now
	if p.Worker != ex.worker {
		if ex.worker != "" && !ex.lapsed() {
			return false
		}
		ex.fresh(p)
	} else if p.Call <= ex.call {
		return false
	}
	ex.call, ex.heard, ex.stamp, ex.told = p.Call, now, p.Stamp, true
	if p.Leave != ex.rep.Leaving || !ex.rep.Healthy {
		ex.beat = never
	}
	ex.rep = Report{Rack: p.Rack, Kinds: p.Kinds, Room: p.Room, Leaving: p.Leave, LeaveMS: p.GoMS, Healthy: true}
	ex.goes = now.Add(time.Duration(p.GoMS) * time.Millisecond)
	runs := map[types.AttemptID]bool{}
	for _, r := range p.Runs {
		runs[r.Attempt] = true
		l := ex.attempts[r.Attempt]
		if l == nil {
			l = &attempt{job: Job{Attempt: r.Attempt, Room: r.Room}, part: going, from: now}
			ex.put(l)
		}
		if l.part == waiting {
			l.part, l.from = going, now
		}
		l.ghost = l.part == ended
	}
	for _, e := range p.Ends {
		l := ex.attempts[e.Attempt]
		if l == nil {
			l = &attempt{job: Job{Attempt: e.Attempt, Room: e.Room}, part: going}
			ex.put(l)
		}
		if l.part != ended || l.outcome == state.OutcomeLost || e.Outcome == state.OutcomeOK && l.outcome != state.OutcomeOK {
			ex.finish(l, e.Outcome)
		}
		l.ghost, runs[e.Attempt] = false, true
	}
	for _, l := range ex.sorted() {
		if runs[l.job.Attempt] {
			continue
		}
		switch {
		case l.part == going, l.part == halting && l.from != 0:
			ex.finish(l, state.OutcomeWorkerExited)
		case l.part == halting:
			ex.finish(l, state.OutcomeNeverRan)
		case l.part == waiting && now >= l.until:
			ex.finish(l, state.OutcomeNeverRan)
		case l.part == ended && l.outcome == state.OutcomeLost:
			ex.finish(l, state.OutcomeWorkerExited)
		case l.part == ended && l.settled:
			ex.forget(l.job.Attempt)
		}
	}
	return true
}

// fresh takes another worker process in place of the last, all of whose attempts
// have ended with it.
func (ex *Executor) fresh(p Poll) {
	for _, l := range ex.sorted() {
		if l.part != ended || l.outcome == state.OutcomeLost {
			ex.finish(l, state.OutcomeWorkerExited)
		}
		if l.settled {
			ex.forget(l.job.Attempt)
		}
	}
	if ex.worker == "" {
		ex.past = p.Agent
	}
	ex.worker = p.Worker
}

// Reply makes the answer to the worker's latest call.
func (ex *Executor) Reply(now types.MonoTime) Answer {
	ex.now, ex.news = now, false
	left := min(ex.pace.Worker, ex.until.Sub(now))
	if ex.state == MustDie || left < 0 {
		left = 0
	}
	a := Answer{Agent: ex.id, Call: ex.call, Until: ex.stamp.Add(left)}
	if left > 0 {
		ex.given = max(ex.given, now.Add(left-ex.pace.Worker))
	}
	for _, l := range ex.sorted() {
		switch {
		case l.part == waiting && left > 0 && now < l.until:
			a.Start = append(a.Start, l.job)
			l.shown = true
		case l.part == halting, l.ghost:
			a.Stop = append(a.Stop, l.job.Attempt)
		case l.part == ended && l.settled:
			a.Settled = append(a.Settled, l.job.Attempt)
		}
	}
	return a
}

// News tells whether the worker's call should be answered now.
func (ex *Executor) News() bool { return ex.news }

// Slack is how long after its grant a worker may take to notice and stop.
const Slack = 150 * time.Millisecond

// lapsed is true when the worker's last grant has surely ended, and it has had
// the time to stop.
func (ex *Executor) lapsed() bool { return ex.now.Sub(ex.given) > ex.pace.Worker+Slack }

// Worker gives the time since the worker's last call.
func (ex *Executor) Quiet(now types.MonoTime) time.Duration { return now.Sub(ex.heard) }
