// What a job can still be worth: whether it can be done within the aim of its
// queue, by what its steps are expected to take. A job's own estimates are rough
// and so is the mean of its queue's steps; between the two lies the best guess.
package helm

import (
	"math"
	"time"

	"coppercourse/blueprint"
	"coppercourse/choice"
	"coppercourse/mark"
	"coppercourse/store"
)

const (
	lates   = 3  // times its aim, until which a job is worth something
	patient = 40 // percent of its aim: work that has so much time left can wait
	spare   = 60 // percent of all cores that are kept at most for what goes first
	halving = 10 * time.Second
)

// expect is how long a task of a step is expected to take.
func (h *Helm) expect(j *store.Job, step int) time.Duration {
	own := time.Duration(j.Spec.Steps[step].Estimate) * time.Millisecond
	u, ok := h.head.Usual(usual(j, mark.StageOf(mark.No(0, step, 0))))
	switch {
	case !ok:
		return own
	case own == 0:
		return u
	}
	return time.Duration(math.Sqrt(float64(own) * float64(u)))
}

// weigh takes a new job into the mean of its queue's.
func (h *Helm) weigh(j *store.Job) {
	work := 0.0
	for i, p := range j.Spec.Steps {
		work += float64(p.Tasks) * h.expect(j, i).Seconds() * float64(p.Room.Cores) / float64(mark.Core)
	}
	if m, ok := h.works[j.Queue]; ok {
		work = m + (work-m)/16
	}
	h.works[j.Queue] = work
}

// mean is the work of a queue's jobs, in core-seconds.
func (h *Helm) mean(q mark.Queue) float64 { return max(h.works[q], 0.001) }

// aim tells what a job can still be worth, and how soon it should have its turn:
// the less work it has left and the less time, the sooner.
func (h *Helm) aim(j *store.Job, row blueprint.Row, x *store.Heat, b store.Batch) (choice.Class, float64, bool) {
	if !row.Aims() {
		return choice.InAim, 0, false
	}
	cost := func(step int) time.Duration { return h.expect(j, step) }
	rest := 0.0
	for i, n := range x.Left {
		rest += float64(n) * cost(i).Seconds() * float64(j.Spec.Steps[i].Room.Cores) / float64(mark.Core)
	}
	if j.Spec.Steps[b.Stage.Step()].Lasts {
		return choice.InAim, rest, false
	}
	aim := time.Duration(row.Stretch*float64(j.Spec.Chain(-1, cost))) + time.Duration(row.Target)*time.Millisecond
	left := b.From.Add(aim).Sub(h.core.Clock()) - j.Spec.Chain(b.Stage.Step(), cost)
	rest = rest/(rest+h.mean(j.Queue)) + left.Seconds()/aim.Seconds()
	switch {
	case left > -aim/8: // the guess is no better than that
		return choice.InAim, rest, left > aim*patient/100
	case left+(lates-1)*aim > 0:
		return choice.Late, rest, false
	}
	return choice.Spent, rest, false
}

// caps keeps room for what goes first: patient work of later queues, whose tasks
// may take long, leaves free what the queues before it have lately needed at once.
func (h *Helm) caps(in choice.Input) {
	fade := math.Exp2(-h.now.Mono.Sub(h.peaked).Seconds() / halving.Seconds())
	h.peaked = h.now.Mono
	for q, d := range in.Dues {
		h.peaks[q] = max(float64(d.Cores), h.peaks[q]*fade)
	}
	for _, d := range in.Dues {
		if !d.Row.Aims() {
			continue
		}
		first, beside := 0.0, mark.Cores(0)
		for q, o := range in.Dues {
			switch {
			case o.Row.Priority < d.Row.Priority:
				first += h.peaks[q]
			case o != d:
				beside += o.Cores
			}
		}
		if first > 0 {
			first = min(first, float64(in.Total)*spare/100)
			d.Cap = max(1, in.Total-mark.Cores(first)-beside)
		}
	}
}
