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

// capacity is how many trace points a daemon keeps.
const capacity = 8192

// Point is one trace point: what happened to a subject in this daemon, and when.
type Point struct {
	At          types.WallTime `json:"at"`
	Subject     string         `json:"subject"`
	Description string         `json:"what"`
}

// Ring is a bounded buffer of trace points. The goroutine that owns the state
// machine writes it; HTTP handlers read it at the same time.
type Ring struct {
	mu     sync.Mutex
	points []Point
	oldest int // index of the oldest, once the ring is full
}

// New returns an empty ring.
func New() *Ring { return &Ring{} }

// JobSubject returns the subject of a job's trace points.
func JobSubject(id types.JobID) string { return "job/" + string(id) }

// TableSubject returns the subject of the trace points of a version of the table.
func TableSubject(version types.Version) string { return fmt.Sprintf("table/%d", version) }

// Add records a trace point; pairs are names and values in turn.
func (r *Ring) Add(at types.WallTime, subject, description string, keysAndValues ...any) {
	var b strings.Builder
	b.WriteString(description)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		fmt.Fprintf(&b, " %v=%v", keysAndValues[i], keysAndValues[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Point{at, subject, b.String()}
	if len(r.points) < capacity {
		r.points = append(r.points, m)
		return
	}
	r.points[r.oldest] = m
	r.oldest = (r.oldest + 1) % capacity
}

// Points returns a subject's trace points, oldest first.
func (r *Ring) Points(subject string) []Point {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []Point{}
	for i := range r.points {
		if m := r.points[(r.oldest+i)%len(r.points)]; m.Subject == subject {
			list = append(list, m)
		}
	}
	return list
}
