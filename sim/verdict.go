// The verdict on a simulated run: broken rules, and how service came back.

package sim

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"coppercourse/internal/agent"
	"coppercourse/internal/controller"
	"coppercourse/internal/gateway"
	"coppercourse/internal/trace"
	"coppercourse/internal/types"
	"coppercourse/sim/checker"
	"coppercourse/sim/history"
)

// MinRecovery is the part of the calm's rate that service must have come back to.
const MinRecovery = 0.75

// Verdict is what one run showed.
type Verdict struct {
	Violations []checker.Violation
	Coverage   checker.Coverage
	Attempts   int
	Ratio      float64
}

// Verdict checks the run's history. The ratio is of jobs done for each one sent:
// from 12 seconds after healing to the end of the traffic, beside the calm before.
func (r *Run) Verdict() (v Verdict) {
	b := checker.DefaultBounds
	b.ShortPatience = r.Plan.Patience < 10*time.Second
	if r.Environment != nil {
		v.Violations, v.Coverage = checker.CheckInvoked(&r.History, checker.InvokedBounds(r.Environment.Rules),
			r.endedAt)
	} else {
		v.Violations, v.Coverage = checker.Check(&r.History, b, r.endedAt, r.Plan.Patience)
	}
	for _, h := range r.History.Events {
		if h.Kind == history.AttemptStarted {
			v.Attempts++
		}
	}
	p := r.Plan
	from := 6*time.Second + 2*time.Second
	calm := history.CompletionRate(&r.History, int64(from), int64(6*time.Second+p.Before))
	heal := 6*time.Second + p.Before + p.FaultsFor + 12*time.Second
	if calm > 0 && p.After > 12*time.Second {
		end := int64(heal + p.After - 12*time.Second)
		v.Ratio = history.CompletionRate(&r.History, int64(heal), end) / calm
		v.Ratio *= history.SubmissionRate(&r.History, int64(from),
			int64(6*time.Second+p.Before)) / history.SubmissionRate(&r.History, int64(heal), end)
		if v.Ratio < MinRecovery {
			v.Violations = append(v.Violations, checker.Violation{Rule: "recovery", At: int64(heal),
				Detail: fmt.Sprintf("%.2f of the jobs done for each one sent before the faults", v.Ratio)})
		}
	}
	return v
}

// JobTrail tells what the daemons' own trails say of a job, in order of time, to
// find causes by; the checker never looks at them.
func (r *Run) JobTrail(id string) string {
	type line struct {
		at   int64
		text string
	}
	var lines []line
	for _, a := range r.NodeOrder {
		n := r.Nodes[a]
		var ring *trace.Ring
		switch m := n.Machine.(type) {
		case *controller.Controller:
			ring = m.Trace
		case *gateway.Gateway:
			ring = m.Trace
		case *agent.Agent:
			ring = m.Trace
		default:
			continue
		}
		for _, k := range ring.Points(trace.JobSubject(types.JobID(id))) {
			lines = append(lines, line{
				int64(k.At) - history.WallClockStart - int64(n.WallOffset),
				string(a) + " " + k.Description,
			})
		}
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].at < lines[k].at })
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "  %8.3f s %s\n", float64(l.at)/1e9, l.text)
	}
	return b.String()
}
