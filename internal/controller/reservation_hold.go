package controller

import (
	"time"

	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

const (
	// reservationSlack is how long a reservation is held beyond the expected end of the tasks that it
	// waits for.
	reservationSlack = 10 * time.Second
	// maxReservationSlack bounds the slack, which doubles each time that a reservation was in vain.
	maxReservationSlack = 5 * time.Minute
	// maxReservationDelay is by how long reservations may delay a job while less than half of all cores
	// is in use. It is within the 14 s after which users expect every job to run.
	maxReservationDelay = 12 * time.Second
	// maxOverdueIdle is by how long they may delay a job that is older. It is within the 3 s for which
	// such a job may have nothing running.
	maxOverdueIdle = 2 * time.Second
)

// reservationHold limits how long workers are reserved for a request. Other requests that do not fit
// beside a reservation wait for its end, so it must not last when what the request waits for does not
// end, whatever the reason. After a reservation in vain the request gets none for as long as it was
// held; meanwhile others start, and other requests get reservations.
//
// While less than half of all cores is in use, capacity is not what the others lack. Then workers are
// reserved only if the tasks there are expected to end within maxReservationDelay, the slack stays, and
// jobs that are older than that use reserved capacity.
type reservationHold struct {
	stage     types.StageID  // that holds the current reservation
	since     types.MonoTime // when it was made
	until     types.MonoTime // when it ends at the latest
	idleUntil types.MonoTime // when it ends at the latest while less than half of all cores is in use
	vain      map[types.StageID]vainReservation
}

// vainReservation is what is known of a stage whose reservation ended before it was placed.
type vainReservation struct {
	pausedUntil types.MonoTime // it gets no reservation until then
	slack       time.Duration  // of its next reservation
}

// reset drops the state of the previous leadership.
func (h *reservationHold) reset() { *h = reservationHold{} }

// limit returns the reservation of the previous round, or nil if it must not be held any longer.
func (h *reservationHold) limit(
	v *leaderView, in placement.Input, reservation *placement.Reservation,
) *placement.Reservation {
	if reservation == nil || reservation.StageID != h.stage {
		return reservation
	}
	if !h.isOver(v, in, reservation) {
		return reservation
	}
	h.pause(v.now, h.stage, v.now.Sub(h.since), 2*h.slackOf(h.stage))
	return nil
}

// isOver reports whether the current reservation must not be held any longer.
func (h *reservationHold) isOver(v *leaderView, in placement.Input, reservation *placement.Reservation) bool {
	if halfInUse(in) {
		return v.now >= h.until
	}
	return v.now >= h.idleUntil || expectedIdleIn(v, reservation, h.since) > maxReservationDelay
}

// markVain marks the requests that had a reservation in vain and those that get none now, and forgets
// the stages that no longer wait.
func (h *reservationHold) markVain(now types.MonoTime, requests []placement.Request) {
	if len(h.vain) == 0 {
		return
	}
	waiting := map[types.StageID]vainReservation{}
	for i := range requests {
		request := &requests[i]
		if vain, ok := h.vain[request.StageID]; ok {
			request.ReservedBefore, request.ReservationPaused = true, now < vain.pausedUntil
			waiting[request.StageID] = vain
		}
	}
	h.vain = waiting
}

// markOverdue marks the requests that may use reserved capacity.
func markOverdue(v *leaderView, in placement.Input) {
	if halfInUse(in) {
		return
	}
	for i := range in.Requests {
		request := &in.Requests[i]
		if !request.JobIdle || request.WaitingFor < maxOverdueIdle {
			continue
		}
		j := v.state.Jobs[request.Job]
		request.UsesReserved = j != nil && v.clock.Sub(j.AcceptedAt) >= maxReservationDelay
	}
}

// admit returns the reservation that a round has made or kept, or nil if a new one is refused.
func (h *reservationHold) admit(
	v *leaderView, in placement.Input, reservation *placement.Reservation,
) *placement.Reservation {
	if reservation == nil {
		h.stage = types.StageID{}
		return nil
	}
	if reservation.StageID == h.stage {
		return reservation
	}
	expected := expectedIdleIn(v, reservation, v.now)
	if !halfInUse(in) && expected > maxReservationDelay {
		h.pause(v.now, reservation.StageID, reservationSlack, h.slackOf(reservation.StageID))
		return nil
	}
	h.begin(v.now, reservation, expected)
	return reservation
}

// begin starts to hold a new reservation, for which tasks are expected to run on for some time.
func (h *reservationHold) begin(now types.MonoTime, reservation *placement.Reservation, expected time.Duration) {
	h.stage, h.since = reservation.StageID, now
	h.until = now.Add(expected + h.slackOf(h.stage))
	h.idleUntil = now.Add(min(expected, maxReservationDelay) + reservationSlack)
}

// pause records that a reservation of a stage was in vain or was refused. slack is that of its next one.
func (h *reservationHold) pause(now types.MonoTime, stage types.StageID, pause, slack time.Duration) {
	if h.vain == nil {
		h.vain = map[types.StageID]vainReservation{}
	}
	h.vain[stage] = vainReservation{
		pausedUntil: now.Add(max(pause, reservationSlack)),
		slack:       min(slack, maxReservationSlack),
	}
}

// slackOf returns the slack of the next reservation of a stage.
func (h *reservationHold) slackOf(stage types.StageID) time.Duration {
	return max(reservationSlack, h.vain[stage].slack)
}

// describe sets what the slots of the reserved workers say of the current reservation.
func (h *reservationHold) describe(v *leaderView, sc *slotCache, ends *endTracker,
	reservation *placement.Reservation, slots []placement.Slot) {
	if reservation == nil || reservation.StageID != h.stage {
		return
	}
	for _, worker := range reservation.Workers {
		i, ok := sc.position[worker.Shard]
		if !ok {
			continue
		}
		var earlier occupancy
		attempts, _ := v.scheduler.AttemptsOn(worker.Shard)
		for _, attempt := range attempts {
			switch {
			case attempt.DispatchedAt < h.since:
				earlier.addTimeLimit(attempt)
			case attempt.TimeLimit > 0 && !ends.isReleased(attempt.ID):
				slots[i].StartedSince = slots[i].StartedSince.Add(attempt.Resources)
			}
		}
		slots[i].IdleIn = earlier.remaining(v.now)
	}
}

// expectedIdleIn returns how long until all tasks with a time limit that were started on the reserved
// workers before a time are expected to have ended.
func expectedIdleIn(
	v *leaderView, reservation *placement.Reservation, before types.MonoTime,
) (longest time.Duration) {
	for _, worker := range reservation.Workers {
		attempts, _ := v.scheduler.AttemptsOn(worker.Shard)
		for _, attempt := range attempts {
			j := openJob(v.state, attempt.ID.Job)
			if j == nil || attempt.TimeLimit == 0 || attempt.DispatchedAt >= before {
				continue
			}
			expected := v.expectedDuration(j, types.StageOf(attempt.ID.TaskNumber).Step())
			longest = max(longest, expected-v.now.Sub(attempt.DispatchedAt))
		}
	}
	return longest
}

// halfInUse reports whether at least half of all cores is in use.
func halfInUse(in placement.Input) bool {
	inUse := types.MilliCores(0)
	for _, usage := range in.Usage {
		inUse += usage.CoresInUse
	}
	return 2*inUse >= in.TotalCores
}
