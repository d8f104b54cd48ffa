// The daemons' own trace points of a job, to find causes by. The checker never uses them.

package sim

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// trailLine is a trace point of one daemon.
type trailLine struct {
	at   int64 // simulated time in nanoseconds
	text string
}

// JobTrail returns the trace points that all daemons have of a job, in order of time, a
// line each.
func (r *Run) JobTrail(id string) string {
	var lines []trailLine
	for _, a := range r.NodeOrder {
		lines = append(lines, jobTrailOf(r.Nodes[a], types.JobID(id))...)
	}
	slices.SortStableFunc(lines, func(a, b trailLine) int { return cmp.Compare(a.at, b.at) })
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "  %8.3f s %s\n", time.Duration(l.at).Seconds(), l.text)
	}
	return b.String()
}

// jobTrailOf returns the trace points that one daemon has of a job.
func jobTrailOf(n *world.Node, id types.JobID) []trailLine {
	ring := traceOf(n.Machine)
	if ring == nil {
		return nil
	}
	var lines []trailLine
	for _, point := range ring.Points(trace.JobSubject(id)) {
		lines = append(lines, trailLine{
			at:   int64(point.At) - history.WallClockStart - int64(n.WallOffset),
			text: string(n.Addr) + " " + point.Description,
		})
	}
	return lines
}

// traceOf returns the trace of a daemon's machine, or nil if none runs.
func traceOf(m wire.Machine) *trace.Ring {
	switch m := m.(type) {
	case *controller.Controller:
		return m.Trace
	case *gateway.Gateway:
		return m.Trace
	case *agent.Agent:
		return m.Trace
	}
	return nil
}
