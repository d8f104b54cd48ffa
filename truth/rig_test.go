// A rig for the ward's side towards a called worker: a leader's half, a ward's half
// and the stand-in worker with a shared time, a log that keeps the first end of each
// leg, and calls that a test carries, loses, or has carried out late, one by one.
package truth_test

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"coppercourse/mark"
	"coppercourse/store"
	"coppercourse/trial"
	"coppercourse/truth"
	"coppercourse/word"
)

const ms = time.Millisecond

// ample is a pace with leases of five seconds.
var ample = func() truth.Pace {
	p := truth.Defaults
	p.Grant, p.Loss = 5*time.Second, 6*time.Second
	return p
}()

// way is what becomes of a call.
type way int

const (
	fine   way = iota
	lost       // it never comes, and nothing is heard
	unsaid     // it is carried out, and nothing is heard
	late       // nothing is heard, and it is carried out later
)

type due struct {
	at mark.Stamp
	no int
	do func()
}

type rig struct {
	t      *testing.T
	rnd    *rand.Rand
	pace   truth.Pace
	now    mark.Stamp
	term   mark.Term
	head   *truth.Head
	hand   *truth.Hand
	worker *trial.Called
	floor  *trial.Floor
	made   trial.Make
	lives  int
	wards  int
	seq    uint64
	cut    bool          // leader and ward hear nothing of each other
	grace  time.Duration // how long the leader may let others act on its word
	idle   bool          // the worker's own beats stop
	how    func(word.WorkerCall) way
	lag    func() time.Duration // of a call that is late
	spy    func(word.WorkerCall)
	tap    func(word.Send) // hears what the ward says
	slow   time.Duration   // of replies to holds
	plan   []due
	no     int

	out    map[mark.Leg]bool       // given out, not ended in the log
	log    map[mark.Leg]store.Fate // the first end of each
	runs   map[mark.Leg]bool       // on the worker now
	began  map[mark.Leg]int
	hows   map[mark.Leg]word.How
	noted  map[mark.Leg]bool
	flight map[store.End]bool
	shows  []store.End // what the ward has told, in order
}

func newRig(t *testing.T, seed int64, pace truth.Pace) *rig {
	r := &rig{t: t, rnd: rand.New(rand.NewSource(seed)), pace: pace, grace: pace.Grant, now: mark.Stamp(time.Hour),
		floor: trial.NewFloor(trial.Manner{Lease: 6 * time.Second, Stop: 400 * ms, Gang: 3 * time.Second, Save: 2 * time.Second, Restore: 600 * ms, Far: 1.5}),
		made:  trial.Make{Shard: "s", Rack: "r", Kinds: []mark.Kind{"x"}, Room: mark.Room{Cores: 8 * mark.Core}, Guards: true},
		how:   func(word.WorkerCall) way { return fine }, lag: func() time.Duration { return 3 * time.Second },
		out: map[mark.Leg]bool{}, log: map[mark.Leg]store.Fate{}, runs: map[mark.Leg]bool{}, began: map[mark.Leg]int{},
		hows: map[mark.Leg]word.How{}, noted: map[mark.Leg]bool{}, flight: map[store.End]bool{}}
	r.lead()
	r.ward()
	r.life()
	r.every(10*ms, func() {
		if r.worker != nil {
			r.worker.Tick()
		}
	})
	r.every(20*ms, func() { r.hand.Tick(r.now, "h"); r.flow() })
	r.every(20*ms, func() { r.head.Tick(r.now, r.grace); r.flow() })
	r.every(1500*ms, func() {
		if r.worker != nil && !r.idle {
			r.hand.Beat(r.now, r.beat())
			r.flow()
		}
	})
	return r
}

// at has something done after a time.
func (r *rig) at(d time.Duration, do func()) {
	r.no++
	r.plan = append(r.plan, due{r.now.Add(d), r.no, do})
	sort.Slice(r.plan, func(i, k int) bool {
		a, b := r.plan[i], r.plan[k]
		return a.at < b.at || a.at == b.at && a.no < b.no
	})
}

func (r *rig) every(d time.Duration, do func()) {
	r.at(d, func() { do(); r.every(d, do) })
}

// pass lets time go by.
func (r *rig) pass(d time.Duration) {
	end := r.now.Add(d)
	for r.plan[0].at <= end {
		x := r.plan[0]
		r.plan = r.plan[1:]
		r.now = x.at
		x.do()
	}
	r.now = end
}

// lead has another leader take over; what the old one had proposed is gone.
func (r *rig) lead() {
	r.term++
	var outs []truth.Hold
	for l := range r.out {
		outs = append(outs, truth.Hold{Leg: l, Shard: "s", Room: mark.Room{Cores: mark.Core}})
	}
	sort.Slice(outs, func(i, k int) bool { return outs[i].Leg.Least(outs[k].Leg) })
	h := truth.NewHead(r.now, r.now, r.pace, "h", r.term, outs)
	h.Taken = func(e store.End) bool { _, ok := r.log[e.Leg]; return ok || !r.out[e.Leg] }
	h.Apart = func(mark.Shard) bool { return false }
	h.Invoked = func(mark.Shard) bool { return true }
	h.Doubts = func(mark.Shard) []mark.Leg { return nil }
	r.head = h
	clear(r.flight)
}

// ward starts a ward that knows nothing.
func (r *rig) ward() {
	r.wards++
	n := 0
	r.hand = truth.NewHand(r.now, r.pace, "w", "s", func() mark.ID { n++; return mark.ID(fmt.Sprintf("w%d.%d", r.wards, n)) })
}

// life starts a worker process.
func (r *rig) life() {
	r.lives++
	id := mark.ID(fmt.Sprint("k", r.lives))
	r.seq = 0
	clear(r.runs)
	r.worker = trial.NewCalled(r.made, id, r.floor, r.rnd, func() mark.Stamp { return r.now }, func(h trial.Happening) {
		if r.worker == nil || mark.ID(h.Who) != r.worker.ID {
			return
		}
		switch h.What {
		case trial.Started:
			r.runs[h.Leg] = true
			r.began[h.Leg]++
			if f, ok := r.log[h.Leg]; ok {
				r.t.Errorf("%v starts, although the log has it as %s", h.Leg, f)
			}
		case trial.Ended:
			delete(r.runs, h.Leg)
			r.hows[h.Leg] = h.How
		case trial.Noted:
			r.noted[h.Leg] = true
			if f := r.log[h.Leg]; h.How == word.Done && f != store.OK {
				r.t.Errorf("%v is noted as done, and the log has it as %q", h.Leg, f)
			}
		}
	})
	r.worker.Lax = true
}

func (r *rig) die() {
	r.worker = nil
	clear(r.runs)
}

func (r *rig) beat() word.WorkerBeat {
	r.seq++
	return word.WorkerBeat{Life: r.worker.ID, To: "k", Seq: r.seq, Rack: "r", Kinds: r.made.Kinds, Room: r.made.Room, Clock: r.worker.Clock()}
}

// flow carries all that the two halves want sent and called.
func (r *rig) flow() {
	for more := true; more; {
		sends, ends := r.head.Out()
		r.propose(ends)
		from := r.hand.Out()
		more = len(sends)+len(from) > 0
		for _, s := range from {
			if u, ok := word.Read[truth.Status](s.Note); ok && s.Note.Kind == word.Status {
				r.shows = append(r.shows, u.Ends...)
			}
			if r.tap != nil {
				r.tap(s)
			}
			if !r.cut {
				r.head.Take(r.now, r.grace, s.Note)
			}
		}
		for _, s := range sends {
			if !r.cut {
				r.hand.Take(r.now, s.Note)
			}
		}
		for _, c := range r.hand.Calls() {
			more = true
			r.call(c)
		}
	}
}

func (r *rig) call(c word.WorkerCall) {
	if r.spy != nil {
		r.spy(c)
	}
	hand, over := r.hand, false
	back := func(x word.WorkerReply) {
		if !over && r.hand == hand {
			over = true
			x.No = c.No
			r.hand.Back(r.now, x)
			r.flow()
		}
	}
	mute := func(word.WorkerReply) {}
	do := func(reply func(word.WorkerReply)) {
		if r.worker == nil {
			return
		}
		r.worker.Do(c, reply)
	}
	r.at(c.Limit, func() { back(word.WorkerReply{Result: word.Silent}) })
	switch r.how(c) {
	case fine:
		r.at(ms, func() {
			do(func(x word.WorkerReply) {
				d := ms
				if c.Kind == word.Hold {
					d += r.slow
				}
				r.at(d, func() { back(x) })
			})
		})
	case unsaid:
		r.at(ms, func() { do(mute) })
	case late:
		r.at(r.lag(), func() { do(mute) })
	}
}

// propose puts ends into the log a little later; the first one of a leg stands.
func (r *rig) propose(list []store.End) {
	for _, e := range list {
		if r.flight[e] {
			continue
		}
		r.flight[e] = true
		head := r.head
		r.at(time.Duration(5+r.rnd.Intn(40))*ms, func() {
			if r.head != head {
				return
			}
			delete(r.flight, e)
			if _, ok := r.log[e.Leg]; !ok && r.out[e.Leg] {
				r.commit(e)
			}
			r.head.Settle([]store.End{e})
			r.flow()
		})
	}
}

func (r *rig) commit(e store.End) {
	r.log[e.Leg] = e.Fate
	delete(r.out, e.Leg)
	switch {
	case e.Fate == store.OK:
	case r.runs[e.Leg]:
		r.t.Errorf("the log has %v as %s while it runs", e.Leg, e.Fate)
	case r.noted[e.Leg] && r.hows[e.Leg] == word.Done:
		r.t.Errorf("the log has %v as %s after its good end was noted", e.Leg, e.Fate)
	}
}

// give has the leader give a leg out.
func (r *rig) give(l mark.Leg, work string) {
	r.out[l] = true
	r.head.Order("s", 0, "", truth.Job{Leg: l, Kind: "x", Room: mark.Room{Cores: mark.Core}, Work: []byte(work)})
	r.flow()
}

func leg(job string, n int) mark.Leg { return mark.Leg{Task: mark.Task{Job: mark.JobID(job)}, Leg: n} }

// ready is a rig in which all have found each other healthy.
func ready(t *testing.T, seed int64) *rig { return paced(t, seed, truth.Defaults) }

func paced(t *testing.T, seed int64, pace truth.Pace) *rig {
	r := newRig(t, seed, pace)
	r.pass(pace.Loss + 1500*ms)
	if s := r.hand.View().State; s != truth.Healthy {
		t.Fatal("the ward is", s)
	}
	return r
}

// part is how the ward has a leg: its part, and its fate.
func (r *rig) part(l mark.Leg) (string, store.Fate) {
	for _, v := range r.hand.View().Legs {
		if v.Leg == l {
			return v.Part, v.Fate
		}
	}
	return "", ""
}
