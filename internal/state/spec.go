// Package state holds the aggregates that the log makes: the table, the jobs
// and what is known of the workers' shapes. This file is the job as a caller
// writes it, and the rules that need nothing but the job itself.
package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// Step is one stage of a job: so many tasks of one shape. Rack and Labels say
// where its tasks must run, Near the rack where its data is; OneRack that they
// are slower when spread over racks. With Copies a second attempt may run beside
// a first, with Keeps an attempt goes on from what the last one saved, and what
// Lasts is started again however it ends. The members of a Joint gang work only
// together, and one good end stands for all of them.
type Step struct {
	Name   string          `json:"name"`
	After  []string        `json:"after,omitempty"`
	Kind   types.Kind      `json:"kind"`
	Rack   types.Rack      `json:"rack,omitempty"`
	Room   types.Room      `json:"room"`
	Tasks  int             `json:"tasks"`
	Gang   bool            `json:"gang,omitempty"`
	Spread int             `json:"spread,omitempty"`
	Delay  int             `json:"delay_ms,omitempty"`
	Not    string          `json:"not_before,omitempty"`
	Limit  int             `json:"limit_ms,omitempty"`
	Work   json.RawMessage `json:"work,omitempty"`

	Labels   []string   `json:"labels,omitempty"`
	Near     types.Rack `json:"near,omitempty"`
	OneRack  bool       `json:"one_rack,omitempty"`
	Estimate int        `json:"estimate_ms,omitempty"`
	Copies   bool       `json:"copies,omitempty"`
	Keeps    bool       `json:"keeps,omitempty"`
	Lasts    bool       `json:"lasts,omitempty"`
	Joint    bool       `json:"joint,omitempty"`
}

// Times are when a job's steps run: Count times, the first at First, counted in
// milliseconds from 1970, the others Every milliseconds after one another.
type Times struct {
	First int64 `json:"first_ms"`
	Every int64 `json:"every_ms"`
	Count int   `json:"count"`
}

// Spec is a whole job. Work is for steps that bring none of their own. Request,
// where it is set, is the hash of what the caller wrote; the rest may then depend
// on the configuration by which the request was read.
type Spec struct {
	Queue   types.Queue     `json:"queue"`
	Urgency int             `json:"urgency,omitempty"`
	Steps   []Step          `json:"steps"`
	Times   *Times          `json:"times,omitempty"`
	Work    json.RawMessage `json:"work,omitempty"`
	Request string          `json:"request,omitempty"`
}

const (
	steps  = types.MostSteps
	tasks  = types.MostTasks
	total  = 20_000
	times  = 10_000
	work   = 16 << 10
	labels = 16
	// Body is how large a job or a table may be.
	Body = 256 << 10
)

// ReadSpec reads and checks a job.
func ReadSpec(b []byte, heap *apierror.ErrorList) (s Spec) {
	r := config.NewReader(b, heap)
	var raw []byte
	r.Whole(map[string]config.Field{
		"work":    config.Raw(r, &raw, work),
		"times":   func(at string) { s.Times = readTimes(r, at) },
		"queue":   config.Text(r, &s.Queue, config.Name),
		"urgency": config.Num(r, &s.Urgency, 0, 9),
		"steps": func(at string) {
			r.List(at, steps, func(at string, _ int) { s.Steps = append(s.Steps, readStep(r, at)) })
		},
	})
	s.Work = raw
	if len(heap.List()) == 0 {
		s.Check(heap)
	}
	return
}

func readTimes(r *config.Reader, at string) *Times {
	t := &Times{Count: 1}
	r.Obj(at, map[string]config.Field{
		"first_ms": config.Num(r, &t.First, 0, 1<<53),
		"every_ms": config.Num(r, &t.Every, 0, 1<<40),
		"count":    config.Num(r, &t.Count, 1, times),
	})
	return t
}

func readStep(r *config.Reader, at string) (s Step) {
	s.Tasks, s.Room = 1, types.Room{Cores: types.Core}
	var raw []byte
	r.Obj(at, map[string]config.Field{
		"name": config.Text(r, &s.Name, config.Name),
		"after": func(at string) {
			r.List(at, steps, func(at string, _ int) {
				var n string
				config.Text(r, &n, config.Name)(at)
				s.After = append(s.After, n)
			})
		},
		"kind": config.Text(r, &s.Kind, config.Name),
		"rack": config.Text(r, &s.Rack, config.Maybe(config.Name)),
		"room": func(at string) {
			r.Obj(at, map[string]config.Field{
				"cores":        config.Cores(r, &s.Room.Cores, 1, 4096*types.Core),
				"memory":       config.Num(r, &s.Room.Memory, 0, 1<<30),
				"accelerators": config.Num(r, &s.Room.Accel, 0, 4096),
			})
		},
		"tasks":    config.Num(r, &s.Tasks, 1, tasks),
		"gang":     config.Bool(r, &s.Gang),
		"spread":   config.Num(r, &s.Spread, 0, tasks),
		"delay_ms": config.Num(r, &s.Delay, 0, 86_400_000),
		"not_before": config.Text(r, &s.Not, config.Maybe(func(t string) string {
			if _, err := time.Parse(time.RFC3339Nano, t); err != nil {
				return "want a time as in RFC 3339"
			}
			return ""
		})),
		"limit_ms": config.Num(r, &s.Limit, 0, 86_400_000),
		"work":     config.Raw(r, &raw, work),
		"labels": func(at string) {
			r.List(at, labels, func(at string, _ int) {
				var n string
				config.Text(r, &n, config.Name)(at)
				s.Labels = append(s.Labels, n)
			})
		},
		"near":        config.Text(r, &s.Near, config.Maybe(config.Name)),
		"one_rack":    config.Bool(r, &s.OneRack),
		"estimate_ms": config.Num(r, &s.Estimate, 0, 86_400_000),
		"copies":      config.Bool(r, &s.Copies),
		"keeps":       config.Bool(r, &s.Keeps),
		"lasts":       config.Bool(r, &s.Lasts),
		"joint":       config.Bool(r, &s.Joint),
	})
	s.Work = raw
	return
}

// Check tells all that is wrong with a job as a whole.
func (s Spec) Check(h *apierror.ErrorList) {
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
	if s.Times != nil {
		h.Check(s.Times.Count >= 1 && s.Times.Count <= times, "times.count", fmt.Sprintf("want 1 to %d", times))
		sum *= s.Times.Count
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
			h.Add(apierror.BadField, fmt.Sprintf("steps[%d].after", i), "the steps wait for one another in a circle")
			return
		}
	}
}

// RequestHash stands for what the caller wrote, without the queue and the kinds
// that the configuration of the moment gave it.
func (s Spec) RequestHash() string {
	s.Queue, s.Request, s.Steps = "", "", slices.Clone(s.Steps)
	for i := range s.Steps {
		s.Steps[i].Kind = ""
	}
	return s.Hash()
}

// Hash tells two jobs apart, however their bodies were laid out.
func (s Spec) Hash() string {
	if s.Request != "" {
		return s.Request
	}
	b, _ := json.Marshal(s)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// Bytes is about what the job takes in memory and on disk.
func (s Spec) Bytes() (n int) {
	for _, p := range s.Steps {
		n += 256 + len(p.Work) + 64*p.Tasks*s.Count()
	}
	return n + len(s.Work)
}

// Count is how many times the steps run.
func (s Spec) Count() int {
	if s.Times == nil {
		return 1
	}
	return s.Times.Count
}

// once is how many tasks the steps have together.
func (s Spec) once() (n int) {
	for _, p := range s.Steps {
		n += p.Tasks
	}
	return
}

// Total is how many tasks the job has.
func (s Spec) Total() int { return s.Count() * s.once() }

// Step gives the step that a task's number names, or -1 if the job has no such
// task.
func (s Spec) Step(n int) int {
	time, step, place := types.Parts(n)
	if n < 0 || time >= s.Count() || step >= len(s.Steps) || place >= s.Steps[step].Tasks {
		return -1
	}
	return step
}

// Index gives a task's place in the flat list of all of the job's, or -1.
func (s Spec) Index(n int) int {
	step := s.Step(n)
	if step < 0 {
		return -1
	}
	time, _, place := types.Parts(n)
	return time*s.once() + s.base(step) + place
}

// No gives the number of the task at a place of the flat list.
func (s Spec) No(i int) int {
	once := s.once()
	time, i := i/once, i%once
	for step, p := range s.Steps {
		if i < p.Tasks {
			return types.No(time, step, i)
		}
		i -= p.Tasks
	}
	return -1
}

// base is where a step's tasks begin within one time's.
func (s Spec) base(step int) (n int) {
	for _, p := range s.Steps[:step] {
		n += p.Tasks
	}
	return
}

// What is the work of a step.
func (s Spec) What(step int) json.RawMessage {
	if w := s.Steps[step].Work; w != nil {
		return w
	}
	return s.Work
}
