package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"coppercourse/sim"
	"coppercourse/sim/checker"
)

// sweepResults are the results of the seeds so far. The caller of add holds mu.
type sweepResults struct {
	mu              sync.Mutex
	seeds           int
	failedSeeds     int // that broke a rule
	attempts        int // at tasks
	coverage        checker.Coverage
	ratios          []float64 // of each seed: the jobs done after the faults beside those before
	ratiosByFault   map[string][]float64
	failuresByFault map[string]int
}

func newSweepResults() sweepResults {
	return sweepResults{
		coverage:        checker.Coverage{},
		ratiosByFault:   map[string][]float64{},
		failuresByFault: map[string]int{},
	}
}

// add adds the verdict on one seed, and with byFault also to the results of its faults.
func (sr *sweepResults) add(verdict sim.Verdict, faults []string, byFault bool) {
	sr.seeds++
	sr.coverage.Add(verdict.Coverage)
	sr.attempts += verdict.Attempts
	sr.ratios = append(sr.ratios, verdict.RecoveryRatio)
	broken := len(verdict.Violations) > 0
	if broken {
		sr.failedSeeds++
	}
	if !byFault {
		return
	}
	for _, fault := range slices.Compact(slices.Clone(faults)) {
		sr.ratiosByFault[fault] = append(sr.ratiosByFault[fault], verdict.RecoveryRatio)
		if broken {
			sr.failuresByFault[fault]++
		}
	}
}

// print prints the summary.
func (sr *sweepResults) print(deployment string, took time.Duration) {
	fmt.Printf("chances the rules had:\n%v", sr.coverage)
	fmt.Printf("%d seeds of %s, %d attempts run, %d seeds broke a rule, "+
		"%d re-runs after an end that nobody alive had a report of; took %s\n",
		sr.seeds, deployment, sr.attempts, sr.failedSeeds, sr.coverage.Reruns(), took.Round(time.Second))
	fmt.Printf("jobs done for each one sent from 12 s after healing, beside before the faults: %s\n",
		minMedianMax(sr.ratios))
	sr.printByFault()
}

// printByFault prints the results of each fault, in the order of the least service after it.
func (sr *sweepResults) printByFault() {
	type row struct {
		fault  string
		ratios []float64
	}
	var rows []row
	for fault, ratios := range sr.ratiosByFault {
		rows = append(rows, row{fault, slices.Sorted(slices.Values(ratios))})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.ratios[0], b.ratios[0]), cmp.Compare(a.fault, b.fault))
	})
	for _, r := range rows {
		fmt.Printf("  %-16s ratio %s; %d runs broke a rule\n",
			r.fault, minMedianMax(r.ratios), sr.failuresByFault[r.fault])
	}
}

// minMedianMax returns the least, the median and the greatest of a list, which it sorts.
func minMedianMax(list []float64) string {
	if len(list) == 0 {
		return "nothing"
	}
	slices.Sort(list)
	smallest, median, largest := list[0], list[len(list)/2], list[len(list)-1]
	return fmt.Sprintf("least %.2f, median %.2f, most %.2f of %d", smallest, median, largest, len(list))
}
