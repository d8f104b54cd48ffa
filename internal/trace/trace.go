// Package trace records trace points: what happened to a job or to a version of
// the table in one daemon. They are kept in a bounded ring, the oldest
// overwritten first, and the command line's trace verb gathers them from all
// daemons.
package trace

import (
	"fmt"
	"strings"
	"sync"

	"coppercourse/internal/types"
)

// size is how many trace points a daemon keeps.
const size = 8192

// Mark is one trace point: what happened to a subject in this daemon, and when.
type Mark struct {
	At      types.WallTime `json:"at"`
	Subject string         `json:"subject"`
	What    string         `json:"what"`
}

// Ring is a bounded buffer of trace points. The goroutine that owns the state
// machine writes it; HTTP handlers read it at the same time.
type Ring struct {
	mu   sync.Mutex
	list []Mark
	at   int // index of the oldest, once the ring is full
}

// New returns an empty ring.
func New() *Ring { return &Ring{} }

// Job returns the subject of a job's trace points.
func Job(id types.JobID) string { return "job/" + string(id) }

// Table returns the subject of the trace points of a version of the table.
func Table(version types.Version) string { return fmt.Sprintf("table/%d", version) }

// Add records a trace point; pairs are names and values in turn.
func (r *Ring) Add(at types.WallTime, subject, what string, pairs ...any) {
	var b strings.Builder
	b.WriteString(what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Mark{at, subject, b.String()}
	if len(r.list) < size {
		r.list = append(r.list, m)
		return
	}
	r.list[r.at] = m
	r.at = (r.at + 1) % size
}

// Of returns a subject's trace points, oldest first.
func (r *Ring) Of(subject string) []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []Mark{}
	for i := range r.list {
		if m := r.list[(r.at+i)%len(r.list)]; m.Subject == subject {
			list = append(list, m)
		}
	}
	return list
}
