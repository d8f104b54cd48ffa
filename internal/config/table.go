// The table: one row a queue, changed whole and read back whole.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// Row is one queue. Running counts tasks at once, Waiting unfinished jobs. Host
// and Prefix say where its callers come in, Service which workers run its tasks
// where a job does not say. Priority 0 goes first. A job is meant to be done
// within Stretch times its longest chain of work, and Target more.
type Row struct {
	Name     types.Queue `json:"name"`
	Weight   int         `json:"weight"`
	Share    int         `json:"share"`
	Running  int         `json:"running"`
	Waiting  int         `json:"waiting"`
	Tries    int         `json:"tries"`
	TaskMS   int         `json:"task_time_ms"`
	Patience int         `json:"patience_ms"`
	CutMS    int         `json:"cut_patience_ms"`
	Losses   int         `json:"losses"`
	Stall    int         `json:"stall_times"`
	Displace bool        `json:"displaces"`
	Moves    int         `json:"displaced"`
	Host     string      `json:"host,omitempty"`
	Prefix   string      `json:"prefix,omitempty"`
	Service  types.Kind  `json:"service,omitempty"`
	Priority int         `json:"priority,omitempty"`
	Stretch  float64     `json:"stretch,omitempty"`
	Target   int         `json:"target_ms,omitempty"`
	Timeout  int         `json:"timeout_ms,omitempty"`
	Rest     int         `json:"rest_ms,omitempty"`
}

// Service is a kind of worker. Guards says that its workers turn away what does
// not fit; where they do not, the room is the scheduler's alone to keep.
type Service struct {
	Name   types.Kind `json:"name"`
	Guards bool       `json:"guards"`
	Health string     `json:"health,omitempty"`
	Conns  int        `json:"connections,omitempty"`
}

// Limits bound what a caller's connection may bring; 0 is the daemon's own bound.
type Limits struct {
	Header   int `json:"header_bytes,omitempty"`
	Body     int `json:"body_bytes,omitempty"`
	HeaderMS int `json:"header_ms,omitempty"`
	IdleMS   int `json:"idle_ms,omitempty"`
}

// Pause is how long a task rests after its n-th bad end: the row's rest, or
// 200 ms, doubled each time.
func (r Row) Pause(n int) time.Duration {
	rest := 200 * time.Millisecond
	if r.Rest > 0 {
		rest = time.Duration(r.Rest) * time.Millisecond
	}
	return min(10*time.Second, rest/2<<min(n, 10))
}

// Aims tells whether the queue's jobs are meant to be done by some time.
func (r Row) Aims() bool { return r.Stretch > 0 }

func (r Row) Limit() time.Duration   { return time.Duration(r.TaskMS) * time.Millisecond }
func (r Row) WaitCut() time.Duration { return time.Duration(r.CutMS) * time.Millisecond }
func (r Row) Wait() time.Duration    { return time.Duration(r.Patience) * time.Millisecond }

// Table is the whole of them under one version. In a put, Edition is the one it
// is based on and Becomes the one it gets, or 0 for the next. Orphans says what
// becomes of unfinished jobs of a queue left out. Source is the document that
// the operator wrote it in, kept as it came.
type Table struct {
	Version  types.Version   `json:"edition"`
	Becomes  types.Version   `json:"becomes,omitempty"`
	Tasks    int             `json:"tasks,omitempty"`
	MB       int             `json:"megabytes,omitempty"`
	Orphans  Orphans         `json:"orphans,omitempty"`
	Rows     []Row           `json:"queues"`
	Services []Service       `json:"services,omitempty"`
	Limits   Limits          `json:"limits,omitzero"`
	Source   json.RawMessage `json:"source,omitempty"`
}

// Orphans are unfinished jobs of a queue that a new table leaves out: the table
// is refused, which is the default, or they are finished by the queue's last row.
type Orphans string

const (
	Refuse Orphans = ""
	Finish Orphans = "finish"
)

// Ours, where a table does not say how much unfinished work there may be.
const (
	mostTasks = 100_000
	mostMB    = 64
)

// MostTasks and MostBytes bound the unfinished work of all queues together.
func (t Table) MostTasks() int {
	if t.Tasks == 0 {
		return mostTasks
	}
	return t.Tasks
}

func (t Table) MostBytes() int {
	if t.MB == 0 {
		return mostMB << 20
	}
	return t.MB << 20
}

func (t Table) Find(q types.Queue) (Row, bool) {
	for _, r := range t.Rows {
		if r.Name == q {
			return r, true
		}
	}
	return Row{}, false
}

// Next is the table as it is in force once taken.
func (t Table) Next() Table {
	t.Version = max(t.Version+1, t.Becomes)
	t.Becomes = 0
	return t
}

// Same tells whether two tables say the same, whatever their version.
func (t Table) Same(o Table) bool { return t.Hash() == o.Hash() }

// Hash stands for what a table says, whatever its version.
func (t Table) Hash() string {
	t.Version, t.Becomes, t.Tasks, t.MB = 0, 0, t.MostTasks(), t.MostBytes()
	b, _ := json.Marshal(t)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// Serves finds a service by its name.
func (t Table) Serves(k types.Kind) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == k {
			return s, true
		}
	}
	return Service{}, false
}

const (
	rows     = 1000
	services = 200
	source   = 1 << 20
)

// ReadTable reads a table as an operator writes it; the version it carries is
// the one it was based on.
func ReadTable(b []byte, heap *apierror.ErrorList) (t Table) {
	r := NewReader(b, heap)
	base := false
	r.Whole(map[string]Field{
		"edition":   func(at string) { base = true; Num(r, &t.Version, 0, 1<<53)(at) },
		"tasks":     Num(r, &t.Tasks, 1000, 1_000_000),
		"megabytes": Num(r, &t.MB, 8, 512),
		"queues": func(at string) {
			t.Rows = []Row{}
			r.List(at, rows, func(at string, _ int) { t.Rows = append(t.Rows, readRow(r, at)) })
		},
		"becomes": Num(r, &t.Becomes, 0, 1<<53),
		"orphans": Text(r, &t.Orphans, func(s string) string {
			if s != "" && s != string(Finish) {
				return "want finish, or nothing"
			}
			return ""
		}),
		"services": func(at string) {
			r.List(at, services, func(at string, _ int) { t.Services = append(t.Services, readService(r, at)) })
		},
		"limits": func(at string) {
			l := &t.Limits
			r.Obj(at, map[string]Field{"header_bytes": Num(r, &l.Header, 0, 1<<20), "body_bytes": Num(r, &l.Body, 0, 4<<20),
				"header_ms": Num(r, &l.HeaderMS, 0, 600_000), "idle_ms": Num(r, &l.IdleMS, 0, 3_600_000)})
		},
		"source": Raw(r, (*[]byte)(&t.Source), source),
	})
	if len(heap.List()) > 0 {
		return
	}
	heap.Check(base, "edition", "missing: say which edition the table is based on")
	heap.Check(t.Rows != nil, "queues", "missing")
	t.Check(heap)
	return
}

// Check tells all that is wrong with a table as a whole.
func (t Table) Check(heap *apierror.ErrorList) {
	heap.Check(t.Becomes == 0 || t.Becomes > t.Version, "becomes", "must be above the edition it is based on")
	sum, seen, way := 0, map[types.Queue]bool{}, map[[2]string]bool{}
	for i, row := range t.Rows {
		at := fmt.Sprintf("queues[%d]", i)
		heap.Check(!seen[row.Name], at+".name", "two rows for "+string(row.Name))
		seen[row.Name] = true
		sum += row.Share
		if row.Prefix != "" {
			k := [2]string{row.Host, row.Prefix}
			heap.Check(!way[k], at+".prefix", "two rows take "+row.Host+row.Prefix)
			way[k] = true
		}
		if _, ok := t.Serves(row.Service); row.Service != "" && len(t.Services) > 0 {
			heap.Check(ok, at+".service", "no service is called "+string(row.Service))
		}
	}
	heap.Check(sum <= 100, "queues", "the shares add up to more than 100")
}

func readService(r *Reader, at string) (s Service) {
	s.Guards = true
	r.Obj(at, map[string]Field{"name": Text(r, &s.Name, Name), "guards": Bool(r, &s.Guards),
		"health": Text(r, &s.Health, any), "connections": Num(r, &s.Conns, 0, 65535)})
	return
}

func any(string) string { return "" }

func readRow(r *Reader, at string) Row {
	row := Row{Weight: 1, Running: 1000, Waiting: 1000, Tries: 3, TaskMS: 600_000, Patience: 30_000, CutMS: 86_400_000, Stall: 10, Moves: 3}
	r.Obj(at, map[string]Field{
		"name":            Text(r, &row.Name, Name),
		"weight":          Num(r, &row.Weight, 1, 1000),
		"share":           Num(r, &row.Share, 0, 100),
		"running":         Num(r, &row.Running, 1, 100_000),
		"waiting":         Num(r, &row.Waiting, 1, 100_000),
		"tries":           Num(r, &row.Tries, 1, 100),
		"task_time_ms":    Num(r, &row.TaskMS, 10, 86_400_000),
		"patience_ms":     Num(r, &row.Patience, 0, 86_400_000),
		"cut_patience_ms": Num(r, &row.CutMS, 0, 604_800_000),
		"losses":          Num(r, &row.Losses, 0, 1000),
		"stall_times":     Num(r, &row.Stall, 0, 1000),
		"displaces":       Bool(r, &row.Displace),
		"displaced":       Num(r, &row.Moves, 0, 100),
		"host":            Text(r, &row.Host, any),
		"prefix":          Text(r, &row.Prefix, Maybe(path)),
		"service":         Text(r, &row.Service, Maybe(Name)),
		"priority":        Num(r, &row.Priority, 0, 9),
		"stretch":         Real(r, &row.Stretch, 0, 1000),
		"target_ms":       Num(r, &row.Target, 0, 86_400_000),
		"timeout_ms":      Num(r, &row.Timeout, 0, 86_400_000),
		"rest_ms":         Num(r, &row.Rest, 0, 60_000),
	})
	r.Heap.Check(row.Name != "", at+".name", "missing")
	return row
}

func path(s string) string {
	if s[0] != '/' || len(s) > 256 {
		return "want a path that begins with a slash"
	}
	return ""
}
