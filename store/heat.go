// What of a job may start: worked out once and kept until the job changes, so
// that a round costs as much as changed, not all that waits.
package store

import (
	"coppercourse/blueprint"
	"coppercourse/mark"
)

// Batch is the tasks of one stage that may start now.
type Batch struct {
	Stage mark.Stage
	Tasks []int
	Shun  map[mark.Shard]bool // workers where legs of these stalled or failed
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
	j.stages(func(at mark.Stage, p *Step, part []Task) {
		for i := range part {
			if t := &part[i]; t.Out != nil {
				h.Running++
				h.Cores += p.Room.Cores
			} else if !t.Done && !t.Dead {
				wait(t.Ready)
			}
		}
		if j.State != Open {
			return
		}
		due, wall := j.due(p, at.Time())
		due = max(due, mark.Tick(wall-off))
		wait(due)
		if due > now || !j.met(p, at.Time()) {
			return
		}
		b, whole := Batch{Stage: at}, true
		for i := range part {
			t := &part[i]
			if t.Done {
				continue
			}
			if !j.may(t, row, now) {
				whole = false
				continue
			}
			b.Tasks = append(b.Tasks, at.No(i))
			if t.Shun != "" {
				if b.Shun == nil {
					b.Shun = map[mark.Shard]bool{}
				}
				b.Shun[t.Shun] = true
			}
		}
		if len(b.Tasks) > 0 && (whole || !p.Gang) {
			h.Batches = append(h.Batches, b)
		}
	})
	return h
}
