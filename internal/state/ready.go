package state

// What of a job may start: worked out once and kept until the job changes, so
// that a round costs as much as changed, not all that waits.

import (
	"slices"
	"time"

	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Batch is the tasks of one stage that may start now.
type Batch struct {
	Stage types.Stage
	Tasks []int
	From  types.Tick           // when the job was accepted, or the stage's time came
	Shun  map[types.Shard]bool // workers where attempts of these stalled or failed
}

// ReadyIndex is what a round needs to know of a job.
type ReadyIndex struct {
	Batches []Batch
	Running int
	Cores   types.Cores
	Left    []int // tasks of each step that have not ended well, of the times that have come
	Doomed  []types.Attempt
	Spent   []End
	until   types.Tick // from then on something more may start
}

const far = types.Tick(1 << 62)

// ReadyIndex is what of a job may start, as of now.
func (s *State) ReadyIndex(j *Job, now types.Tick) *ReadyIndex {
	if j.hot == nil || now >= j.hot.until || s.Off != j.off || s.Table.Version != j.row {
		j.hot, j.off, j.row = j.heat(s.row(j.Queue), now, s.Off), s.Off, s.Table.Version
	}
	return j.hot
}

// Chain is the longest chain of work, of the whole job or from one step on, where
// cost tells how long a step takes.
func (s Spec) Chain(from int, cost func(step int) time.Duration) time.Duration {
	long := make([]time.Duration, len(s.Steps))
	var tail func(i int) time.Duration
	tail = func(i int) time.Duration {
		if long[i] > 0 {
			return long[i]
		}
		rest := time.Duration(0)
		for k, q := range s.Steps {
			if slices.Contains(q.After, s.Steps[i].Name) {
				rest = max(rest, tail(k))
			}
		}
		long[i] = max(1, cost(i)) + rest
		return long[i]
	}
	if from >= 0 {
		return tail(from)
	}
	most := time.Duration(0)
	for i := range s.Steps {
		most = max(most, tail(i))
	}
	return most
}

// heat works it out afresh.
func (j *Job) heat(row config.Row, now types.Tick, off types.Wall) *ReadyIndex {
	h := &ReadyIndex{Doomed: j.Doomed(), Spent: j.Spent(row, now), until: far, Left: make([]int, len(j.Spec.Steps))}
	wait := func(t types.Tick) {
		if t > now {
			h.until = min(h.until, t)
		}
	}
	j.stages(func(at types.Stage, p *Step, part []Task) {
		for i := range part {
			if t := &part[i]; t.Out != nil {
				n := len(t.Outs())
				h.Running += n
				h.Cores += p.Room.Cores * types.Cores(n)
			} else if !t.Done && !t.Dead {
				wait(t.Ready)
			}
		}
		if j.State != Open {
			return
		}
		due, wall := j.due(p, at.Time())
		due = max(due, types.Tick(wall-off))
		wait(due)
		if due <= now {
			for i := range part {
				if !part[i].Done {
					h.Left[at.Step()]++
				}
			}
		}
		if due > now || !j.met(p, at.Time()) {
			return
		}
		b, whole := Batch{Stage: at, From: max(j.At, due)}, true
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
					b.Shun = map[types.Shard]bool{}
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
