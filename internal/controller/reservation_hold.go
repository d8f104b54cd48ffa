package controller

import (
	"time"

	"coppercourse/internal/placement"
	"coppercourse/internal/types"
)

const (
	// reservationSlack is how long a reservation is held beyond the time when the reserved tasks are
	// expected to fit.
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
// reserved only if the reserved tasks are expected to fit within maxReservationDelay, the slack stays, and
// jobs that are older than that use reserved capacity.
type reservationHold struct {
	reservation *placement.Reservation // the current one, or nil
	since       types.MonoTime         // its first round: tasks that were started earlier may have to end for it
	until       types.MonoTime         // when it ends at the latest; 0 before its first round
	idleUntil   types.MonoTime         // when it ends at the latest while less than half of all cores is in use
	vain        map[types.StageID]vainReservation
}

// vainReservation is what is known of a stage whose reservation ended before it was placed.
type vainReservation struct {
	pausedUntil types.MonoTime // it gets no reservation until then
	slack       time.Duration  // of its next reservation
}

// reset drops the state of the previous leadership.
func (h *reservationHold) reset() { *h = reservationHold{} }

// limit returns the reservation of the previous round, or nil if there is none or it must not be held
// any longer. If it is held, limit sets what the slots of the reserved workers say of it.
func (h *reservationHold) limit(
	v *leaderView, ends *endTracker, sc *slotCache, in placement.Input,
) *placement.Reservation {
	if h.reservation == nil {
		return nil
	}
	if h.until == 0 {
		h.since = v.now
	}
	forecast := forecastReservation(v, ends, sc, h.reservation, h.since)
	expected, slack := forecast.expectedIn(), h.slackOf(h.reservation.StageID)
	if h.until == 0 {
		h.until = v.now.Add(expected + slack)
		h.idleUntil = v.now.Add(min(expected, maxReservationDelay) + reservationSlack)
	}
	idle := !roundHalfInUse(in)
	switch {
	case v.now >= h.until || idle && v.now >= h.idleUntil:
		h.pause(v.now, 2*slack)
		return nil
	case idle && expected > maxReservationDelay:
		h.pause(v.now, slack)
		return nil
	}
	forecast.describe()
	return h.reservation
}

// pause pauses the reservations of the current one's stage for as long as this one was held. slack is
// that of its next one.
func (h *reservationHold) pause(now types.MonoTime, slack time.Duration) {
	if h.vain == nil {
		h.vain = map[types.StageID]vainReservation{}
	}
	h.vain[h.reservation.StageID] = vainReservation{
		pausedUntil: now.Add(max(now.Sub(h.since), reservationSlack)),
		slack:       min(slack, maxReservationSlack),
	}
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
	if roundHalfInUse(in) {
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

// update records the reservation that a round has made or kept. How long a new one is held is determined
// in the next round, when the tasks that this one has started are known.
func (h *reservationHold) update(reservation *placement.Reservation) {
	isKept := reservation != nil && h.reservation != nil && reservation.StageID == h.reservation.StageID
	if !isKept {
		h.until = 0
	}
	h.reservation = reservation
}

// slackOf returns the slack of the next reservation of a stage.
func (h *reservationHold) slackOf(stage types.StageID) time.Duration {
	return max(reservationSlack, h.vain[stage].slack)
}

// roundHalfInUse reports whether at least half of all cores is in use, by the input of a round.
func roundHalfInUse(in placement.Input) bool {
	inUse := types.MilliCores(0)
	for _, usage := range in.Usage {
		inUse += usage.CoresInUse
	}
	return halfInUse(inUse, in.TotalCores)
}

// halfInUse reports whether so many cores are in use that a job may wait although some are free.
func halfInUse(inUse, total types.MilliCores) bool { return 2*inUse >= total }
