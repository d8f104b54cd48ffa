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

// endOrder tells attempts that ran when their worker was reserved from later ones.
type endOrder int

const (
	startedBefore endOrder = iota
	startedAfter
)

// attemptEnd is what is known of the end of an attempt on a reserved worker.
type attemptEnd struct {
	order      endOrder
	expectedIn time.Duration
	limitIn    time.Duration
	freed      types.Resources
}

// workerForecast is the forecast for one reserved worker.
type workerForecast struct {
	slot *placement.Slot
	fitForecast
}

// reservationForecast is the forecast for all workers of a reservation.
type reservationForecast []workerForecast

// expectedIn returns when all reserved tasks are expected to fit.
func (rf reservationForecast) expectedIn() (latest time.Duration) {
	for _, worker := range rf {
		latest = max(latest, worker.fitForecast.expectedIn)
	}
	return latest
}

// describe sets what the slots of the reserved workers say of the reservation.
func (rf reservationForecast) describe() {
	for _, worker := range rf {
		worker.slot.IdleIn, worker.slot.FreeWhenIdle = worker.limitIn, worker.free
	}
}

// forecastReservation forecasts when the tasks of a reservation will fit on each of its workers. since
// is when they were reserved.
func forecastReservation(
	v *leaderView, ends *endTracker, sc *slotCache, reservation *placement.Reservation, since types.MonoTime,
) reservationForecast {
	var list reservationForecast
	resources := taskResources(v.state, reservation.StageID)
	for _, worker := range reservation.Workers {
		if slot := sc.slotOf(worker.Shard); slot != nil {
			forecast := forecastFit(slot, resources.Scale(worker.Tasks), attemptEnds(v, ends, worker.Shard, since))
			list = append(list, workerForecast{slot: slot, fitForecast: forecast})
		}
	}
	return list
}

// forecastFit forecasts when resources will be free on a worker whose tasks end in the given order.
func forecastFit(slot *placement.Slot, needed types.Resources, ends []attemptEnd) fitForecast {
	forecast := fitForecast{free: slot.Free}
	for _, end := range ends {
		if forecast.free.Contains(needed) {
			break
		}
		forecast.free = forecast.free.Add(end.freed)
		forecast.expectedIn = max(forecast.expectedIn, end.expectedIn)
		forecast.limitIn = max(forecast.limitIn, end.limitIn)
	}
	return forecast
}

// attemptEnds returns the ends of the attempts on a worker that have a time limit and use resources:
// those that ran when it was reserved go first, then those that are expected to end first.
func attemptEnds(v *leaderView, ends *endTracker, shard types.Shard, since types.MonoTime) []attemptEnd {
	attempts, _ := v.scheduler.AttemptsOn(shard)
	list := make([]attemptEnd, 0, len(attempts))
	for _, attempt := range attempts {
		if attempt.TimeLimit == 0 || ends.isReleased(attempt.ID) {
			continue
		}
		elapsed := v.now.Sub(attempt.DispatchedAt)
		order := startedBefore
		if attempt.DispatchedAt >= since {
			order = startedAfter
		}
		list = append(list, attemptEnd{
			order:      order,
			expectedIn: max(0, expectedRuntime(v, attempt)-elapsed),
			limitIn:    max(0, attempt.TimeLimit-elapsed),
			freed:      attempt.Resources,
		})
	}
	slices.SortFunc(list, func(a, b attemptEnd) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.expectedIn, b.expectedIn))
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
