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
	Worker types.ID     `json:"worker"`
	Agent  types.ID     `json:"agent"`
	Call   uint64       `json:"call"`
	Stamp  types.Stamp  `json:"stamp"`
	Rack   types.Rack   `json:"rack"`
	Kinds  []types.Kind `json:"kinds"`
	Room   types.Room   `json:"room"`
	Leave  bool         `json:"leaving"`
	GoMS   int64        `json:"leave_in_ms"`
	Runs   []Run        `json:"running"`
	Ends   []Finish     `json:"ended"`
}

// Finish is an ended attempt that the worker keeps until it is settled.
type Finish struct {
	Run
	Outcome state.Outcome `json:"fate"`
}

// Answer is what the agent answers. Until is on the worker's own clock: past it
// the worker stops everything by itself.
type Answer struct {
	Agent   types.ID        `json:"agent"`
	Call    uint64          `json:"call"`
	Until   types.Stamp     `json:"until"`
	Start   []Job           `json:"start"`
	Stop    []types.Attempt `json:"stop"`
	Settled []types.Attempt `json:"settled"`
}

// Check tells what is wrong with a call; nothing of a bad one is taken.
func (p Poll) Check(h *apierror.ErrorList) {
	h.Check(p.Worker != "" && len(p.Worker) <= 128, "worker", "want 1 to 128 characters")
	h.Check(p.Room.Holds(types.Room{}), "room", "want no negative numbers")
	h.Check(len(p.Kinds) <= 64, "kinds", "more than 64")
	h.Check(p.GoMS >= 0 && p.GoMS <= 86_400_000, "leave_in_ms", "want 0 to a day")
	h.Check(p.GoMS == 0 || p.Leave, "leave_in_ms", "only for a worker that is leaving")
	h.Check(len(p.Runs)+len(p.Ends) <= 2000, "running", "more than 2000 legs")
	for i, k := range p.Kinds {
		h.Check(config.Name(string(k)) == "", fmt.Sprintf("kinds[%d]", i), "not a name")
	}
	attempt := func(at string, r Run) {
		h.Check(config.Name(string(r.Attempt.Job)) == "" && r.Attempt.N >= 0 && r.Attempt.Attempt >= 1, at+".leg", "no such leg can be")
		h.Check(r.Room.Holds(types.Room{}), at+".room", "want no negative numbers")
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

var outcomes = []state.Outcome{state.OK, state.Bad, state.Halted, state.Unrun}

// Poll takes a worker's call; false means that it is not to be answered.
func (h *Executor) Poll(now types.Stamp, p Poll) bool {
	h.now = now
	if p.Worker != h.worker {
		if h.worker != "" && !h.lapsed() {
			return false
		}
		h.fresh(p)
	} else if p.Call <= h.call {
		return false
	}
	h.call, h.heard, h.stamp, h.told = p.Call, now, p.Stamp, true
	if p.Leave != h.rep.Leaving || !h.rep.Healthy {
		h.beat = never
	}
	h.rep = Report{Rack: p.Rack, Kinds: p.Kinds, Room: p.Room, Leaving: p.Leave, LeaveMS: p.GoMS, Healthy: true}
	h.goes = now.Add(time.Duration(p.GoMS) * time.Millisecond)
	runs := map[types.Attempt]bool{}
	for _, r := range p.Runs {
		runs[r.Attempt] = true
		l := h.attempts[r.Attempt]
		if l == nil {
			l = &attempt{job: Job{Attempt: r.Attempt, Room: r.Room}, part: going, from: now}
			h.put(l)
		}
		if l.part == waiting {
			l.part, l.from = going, now
		}
		l.ghost = l.part == ended
	}
	for _, e := range p.Ends {
		l := h.attempts[e.Attempt]
		if l == nil {
			l = &attempt{job: Job{Attempt: e.Attempt, Room: e.Room}, part: going}
			h.put(l)
		}
		if l.part != ended || l.outcome == state.Lost || e.Outcome == state.OK && l.outcome != state.OK {
			h.finish(l, e.Outcome)
		}
		l.ghost, runs[e.Attempt] = false, true
	}
	for _, l := range h.sorted() {
		if runs[l.job.Attempt] {
			continue
		}
		switch {
		case l.part == going, l.part == halting && l.from != 0:
			h.finish(l, state.Gone)
		case l.part == halting:
			h.finish(l, state.Unrun)
		case l.part == waiting && now >= l.until:
			h.finish(l, state.Unrun)
		case l.part == ended && l.outcome == state.Lost:
			h.finish(l, state.Gone)
		case l.part == ended && l.settled:
			h.forget(l.job.Attempt)
		}
	}
	return true
}

// fresh takes another worker process in place of the last, all of whose attempts
// have ended with it.
func (h *Executor) fresh(p Poll) {
	for _, l := range h.sorted() {
		if l.part != ended || l.outcome == state.Lost {
			h.finish(l, state.Gone)
		}
		if l.settled {
			h.forget(l.job.Attempt)
		}
	}
	if h.worker == "" {
		h.past = p.Agent
	}
	h.worker = p.Worker
}

// Reply makes the answer to the worker's latest call.
func (h *Executor) Reply(now types.Stamp) Answer {
	h.now, h.news = now, false
	left := min(h.pace.Worker, h.until.Sub(now))
	if h.state == MustDie || left < 0 {
		left = 0
	}
	a := Answer{Agent: h.id, Call: h.call, Until: h.stamp.Add(left)}
	if left > 0 {
		h.given = max(h.given, now.Add(left-h.pace.Worker))
	}
	for _, l := range h.sorted() {
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
func (h *Executor) News() bool { return h.news }

// Slack is how long after its grant a worker may take to notice and stop.
const Slack = 150 * time.Millisecond

// lapsed is true when the worker's last grant has surely ended, and it has had
// the time to stop.
func (h *Executor) lapsed() bool { return h.now.Sub(h.given) > h.pace.Worker+Slack }

// Worker gives the time since the worker's last call.
func (h *Executor) Quiet(now types.Stamp) time.Duration { return now.Sub(h.heard) }
