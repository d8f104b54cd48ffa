// Package trial is the proof: stand-in workers and callers, a simulator that
// drives the very machines of the daemons under faults, a fleet of real
// processes, and the checker of the history that workers and callers saw. This
// file is the worker: it runs legs by the clock and guards its own room.
package trial

import (
	"encoding/json"
	"math/rand"
	"sort"
	"time"

	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/truth"
)

// Make is what a worker is made of, and how it misbehaves.
type Make struct {
	Shard mark.Shard
	Rack  mark.Rack
	Kinds []mark.Kind
	Room  mark.Room
	Slow  float64 // times the usual length; 0 is 1
	Fails float64 // part of its legs that fail
	Stall float64 // part of its legs that take ten times as long

	Labels []string
	Guards bool // of one that is called: it turns away what does not fit
}

type run struct {
	job   truth.Job
	ends  mark.Stamp
	fate  store.Fate
	crash bool
}

// Worker is one stand-in worker process.
type Worker struct {
	Make
	ID            mark.ID
	Ward          mark.ID
	Leave         bool
	Goes          mark.Stamp // when it goes, if it said so
	Crashed       bool
	Deaf, Willing bool // planted bugs: heeds no grant; guards neither room nor leaving
	rnd           *rand.Rand
	call          uint64
	until         mark.Stamp
	runs          map[mark.Leg]*run
	ends          map[mark.Leg]truth.Finish
	News          bool // a leg has ended since the latest call
	tell          func(Happening)
}

// NewWorker starts a worker process; what happens on it goes to tell.
func NewWorker(m Make, id mark.ID, rnd *rand.Rand, tell func(Happening)) *Worker {
	if m.Slow == 0 {
		m.Slow = 1
	}
	return &Worker{Make: m, ID: id, rnd: rnd, runs: map[mark.Leg]*run{}, ends: map[mark.Leg]truth.Finish{}, tell: tell, until: -1 << 61}
}

func (w *Worker) say(what What, l mark.Leg, f store.Fate) {
	w.tell(Happening{What: what, Who: string(w.ID), Shard: w.Shard, Leg: l, Fate: f})
}

// Tick looks at the grant first, then ends what is due.
func (w *Worker) Tick(now mark.Stamp) {
	for _, l := range w.sorted() {
		r := w.runs[l]
		switch {
		case now >= w.until && !w.Deaf:
			w.end(r, store.Halted)
		case now >= r.ends && r.crash:
			w.Crashed = true
		case now >= r.ends:
			w.end(r, r.fate)
		}
	}
}

func (w *Worker) sorted() []mark.Leg {
	list := make([]mark.Leg, 0, len(w.runs))
	for l := range w.runs {
		list = append(list, l)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Least(list[k]) })
	return list
}

func (w *Worker) end(r *run, f store.Fate) {
	delete(w.runs, r.job.Leg)
	w.News = true
	w.ends[r.job.Leg] = truth.Finish{Run: truth.Run{Leg: r.job.Leg, Room: r.job.Room}, Fate: f}
	w.say(Ended, r.job.Leg, f)
}

// Call makes the next call to the ward.
func (w *Worker) Call(now mark.Stamp) truth.Poll {
	w.Tick(now)
	w.call++
	w.News = false
	p := truth.Poll{Worker: w.ID, Ward: w.Ward, Call: w.call, Stamp: now, Rack: w.Rack, Kinds: w.Kinds, Room: w.Room, Leave: w.Leave}
	if w.Leave && w.Goes > 0 {
		p.GoMS = max(1, w.Goes.Sub(now).Milliseconds())
	}
	for _, l := range w.sorted() {
		p.Runs = append(p.Runs, truth.Run{Leg: l, Room: w.runs[l].job.Room})
	}
	for _, f := range w.ends {
		p.Ends = append(p.Ends, f)
	}
	sort.Slice(p.Ends, func(i, k int) bool { return p.Ends[i].Leg.Least(p.Ends[k].Leg) })
	return p
}

// Take heeds an answer, if it is to the latest call.
func (w *Worker) Take(now mark.Stamp, a truth.Answer) {
	w.Tick(now)
	if a.Call != w.call {
		return
	}
	w.Ward, w.until = a.Ward, a.Until
	for _, l := range a.Settled {
		if _, ok := w.ends[l]; ok {
			delete(w.ends, l)
			w.say(Settled, l, "")
		}
	}
	for _, l := range a.Stop {
		if r := w.runs[l]; r != nil {
			w.end(r, store.Halted)
		}
	}
	w.Tick(now)
	free := w.Room
	for _, r := range w.runs {
		free = free.Minus(r.job.Room)
	}
	for _, j := range a.Start {
		if _, old := w.ends[j.Leg]; old || w.runs[j.Leg] != nil || now >= w.until {
			continue
		}
		if (w.Leave || !free.Holds(j.Room)) && !w.Willing {
			w.ends[j.Leg] = truth.Finish{Run: truth.Run{Leg: j.Leg, Room: j.Room}, Fate: store.Unrun}
			w.say(Spared, j.Leg, store.Unrun)
			continue
		}
		free = free.Minus(j.Room)
		w.start(now, j)
	}
}

func (w *Worker) start(now mark.Stamp, j truth.Job) {
	var k Work
	json.Unmarshal(j.Work, &k)
	long := float64(k.MS) * w.Slow
	if w.Stall > 0 && w.rnd.Float64() < w.Stall {
		long *= 10
	}
	r := &run{job: j, ends: now.Add(time.Duration(long * float64(time.Millisecond))), fate: store.OK, crash: k.Crash}
	if k.Fail || w.Fails > 0 && w.rnd.Float64() < w.Fails {
		r.fate = store.Bad
	}
	w.runs[j.Leg] = r
	w.say(Started, j.Leg, "")
}
