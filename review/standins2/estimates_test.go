//go:build review

package standins2

import (
	"errors"
	"time"
)

// The job with wrong estimates: its client writes nanoseconds where the page wants milliseconds,
// for tasks of about a quarter of an hour.
const (
	wideSteps       = 40
	estimateSeconds = 900
	soundJobs       = 6
	trafficTime     = 10 * time.Second
	askTime         = 6 * time.Second
	askInterval     = time.Second
)

func init() { scenarios["estimates"] = estimates }

// estimates hands in sound jobs, then one job of which only the estimates are wrong, then sound jobs
// again. All that were accepted must be known and answered when they are asked for, finish_s after
// the end of the traffic.
func estimates(s *system, trouble bool) (bool, error) {
	var accepted []string
	begin := time.Now()
	hand := func(ms int) {
		id := newJobID()
		j := job{JobSpec: spec(ms, 1500, 1024), StageList: []step{{TaskCount: 2, CPU: 1500, MemMB: 1024, EstimateMS: int64(ms)}}}
		if s.submit(quotePrefix, id, j) {
			accepted = append(accepted, id)
		}
	}
	for range soundJobs {
		hand(5000)
	}
	if len(accepted) < soundJobs {
		return false, errors.New("a sound job is not accepted before the disruption")
	}
	estimate := int64(estimateSeconds) * 1000
	if trouble {
		estimate = int64(estimateSeconds) * 1_000_000_000
	}
	wide := job{JobSpec: spec(100, 500, 256)}
	for i := range wideSteps {
		one := step{TaskCount: 1, CPU: 500, MemMB: 256, EstimateMS: estimate}
		for k := range i {
			one.DependsOn = append(one.DependsOn, k)
		}
		wide.StageList = append(wide.StageList, one)
	}
	id := newJobID()
	s.rec.line("the job %s has %d steps, each with an estimate of %d ms", id, wideSteps, estimate)
	if s.submit(refreshPrefix, id, wide) {
		accepted = append(accepted, id)
	}
	for range soundJobs {
		hand(500)
	}
	time.Sleep(time.Until(begin.Add(trafficTime)))
	s.rec.line("the traffic ends; %d jobs were accepted", len(accepted))
	time.Sleep(finishLimit)
	return s.askAll(accepted), nil
}

// askAll asks for jobs of the first queue at all gateways for some seconds, and reports whether each
// was answered at least once.
func (s *system) askAll(ids []string) bool {
	answered := map[string]bool{}
	for end := time.Now().Add(askTime); time.Now().Before(end); {
		for _, id := range ids {
			for _, ip := range s.fronts {
				if answered[id] || time.Now().After(end) {
					continue
				}
				if state, _ := s.state(quotePrefix, id, ip); state != "" {
					answered[id] = true
				}
			}
		}
		if len(answered) == len(ids) {
			return true
		}
		time.Sleep(askInterval)
	}
	for _, id := range ids {
		if !answered[id] {
			s.rec.line("LOST: the accepted job %s got no answer in %v, %v after the traffic", id, askTime, finishLimit)
		}
	}
	return false
}
