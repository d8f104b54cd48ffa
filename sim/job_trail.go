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

// traceLine is a trace point of one daemon.
type traceLine struct {
	at   int64 // simulated time in nanoseconds
	text string
}

// JobTrace returns the trace points that all daemons have of a job, in order of time, a
// line each.
func (r *Run) JobTrace(id string) string {
	var lines []traceLine
	for _, a := range r.NodeOrder {
		lines = append(lines, jobTraceOf(r.Nodes[a], types.JobID(id))...)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return cmp.Compare(a.at, b.at) })
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "  %8.3f s %s\n", time.Duration(l.at).Seconds(), l.text)
	}
	return b.String()
}

// jobTraceOf returns the trace points that one daemon has of a job.
func jobTraceOf(n *world.Node, id types.JobID) []traceLine {
	ring := traceRing(n.Machine)
	if ring == nil {
		return nil
	}
	var lines []traceLine
	for _, point := range ring.Points(trace.JobSubject(id)) {
		lines = append(lines, traceLine{
			at:   int64(point.At) - history.WallClockStart - int64(n.WallOffset),
			text: string(n.Addr) + " " + point.Description,
		})
	}
	return lines
}

// traceRing returns the trace of a daemon's machine, or nil if none runs.
func traceRing(m wire.Machine) *trace.Ring {
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
