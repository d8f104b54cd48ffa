// Package store holds the aggregates that the log makes: the table, the jobs
// and what is known of the workers' shapes. This file is the job as a caller
// writes it, and the rules that need nothing but the job itself.
package store

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/blueprint"
	"coppercourse/fault"
	"coppercourse/mark"
)

// Step is one stage of a job: so many tasks of one shape.
type Step struct {
	Name   string          `json:"name"`
	After  []string        `json:"after,omitempty"`
	Kind   mark.Kind       `json:"kind"`
	Rack   mark.Rack       `json:"rack,omitempty"`
	Room   mark.Room       `json:"room"`
	Tasks  int             `json:"tasks"`
	Gang   bool            `json:"gang,omitempty"`
	Spread int             `json:"spread,omitempty"`
	Delay  int             `json:"delay_ms,omitempty"`
	Not    string          `json:"not_before,omitempty"`
	Limit  int             `json:"limit_ms,omitempty"`
	Work   json.RawMessage `json:"work,omitempty"`
}

// Spec is a whole job.
type Spec struct {
	Queue   mark.Queue `json:"queue"`
	Urgency int        `json:"urgency,omitempty"`
	Steps   []Step     `json:"steps"`
}

const (
	steps = 64
	tasks = 1000
	total = 2000
	work  = 16 << 10
	// Body is how large a job or a table may be.
	Body = 256 << 10
)

// ReadSpec reads and checks a job.
func ReadSpec(b []byte, heap *fault.Heap) (s Spec) {
	r := blueprint.NewReader(b, heap)
	r.Whole(map[string]blueprint.Field{
		"queue":   blueprint.Text(r, &s.Queue, blueprint.Name),
		"urgency": blueprint.Num(r, &s.Urgency, 0, 9),
		"steps": func(at string) {
			r.List(at, steps, func(at string, _ int) { s.Steps = append(s.Steps, readStep(r, at)) })
		},
	})
	if len(heap.List()) == 0 {
		s.check(heap)
	}
	return
}

func readStep(r *blueprint.Reader, at string) (s Step) {
	s.Tasks, s.Room = 1, mark.Room{Cores: mark.Core}
	var raw []byte
	r.Obj(at, map[string]blueprint.Field{
		"name": blueprint.Text(r, &s.Name, blueprint.Name),
		"after": func(at string) {
			r.List(at, steps, func(at string, _ int) {
				var n string
				blueprint.Text(r, &n, blueprint.Name)(at)
				s.After = append(s.After, n)
			})
		},
		"kind": blueprint.Text(r, &s.Kind, blueprint.Name),
		"rack": blueprint.Text(r, &s.Rack, blueprint.Maybe(blueprint.Name)),
		"room": func(at string) {
			r.Obj(at, map[string]blueprint.Field{
				"cores":        blueprint.Cores(r, &s.Room.Cores, 1, 4096*mark.Core),
				"memory":       blueprint.Num(r, &s.Room.Memory, 0, 1<<30),
				"accelerators": blueprint.Num(r, &s.Room.Accel, 0, 4096),
			})
		},
		"tasks":    blueprint.Num(r, &s.Tasks, 1, tasks),
		"gang":     blueprint.Bool(r, &s.Gang),
		"spread":   blueprint.Num(r, &s.Spread, 0, tasks),
		"delay_ms": blueprint.Num(r, &s.Delay, 0, 86_400_000),
		"not_before": blueprint.Text(r, &s.Not, blueprint.Maybe(func(t string) string {
			if _, err := time.Parse(time.RFC3339Nano, t); err != nil {
				return "want a time as in RFC 3339"
			}
			return ""
		})),
		"limit_ms": blueprint.Num(r, &s.Limit, 0, 86_400_000),
		"work":     blueprint.Raw(r, &raw, work),
	})
	s.Work = raw
	return
}

func (s Spec) check(h *fault.Heap) {
	h.Check(s.Queue != "", "queue", "missing")
	h.Check(len(s.Steps) > 0, "steps", "missing or empty")
	sum, at := 0, map[string]int{}
	for i, p := range s.Steps {
		f := fmt.Sprintf("steps[%d]", i)
		h.Check(p.Name != "", f+".name", "missing")
		h.Check(p.Kind != "", f+".kind", "missing")
		_, twice := at[p.Name]
		h.Check(!twice, f+".name", "two steps are called "+p.Name)
		at[p.Name] = i
		sum += p.Tasks
	}
	h.Check(sum <= total, "steps", fmt.Sprintf("more than %d tasks in all", total))
	for i, p := range s.Steps {
		for j, a := range p.After {
			_, ok := at[a]
			h.Check(ok, fmt.Sprintf("steps[%d].after[%d]", i, j), "no step is called "+a)
		}
	}
	if len(h.List()) > 0 {
		return
	}
	tone := make([]int, len(s.Steps))
	var visit func(i int) bool
	visit = func(i int) bool {
		if tone[i] != 0 {
			return tone[i] == 2
		}
		tone[i] = 1
		for _, a := range s.Steps[i].After {
			if !visit(at[a]) {
				return false
			}
		}
		tone[i] = 2
		return true
	}
	for i := range s.Steps {
		if !visit(i) {
			h.Add(fault.BadField, fmt.Sprintf("steps[%d].after", i), "the steps wait for one another in a circle")
			return
		}
	}
}

// Hash tells two bodies apart, however they were laid out.
func (s Spec) Hash() string {
	b, _ := json.Marshal(s)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// Bytes is about what the job takes in memory and on disk.
func (s Spec) Bytes() (n int) {
	for _, p := range s.Steps {
		n += 256 + len(p.Work) + 64*p.Tasks
	}
	return
}

// Total is how many tasks the job has.
func (s Spec) Total() (n int) {
	for _, p := range s.Steps {
		n += p.Tasks
	}
	return
}

// Step gives the index of the step a task belongs to.
func (s Spec) Step(n int) int {
	for i, p := range s.Steps {
		if n < p.Tasks {
			return i
		}
		n -= p.Tasks
	}
	return -1
}

// Base is the number of a step's first task.
func (s Spec) Base(step int) (n int) {
	for _, p := range s.Steps[:step] {
		n += p.Tasks
	}
	return
}
