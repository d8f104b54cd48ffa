// Package trace keeps the marks that one change leaves in a daemon, for the
// tracer to gather: a bounded ring, the oldest mark overwritten first.
package trace

import (
	"fmt"
	"strings"
	"sync"

	"coppercourse/internal/types"
)

const size = 8192

// Mark is one thing that happened to a subject here.
type Mark struct {
	At      types.Wall `json:"at"`
	Subject string     `json:"subject"`
	What    string     `json:"what"`
}

// Ring is written by the owner and read by the daemon's pages.
type Ring struct {
	mu   sync.Mutex
	list []Mark
	at   int
}

func New() *Ring { return &Ring{} }

// Job and Table name subjects.
func Job(id types.JobID) string    { return "job/" + string(id) }
func Table(e types.Version) string { return fmt.Sprintf("table/%d", e) }

// Add leaves a mark; pairs are names and values.
func (r *Ring) Add(at types.Wall, subject, what string, pairs ...any) {
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

// Of lists a subject's marks, oldest first.
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
