package history

import (
	"fmt"
	"strings"
	"time"

	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// CompletionRate returns how many jobs a second were first seen done between two
// times.
func CompletionRate(h *History, from, to int64) float64 {
	seen := map[types.JobID]bool{}
	done := 0
	for _, event := range h.Events {
		if event.Kind != JobObserved || event.Status != state.JobDone || seen[event.Job] {
			continue
		}
		seen[event.Job] = true
		if event.At >= from && event.At < to {
			done++
		}
	}
	return perSecond(done, from, to)
}

// SubmissionRate returns how many jobs a second were submitted between two times.
func SubmissionRate(h *History, from, to int64) float64 {
	submitted := 0
	for _, event := range h.Events {
		if event.Kind == JobSubmitted && event.At >= from && event.At < to {
			submitted++
		}
	}
	return perSecond(submitted, from, to)
}

func perSecond(count int, from, to int64) float64 {
	return float64(count) / time.Duration(to-from).Seconds()
}

// Summary returns the counts of the main events in one line.
func Summary(h *History) string {
	count := map[Kind]int{}
	outcomes := map[state.Outcome]int{}
	for _, event := range h.Events {
		count[event.Kind]++
		if event.Kind == AttemptEnded {
			outcomes[event.Outcome]++
		}
	}
	return fmt.Sprintf("sent %d, accepted %d, denied %d, cancels %d, attempts %d, ended %v, worker deaths %d, "+
		"tables %d taken %d refused, faults %d",
		count[JobSubmitted], count[JobAccepted], count[JobRejected], count[CancelAccepted], count[AttemptStarted],
		outcomes, count[WorkerDied], count[TableAcknowledged], count[TableRejected], count[FaultStarted])
}

// timelineStep is the time that one line of a timeline covers.
const timelineStep = 2 * time.Second

// timelineRow is what happened in one step of a timeline.
type timelineRow struct {
	count  map[Kind]int
	done   int // jobs first seen done
	faults []string
}

// Timeline returns one line for every two seconds: how many jobs were submitted,
// accepted and seen done, how many attempts started, and which faults began or healed.
func Timeline(h *History) string {
	var rows []timelineRow
	seen := map[types.JobID]bool{}
	for _, event := range h.Events {
		step := int(event.At / int64(timelineStep))
		for len(rows) <= step {
			rows = append(rows, timelineRow{count: map[Kind]int{}})
		}
		row := &rows[step]
		row.count[event.Kind]++
		if event.Kind == JobObserved && event.Status == state.JobDone && !seen[event.Job] {
			seen[event.Job] = true
			row.done++
		}
		if event.Kind == FaultStarted || event.Kind == FaultsHealed {
			row.faults = append(row.faults, fmt.Sprintf("%.1f %s %s", float64(event.At)/1e9, event.Kind, event.Text))
		}
	}
	var b strings.Builder
	for i, row := range rows {
		fmt.Fprintf(&b, "%4.0f s sent %3d accepted %3d started %3d done %3d  %s\n",
			(time.Duration(i) * timelineStep).Seconds(), row.count[JobSubmitted], row.count[JobAccepted],
			row.count[AttemptStarted], row.done, strings.Join(row.faults, "; "))
	}
	return b.String()
}
