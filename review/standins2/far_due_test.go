//go:build review

package standins2

import (
	"errors"
	"time"
)

// Due times of the timed job: the last second of the year 9999, a usual word for "not before
// somebody says so", and for the run without the disruption one hour from now.
const (
	farDueMS  = 253_402_300_799_000
	dayMS     = 86_400_000
	nearDue   = time.Hour
	watchTime = 8 * time.Second
)

func init() { scenarios["far-due"] = farDue }

// farDue hands in a timed job that is due far in the future. No task of it may start more than
// early_ms ahead of its time.
func farDue(s *system, trouble bool) (bool, error) {
	due := time.Now().Add(nearDue).UnixMilli()
	if trouble {
		due = farDueMS
	}
	sound := newJobID()
	if !s.submit(quotePrefix, sound, job{JobSpec: spec(300, 500, 256), StageList: []step{{TaskCount: 2, CPU: 500, MemMB: 256}}}) {
		return false, errors.New("a sound job is not accepted")
	}
	id := newJobID()
	timed := job{
		JobSpec:   spec(300, 500, 256),
		StageList: []step{{TaskCount: 2, CPU: 500, MemMB: 256, EstimateMS: 300}},
		RunLimit:  1, FirstRunMS: due, PeriodMS: time.Hour.Milliseconds(),
	}
	s.rec.line("the timed job %s is due at %s", id, time.UnixMilli(due).UTC())
	if !s.submit(quotePrefix, id, timed) {
		s.rec.line("the timed job is not accepted")
		return true, nil
	}
	time.Sleep(watchTime)
	if len(s.startsOf(sound)) == 0 {
		return false, errors.New("the sound job has not started")
	}
	held := true
	for _, e := range s.startsOf(id) {
		if ahead := (due - e.at.UnixMilli()) / dayMS; e.at.Before(time.UnixMilli(due).Add(-earlyLimit)) {
			held = false
			s.rec.line("ORDER: %s run %d started on %s, %d days ahead of its time", e.task, e.run, e.worker, ahead)
		}
	}
	s.state(quotePrefix, id, s.fronts[0])
	return held, nil
}
