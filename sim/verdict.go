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
)

// MinRecovery is the part of the calm's rate that service must have come back to.
const MinRecovery = 0.75

// Verdict is what one run showed.
type Verdict struct {
	Violations []Violation
	Coverage   Coverage
	Attempts   int
	Ratio      float64
}

// Verdict checks the run's history. The ratio is of jobs done for each one sent:
// from 12 seconds after healing to the end of the traffic, beside the calm before.
func (r *Run) Verdict() (v Verdict) {
	b := DefaultBounds
	b.ShortPatience = r.Plan.Patience < 10*time.Second
	if r.environment != nil {
		v.Violations, v.Coverage = CheckInvoked(&r.History, InvokedBounds(r.environment.WorkerRules), r.endedAt)
	} else {
		v.Violations, v.Coverage = Check(&r.History, b, r.endedAt, r.Plan.Patience)
	}
	for _, h := range r.History.Events {
		if h.Kind == AttemptStarted {
			v.Attempts++
		}
	}
	p := r.Plan
	from := 6*time.Second + 2*time.Second
	calm := CompletionRate(&r.History, int64(from), int64(6*time.Second+p.Before))
	heal := 6*time.Second + p.Before + p.FaultsFor + 12*time.Second
	if calm > 0 && p.After > 12*time.Second {
		end := int64(heal + p.After - 12*time.Second)
		v.Ratio = CompletionRate(&r.History, int64(heal), end) / calm
		v.Ratio *= submissionRate(&r.History, int64(from), int64(6*time.Second+p.Before)) / submissionRate(&r.History, int64(heal), end)
		if v.Ratio < MinRecovery {
			v.Violations = append(v.Violations, Violation{"recovery", int64(heal), fmt.Sprintf("%.2f of the jobs done for each one sent before the faults", v.Ratio)})
		}
	}
	return
}

// submissionRate is how many jobs were sent a second in a stretch.
func submissionRate(h *History, from, to int64) float64 {
	n := 0
	for _, x := range h.Events {
		if x.Kind == JobSubmitted && x.At >= from && x.At < to {
			n++
		}
	}
	return float64(n) / time.Duration(to-from).Seconds()
}

// MinMedianMax tells least, median and most of a list.
func MinMedianMax(list []float64) string {
	if len(list) == 0 {
		return "nothing"
	}
	sort.Float64s(list)
	return fmt.Sprintf("least %.2f, median %.2f, most %.2f of %d", list[0], list[len(list)/2], list[len(list)-1], len(list))
}

// Timeline tells, two seconds a line, how many jobs were sent, accepted, seen
// done, and attempts started, with the troubles that began.
func Timeline(h *History) string {
	const step = int64(2e9)
	type row struct {
		n    map[EventKind]int
		done int
		text []string
	}
	var rows []row
	seen := map[string]bool{}
	for _, x := range h.Events {
		for int64(len(rows)) <= x.At/step {
			rows = append(rows, row{n: map[EventKind]int{}})
		}
		r := &rows[x.At/step]
		r.n[x.Kind]++
		if x.Kind == JobObserved && x.Stage == "done" && !seen[string(x.Job)] {
			seen[string(x.Job)] = true
			r.done++
		}
		if x.Kind == FaultStarted || x.Kind == FaultsHealed {
			r.text = append(r.text, fmt.Sprintf("%.1f %s %s", float64(x.At)/1e9, x.Kind, x.Text))
		}
	}
	var b strings.Builder
	for i, r := range rows {
		fmt.Fprintf(&b, "%4d s sent %3d accepted %3d started %3d done %3d  %s\n", i*2, r.n[JobSubmitted], r.n[JobAccepted], r.n[AttemptStarted], r.done, strings.Join(r.text, "; "))
	}
	return b.String()
}

// JobTrail tells what the daemons' own trails say of a job, in order of time, to
// find causes by; the checker never looks at them.
func (r *Run) JobTrail(id string) string {
	type line struct {
		at   int64
		text string
	}
	var lines []line
	for _, a := range r.nodeOrder {
		n := r.nodes[a]
		var ring *trace.Ring
		switch m := n.machine.(type) {
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
			lines = append(lines, line{int64(k.At) - wallClockStart - int64(n.wallOffset), string(a) + " " + k.Description})
		}
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].at < lines[k].at })
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "  %8.3f s %s\n", float64(l.at)/1e9, l.text)
	}
	return b.String()
}
