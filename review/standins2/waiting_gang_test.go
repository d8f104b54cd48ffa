//go:build review

package standins2

import (
	"errors"
	"slices"
	"time"
)

// The lasting tasks use 7 of the 16 cores of each worker, which is less than half of the room. Each
// member of the gang asks for 10, so that it fits on no worker beside a lasting task. The traffic is
// of short quotes and of refreshes that are as long as the gang's tasks and much smaller.
const (
	lastingCPU   = 7000
	memberCPU    = 10000
	smallCPU     = 300
	quoteMS      = 300
	refreshMS    = 6000
	pairInterval = time.Second
	pairTime     = 14 * time.Second
	idleLimit    = 3 * time.Second
)

func init() { scenarios["waiting-gang"] = waitingGang }

// waitingGang starts a lasting job, hands in a gang for which there is no room beside it, and then
// quotes, for which there is room many times over. finish_s after the end of the traffic no quote
// may have nothing running for 3 s.
func waitingGang(s *system, trouble bool) (bool, error) {
	lasting := newJobID()
	if !s.submit(refreshPrefix, lasting, job{JobSpec: spec(0, lastingCPU, 1024),
		StageList: []step{{TaskCount: len(s.workers), CPU: lastingCPU, MemMB: 1024, LongRunning: true, AntiAffinity: 1}}}) {
		return false, errors.New("the lasting job is not accepted")
	}
	for end := time.Now().Add(readyTimeout); len(s.startsOf(lasting)) < len(s.workers); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false, errors.New("the lasting job does not run")
		}
	}
	gang := newJobID()
	if trouble {
		s.rec.line("the job %s is a gang for which there is no room beside the lasting tasks", gang)
		s.submit(refreshPrefix, gang, job{JobSpec: spec(6000, memberCPU, 1024), StageList: []step{
			{TaskCount: len(s.workers), CPU: memberCPU, MemMB: 1024, EstimateMS: 6000, GangScheduled: true}}})
	}
	accepted := s.sendPairs()
	s.rec.line("the traffic ends; %d small jobs were accepted", len(accepted))
	time.Sleep(finishLimit)
	return s.noneIdle(accepted), nil
}

// smallJob is an accepted job of the traffic.
type smallJob struct{ prefix, id string }

// sendPairs hands in a quote and a refresh again and again for some time, and returns the accepted
// ones.
func (s *system) sendPairs() (accepted []smallJob) {
	send := func(prefix string, ms int) {
		id := newJobID()
		if s.submit(prefix, id, job{JobSpec: spec(ms, smallCPU, 256),
			StageList: []step{{TaskCount: 1, CPU: smallCPU, MemMB: 256, EstimateMS: int64(ms)}}}) {
			accepted = append(accepted, smallJob{prefix, id})
		}
	}
	for end := time.Now().Add(pairTime); time.Now().Before(end); time.Sleep(pairInterval) {
		send(quotePrefix, quoteMS)
		send(refreshPrefix, refreshMS)
	}
	return accepted
}

// noneIdle watches the workers for 3 s and reports whether no accepted job waits with nothing
// running. It writes down how much of the room is in use.
func (s *system) noneIdle(accepted []smallJob) bool {
	var waiting []smallJob
	for _, j := range accepted {
		if state, _ := s.state(j.prefix, j.id, s.fronts[0]); state != "completed" {
			waiting = append(waiting, j)
		}
	}
	before, most := len(s.allStarts()), 0
	for end := time.Now().Add(idleLimit); time.Now().Before(end); time.Sleep(pollInterval) {
		most = max(most, s.cpuInUse())
	}
	waiting = slices.DeleteFunc(waiting, func(j smallJob) bool { return len(s.startsOf(j.id)) > 0 })
	s.rec.line("in %v at most %d of %d thousandths of a core were in use, and %d tasks were started",
		idleLimit, most, workerCPU*len(s.workers), len(s.allStarts())-before)
	for _, j := range waiting {
		s.rec.line("LOST: the job %s had nothing running for %v, %v after the traffic", j.id, idleLimit, finishLimit)
	}
	return len(waiting) == 0
}
