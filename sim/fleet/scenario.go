package fleet

import (
	"errors"
	"fmt"
	"path/filepath"
	"sort"
	"time"

	"coppercourse/sim/checker"
	"coppercourse/sim/history"
)

// completionTimeout is the time that jobs have to end after the traffic.
const completionTimeout = 75 * time.Second

// unresolvedTimeout is the unresolved timeout of the deployments' queues.
const unresolvedTimeout = 30 * time.Second

// pendingFaultEnd is the scheduled end of an active fault.
type pendingFaultEnd struct {
	at  time.Time
	end func()
}

// faultSchedule ends the faults of a scenario after their duration.
type faultSchedule struct {
	fleet   *Fleet
	pending []pendingFaultEnd // ordered by time
}

// waitUntil sleeps until the given time and ends the faults that are due by then.
func (s *faultSchedule) waitUntil(until time.Time) {
	for len(s.pending) > 0 && !s.pending[0].at.After(until) {
		time.Sleep(time.Until(s.pending[0].at))
		s.pending[0].end()
		s.fleet.Record(history.Event{Kind: history.FaultsHealed})
		s.pending = s.pending[1:]
	}
	time.Sleep(time.Until(until))
}

// start starts a fault and schedules its end.
func (s *faultSchedule) start(f ScheduledFault, w *Workload) {
	s.fleet.Record(history.Event{Kind: history.FaultStarted, Text: fmt.Sprintf("%s for %s", f.Name, f.Duration)})
	s.pending = append(s.pending, pendingFaultEnd{time.Now().Add(f.Duration), lookupFault(f.Name)(s.fleet, w)})
	sort.Slice(s.pending, func(i, k int) bool { return s.pending[i].at.Before(s.pending[k].at) })
}

// RunScenario generates traffic with faults for the given duration, then waits until all faults and
// jobs have ended. It returns an error if jobs have not ended within completionTimeout.
func (f *Fleet) RunScenario(w *Workload, duration time.Duration, faults []ScheduledFault) error {
	startedAt := time.Now()
	go w.WatchReadiness()
	for _, flow := range f.Deployment.Flows {
		go w.RunFlow(flow)
	}
	go w.RunConflictingOperators()
	schedule := &faultSchedule{fleet: f}
	for _, fault := range faults {
		schedule.waitUntil(startedAt.Add(fault.At))
		schedule.start(fault, w)
	}
	schedule.waitUntil(startedAt.Add(duration))
	if n := len(schedule.pending); n > 0 {
		schedule.waitUntil(schedule.pending[n-1].at)
	}
	if !w.Close(completionTimeout) {
		return errors.New("jobs have not ended within 75 s after the traffic")
	}
	return nil
}

// historyFile is the name of the merged history in the fleet's folder.
const historyFile = "fleet.history"

// Report writes the merged history to the fleet's folder, prints a report on the scenario and
// returns the violations of the checker's rules.
func (f *Fleet) Report(w *Workload) ([]checker.Violation, error) {
	end := time.Since(f.startedAt).Nanoseconds()
	if err := f.loadHistories(); err != nil {
		return nil, err
	}
	if err := f.saveHistory(filepath.Join(f.Dir, historyFile)); err != nil {
		return nil, err
	}
	violations, coverage := checker.Check(&f.history, checker.DefaultBounds, end, unresolvedTimeout)
	for _, event := range f.history.Events {
		if event.Kind == history.RequestDropped {
			violations = append(violations, checker.Violation{
				Rule:   "dropped",
				At:     event.At,
				Detail: "no response to a received request: " + event.Process + ": " + event.Text,
			})
		}
	}
	fmt.Print(history.Timeline(&f.history))
	fmt.Printf("%s\n", history.Summary(&f.history))
	fmt.Printf("time to acceptance: %s\ntime to completion: %s\n",
		quantiles(w.AcceptLatencies), quantiles(w.CompletionLatencies))
	fmt.Printf("rejected requests: %v\nrule coverage:\n%v", w.Rejections, coverage)
	return violations, nil
}

// quantiles formats quantiles of a list of latencies in ms. It sorts the list.
func quantiles(list []float64) string {
	if len(list) == 0 {
		return "none"
	}
	sort.Float64s(list)
	last := len(list) - 1
	at := func(q float64) float64 { return list[int(q*float64(last))] }
	return fmt.Sprintf("p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms of %d",
		at(.5), at(.9), at(.99), list[last], len(list))
}
