// What of a job may start: worked out once and kept until the job changes, so
// that a round costs as much as changed, not all that waits.
package store

import (
	"coppercourse/blueprint"
	"coppercourse/mark"
)

// Batch is the tasks of one step that may start now.
type Batch struct {
	Step  int
	Tasks []int
	Shun  map[mark.Shard]bool // workers where legs of these stalled
}

// Heat is what a round needs to know of a job.
type Heat struct {
	Batches []Batch
	Running int
	Cores   mark.Cores
	Doomed  []mark.Leg
	Spent   []End
	until   mark.Tick // from then on something more may start
}

const far = mark.Tick(1 << 62)

// Heat gives a job's as of now.
func (s *State) Heat(j *Job, now mark.Tick) *Heat {
	if j.hot == nil || now >= j.hot.until || s.Off != j.off || s.Table.Edition != j.row {
		j.hot, j.off, j.row = j.heat(s.row(j.Queue), now, s.Off), s.Off, s.Table.Edition
	}
	return j.hot
}

// heat works it out afresh.
func (j *Job) heat(row blueprint.Row, now mark.Tick, off mark.Wall) *Heat {
	h := &Heat{Doomed: j.Doomed(), Spent: j.Spent(row, now), until: far}
	wait := func(t mark.Tick) {
		if t > now {
			h.until = min(h.until, t)
		}
	}
	for n, t := range j.Tasks {
		if t.Out != nil {
			h.Running++
			h.Cores += j.Spec.Steps[j.Spec.Step(n)].Room.Cores
		} else if !t.Done && !t.Dead {
			wait(t.Ready)
		}
	}
	if j.State != Open {
		return h
	}
	for _, p := range j.Spec.Steps {
		wait(j.due(p))
		if p.Not != "" {
			wait(mark.Tick(clock(p.Not) - off))
		}
	}
	for _, i := range j.Ready(now, off) {
		p := j.Spec.Steps[i]
		b, base, whole := Batch{Step: i}, j.Spec.Base(i), true
		for n, t := range j.Part(i) {
			switch {
			case t.Done:
			case t.Out == nil && !t.Dead && t.Ready <= now && !t.spent(row):
				b.Tasks = append(b.Tasks, base+n)
				if t.Shun != "" {
					if b.Shun == nil {
						b.Shun = map[mark.Shard]bool{}
					}
					b.Shun[t.Shun] = true
				}
			default:
				whole = false
			}
		}
		if len(b.Tasks) > 0 && (whole || !p.Gang) {
			h.Batches = append(h.Batches, b)
		}
	}
	return h
}
