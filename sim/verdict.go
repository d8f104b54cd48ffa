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

// Near is the part of the calm's rate that service must have come back to.
const Near = 0.75

// Verdict is what one run showed.
type Verdict struct {
	Breaks   []Break
	Seen     Tally
	Attempts int
	Ratio    float64
}

// Verdict checks the run's history. The ratio is of jobs done for each one sent:
// from 12 seconds after healing to the end of the traffic, beside the calm before.
func (r *Run) Verdict() (v Verdict) {
	b := Rules
	b.Hurry = r.Plan.Patience < 10*time.Second
	if r.environment != nil {
		v.Breaks, v.Seen = CheckInvoked(&r.Hist, InvokedRules(r.environment.WorkerRules), r.done)
	} else {
		v.Breaks, v.Seen = Check(&r.Hist, b, r.done, r.Plan.Patience)
	}
	for _, h := range r.Hist.List {
		if h.What == Started {
			v.Attempts++
		}
	}
	p := r.Plan
	from := 6*time.Second + 2*time.Second
	calm := Rate(&r.Hist, int64(from), int64(6*time.Second+p.Before))
	heal := 6*time.Second + p.Before + p.FaultsFor + 12*time.Second
	if calm > 0 && p.After > 12*time.Second {
		end := int64(heal + p.After - 12*time.Second)
		v.Ratio = Rate(&r.Hist, int64(heal), end) / calm
		v.Ratio *= asked(&r.Hist, int64(from), int64(6*time.Second+p.Before)) / asked(&r.Hist, int64(heal), end)
		if v.Ratio < Near {
			v.Breaks = append(v.Breaks, Break{"recovery", int64(heal), fmt.Sprintf("%.2f of the jobs done for each one sent before the faults", v.Ratio)})
		}
	}
	return
}

// asked is how many jobs were sent a second in a stretch.
func asked(h *History, from, to int64) float64 {
	n := 0
	for _, x := range h.List {
		if x.What == Sent && x.At >= from && x.At < to {
			n++
		}
	}
	return float64(n) / time.Duration(to-from).Seconds()
}

// Spread tells least, median and most of a list.
func Spread(list []float64) string {
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
	for _, x := range h.List {
		for int64(len(rows)) <= x.At/step {
			rows = append(rows, row{n: map[EventKind]int{}})
		}
		r := &rows[x.At/step]
		r.n[x.What]++
		if x.What == Saw && x.Stage == "done" && !seen[string(x.Job)] {
			seen[string(x.Job)] = true
			r.done++
		}
		if x.What == Trouble || x.What == Healed {
			r.text = append(r.text, fmt.Sprintf("%.1f %s %s", float64(x.At)/1e9, x.What, x.Text))
		}
	}
	var b strings.Builder
	for i, r := range rows {
		fmt.Fprintf(&b, "%4d s sent %3d accepted %3d started %3d done %3d  %s\n", i*2, r.n[Sent], r.n[Accepted], r.n[Started], r.done, strings.Join(r.text, "; "))
	}
	return b.String()
}

// Marks tells what the daemons' own trails say of a job, in order of time, to
// find causes by; the checker never looks at them.
func (r *Run) Marks(id string) string {
	type line struct {
		at   int64
		text string
	}
	var lines []line
	for _, a := range r.order {
		n := r.nodes[a]
		var ring *trace.Ring
		switch m := n.m.(type) {
		case *controller.Controller:
			ring = m.Trace
		case *gateway.Gateway:
			ring = m.Trail
		case *agent.Agent:
			ring = m.Trail
		default:
			continue
		}
		for _, k := range ring.Points(trace.JobSubject(types.JobID(id))) {
			lines = append(lines, line{int64(k.At) - origin - int64(n.wall), string(a) + " " + k.Description})
		}
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].at < lines[k].at })
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "  %8.3f s %s\n", float64(l.at)/1e9, l.text)
	}
	return b.String()
}
