// The verdict on a run: broken rules, what the run covered, and whether service recovered.

package sim

import (
	"fmt"
	"time"

	"coppercourse/sim/checker"
	"coppercourse/sim/history"
)

// MinRecoveryRatio is the least Verdict.Ratio at which service has recovered from the faults.
const MinRecoveryRatio = 0.75

const (
	warmUpTime      = 2 * time.Second  // from the start of the traffic until the rate counts
	maxRecoveryTime = 12 * time.Second // from the healing until service must have recovered
)

// Verdict is what one run showed.
type Verdict struct {
	Violations []checker.Violation
	Coverage   checker.Coverage
	Attempts   int // that workers started

	// Ratio compares the jobs done for each job submitted after maxRecoveryTime with those
	// before the faults; 0 means that there is nothing to compare.
	RecoveryRatio float64
}

// Verdict checks the run's history.
func (r *Run) Verdict() Verdict {
	var v Verdict
	v.Violations, v.Coverage = r.check()
	for _, event := range r.History.Events {
		if event.Kind == history.AttemptStarted {
			v.Attempts++
		}
	}
	ratio, ok := r.recoveryRatio()
	if !ok {
		return v
	}
	v.RecoveryRatio = ratio
	if ratio < MinRecoveryRatio {
		v.Violations = append(v.Violations, checker.Violation{
			Rule:   "recovery",
			At:     int64(r.Plan.faultsEnd() + maxRecoveryTime),
			Detail: fmt.Sprintf("%.2f of the jobs done for each one sent before the faults", ratio),
		})
	}
	return v
}

// check applies the rules of the run's deployment.
func (r *Run) check() ([]checker.Violation, checker.Coverage) {
	if r.Environment != nil {
		return checker.CheckInvoked(&r.History, checker.InvokedBounds(r.Environment.Rules), r.endedAt)
	}
	bounds := checker.DefaultBounds
	bounds.ShortUnresolvedTimeout = r.Plan.UnresolvedTimeout < minPartitionTimeout
	return checker.Check(&r.History, bounds, r.endedAt, r.Plan.UnresolvedTimeout)
}

// recoveryRatio returns Verdict.Ratio. It is not ok if no job was done before the faults,
// or the traffic after them is too short.
func (r *Run) recoveryRatio() (ratio float64, ok bool) {
	p := r.Plan
	calmFrom, calmTo := int64(trafficStartTime+warmUpTime), int64(p.faultsStart())
	from, to := int64(p.faultsEnd()+maxRecoveryTime), int64(p.trafficEnd())
	calmRate := history.CompletionRate(&r.History, calmFrom, calmTo)
	if calmRate <= 0 || p.After <= maxRecoveryTime {
		return 0, false
	}
	ratio = history.CompletionRate(&r.History, from, to) / calmRate
	ratio *= history.SubmissionRate(&r.History, calmFrom, calmTo) / history.SubmissionRate(&r.History, from, to)
	return ratio, true
}
