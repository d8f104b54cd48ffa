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
func (ex *Executor) heeds(from types.Addr, t Top) bool {
	if t.To != ex.id || t.Term < ex.term {
		return false
	}
	if t.Term > ex.term {
		ex.term, ex.seq = t.Term, 0
		if ex.state != MustDie {
			ex.turn(New)
		}
	}
	ex.lead = from
	return true
}

func (ex *Executor) onBeaten(from types.Addr, b HeartbeatReply) {
	if !ex.heeds(from, b.Top) {
		return
	}
	if b.Set != ex.set {
		ex.set, ex.beat = b.Set, never
	}
	if !b.Known {
		return
	}
	ex.past = ""
	if b.Until > b.Stamp {
		ex.until, ex.good = max(ex.until, b.Until), max(ex.good, b.Stamp)
	}
	if ex.state == New {
		ex.turn(Unhealthy)
	}
	if ex.state == Unhealthy && ex.now.Sub(ex.good) <= ex.pace.Ill {
		ex.turn(Healthy)
	}
}

func (ex *Executor) onAsk(from types.Addr, a RunningTasksQuery) {
	if !ex.heeds(from, a.Top) || !ex.ready() {
		return
	}
	list := []Run{}
	for _, l := range ex.sorted() {
		if !l.settled || l.outcome == state.OutcomeLost {
			list = append(list, Run{l.job.Attempt, l.job.Room})
		}
	}
	ex.say(from, wire.Account, RunningTasks{ex.term, ex.shard, ex.id, list, ex.told})
}

func (ex *Executor) onOrder(from types.Addr, o Order) {
	if !ex.heeds(from, o.Top) {
		return
	}
	l := ex.attempts[o.Job.Attempt]
	_, seen := ex.seen[o.Job.Attempt]
	if l != nil || seen {
		return
	}
	ex.seen[o.Job.Attempt] = max(o.Until, ex.now).Add(ex.pace.Loss)
	why := ex.refuse(o)
	if why == "" {
		ex.put(&attempt{job: o.Job, part: waiting, until: min(o.Until, ex.until)})
		ex.news = true
	}
	ex.say(from, wire.Ordered, OrderReply{ex.term, ex.shard, ex.id, o.Job.Attempt, why})
}

// refuse gives the reason why an order may not be taken, or nothing.
func (ex *Executor) refuse(o Order) string {
	free := ex.rep.Room.Sub(ex.lacks())
	twin := false
	for _, l := range ex.attempts {
		if l.part != ended {
			free = free.Sub(l.job.Room)
			twin = twin || l.job.Attempt.TaskID == o.Job.Attempt.TaskID
		}
	}
	for _, c := range []struct {
		bad bool
		why string
	}{
		{o.Seq < ex.seq, "sent before the latest query"},
		{ex.now >= o.Until || ex.now >= ex.until, "grant has lapsed"},
		{ex.state != Healthy, "agent is " + string(ex.state)},
		{!ex.rep.Healthy, "worker is silent"},
		{ex.rep.Leaving, "worker is leaving"},
		{!slices.Contains(ex.rep.Kinds, o.Job.Kind), "worker has not this kind"},
		{o.Job.Rack != "" && o.Job.Rack != ex.rep.Rack, "worker is in another rack"},
		{!ex.rep.fits(o.Job.Label), "worker lacks a label"},
		{twin, "another leg of the task is here"},
		{!free.Contains(o.Job.Room), "no room"},
	} {
		if c.bad {
			return c.why
		}
	}
	return ""
}

// onQuery answers which of the attempts asked about do not run here; from now on
// orders sent before it are refused.
func (ex *Executor) onQuery(from types.Addr, q Query) {
	if !ex.heeds(from, q.Top) || q.Seq <= ex.seq {
		return
	}
	ex.seq = q.Seq
	var idle []state.AttemptEnd
	for _, l := range q.Attempts {
		if ex.attempts[l] == nil {
			ex.put(&attempt{job: Job{Attempt: l}, part: ended, outcome: state.OutcomeNeverRan})
			idle = append(idle, state.AttemptEnd{ID: l, Outcome: state.OutcomeNeverRan})
		}
	}
	if idle != nil {
		ex.status = never
	}
	ex.say(from, wire.Queried, QueryReply{ex.term, ex.shard, ex.id, q.Seq})
}

func (ex *Executor) onSettled(from types.Addr, s CommittedEnds) {
	if !ex.heeds(from, s.Top) {
		return
	}
	for _, e := range s.Ends {
		l := ex.attempts[e.ID]
		if l == nil || l.part != ended || l.outcome == state.OutcomeOK && e.Outcome != state.OutcomeOK {
			continue
		}
		l.settled, ex.news = true, true
		if ex.caller != nil {
			ex.settle(l)
		} else if ex.worker == "" {
			ex.forget(e.ID)
		}
	}
}

func (ex *Executor) onStop(from types.Addr, s Stop) {
	if !ex.heeds(from, s.Top) {
		return
	}
	for _, k := range s.Attempts {
		if l := ex.attempts[k]; l != nil {
			l.over = l.over || l.part != ended && slices.Contains(s.Late, k)
			ex.halt(l)
		} else {
			ex.put(&attempt{job: Job{Attempt: k}, part: ended, outcome: state.OutcomeNeverRan})
			ex.seen[k], ex.status = ex.now.Add(2*ex.pace.Loss), never
		}
	}
}

func (ex *Executor) onQuit(from types.Addr, q Quit) {
	if ex.heeds(from, q.Top) {
		ex.turn(MustDie)
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
func (ex *Executor) Take(now types.MonoTime, n wire.Message) {
	ex.now = now
	if f := hands[n.Kind]; f != nil {
		f(ex, n)
	}
	ex.line()
}
