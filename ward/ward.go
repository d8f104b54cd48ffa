// Package ward is the daemon beside each worker as one state machine: the
// dispatcher's half, the roster, and the worker's calls held until there is
// news for it.
package ward

import (
	"encoding/json"
	"math/rand"
	"time"

	"coppercourse/fault"
	"coppercourse/kin"
	"coppercourse/mark"
	"coppercourse/trail"
	"coppercourse/truth"
	"coppercourse/word"
)

// Place is where and for which worker a ward runs.
type Place struct {
	Addr  mark.Addr
	Loc   mark.Locality
	Shard mark.Shard
	Seeds []mark.Addr
	Issue string
	Truth truth.Pace
}

// hold is how long a worker's call is kept when there is nothing to tell.
const hold = 150 * time.Millisecond

// Ward is one worker's daemon.
type Ward struct {
	place Place
	now   mark.Now
	kin   *kin.Roster
	hand  *truth.Hand
	Trail *trail.Ring
	token uint64
	since mark.Stamp
	drain bool
	outs  []word.Answer
	Sums  Sums
}

// Sums are counters since start.
type Sums struct {
	Polls, Stale, Orders, Stops uint64
}

func New(now mark.Now, rnd *rand.Rand, p Place) *Ward {
	w := &Ward{place: p, now: now, Trail: trail.New()}
	w.hand = truth.NewHand(now.Mono, p.Truth, p.Addr, p.Shard, func() mark.ID { return mark.Mint(rnd) })
	w.kin = kin.New(rnd, w.card(), p.Seeds)
	return w
}

func (w *Ward) card() kin.Card {
	c := kin.Card{Addr: w.place.Addr, Role: "ward", Loc: w.place.Loc, Part: string(w.place.Shard), Ready: w.Ready(), Issue: w.place.Issue}
	if w.kin != nil {
		c.Name = w.kin.Cluster()
	}
	return c
}

// Ready tells whether the ward takes its worker's calls.
func (w *Ward) Ready() bool { return !w.drain }

// Leader is whom the ward holds for the leader now.
func (w *Ward) Leader() mark.Addr { return w.kin.Lead() }

// Step takes one event.
func (w *Ward) Step(e word.Event) word.Out {
	w.now = e.Now
	switch {
	case e.Note != nil:
		w.take(*e.Note)
	case e.Ask != nil:
		if f := asks[e.Ask.Verb]; f != nil {
			f(w, *e.Ask)
		} else {
			w.outs = append(w.outs, word.Answer{Token: e.Ask.Token, Fault: fault.New(fault.NoPath, "", "no such verb")})
		}
	case e.Reply != nil:
		w.hand.Back(w.now.Mono, *e.Reply)
	case e.Close:
		w.drain = true
	default:
		w.kin.Me(w.card())
		w.kin.Tick(w.now.Mono)
		w.hand.Tick(w.now.Mono, w.kin.Lead())
	}
	if w.token != 0 && (w.hand.News() || w.drain || w.now.Mono.Sub(w.since) >= hold) {
		w.outs = append(w.outs, word.Answer{Token: w.token, Code: 200, Body: word.Body(w.hand.Reply(w.now.Mono))})
		w.token = 0
	}
	out := word.Out{Sends: append(w.tell(w.hand.Out()), w.kin.Out()...), Calls: w.hand.Calls(), Answers: w.outs, Idle: w.drain && w.token == 0}
	w.outs = nil
	return out
}

// tell sends reports of ends to every helm: the leader may be gone, and so may
// this machine before another one leads.
func (w *Ward) tell(list []word.Send) []word.Send {
	for _, s := range list {
		if s.Note.Kind != word.Status {
			continue
		}
		for _, c := range w.kin.Known("helm") {
			if c.Addr != s.To {
				list = append(list, word.Send{To: c.Addr, Note: s.Note})
			}
		}
	}
	return list
}

func (w *Ward) take(n word.Note) {
	if w.kin.Take(w.now.Mono, n) {
		return
	}
	w.hand.Take(w.now.Mono, n)
	switch n.Kind {
	case word.Order:
		w.Sums.Orders++
		if o, ok := word.Read[truth.Order](n); ok {
			w.Trail.Add(w.now.Wall, trail.Job(o.Job.Leg.Job), "order came", "leg", o.Job.Leg)
		}
	case word.Stop:
		w.Sums.Stops++
		if s, ok := word.Read[truth.Stop](n); ok {
			for _, l := range s.Legs {
				w.Trail.Add(w.now.Wall, trail.Job(l.Job), "stop came", "leg", l)
			}
		}
	}
}

var asks = map[string]func(*Ward, word.Ask){"poll": (*Ward).poll, "beat": (*Ward).beat, "leave": (*Ward).leave}

// beat takes what a worker that is called tells of itself.
func (w *Ward) beat(a word.Ask) {
	var b word.WorkerBeat
	if json.Unmarshal(a.Body, &b) != nil || b.Life == "" || b.To == "" {
		w.outs = append(w.outs, word.Answer{Token: a.Token, Fault: fault.New(fault.BadBody, "", "not a worker's beat")})
		return
	}
	w.hand.Beat(w.now.Mono, b)
	w.outs = append(w.outs, word.Answer{Token: a.Token, Code: 200})
}

// leave takes it that a worker process ends now.
func (w *Ward) leave(a word.Ask) {
	w.hand.Leave(w.now.Mono, mark.ID(a.Arg))
	w.outs = append(w.outs, word.Answer{Token: a.Token, Code: 200})
}

// poll takes a worker's call; the one held before it is then answered as stale.
func (w *Ward) poll(a word.Ask) {
	w.Sums.Polls++
	var p truth.Poll
	var heap fault.Heap
	if json.Unmarshal(a.Body, &p) != nil {
		heap.Add(fault.BadBody, "", "not a worker's call")
	} else {
		p.Check(&heap)
	}
	if bad := heap.First(); bad != nil {
		w.outs = append(w.outs, word.Answer{Token: a.Token, Fault: bad})
		return
	}
	if !w.hand.Poll(w.now.Mono, p) {
		w.Sums.Stale++
		w.outs = append(w.outs, word.Answer{Token: a.Token, Fault: fault.New(fault.Stale, "call", "older than the latest call, or another worker still holds a grant")})
		return
	}
	if w.token != 0 {
		w.outs = append(w.outs, word.Answer{Token: w.token, Fault: fault.New(fault.Stale, "call", "a newer call has come")})
	}
	for _, e := range p.Ends {
		w.Trail.Add(w.now.Wall, trail.Job(e.Leg.Job), "worker told an end", "leg", e.Leg, "fate", e.Fate)
	}
	w.token, w.since = a.Token, w.now.Mono
}

// StatusView is a ward's account of itself.
type StatusView struct {
	Role    string     `json:"role"`
	Program string     `json:"program"`
	Ready   bool       `json:"ready"`
	Leader  mark.Addr  `json:"leader"`
	QuietMS int64      `json:"worker_quiet_ms"`
	Account truth.View `json:"account"`
	Mates   []kin.Mate `json:"mates"`
	Sums    Sums       `json:"sums"`
}

func (w *Ward) Status() StatusView {
	return StatusView{Role: "ward", Program: w.place.Issue, Ready: w.Ready(), Leader: w.kin.Lead(),
		QuietMS: min(1<<40, w.hand.Quiet(w.now.Mono).Milliseconds()), Account: w.hand.View(), Mates: w.kin.Mates(), Sums: w.Sums}
}
