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
// where its tasks must run, Near the rack where its data is; PreferOneRack that they
// are slower when spread over racks. With Copies a second attempt may run beside
// a first, with Keeps an attempt goes on from what the last one saved, and what
// Lasts is started again however it ends. The members of a Joint gang work only
// together, and one good end stands for all of them.
type Step struct {
	Name            string            `json:"name"`
	DependsOn       []string          `json:"after,omitempty"`
	Kind            types.ServiceKind `json:"kind"`
	Rack            types.Rack        `json:"rack,omitempty"`
	Resources       types.Resources   `json:"room"`
	Tasks           int               `json:"tasks"`
	Gang            bool              `json:"gang,omitempty"`
	MaxPerWorker    int               `json:"spread,omitempty"`
	DelayMillis     int               `json:"delay_ms,omitempty"`
	NotBefore       string            `json:"not_before,omitempty"`
	TimeLimitMillis int               `json:"limit_ms,omitempty"`
	Work            json.RawMessage   `json:"work,omitempty"`

	Labels          []string   `json:"labels,omitempty"`
	DataRack        types.Rack `json:"near,omitempty"`
	PreferOneRack   bool       `json:"one_rack,omitempty"`
	EstimateMillis  int        `json:"estimate_ms,omitempty"`
	AllowHedge      bool       `json:"copies,omitempty"`
	KeepsCheckpoint bool       `json:"keeps,omitempty"`
	AlwaysRestart   bool       `json:"lasts,omitempty"`
	Joint           bool       `json:"joint,omitempty"`
}

// Schedule are when a job's steps run: Count times, the first at First, counted in
// milliseconds from 1970, the others Every milliseconds after one another.
type Schedule struct {
	FirstUnixMillis int64 `json:"first_ms"`
	IntervalMillis  int64 `json:"every_ms"`
	Count           int   `json:"count"`
}

// Spec is a whole job. Work is for steps that bring none of their own. Request,
// where it is set, is the hash of what the caller wrote; the rest may then depend
// on the configuration by which the request was read.
type Spec struct {
	Queue    types.QueueName `json:"queue"`
	Urgency  int             `json:"urgency,omitempty"`
	Steps    []Step          `json:"steps"`
	Schedule *Schedule       `json:"times,omitempty"`
	Work     json.RawMessage `json:"work,omitempty"`
	Request  string          `json:"request,omitempty"`
}

const (
	maxSteps        = types.MaxSteps
	maxTasksPerStep = types.MaxTasksPerStep
	maxTasks        = 20_000
	maxOccurrences  = 10_000
	maxWorkBytes    = 16 << 10
	maxLabels       = 16
	// MaxDocumentBytes is how large a job or a table may be.
	MaxDocumentBytes = 256 << 10
)

// ReadSpec reads and checks a job.
func ReadSpec(b []byte, errs *apierror.ErrorList) (s Spec) {
	r := config.NewReader(b, errs)
	var raw []byte
	r.ReadDocument(map[string]config.Field{
		"work":    config.Raw(r, &raw, maxWorkBytes),
		"times":   func(path string) { s.Schedule = readSchedule(r, path) },
		"queue":   config.Text(r, &s.Queue, config.CheckName),
		"urgency": config.Int(r, &s.Urgency, 0, 9),
		"steps": func(path string) {
			r.Array(path, maxSteps, func(path string, _ int) { s.Steps = append(s.Steps, readStep(r, path)) })
		},
	})
	s.Work = raw
	if len(errs.List()) == 0 {
		s.Check(errs)
	}
	return
}

func readSchedule(r *config.Reader, at string) *Schedule {
	schedule := &Schedule{Count: 1}
	r.Object(at, map[string]config.Field{
		"first_ms": config.Int(r, &schedule.FirstUnixMillis, 0, 1<<53),
		"every_ms": config.Int(r, &schedule.IntervalMillis, 0, 1<<40),
		"count":    config.Int(r, &schedule.Count, 1, maxOccurrences),
	})
	return schedule
}

func readStep(r *config.Reader, path string) (s Step) {
	s.Tasks, s.Resources = 1, types.Resources{Cores: types.Core}
	var raw []byte
	r.Object(path, map[string]config.Field{
		"name": config.Text(r, &s.Name, config.CheckName),
		"after": func(path string) {
			r.Array(path, maxSteps, func(path string, _ int) {
				var n string
				config.Text(r, &n, config.CheckName)(path)
				s.DependsOn = append(s.DependsOn, n)
			})
		},
		"kind": config.Text(r, &s.Kind, config.CheckName),
		"rack": config.Text(r, &s.Rack, config.Optional(config.CheckName)),
		"room": func(path string) {
			r.Object(path, map[string]config.Field{
				"cores":        config.MilliCores(r, &s.Resources.Cores, 1, 4096*types.Core),
				"memory":       config.Int(r, &s.Resources.MemoryMB, 0, 1<<30),
				"accelerators": config.Int(r, &s.Resources.Accelerators, 0, 4096),
			})
		},
		"tasks":    config.Int(r, &s.Tasks, 1, maxTasksPerStep),
		"gang":     config.Bool(r, &s.Gang),
		"spread":   config.Int(r, &s.MaxPerWorker, 0, maxTasksPerStep),
		"delay_ms": config.Int(r, &s.DelayMillis, 0, 86_400_000),
		"not_before": config.Text(r, &s.NotBefore, config.Optional(func(t string) string {
			if _, err := time.Parse(time.RFC3339Nano, t); err != nil {
				return "want a time as in RFC 3339"
			}
			return ""
		})),
		"limit_ms": config.Int(r, &s.TimeLimitMillis, 0, 86_400_000),
		"work":     config.Raw(r, &raw, maxWorkBytes),
		"labels": func(path string) {
			r.Array(path, maxLabels, func(path string, _ int) {
				var n string
				config.Text(r, &n, config.CheckName)(path)
				s.Labels = append(s.Labels, n)
			})
		},
		"near":        config.Text(r, &s.DataRack, config.Optional(config.CheckName)),
		"one_rack":    config.Bool(r, &s.PreferOneRack),
		"estimate_ms": config.Int(r, &s.EstimateMillis, 0, 86_400_000),
		"copies":      config.Bool(r, &s.AllowHedge),
		"keeps":       config.Bool(r, &s.KeepsCheckpoint),
		"lasts":       config.Bool(r, &s.AlwaysRestart),
		"joint":       config.Bool(r, &s.Joint),
	})
	s.Work = raw
	return
}

// Check tells all that is wrong with a job as a whole.
func (s Spec) Check(errs *apierror.ErrorList) {
	errs.Check(s.Queue != "", "queue", "missing")
	errs.Check(len(s.Steps) > 0, "steps", "missing or empty")
	taskCount, stepIndex := 0, map[string]int{}
	for i, p := range s.Steps {
		field := fmt.Sprintf("steps[%d]", i)
		errs.Check(p.Name != "", field+".name", "missing")
		errs.Check(p.Kind != "", field+".kind", "missing")
		_, twice := stepIndex[p.Name]
		errs.Check(!twice, field+".name", "two steps are called "+p.Name)
		stepIndex[p.Name] = i
		taskCount += p.Tasks
	}
	if s.Schedule != nil {
		errs.Check(s.Schedule.Count >= 1 && s.Schedule.Count <= maxOccurrences, "times.count", fmt.Sprintf("want 1 to %d", maxOccurrences))
		taskCount *= s.Schedule.Count
	}
	errs.Check(taskCount <= maxTasks, "steps", fmt.Sprintf("more than %d tasks in all", maxTasks))
	for i, p := range s.Steps {
		for j, a := range p.DependsOn {
			_, ok := stepIndex[a]
			errs.Check(ok, fmt.Sprintf("steps[%d].after[%d]", i, j), "no step is called "+a)
		}
	}
	if len(errs.List()) > 0 {
		return
	}
	visited := make([]int, len(s.Steps))
	var visit func(i int) bool
	visit = func(i int) bool {
		if visited[i] != 0 {
			return visited[i] == 2
		}
		visited[i] = 1
		for _, a := range s.Steps[i].DependsOn {
			if !visit(stepIndex[a]) {
				return false
			}
		}
		visited[i] = 2
		return true
	}
	for i := range s.Steps {
		if !visit(i) {
			errs.Add(apierror.BadField, fmt.Sprintf("steps[%d].after", i), "the steps wait for one another in a circle")
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

// ApproxBytes is about what the job takes in memory and on disk.
func (s Spec) ApproxBytes() (n int) {
	for _, p := range s.Steps {
		n += 256 + len(p.Work) + 64*p.Tasks*s.Occurrences()
	}
	return n + len(s.Work)
}

// Occurrences is how many times the steps run.
func (s Spec) Occurrences() int {
	if s.Schedule == nil {
		return 1
	}
	return s.Schedule.Count
}

// tasksPerOccurrence is how many tasks the steps have together.
func (s Spec) tasksPerOccurrence() (n int) {
	for _, p := range s.Steps {
		n += p.Tasks
	}
	return
}

// TotalTasks is how many tasks the job has.
func (s Spec) TotalTasks() int { return s.Occurrences() * s.tasksPerOccurrence() }

// StepOf gives the step that a task's number names, or -1 if the job has no such
// task.
func (s Spec) StepOf(n int) int {
	occurrence, step, index := types.SplitTaskNumber(n)
	if n < 0 || occurrence >= s.Occurrences() || step >= len(s.Steps) || index >= s.Steps[step].Tasks {
		return -1
	}
	return step
}

// TaskIndex gives a task's place in the flat list of all of the job's, or -1.
func (s Spec) TaskIndex(n int) int {
	step := s.StepOf(n)
	if step < 0 {
		return -1
	}
	occurrence, _, index := types.SplitTaskNumber(n)
	return occurrence*s.tasksPerOccurrence() + s.stepOffset(step) + index
}

// TaskNumber gives the number of the task at a place of the flat list.
func (s Spec) TaskNumber(i int) int {
	once := s.tasksPerOccurrence()
	occurrence, i := i/once, i%once
	for step, p := range s.Steps {
		if i < p.Tasks {
			return types.TaskNumber(occurrence, step, i)
		}
		i -= p.Tasks
	}
	return -1
}

// stepOffset is where a step's tasks begin within one time's.
func (s Spec) stepOffset(step int) (n int) {
	for _, p := range s.Steps[:step] {
		n += p.Tasks
	}
	return
}

// StepWork is the work of a step.
func (s Spec) StepWork(step int) json.RawMessage {
	if w := s.Steps[step].Work; w != nil {
		return w
	}
	return s.Work
}
