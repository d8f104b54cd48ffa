// The table: one row a queue, changed whole and read back whole.
package blueprint

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"coppercourse/fault"
	"coppercourse/mark"
)

// Row is one queue. Running counts tasks at once, Waiting unfinished jobs.
type Row struct {
	Name     mark.Queue `json:"name"`
	Weight   int        `json:"weight"`
	Share    int        `json:"share"`
	Running  int        `json:"running"`
	Waiting  int        `json:"waiting"`
	Tries    int        `json:"tries"`
	TaskMS   int        `json:"task_time_ms"`
	Patience int        `json:"patience_ms"`
	CutMS    int        `json:"cut_patience_ms"`
	Losses   int        `json:"losses"`
	Stall    int        `json:"stall_times"`
	Displace bool       `json:"displaces"`
	Moves    int        `json:"displaced"`
}

func (r Row) Limit() time.Duration   { return time.Duration(r.TaskMS) * time.Millisecond }
func (r Row) WaitCut() time.Duration { return time.Duration(r.CutMS) * time.Millisecond }
func (r Row) Wait() time.Duration    { return time.Duration(r.Patience) * time.Millisecond }

// Table is the whole of them under one edition.
type Table struct {
	Edition mark.Edition `json:"edition"`
	Tasks   int          `json:"tasks,omitempty"`
	MB      int          `json:"megabytes,omitempty"`
	Rows    []Row        `json:"queues"`
}

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

func (t Table) Find(q mark.Queue) (Row, bool) {
	for _, r := range t.Rows {
		if r.Name == q {
			return r, true
		}
	}
	return Row{}, false
}

// Next is the table as it is in force once taken.
func (t Table) Next() Table {
	t.Edition++
	return t
}

// Same tells whether two tables say the same, whatever their edition.
func (t Table) Same(o Table) bool {
	if len(t.Rows) != len(o.Rows) || t.MostTasks() != o.MostTasks() || t.MostBytes() != o.MostBytes() {
		return false
	}
	for i := range t.Rows {
		if t.Rows[i] != o.Rows[i] {
			return false
		}
	}
	return true
}

// Hash stands for what a table says, whatever its edition.
func (t Table) Hash() string {
	b, _ := json.Marshal([]any{t.MostTasks(), t.MostBytes(), t.Rows})
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

const rows = 200

// ReadTable reads a table as an operator writes it; the edition it carries is
// the one it was based on.
func ReadTable(b []byte, heap *fault.Heap) (t Table) {
	r := NewReader(b, heap)
	base := false
	r.Whole(map[string]Field{
		"edition":   func(at string) { base = true; Num(r, &t.Edition, 0, 1<<53)(at) },
		"tasks":     Num(r, &t.Tasks, 1000, 1_000_000),
		"megabytes": Num(r, &t.MB, 8, 512),
		"queues": func(at string) {
			t.Rows = []Row{}
			r.List(at, rows, func(at string, _ int) { t.Rows = append(t.Rows, readRow(r, at)) })
		},
	})
	if len(heap.List()) > 0 {
		return
	}
	heap.Check(base, "edition", "missing: say which edition the table is based on")
	heap.Check(t.Rows != nil, "queues", "missing")
	sum, seen := 0, map[mark.Queue]bool{}
	for i, row := range t.Rows {
		heap.Check(!seen[row.Name], fmt.Sprintf("queues[%d].name", i), "two rows for "+string(row.Name))
		seen[row.Name] = true
		sum += row.Share
	}
	heap.Check(sum <= 100, "queues", "the shares add up to more than 100")
	return
}

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
	})
	r.Heap.Check(row.Name != "", at+".name", "missing")
	return row
}
