// How the agent's half heeds the scheduler. A lower term than one seen is let
// fall; a higher one is a new leader, to whom the agent is NEW again.
package dispatch

import (
	"slices"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// heeds checks the term and the addressee, and takes up a new leader.
func (h *Executor) heeds(from types.Addr, t Top) bool {
	if t.To != h.id || t.Term < h.term {
		return false
	}
	if t.Term > h.term {
		h.term, h.seq = t.Term, 0
		if h.state != MustDie {
			h.turn(New)
		}
	}
	h.lead = from
	return true
}

func (h *Executor) onBeaten(from types.Addr, b HeartbeatReply) {
	if !h.heeds(from, b.Top) {
		return
	}
	if b.Set != h.set {
		h.set, h.beat = b.Set, never
	}
	if !b.Known {
		return
	}
	h.past = ""
	if b.Until > b.Stamp {
		h.until, h.good = max(h.until, b.Until), max(h.good, b.Stamp)
	}
	if h.state == New {
		h.turn(Unhealthy)
	}
	if h.state == Unhealthy && h.now.Sub(h.good) <= h.pace.Ill {
		h.turn(Healthy)
	}
}

func (h *Executor) onAsk(from types.Addr, a RunningTasksQuery) {
	if !h.heeds(from, a.Top) || !h.ready() {
		return
	}
	list := []Run{}
	for _, l := range h.sorted() {
		if !l.settled || l.outcome == state.Lost {
			list = append(list, Run{l.job.Attempt, l.job.Room})
		}
	}
	h.say(from, wire.Account, RunningTasks{h.term, h.shard, h.id, list, h.told})
}

func (h *Executor) onOrder(from types.Addr, o Order) {
	if !h.heeds(from, o.Top) {
		return
	}
	l := h.attempts[o.Job.Attempt]
	_, seen := h.seen[o.Job.Attempt]
	if l != nil || seen {
		return
	}
	h.seen[o.Job.Attempt] = max(o.Until, h.now).Add(h.pace.Loss)
	why := h.refuse(o)
	if why == "" {
		h.put(&attempt{job: o.Job, part: waiting, until: min(o.Until, h.until)})
		h.news = true
	}
	h.say(from, wire.Ordered, OrderReply{h.term, h.shard, h.id, o.Job.Attempt, why})
}

// refuse gives the reason why an order may not be taken, or nothing.
func (h *Executor) refuse(o Order) string {
	free := h.rep.Room.Minus(h.lacks())
	twin := false
	for _, l := range h.attempts {
		if l.part != ended {
			free = free.Minus(l.job.Room)
			twin = twin || l.job.Attempt.Task == o.Job.Attempt.Task
		}
	}
	for _, c := range []struct {
		bad bool
		why string
	}{
		{o.Seq < h.seq, "sent before the latest query"},
		{h.now >= o.Until || h.now >= h.until, "grant has lapsed"},
		{h.state != Healthy, "agent is " + string(h.state)},
		{!h.rep.Healthy, "worker is silent"},
		{h.rep.Leaving, "worker is leaving"},
		{!slices.Contains(h.rep.Kinds, o.Job.Kind), "worker has not this kind"},
		{o.Job.Rack != "" && o.Job.Rack != h.rep.Rack, "worker is in another rack"},
		{!h.rep.fits(o.Job.Label), "worker lacks a label"},
		{twin, "another leg of the task is here"},
		{!free.Holds(o.Job.Room), "no room"},
	} {
		if c.bad {
			return c.why
		}
	}
	return ""
}

// onQuery answers which of the attempts asked about do not run here; from now on
// orders sent before it are refused.
func (h *Executor) onQuery(from types.Addr, q Query) {
	if !h.heeds(from, q.Top) || q.Seq <= h.seq {
		return
	}
	h.seq = q.Seq
	var idle []state.End
	for _, l := range q.Attempts {
		if h.attempts[l] == nil {
			h.put(&attempt{job: Job{Attempt: l}, part: ended, outcome: state.Unrun})
			idle = append(idle, state.End{Attempt: l, Outcome: state.Unrun})
		}
	}
	if idle != nil {
		h.status = never
	}
	h.say(from, wire.Queried, QueryReply{h.term, h.shard, h.id, q.Seq})
}

func (h *Executor) onSettled(from types.Addr, s CommittedEnds) {
	if !h.heeds(from, s.Top) {
		return
	}
	for _, e := range s.Ends {
		l := h.attempts[e.Attempt]
		if l == nil || l.part != ended || l.outcome == state.OK && e.Outcome != state.OK {
			continue
		}
		l.settled, h.news = true, true
		if h.caller != nil {
			h.settle(l)
		} else if h.worker == "" {
			h.forget(e.Attempt)
		}
	}
}

func (h *Executor) onStop(from types.Addr, s Stop) {
	if !h.heeds(from, s.Top) {
		return
	}
	for _, k := range s.Attempts {
		if l := h.attempts[k]; l != nil {
			l.over = l.over || l.part != ended && slices.Contains(s.Late, k)
			h.halt(l)
		} else {
			h.put(&attempt{job: Job{Attempt: k}, part: ended, outcome: state.Unrun})
			h.seen[k], h.status = h.now.Add(2*h.pace.Loss), never
		}
	}
}

func (h *Executor) onQuit(from types.Addr, q Quit) {
	if h.heeds(from, q.Top) {
		h.turn(MustDie)
	}
}

var hands = map[string]func(*Executor, wire.Message){
	wire.Beaten:  wire.On((*Executor).onBeaten),
	wire.AskRun:  wire.On((*Executor).onAsk),
	wire.Order:   wire.On((*Executor).onOrder),
	wire.Query:   wire.On((*Executor).onQuery),
	wire.Settled: wire.On((*Executor).onSettled),
	wire.Stop:    wire.On((*Executor).onStop),
	wire.Quit:    wire.On((*Executor).onQuit),
}

// Take handles a scheduler's note.
func (h *Executor) Take(now types.Stamp, n wire.Message) {
	h.now = now
	if f := hands[n.Kind]; f != nil {
		f(h, n)
	}
	h.line()
}
