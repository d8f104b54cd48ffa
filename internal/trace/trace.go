// Package trace records the events of a job, or of a version of the queue table, in one
// daemon. The trace points are held in a ring in memory, which overwrites the oldest first.
// The command "trace" collects them from all daemons.
package trace

import (
	"fmt"
	"strings"
	"sync"

	"coppercourse/internal/types"
)

// capacity is the number of trace points that a daemon retains.
const capacity = 8192

// Point is a trace point: an event of a subject in this daemon, with its time.
type Point struct {
	At          types.WallTime `json:"at"`
	Subject     string         `json:"subject"`
	Description string         `json:"what"`
}

// JobSubject returns the subject of a job's trace points.
func JobSubject(id types.JobID) string { return "job/" + string(id) }

// TableSubject returns the subject of the trace points of a version of the queue table.
func TableSubject(version types.Version) string { return fmt.Sprintf("table/%d", version) }

// Ring holds the latest trace points. It is safe for concurrent use: the goroutine of the
// state machine writes it while HTTP handlers read it.
type Ring struct {
	mu     sync.Mutex
	points []Point
	oldest int // index of the oldest point; 0 until the ring is full
}

// New returns an empty ring.
func New() *Ring { return &Ring{} }

// Add records a trace point. It appends the pairs of key and value to the description.
func (r *Ring) Add(at types.WallTime, subject, description string, keysAndValues ...any) {
	var text strings.Builder
	text.WriteString(description)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		fmt.Fprintf(&text, " %v=%v", keysAndValues[i], keysAndValues[i+1])
	}
	point := Point{At: at, Subject: subject, Description: text.String()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.points) < capacity {
		r.points = append(r.points, point)
		return
	}
	r.points[r.oldest] = point
	r.oldest = (r.oldest + 1) % capacity
}

// Points returns a subject's trace points, oldest first. The list is never nil.
func (r *Ring) Points(subject string) []Point {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Point{}
	for i := range r.points {
		point := r.points[(r.oldest+i)%len(r.points)]
		if point.Subject == subject {
			found = append(found, point)
		}
	}
	return found
}
