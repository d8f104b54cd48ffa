// What an agent and its worker say. The worker calls, again and again; the agent
// answers at once when there is news and otherwise after a short hold. Calls
// are numbered: an answer counts only for the worker's latest call, and a call
// older than the agent's latest is let fall. So a leg that was in an answer and
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

// Finish is an ended leg that the worker keeps until it is settled.
type Finish struct {
	Run
	Fate state.Fate `json:"fate"`
}

// Answer is what the agent answers. Until is on the worker's own clock: past it
// the worker stops everything by itself.
type Answer struct {
	Agent   types.ID    `json:"agent"`
	Call    uint64      `json:"call"`
	Until   types.Stamp `json:"until"`
	Start   []Job       `json:"start"`
	Stop    []types.Leg `json:"stop"`
	Settled []types.Leg `json:"settled"`
}

// Check tells what is wrong with a call; nothing of a bad one is taken.
func (p Poll) Check(h *apierror.Heap) {
	h.Check(p.Worker != "" && len(p.Worker) <= 128, "worker", "want 1 to 128 characters")
	h.Check(p.Room.Holds(types.Room{}), "room", "want no negative numbers")
	h.Check(len(p.Kinds) <= 64, "kinds", "more than 64")
	h.Check(p.GoMS >= 0 && p.GoMS <= 86_400_000, "leave_in_ms", "want 0 to a day")
	h.Check(p.GoMS == 0 || p.Leave, "leave_in_ms", "only for a worker that is leaving")
	h.Check(len(p.Runs)+len(p.Ends) <= 2000, "running", "more than 2000 legs")
	for i, k := range p.Kinds {
		h.Check(config.Name(string(k)) == "", fmt.Sprintf("kinds[%d]", i), "not a name")
	}
	leg := func(at string, r Run) {
		h.Check(config.Name(string(r.Leg.Job)) == "" && r.Leg.N >= 0 && r.Leg.Leg >= 1, at+".leg", "no such leg can be")
		h.Check(r.Room.Holds(types.Room{}), at+".room", "want no negative numbers")
	}
	for i, r := range p.Runs {
		leg(fmt.Sprintf("running[%d]", i), r)
	}
	for i, e := range p.Ends {
		at := fmt.Sprintf("ended[%d]", i)
		leg(at, e.Run)
		h.Check(slices.Contains(fates, e.Fate), at+".fate", "want ok, failed, stopped or refused")
	}
}

var fates = []state.Fate{state.OK, state.Bad, state.Halted, state.Unrun}

// Poll takes a worker's call; false means that it is not to be answered.
func (h *Hand) Poll(now types.Stamp, p Poll) bool {
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
	if p.Leave != h.rep.Leaving || !h.rep.Sound {
		h.beat = never
	}
	h.rep = Report{Rack: p.Rack, Kinds: p.Kinds, Room: p.Room, Leaving: p.Leave, LeaveMS: p.GoMS, Sound: true}
	h.goes = now.Add(time.Duration(p.GoMS) * time.Millisecond)
	runs := map[types.Leg]bool{}
	for _, r := range p.Runs {
		runs[r.Leg] = true
		l := h.legs[r.Leg]
		if l == nil {
			l = &leg{job: Job{Leg: r.Leg, Room: r.Room}, part: going, from: now}
			h.put(l)
		}
		if l.part == waiting {
			l.part, l.from = going, now
		}
		l.ghost = l.part == ended
	}
	for _, e := range p.Ends {
		l := h.legs[e.Leg]
		if l == nil {
			l = &leg{job: Job{Leg: e.Leg, Room: e.Room}, part: going}
			h.put(l)
		}
		if l.part != ended || l.fate == state.Lost || e.Fate == state.OK && l.fate != state.OK {
			h.finish(l, e.Fate)
		}
		l.ghost, runs[e.Leg] = false, true
	}
	for _, l := range h.sorted() {
		if runs[l.job.Leg] {
			continue
		}
		switch {
		case l.part == going, l.part == halting && l.from != 0:
			h.finish(l, state.Gone)
		case l.part == halting:
			h.finish(l, state.Unrun)
		case l.part == waiting && now >= l.until:
			h.finish(l, state.Unrun)
		case l.part == ended && l.fate == state.Lost:
			h.finish(l, state.Gone)
		case l.part == ended && l.settled:
			h.forget(l.job.Leg)
		}
	}
	return true
}

// fresh takes another worker process in place of the last, all of whose legs
// have ended with it.
func (h *Hand) fresh(p Poll) {
	for _, l := range h.sorted() {
		if l.part != ended || l.fate == state.Lost {
			h.finish(l, state.Gone)
		}
		if l.settled {
			h.forget(l.job.Leg)
		}
	}
	if h.worker == "" {
		h.past = p.Agent
	}
	h.worker = p.Worker
}

// Reply makes the answer to the worker's latest call.
func (h *Hand) Reply(now types.Stamp) Answer {
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
			a.Stop = append(a.Stop, l.job.Leg)
		case l.part == ended && l.settled:
			a.Settled = append(a.Settled, l.job.Leg)
		}
	}
	return a
}

// News tells whether the worker's call should be answered now.
func (h *Hand) News() bool { return h.news }

// Slack is how long after its grant a worker may take to notice and stop.
const Slack = 150 * time.Millisecond

// lapsed is true when the worker's last grant has surely ended, and it has had
// the time to stop.
func (h *Hand) lapsed() bool { return h.now.Sub(h.given) > h.pace.Worker+Slack }

// Worker gives the time since the worker's last call.
func (h *Hand) Quiet(now types.Stamp) time.Duration { return now.Sub(h.heard) }
