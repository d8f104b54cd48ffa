// Package agent is the daemon beside each worker as one state machine: the
// dispatcher's half, the roster, and the worker's calls held until there is
// news for it.
package agent

import (
	"encoding/json"
	"math/rand"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/dispatch"
	"coppercourse/internal/membership"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Place is where and for which worker an agent runs.
type Place struct {
	Addr  types.Addr
	Zone  types.Zone
	Shard types.Shard
	Seeds []types.Addr
	Issue string
	Truth dispatch.Timeouts
}

// hold is how long a worker's call is kept when there is nothing to tell.
const hold = 150 * time.Millisecond

// Agent is one worker's daemon.
type Agent struct {
	place  Place
	now    types.Now
	roster *membership.Roster
	hand   *dispatch.Executor
	Trail  *trace.Ring
	token  uint64
	since  types.Stamp
	drain  bool
	outs   []wire.Answer
	Sums   Sums
}

// Sums are counters since start.
type Sums struct {
	Polls, Stale, Orders, Stops uint64
}

func New(now types.Now, rnd *rand.Rand, p Place) *Agent {
	w := &Agent{place: p, now: now, Trail: trace.New()}
	w.hand = dispatch.NewExecutor(now.Mono, p.Truth, p.Addr, p.Shard, func() types.ID { return types.Mint(rnd) })
	w.roster = membership.New(rnd, w.card(), p.Seeds)
	return w
}

func (w *Agent) card() membership.Card {
	c := membership.Card{Addr: w.place.Addr, Role: "agent", Zone: w.place.Zone, Part: string(w.place.Shard), Ready: w.Ready(), Issue: w.place.Issue}
	if w.roster != nil {
		c.Name = w.roster.Cluster()
	}
	return c
}

// Ready tells whether the agent takes its worker's calls.
func (w *Agent) Ready() bool { return !w.drain }

// Leader is whom the agent holds for the leader now.
func (w *Agent) Leader() types.Addr { return w.roster.Lead() }

// Step takes one event.
func (w *Agent) Step(e wire.Event) wire.Out {
	w.now = e.Now
	switch {
	case e.Message != nil:
		w.take(*e.Message)
	case e.Ask != nil:
		if f := asks[e.Ask.Verb]; f != nil {
			f(w, *e.Ask)
		} else {
			w.outs = append(w.outs, wire.Answer{Token: e.Ask.Token, Fault: apierror.New(apierror.NoPath, "", "no such verb")})
		}
	case e.Reply != nil:
		w.hand.Back(w.now.Mono, *e.Reply)
	case e.Close:
		w.drain = true
	default:
		w.roster.Me(w.card())
		w.roster.Tick(w.now.Mono)
		w.hand.Tick(w.now.Mono, w.roster.Lead())
	}
	if w.token != 0 && (w.hand.News() || w.drain || w.now.Mono.Sub(w.since) >= hold) {
		w.outs = append(w.outs, wire.Answer{Token: w.token, Code: 200, Body: wire.Body(w.hand.Reply(w.now.Mono))})
		w.token = 0
	}
	out := wire.Out{Sends: append(w.tell(w.hand.Out()), w.roster.Out()...), Calls: w.hand.Calls(), Answers: w.outs, Idle: w.drain && w.token == 0}
	w.outs = nil
	return out
}

// tell sends reports of ends to every controller: the leader may be gone, and so may
// this machine before another one leads.
func (w *Agent) tell(list []wire.Send) []wire.Send {
	for _, s := range list {
		if s.Message.Kind != wire.Status {
			continue
		}
		for _, c := range w.roster.Known("controller") {
			if c.Addr != s.To {
				list = append(list, wire.Send{To: c.Addr, Message: s.Message})
			}
		}
	}
	return list
}

func (w *Agent) take(n wire.Message) {
	if w.roster.Take(w.now.Mono, n) {
		return
	}
	w.hand.Take(w.now.Mono, n)
	switch n.Kind {
	case wire.Order:
		w.Sums.Orders++
		if o, ok := wire.Read[dispatch.Order](n); ok {
			w.Trail.Add(w.now.Wall, trace.Job(o.Job.Attempt.Job), "order came", "leg", o.Job.Attempt)
		}
	case wire.Stop:
		w.Sums.Stops++
		if s, ok := wire.Read[dispatch.Stop](n); ok {
			for _, l := range s.Attempts {
				w.Trail.Add(w.now.Wall, trace.Job(l.Job), "stop came", "leg", l)
			}
		}
	}
}

var asks = map[string]func(*Agent, wire.Ask){"poll": (*Agent).poll, "beat": (*Agent).beat, "leave": (*Agent).leave}

// beat takes what a worker that is called tells of itself.
func (w *Agent) beat(a wire.Ask) {
	var b wire.WorkerBeat
	if json.Unmarshal(a.Body, &b) != nil || b.Life == "" || b.To == "" {
		w.outs = append(w.outs, wire.Answer{Token: a.Token, Fault: apierror.New(apierror.BadBody, "", "not a worker's beat")})
		return
	}
	w.hand.Beat(w.now.Mono, b)
	w.outs = append(w.outs, wire.Answer{Token: a.Token, Code: 200})
}

// leave takes it that a worker process ends now.
func (w *Agent) leave(a wire.Ask) {
	w.hand.Leave(w.now.Mono, types.ID(a.Arg))
	w.outs = append(w.outs, wire.Answer{Token: a.Token, Code: 200})
}

// poll takes a worker's call; the one held before it is then answered as stale.
func (w *Agent) poll(a wire.Ask) {
	w.Sums.Polls++
	var p dispatch.Poll
	var heap apierror.ErrorList
	if json.Unmarshal(a.Body, &p) != nil {
		heap.Add(apierror.BadBody, "", "not a worker's call")
	} else {
		p.Check(&heap)
	}
	if bad := heap.First(); bad != nil {
		w.outs = append(w.outs, wire.Answer{Token: a.Token, Fault: bad})
		return
	}
	if !w.hand.Poll(w.now.Mono, p) {
		w.Sums.Stale++
		w.outs = append(w.outs, wire.Answer{Token: a.Token, Fault: apierror.New(apierror.Stale, "call", "older than the latest call, or another worker still holds a grant")})
		return
	}
	if w.token != 0 {
		w.outs = append(w.outs, wire.Answer{Token: w.token, Fault: apierror.New(apierror.Stale, "call", "a newer call has come")})
	}
	for _, e := range p.Ends {
		w.Trail.Add(w.now.Wall, trace.Job(e.Attempt.Job), "worker told an end", "leg", e.Attempt, "fate", e.Outcome)
	}
	w.token, w.since = a.Token, w.now.Mono
}

// StatusView is an agent's account of itself.
type StatusView struct {
	Role    string            `json:"role"`
	Program string            `json:"program"`
	Ready   bool              `json:"ready"`
	Leader  types.Addr        `json:"leader"`
	QuietMS int64             `json:"worker_quiet_ms"`
	Account dispatch.View     `json:"account"`
	Peers   []membership.Peer `json:"mates"`
	Sums    Sums              `json:"sums"`
}

func (w *Agent) Status() StatusView {
	return StatusView{Role: "agent", Program: w.place.Issue, Ready: w.Ready(), Leader: w.roster.Lead(),
		QuietMS: min(1<<40, w.hand.Quiet(w.now.Mono).Milliseconds()), Account: w.hand.View(), Peers: w.roster.Peers(), Sums: w.Sums}
}
