package controller

import (
	"cmp"
	"slices"
	"time"

	"coppercourse/internal/dispatch/scheduler"
	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

// fitForecast says when reserved tasks will fit on their worker.
type fitForecast struct {
	expectedIn time.Duration   // by the expected durations of the tasks that must end for it
	limitIn    time.Duration   // by their time limits
	free       types.Resources // what is free then, including what the reserved tasks will use
}

// attemptEnd is what is known of the end of an attempt on a reserved worker.
type attemptEnd struct {
	later      bool // it was started after the reservation was made
	expectedIn time.Duration
	limitIn    time.Duration
	freed      types.Resources
}

// forecastFit forecasts when resources will be free on a worker that was reserved at a time. The tasks
// that ran then end first, in the order of their expected ends.
func forecastFit(
	v *leaderView, ends *endTracker, slot *placement.Slot, needed types.Resources, since types.MonoTime,
) fitForecast {
	forecast := fitForecast{free: slot.Free}
	for _, end := range attemptEnds(v, ends, slot.Shard, since) {
		if forecast.free.Contains(needed) {
			break
		}
		forecast.free = forecast.free.Add(end.freed)
		forecast.expectedIn = max(forecast.expectedIn, end.expectedIn)
		forecast.limitIn = max(forecast.limitIn, end.limitIn)
	}
	return forecast
}

// attemptEnds returns the ends of the attempts on a worker that have a time limit and use resources, in
// the order in which forecastFit expects them.
func attemptEnds(v *leaderView, ends *endTracker, shard types.Shard, since types.MonoTime) []attemptEnd {
	attempts, _ := v.scheduler.AttemptsOn(shard)
	list := make([]attemptEnd, 0, len(attempts))
	for _, attempt := range attempts {
		if attempt.TimeLimit == 0 || ends.isReleased(attempt.ID) {
			continue
		}
		elapsed := v.now.Sub(attempt.DispatchedAt)
		list = append(list, attemptEnd{
			later:      attempt.DispatchedAt >= since,
			expectedIn: max(0, expectedRuntime(v, attempt)-elapsed),
			limitIn:    max(0, attempt.TimeLimit-elapsed),
			freed:      attempt.Resources,
		})
	}
	slices.SortFunc(list, func(a, b attemptEnd) int {
		if a.later != b.later {
			if a.later {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.expectedIn, b.expectedIn)
	})
	return list
}

// expectedRuntime returns how long an attempt is expected to run in all; 0 if it is being stopped.
func expectedRuntime(v *leaderView, attempt *scheduler.OutstandingAttempt) time.Duration {
	j := openJob(v.state, attempt.ID.Job)
	if j == nil || attempt.Stage == scheduler.StageUnknown || !canWithdraw(v.state, attempt.ID) {
		return 0
	}
	return v.expectedDuration(j, attempt.Stage.Step())
}
