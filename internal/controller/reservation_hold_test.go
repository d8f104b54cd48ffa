package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/placement"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

// span is a time from begin to end since the start of a test.
type span struct{ begin, end time.Duration }

// heldSpans runs the rig while small jobs arrive and returns when workers were reserved.
func (w *workloadRig) heldSpans(duration time.Duration) (spans []span) {
	w.t.Helper()
	held := false
	w.run(duration, func(elapsed time.Duration) {
		w.add("small", workloadStep(1, 1), time.Second)
		switch now := w.planner.hold.reservation != nil; {
		case now && !held:
			spans = append(spans, span{begin: elapsed})
			held = true
		case !now && held:
			spans[len(spans)-1].end = elapsed
			held = false
		}
	})
	return spans
}

// In a cluster of which more than half is in use, each reservation in vain is held for longer than the
// one before it, with a pause as long as it was, so that one of them outlasts what is in the way.
func TestReservationsInVainAreHeldForLonger(t *testing.T) {
	const tolerance = 4 * workloadRoundInterval
	is := is.New(t)
	w := newWorkloadRig(t, 24*time.Hour)
	long := lastingStep(10)
	long.EstimateMillis = 1000
	w.addSpec("long", state.Spec{Queue: "q", Steps: []state.Step{long}}, 100*time.Second)
	w.run(2*time.Second, nil)
	gang := w.add("gang", workloadGang(10), gangDuration)
	spans := w.heldSpans(150 * time.Second)
	w.t.Log(spans)
	is.True(len(spans) >= 3)
	for i, held := range spans[:2] {
		want := reservationSlack << i
		is.True(held.end-held.begin >= want && held.end-held.begin < want+tolerance)
		pause := spans[i+1].begin - held.end
		is.True(pause >= want && pause < want+tolerance)
	}
	is.Equal(gang.starts, 6)
}

// What is known of reservations in vain is kept only while the stage waits.
func TestVainReservationsAreForgotten(t *testing.T) {
	is := is.New(t)
	waiting, placed := types.StageID{Job: "waiting"}, types.StageID{Job: "placed"}
	h := reservationHold{reservation: &placement.Reservation{StageID: waiting}, since: 1}
	h.pause(2, 4*maxReservationSlack)
	h.reservation = &placement.Reservation{StageID: placed}
	h.pause(2, reservationSlack)
	is.Equal(h.slackOf(waiting), maxReservationSlack)
	requests := []placement.Request{{StageID: waiting}, {StageID: types.StageID{Job: "new"}}}
	h.markVain(3, requests)
	is.True(requests[0].ReservedBefore && requests[0].ReservationPaused)
	is.True(!requests[1].ReservedBefore && !requests[1].ReservationPaused)
	is.Equal(len(h.vain), 1)
	h.markVain(types.MonoTime(2+reservationSlack), requests)
	is.True(requests[0].ReservedBefore && !requests[0].ReservationPaused)
	is.Equal(h.slackOf(placed), reservationSlack)
}
