package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/internal/wire"
)

func TestRoundsStartWhenRequestedAndWhenTheLoopMay(t *testing.T) {
	is := is.New(t)
	s := placementSchedule{overload: &overload{}}
	is.True(!s.startRound(stamp(1))) // not requested
	s.request()
	is.True(s.startRound(stamp(2)))
	is.True(!s.startRound(stamp(3))) // the request is served

	s.request()
	s.overload.measure(stamp(4), wire.Load{ControlAge: maxPlacementLag + time.Millisecond})
	is.True(!s.startRound(stamp(4)))
	is.True(s.startRound(stamp(2).Add(minPlacementInterval))) // the request was kept
}

func TestRoundsGoOnWithoutPlacementAfterAStop(t *testing.T) {
	is := is.New(t)
	s := placementSchedule{overload: &overload{}}
	is.True(!s.isStopped())
	s.stop()
	is.True(s.isStopped())
	s.request()
	is.True(s.startRound(stamp(1)))
}
