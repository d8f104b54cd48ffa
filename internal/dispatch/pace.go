// How fast workers that are called get on. An agent is told how far each attempt is,
// and tells the leader how long it will take in all, when that is known and when it
// changes. The leader sets it beside the other tasks of the same step elsewhere:
// estimates are wrong by half and more, but alike for all of a step. So a slow
// worker shows within a second, and attempts that are far behind their like. With
// nothing to tell by, a worker is slowly trusted again.
package dispatch

import (
	"math"
	"slices"
	"time"

	"coppercourse/internal/types"
)

const (
	brief  = 60 * time.Millisecond  // an attempt that runs for less tells nothing
	still  = 300 * time.Millisecond // one that has not moved for so long stands still
	worst  = 10                     // times what it has run, for one that stands still
	change = 1.3                    // what is told is told again when it changes so much
	trust  = 2 * time.Second        // half of a bad name is forgotten in so long
	tells  = 1.4                    // a worker that is slower than this is known as slow
	far    = 2.2                    // an attempt so far behind its like is late
	like   = 2                      // others of its step that it is set beside, at least
	keeps  = 30 * time.Second       // how long a step's times are remembered
)

// Span is how long an attempt takes in all, as far as can be told.
type Span struct {
	Attempt types.AttemptID `json:"leg"`
	MS      int64           `json:"ms"`
}

// span is how long an attempt will take in all, or 0 if that can't be told.
func (a *attempt) span(now types.MonoTime) time.Duration {
	ran := a.read.Sub(a.from)
	switch {
	case a.part != going || a.read == 0 || ran < brief:
		return 0
	case a.done <= 0 && now.Sub(a.moved) < 2*still:
		return 0 // it may wait for its gang
	case now.Sub(a.moved) > still && a.read.Sub(a.moved) > still:
		return worst * ran
	case a.done <= 0:
		return 0
	}
	return time.Duration(float64(ran) * 100 / a.done)
}

// spans lists what there is to tell of the attempts' times.
func (ex *Executor) spans() (list []Span) {
	for _, l := range ex.sorted() {
		d := l.span(ex.now)
		if d == 0 || l.spoke > 0 && float64(d) < change*float64(l.spoke) && float64(l.spoke) < change*float64(d) {
			continue
		}
		l.spoke = d
		list = append(list, Span{l.job.Attempt, d.Milliseconds()})
	}
	return
}

// stage is one step of one job at one time.
type stage struct {
	job types.JobID
	at  types.Stage
}

// times are what the attempts of a stage take, and where.
type times struct {
	list   []sample
	at     types.MonoTime
	median time.Duration // of all samples, or 0 where it is to be worked out anew
}

type sample struct {
	attempt types.AttemptID
	shard   types.Shard
	took    time.Duration
}

// elsewhere is the median of what the stage takes on other workers.
func (t *times) elsewhere(shard types.Shard) (time.Duration, bool) {
	list := t.sorted(func(x sample) bool { return x.shard != shard })
	if len(list) < like {
		return 0, false
	}
	return list[len(list)/2], true
}

func (t *times) sorted(only func(sample) bool) (list []time.Duration) {
	for _, x := range t.list {
		if only(x) {
			list = append(list, x.took)
		}
	}
	slices.Sort(list)
	return
}

// took takes what an attempt takes, or has taken, and what that tells of its
// worker and of itself.
func (sc *Scheduler) took(o *Hold, d time.Duration, over bool) {
	if o.Stage < 0 || d <= 0 {
		return
	}
	k := stage{o.Attempt.Job, o.Stage}
	t := sc.stages[k]
	if t == nil {
		t = &times{}
		sc.stages[k] = t
	}
	t.at = sc.now
	i := slices.IndexFunc(t.list, func(x sample) bool { return x.attempt == o.Attempt })
	if i < 0 {
		t.list, i = append(t.list, sample{attempt: o.Attempt, shard: o.Shard}), len(t.list)
	}
	t.list[i].took, t.median = d, 0
	usual, ok := t.elsewhere(o.Shard)
	s := sc.seats[o.Shard]
	if !ok || s == nil {
		return
	}
	s.fade(sc.now)
	s.pace += 0.2 * (math.Log(min(worst, max(1.0/worst, float64(d)/float64(usual)))) - s.pace)
	o.Late = 0
	if end := o.At.Add(d); !over && float64(d) > far*float64(usual) {
		o.Late = end
	}
}

// Took is what the tasks of a step take, as far as is known: the median of those
// that have ended or told how far they are.
func (sc *Scheduler) Took(job types.JobID, step int) (time.Duration, bool) {
	t := sc.stages[stage{job, types.StageOf(types.TaskNumber(0, step, 0))}]
	if t == nil {
		return 0, false
	}
	if t.median == 0 {
		list := t.sorted(func(sample) bool { return true })
		t.median = list[len(list)/2]
	}
	return t.median, true
}

// fade forgets a bad name with time.
func (w *WorkerEntry) fade(now types.MonoTime) {
	w.pace *= math.Exp2(-now.Sub(w.paced).Seconds() / trust.Seconds())
	w.paced = now
}

// Slow is how many times the usual a worker's attempts take now; 0 is as usual.
func (sc *Scheduler) Slow(s *WorkerEntry) float64 {
	s.fade(sc.now)
	if x := math.Exp(s.pace); x > tells {
		return x
	}
	return 0
}

// outlive forgets stages of which nothing was heard for long.
func (sc *Scheduler) outlive() {
	for k, t := range sc.stages {
		if sc.now.Sub(t.at) > keeps {
			delete(sc.stages, k)
		}
	}
}
