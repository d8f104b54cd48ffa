package controller

import (
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// WorkerView is the leader's view of a worker.
type WorkerView struct {
	Shard          types.Shard     `json:"shard"`
	InstanceID     types.ID        `json:"instance"`
	AgentAddr      types.Addr      `json:"agent"`
	State          protocol.Health `json:"state"`
	InStateMS      int64           `json:"for_ms"`   // time in the current state
	SinceHealthyMS int64           `json:"quiet_ms"` // time since its agent last reported it healthy
	protocol.WorkerReport
	Free        types.Resources `json:"free"`
	Attempts    int             `json:"legs"` // attempts that may be running there
	FailureRate float64         `json:"bad_ends"`
	Slowness    float64         `json:"slowness"` // durations of its attempts relative to the usual ones
	SlowNow     float64         `json:"slow_now"` // the same of its current attempts, or 0 if it is not slow
}

// workerViews returns a view of each worker, by shard.
func (l *leader) workerViews(now types.MonoTime) []WorkerView {
	attempts := map[types.Shard]int{}
	for _, attempt := range l.attempts() {
		attempts[attempt.Shard]++
	}
	views := []WorkerView{}
	for _, worker := range l.workers() {
		views = append(views, WorkerView{
			Shard:          worker.Shard,
			InstanceID:     worker.Instance,
			AgentAddr:      worker.Addr,
			State:          worker.State,
			InStateMS:      now.Sub(worker.StateSince).Milliseconds(),
			SinceHealthyMS: now.Sub(worker.LastHealthyAt).Milliseconds(),
			WorkerReport:   worker.WorkerReport,
			Free:           l.scheduler.FreeCapacity(worker),
			Attempts:       attempts[worker.Shard],
			FailureRate:    worker.Reliability.FailureRate,
			Slowness:       worker.Reliability.RelativeDuration,
			SlowNow:        l.scheduler.Slowdown(worker),
		})
	}
	return views
}

// slowWorkerCount returns how many workers count as slow; 0 unless this controller leads.
func (l *leader) slowWorkerCount() (count int) {
	for _, worker := range l.workers() {
		if l.scheduler.Slowdown(worker) > 0 {
			count++
		}
	}
	return count
}

// DrainView is a drain in force, as shown to operators.
type DrainView struct {
	state.Target
	RemainingMS int64 `json:"left_ms,omitempty"` // time until attempts that still run are stopped
	Attempts    int   `json:"legs"`              // attempts that still run there
}

// drainViews returns views of the drains in force, with the attempts that still run under each.
func drainViews(s *state.State, clock types.ClusterTime, attempts []*scheduler.OutstandingAttempt) []DrainView {
	views := []DrainView{}
	for _, drain := range s.Drains {
		view := DrainView{Target: drain.Target}
		if drain.Deadline != 0 {
			view.RemainingMS = max(1, drain.Deadline.Sub(clock).Milliseconds())
		}
		for _, attempt := range attempts {
			if drain.Matches(attempt.Shard, s.WorkerShapes[attempt.Shard].Rack) {
				view.Attempts++
			}
		}
		views = append(views, view)
	}
	return views
}

// maxWindowsShown bounds the upcoming windows listed per calendar.
const maxWindowsShown = 5

// CalendarView is a maintenance calendar, as shown to operators.
type CalendarView struct {
	Name string `json:"name"`
	state.Target
	WindowCount int      `json:"windows"` // windows that have not ended
	NextWindows []string `json:"next"`    // formatted as "START/END", in UTC
}

// calendarViews returns views of the maintenance calendars.
func calendarViews(s *state.State, clock types.ClusterTime) []CalendarView {
	views := []CalendarView{}
	now := types.WallTime(clock) + s.WallOffset
	for _, calendar := range s.Calendars {
		view := CalendarView{Name: calendar.Name, Target: calendar.Target, NextWindows: []string{}}
		for _, window := range calendar.Windows {
			if window.End <= now {
				continue
			}
			view.WindowCount++
			if len(view.NextWindows) < maxWindowsShown {
				view.NextWindows = append(view.NextWindows, formatWallTime(window.Start)+"/"+formatWallTime(window.End))
			}
		}
		views = append(views, view)
	}
	return views
}

// formatWallTime formats a time as RFC 3339, in UTC.
func formatWallTime(at types.WallTime) string {
	return time.Unix(0, int64(at)).UTC().Format(time.RFC3339)
}
