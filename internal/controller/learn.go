// How long tasks take, learned from the log by every controller, so that a new leader
// knows what the last one did. A job's own estimate is only as good as those of its
// queue have been: it and the queue's mean are weighed by how far each was off.
package controller

import (
	"maps"
	"math"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// habit is what is known of the steps of a queue: the mean of the logarithms of
// their tasks' times, how far the times lie from it, and how far the estimates do.
type habit struct {
	count float64 // steps, with those long past left out
	mean  float64
	vary  float64
	miss  float64
}

const (
	recall = 64   // steps that count
	doubt  = 0.25 // how far estimates are taken to be off before anything is known
	guess  = 1.0  // and how far times are from their mean
	priors = 4    // steps that this counts for
)

// add takes what a task took, as a part of its step.
func (h *habit) add(took, own time.Duration, part float64) {
	x := math.Log(max(took, time.Millisecond).Seconds())
	h.count = min(recall, h.count+part)
	w := min(1, part/h.count)
	far := x - h.mean
	h.mean += w * far
	h.vary += w * (far*(x-h.mean) - h.vary)
	if own > 0 {
		off := x - math.Log(own.Seconds())
		h.miss += w * (off*off - h.miss)
	}
}

// expect weighs a step's own estimate, or 0, against the mean.
func (h *habit) expect(own time.Duration) time.Duration {
	switch {
	case h == nil || h.count < 1:
		return own
	case own <= 0:
		return time.Duration(math.Exp(h.mean) * float64(time.Second))
	}
	old := h.count / (h.count + priors)
	vary, miss := guess+old*(h.vary-guess), doubt+old*(h.miss-doubt)
	trust := vary / (vary + miss + 1e-6)
	return time.Duration(math.Exp(h.mean+trust*(math.Log(own.Seconds())-h.mean)) * float64(time.Second))
}

// course is what the tasks of a step have taken so far.
type course struct {
	logs  float64
	count float64
}

// learn takes the good ends of a fact that is about to be applied.
func (co *Controller) learn(f state.Command) {
	if len(co.courses) > 2*len(co.state.LiveJobs())+64 {
		maps.DeleteFunc(co.courses, func(id types.JobID, _ []course) bool { j := co.state.Jobs[id]; return j == nil || j.Ended() })
	}
	for _, e := range f.Ends {
		j := co.state.Jobs[e.ID.Job]
		if e.Outcome != state.OutcomeOK || j == nil || j.Ended() {
			continue
		}
		t := j.Task(e.ID.Number)
		if t == nil || t.Done || t.FindOutstanding(e.ID.Attempt) == nil {
			continue
		}
		step := types.StageOf(e.ID.Number).Step()
		p := &j.Spec.Steps[step]
		took := max(time.Millisecond, f.Time.Sub(t.FindOutstanding(e.ID.Attempt).AssignedAt))
		k := co.habits[j.Queue]
		if k == nil {
			k = &habit{}
			co.habits[j.Queue] = k
		}
		part := 1 / float64(p.Tasks)
		if p.Joint {
			part = 1 // one end stands for all
		}
		k.add(took, time.Duration(p.EstimateMillis)*time.Millisecond, part)
		c := co.courses[j.ID]
		if c == nil {
			c = make([]course, len(j.Spec.Steps))
			co.courses[j.ID] = c
		}
		c[step].logs += math.Log(took.Seconds())
		c[step].count++
	}
}

// expect is how long a task of a step is expected to take.
func (co *Controller) expect(j *state.Job, step int) time.Duration {
	if c := co.courses[j.ID]; c != nil && c[step].count > 0 {
		return time.Duration(math.Exp(c[step].logs/c[step].count) * float64(time.Second))
	}
	if co.scheduler != nil {
		if d, ok := co.scheduler.StageDuration(j.ID, step); ok {
			return d
		}
	}
	return co.habits[j.Queue].expect(time.Duration(j.Spec.Steps[step].EstimateMillis) * time.Millisecond)
}
